// Reports the progress of jobs in the led shards to the leader.
#pragma once

#include <functional>

#include "controller/controller_context.h"
#include "controller/led_shards.h"

namespace beaconsill::controller {

// Part of the ShardService, which calls run() on its timer. The leader adds reported progress to its ledger
// of the teams' usage immediately; ProgressWriter writes the record in the state store later.
// Single-threaded.
class LeaderNotifier {
 public:
  using Send = std::function<void(protocol::ProgressReport)>;
  // `send` sends a report to the leader. Reports may be lost.
  LeaderNotifier(ControllerContext& ctx, Send send);
  // Sends the progress made since the last report. Sends all progress that isn't in the state store yet if
  // the leader's term has changed or if the last full report is more than 2 s ago.
  void run(ShardId id, LedShard& shard);

 private:
  ControllerContext& ctx_;
  Send send_;
};

}  // namespace beaconsill::controller
