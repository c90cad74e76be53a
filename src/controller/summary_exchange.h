// Exchanges the summaries of shards, which list machines and running tasks, between the controllers.
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

// Sends the summaries of the led shards to the peers, and passes the summaries of all shards to the
// scheduler. Methods don't throw. Single-threaded.
class SummaryExchange {
 public:
  SummaryExchange(ControllerContext& ctx, PeerMessenger& messenger, ShardService& shards,
                  SchedulerService& scheduler);
  void start();
  void stop();
  // Processes one page of a peer's summary. The pages of a summary arrive in order.
  void on_page(const ControllerName& from, const protocol::Summary& page);
  // Returns the number of running tasks of the job in the shards that this controller leads and in all shards
  // whose summaries its peers have sent.
  std::uint32_t running(const JobId& id) const;

 private:
  void send();

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  ShardService& shards_;
  SchedulerService& scheduler_;
  PeriodicTimer timer_;
  std::map<ControllerName, protocol::SummaryAssembler> assemblers_;
  std::map<ShardId, std::map<JobId, std::uint32_t>> peer_running_tasks_;  // number of running tasks
};

}  // namespace beaconsill::controller
