// Scales the fleet out and in: carries out at the cloud and the shards what the Autoscaler decides.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "controller/leadership.h"
#include "controller/peer_messenger.h"
#include "controller/shard_service.h"
#include "controller/timers.h"
#include "scheduler/autoscaler.h"

namespace beaconsill::controller {

// Part of the SchedulerService. Rents machines for jobs that wait, deletes failed instances, has the shard
// leaders release idle ones, and lists the machines. Requests to the cloud that fail are repeated at the next
// tick. Throws nothing; one thread.
class AutoscalerService {
 public:
  AutoscalerService(ControllerContext& ctx, PeerMessenger& messenger, ShardService& shards,
                    Leadership& leadership);
  void start();
  void stop();

  // Before the jobs of the new term are known; list_machines() follows once they are.
  void begin_term(Term term);
  void end_term() { autoscaler_.reset(); }
  void on_catalogue();
  // Lists the cloud's machines, unless the last list is under way or too recent.
  void list_machines();

 private:
  void run();
  bool may_act();
  void rent();
  void on_rent_result(const protocol::RentRequest& request, const cloud::CloudClient::RentResult& names);
  void delete_failed_instances();
  void release_idle_instances();

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  ShardService& shards_;
  Leadership& leadership_;
  PeriodicTimer run_timer_, list_timer_;
  std::unique_ptr<scheduler::Autoscaler> autoscaler_;  // only while this controller is the leader
  std::optional<Instant> list_not_before_;
  bool listing_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
