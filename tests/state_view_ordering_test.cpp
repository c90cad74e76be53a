// Tests StateView with changes that arrive late or out of order, as happens when responses are lost or
// delayed while other controllers read and write. See docs/fault-scenarios.md.
#include <gtest/gtest.h>

#include "state_store/state_view.h"

namespace beaconsill::state_store {
namespace {

using protocol::Change;
using protocol::Json;

const JobId kJob("run-1");
const ShardId kShard(0);
const ControllerName kController("n0");

Json job() {
  protocol::JobSpec spec;
  spec.id = kJob;
  spec.job_class = "c";
  spec.team = Team("blue");
  spec.tasks = 4;
  spec.image = ImageName("i");
  return to_json(JobRecord{std::make_shared<const protocol::JobSpec>(spec), WallMs(5)});
}
Json grants() {
  return to_json(
      Grants{{{Generation(1), kShard, Term(1), Ranges::span(0, 4), std::nullopt, false, {}}}, Generation(1)});
}
Json machines() {
  return to_json(std::vector<MachineRecord>{{MachineName("m"), MachineType("t"), Zone("z")}});
}
Change put_change(std::string key, Json value, std::uint64_t revision) {
  return {std::move(key), std::move(value), Revision(revision)};
}
Change delete_change(std::string key, std::uint64_t revision) {
  return {std::move(key), std::nullopt, Revision(revision)};
}

// A kind of key that may be deleted or replaced, with a function that returns whether the view contains it.
struct KeyKind {
  const char* what;
  std::string key;
  Json value;
  std::function<bool(const StateView&)> is_present;
};
std::vector<KeyKind> key_kinds() {
  return {
      {"job", job_key(kJob), job(), [](const StateView& view) { return view.job(kJob) != nullptr; }},
      {"grants", grants_key(kJob), grants(),
       [](const StateView& view) {
         return view.jobs().contains(kJob) && view.jobs().at(kJob).grants.exists();
       }},
      {"progress", progress_key(kShard, kJob), to_json(Progress{Ranges::span(0, 1), {}}),
       [](const StateView& view) {
         return view.jobs().contains(kJob) && !view.jobs().at(kJob).progress.empty();
       }},
      {"registry", machines_key(kShard, 3), machines(),
       [](const StateView& view) { return view.machines(kShard, 3).exists(); }},
      {"liveness", alive_key(kController), Json{{"up", true}},
       [](const StateView& view) { return view.alive(kController); }},
  };
}

// The state store commits a transaction at once, but its response reaches the writer late. By then a read has
// already seen the key written and deleted; the late response must not restore it.
TEST(LateResponse, DoesNotRestoreAKeyThatAReadHasSeenDeleted) {
  for (const auto& kind : key_kinds()) {
    StateView view;
    view.apply_all({put_change(kind.key, kind.value, 10), delete_change(kind.key, 12)});
    view.mark_complete_up_to(Revision(12));
    view.apply(put_change(kind.key, kind.value, 10));  // the late response to the writer
    EXPECT_FALSE(kind.is_present(view)) << kind.what;
    // A newer change is applied, regardless of whether it comes from a response or from a read.
    view.apply(put_change(kind.key, kind.value, 13));
    EXPECT_TRUE(kind.is_present(view)) << kind.what;
  }
}

// The order of the changes in a response is unspecified: the protocol's own example lists a deletion after a
// change of a later revision.
TEST(ChangeList, IsAppliedInRevisionOrderRegardlessOfListOrder) {
  for (const auto& kind : key_kinds()) {
    for (bool backwards : {false, true}) {
      std::vector<Change> deleted{put_change(kind.key, kind.value, 10), delete_change(kind.key, 12)};
      std::vector<Change> restored{delete_change(kind.key, 10), put_change(kind.key, kind.value, 12)};
      if (backwards)
        std::reverse(deleted.begin(), deleted.end()), std::reverse(restored.begin(), restored.end());
      StateView view;
      view.apply_all(deleted);
      EXPECT_FALSE(kind.is_present(view)) << kind.what << backwards;
      StateView view_with_key;
      view_with_key.apply(put_change(kind.key, kind.value, 5));
      view_with_key.apply_all(restored);
      EXPECT_TRUE(kind.is_present(view_with_key)) << kind.what << backwards;
    }
  }
}

// If more changes were made than the state store retains, all keys must be reloaded. Keys that were deleted
// in the meantime must be reported as changed, so that the leader and the shard leaders handle them like
// every other change.
TEST(Reload, KeysThatAreNotReloadedAreReportedAsChanged) {
  StateView view;
  for (const auto& kind : key_kinds()) view.apply(put_change(kind.key, kind.value, 10));
  view.mark_complete_up_to(Revision(10));
  view.take_changes();
  view.clear();
  auto changes = view.take_changes();
  EXPECT_TRUE(changes.jobs.contains(kJob));
  EXPECT_TRUE(changes.machines.contains(kShard));
  EXPECT_TRUE(changes.roles);
  // The pages of the reload may contain older revisions than those applied before.
  view.apply(put_change(job_key(kJob), job(), 8));
  EXPECT_NE(view.job(kJob), nullptr);
}

// Users may query all controllers within milliseconds and must get the same answer. Later changes, in any
// order, must not alter a terminal state, even after the job's other keys were deleted.
TEST(TerminalState, IsUnaffectedByLaterChangesInAnyOrder) {
  const std::vector<Change> changes{
      put_change(job_key(kJob), job(), 10), put_change(grants_key(kJob), grants(), 11),
      put_change(terminal_key(kJob), to_json(TerminalRecord{TerminalState::kCancelled, 0}), 12),
      delete_change(grants_key(kJob), 13), delete_change(job_key(kJob), 13)};
  std::vector<std::size_t> order{0, 1, 2, 3, 4};
  do {
    StateView view;
    bool ended = false;
    for (auto i : order) {
      view.apply(changes[i]);
      ended |= i == 2;
      EXPECT_EQ(view.terminal_state(kJob), ended ? std::optional(TerminalState::kCancelled) : std::nullopt);
    }
  } while (std::next_permutation(order.begin(), order.end()));
}

}  // namespace
}  // namespace beaconsill::state_store
