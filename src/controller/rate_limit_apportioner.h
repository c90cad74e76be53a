// Sets this controller's share of the rate limits of the state store and the cloud.
#pragma once

#include "controller/controller_context.h"
#include "controller/rate_limit_share.h"
#include "controller/scheduler_service.h"
#include "controller/timers.h"

namespace beaconsill::controller {

// Recalculates the shares periodically, according to which controllers are alive and which one is the leader.
// Doesn't throw; runs on the event loop's single thread.
class RateLimitApportioner {
 public:
  RateLimitApportioner(ControllerContext& ctx, const SchedulerService& scheduler);
  void start();
  void stop();
  // Sets the shares immediately, without waiting for the next period. Called when this controller has become
  // the leader.
  void update();

 private:
  LiveControllers live_controllers() const;

  ControllerContext& ctx_;
  const SchedulerService& scheduler_;
  PeriodicTimer timer_;
};

}  // namespace beaconsill::controller
