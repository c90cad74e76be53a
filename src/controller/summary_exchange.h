// Exchanges the shards' summaries between the controllers: their machines and what runs on them.
#pragma once

#include <cstdint>
#include <map>

#include "controller/controller_context.h"
#include "controller/peer_messenger.h"
#include "controller/scheduler_service.h"
#include "controller/shard_service.h"
#include "controller/timers.h"
#include "protocol/paging.h"

namespace beaconsill::controller {

// Sends the summaries of the led shards to the peers, and hands all of them to the scheduler. Throws nothing;
// one thread.
class SummaryExchange {
 public:
  SummaryExchange(ControllerContext& ctx, PeerMessenger& messenger, ShardService& shards,
                  SchedulerService& scheduler);
  void start();
  void stop();
  // A peer's summary comes in pages, in order.
  void on_page(const ControllerName& from, const protocol::Summary& page);
  // Tasks of the job that run, in all shards, as far as is known here.
  std::uint32_t running(const JobId& id) const;

 private:
  void send();

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  ShardService& shards_;
  SchedulerService& scheduler_;
  PeriodicTimer timer_;
  std::map<ControllerName, protocol::SummaryAssembler> assemblers_;
  std::map<ShardId, std::map<JobId, std::uint32_t>> running_elsewhere_;  // tasks
};

}  // namespace beaconsill::controller
