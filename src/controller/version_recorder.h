// Records in the state store which version of the record format each controller has advertised.
#pragma once

#include "controller/leadership.h"

namespace beaconsill::controller {

// Part of the SchedulerService, which calls run() on its timer. Until every controller has advertised a
// version (or a higher one), nothing is written that an earlier version would misread. As soon as all have,
// the leader's role is written in a form that an earlier version can't acquire, because an earlier version
// would start jobs before the jobs they depend on have ended. Failed writes are repeated. Doesn't throw; runs
// on the event loop's single thread.
class VersionRecorder {
 public:
  VersionRecorder(ControllerContext& ctx, Leadership& leadership) : ctx_(ctx), leadership_(leadership) {}
  // Writes the versions if a controller has advertised a higher version than the recorded one.
  void run();

 private:
  state_store::Versions advertised_versions() const;
  void write(const protocol::Txn& txn, std::uint32_t common_version);

  ControllerContext& ctx_;
  Leadership& leadership_;
  bool write_pending_ = false;
};

}  // namespace beaconsill::controller
