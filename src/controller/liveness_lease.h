// Maintains this controller's lease in the state store and the liveness key that is attached to the lease.
#pragma once

#include <optional>

#include "controller/controller_context.h"
#include "controller/timers.h"

namespace beaconsill::controller {

// Obtains and renews the lease, and obtains a new one after an expiry. Writes the liveness key, which tells
// the other controllers that this one is alive, and writes it again if it has been deleted. Failed requests
// are repeated at the next tick. Doesn't throw; runs on the event loop's single thread.
class LivenessLease {
 public:
  explicit LivenessLease(ControllerContext& ctx);
  void start();
  void stop();
  // Whether this process has written the liveness key under its current lease.
  bool liveness_written() const { return liveness_written_; }

 private:
  void run();
  void grant();
  void renew();
  void on_granted(const state_store::ReadResult& result);
  void on_renewed(const state_store::ReadResult& result);
  void write_liveness();

  ControllerContext& ctx_;
  PeriodicTimer timer_;
  std::optional<LeaseId> lease_;
  bool request_pending_ = false;
  bool liveness_written_ = false;
};

}  // namespace beaconsill::controller
