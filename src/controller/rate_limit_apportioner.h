// Sets this controller's share of the rate limits of state store and cloud.
#pragma once

#include "controller/controller_context.h"
#include "controller/rate_limit_share.h"
#include "controller/scheduler_service.h"
#include "controller/timers.h"

namespace beaconsill::controller {

// Follows which controllers are alive and which is the leader. Throws nothing; one thread.
class RateLimitApportioner {
 public:
  RateLimitApportioner(ControllerContext& ctx, const SchedulerService& scheduler);
  void start();
  void stop();
  // Sets the shares now: this controller has become the leader.
  void update();

 private:
  LiveControllers live_controllers() const;

  ControllerContext& ctx_;
  const SchedulerService& scheduler_;
  PeriodicTimer timer_;
};

}  // namespace beaconsill::controller
