// Records which controllers have shown that they know this version's records.
#pragma once

#include "controller/leadership.h"

namespace beaconsill::controller {

// Part of the SchedulerService, which calls run() on its timer. Until every controller has shown this
// version, nothing is written that an earlier one would misread. With the last of them the leader's role is
// written so that no earlier version can take it: it would start jobs that wait for others. What isn't
// written is tried again. Throws nothing; one thread.
class VersionRecorder {
 public:
  VersionRecorder(ControllerContext& ctx, Leadership& leadership) : ctx_(ctx), leadership_(leadership) {}
  // Writes the versions if a controller has shown a higher one than recorded.
  void run();

 private:
  state_store::Versions advertised_versions() const;
  void write(const protocol::Txn& txn, std::uint32_t known_by_all);

  ControllerContext& ctx_;
  Leadership& leadership_;
  bool writing_ = false;
};

}  // namespace beaconsill::controller
