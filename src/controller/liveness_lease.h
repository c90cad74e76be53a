// This controller's lease in the state store, and the key that shows with it that the controller is alive.
#pragma once

#include <optional>

#include "controller/controller_context.h"
#include "controller/timers.h"

namespace beaconsill::controller {

// Grants, renews and, after an expiry, replaces the lease; writes the liveness key attached to it, and writes
// it again if it went. Failed requests are repeated at the next tick, nothing is thrown. One thread.
class LivenessLease {
 public:
  explicit LivenessLease(ControllerContext& ctx);
  void start();
  void stop();
  // This process has written the liveness key under its present lease.
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
