#include "controller/leader_notifier.h"

#include <utility>

namespace beaconsill::controller {
namespace {
// All progress that isn't in the state store yet is sent again at this interval, in case a message was lost.
constexpr Duration kFullNotificationPeriod = std::chrono::seconds(2);
}  // namespace

LeaderNotifier::LeaderNotifier(ControllerContext& ctx, Send send) : ctx_(ctx), send_(std::move(send)) {}

void LeaderNotifier::run(ShardId id, LedShard& shard) {
  if (shard.manager->superseded()) return;
  const auto& leader = ctx_.view().leader();
  if (!leader.exists()) return;
  auto now = ctx_.now();
  bool full = !shard.next_full_notification || now >= *shard.next_full_notification ||
              shard.fully_notified_leader_term != leader.value.term;
  if (full) {
    shard.next_full_notification = now + kFullNotificationPeriod;
    shard.fully_notified_leader_term = leader.value.term;
  }
  auto jobs = shard.manager->progress_report(full);
  if (!jobs.empty()) send_({id, shard.manager->term(), std::move(jobs)});
}

}  // namespace beaconsill::controller
