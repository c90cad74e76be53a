// The view of the state store when responses are lost or come late while others read and write. See
// docs/fault-scenarios.md.
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
Change set(std::string key, Json value, std::uint64_t revision) {
  return {std::move(key), std::move(value), Revision(revision)};
}
Change drop(std::string key, std::uint64_t revision) {
  return {std::move(key), std::nullopt, Revision(revision)};
}

// Each kind of key that is ever deleted or replaced, and whether the view holds it.
struct Kind {
  const char* what;
  std::string key;
  Json value;
  std::function<bool(const StateView&)> held;
};
std::vector<Kind> kinds() {
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

// A transaction is carried out at once and only its response is lost, while other controllers read what it
// wrote. Its writer learns of it late: a read has seen the key written and deleted by then.
TEST(LateResponse, NeverRestoresAKeyThatAReadHasSeenDeleted) {
  for (const auto& kind : kinds()) {
    StateView view;
    view.apply_all({set(kind.key, kind.value, 10), drop(kind.key, 12)});
    view.complete_to(Revision(12));
    view.apply(set(kind.key, kind.value, 10));  // the writer's own response
    EXPECT_FALSE(kind.held(view)) << kind.what;
    // What is newer counts, whoever brings it.
    view.apply(set(kind.key, kind.value, 13));
    EXPECT_TRUE(kind.held(view)) << kind.what;
  }
}

// The protocol's own example lists a deletion after a change of a later revision.
TEST(ChangeList, MayComeInAnyOrder) {
  for (const auto& kind : kinds()) {
    for (bool backwards : {false, true}) {
      std::vector<Change> deleted{set(kind.key, kind.value, 10), drop(kind.key, 12)};
      std::vector<Change> restored{drop(kind.key, 10), set(kind.key, kind.value, 12)};
      if (backwards)
        std::reverse(deleted.begin(), deleted.end()), std::reverse(restored.begin(), restored.end());
      StateView view;
      view.apply_all(deleted);
      EXPECT_FALSE(kind.held(view)) << kind.what << backwards;
      StateView view_with_key;
      view_with_key.apply(set(kind.key, kind.value, 5));
      view_with_key.apply_all(restored);
      EXPECT_TRUE(kind.held(view_with_key)) << kind.what << backwards;
    }
  }
}

// A reload, after more changes than the state store keeps: what was dropped meanwhile is handled by
// leader and shard leaders like every other change.
TEST(Reload, KeysThatAreNotReloadedAreReportedAsChanged) {
  StateView view;
  for (const auto& kind : kinds()) view.apply(set(kind.key, kind.value, 10));
  view.complete_to(Revision(10));
  view.take_changes();
  view.clear();
  auto changes = view.take_changes();
  EXPECT_TRUE(changes.jobs.contains(kJob));
  EXPECT_TRUE(changes.machines.contains(kShard));
  EXPECT_TRUE(changes.roles);
  // The load's pages hold older versions than what was known before.
  view.apply(set(job_key(kJob), job(), 8));
  EXPECT_NE(view.job(kJob), nullptr);
}

// Users query all controllers within milliseconds: a terminal state stands whatever arrives afterwards, in
// any order, also once the job's other keys were dropped.
TEST(TerminalState, StandsWhateverArrivesAfterwards) {
  const std::vector<Change> changes{
      set(job_key(kJob), job(), 10), set(grants_key(kJob), grants(), 11),
      set(terminal_key(kJob), to_json(TerminalRecord{TerminalState::kCancelled, 0}), 12),
      drop(grants_key(kJob), 13), drop(job_key(kJob), 13)};
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
