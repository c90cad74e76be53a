// Adds machines to the cluster and removes them: carries out the Autoscaler's decisions through requests to
// the cloud and to the shard leaders.
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

// Part of the SchedulerService. Rents machines for queued jobs, deletes failed instances, asks the shard
// leaders to release idle instances, and lists the cloud's machines. A request to the cloud that fails is
// repeated at the next tick. Doesn't throw; runs on the event loop's single thread.
class AutoscalerService {
 public:
  AutoscalerService(ControllerContext& ctx, PeerMessenger& messenger, ShardService& shards,
                    Leadership& leadership);
  void start();
  void stop();

  // Called before the scheduler has been given the jobs of the new term. The caller calls list_machines()
  // once it has.
  void begin_term(Term term);
  void end_term() { autoscaler_.reset(); }
  void on_catalogue();
  // Requests the list of machines from the cloud, unless a request is pending or the last one is too recent.
  void list_machines();

 private:
  void run();
  bool may_scale();
  void rent();
  void on_rent_result(const protocol::RentRequest& request, const cloud::CloudClient::RentResult& rented);
  void delete_failed_instances();
  void release_idle_instances();

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  ShardService& shards_;
  Leadership& leadership_;
  PeriodicTimer run_timer_, list_timer_;
  std::unique_ptr<scheduler::Autoscaler> autoscaler_;  // only while this controller is the leader
  std::optional<Instant> next_list_allowed_at_;
  bool list_pending_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
