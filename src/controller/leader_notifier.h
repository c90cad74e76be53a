// Notifies the leader of the progress of the led shards.
#pragma once

#include <functional>

#include "controller/controller_context.h"
#include "controller/led_shards.h"

namespace beaconsill::controller {

// Part of the ShardService, which calls run() on its timer. The leader counts progress at once, in its ledger
// of the teams' usage; the record in the state store follows later (ProgressWriter). One thread.
class LeaderNotifier {
 public:
  using Send = std::function<void(protocol::ProgressReport)>;
  // `send` delivers a report to the leader, or loses it.
  LeaderNotifier(ControllerContext& ctx, Send send);
  // Sends what is new, or everything unwritten if the leader is new or the last time is long ago.
  void run(ShardId id, LedShard& shard);

 private:
  ControllerContext& ctx_;
  Send send_;
};

}  // namespace beaconsill::controller
