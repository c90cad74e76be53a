// The view of the state store when responses are lost or come late while others read and write. See
// docs/concurrent-faults.md.
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
  protocol::JobSpec s;
  s.id = kJob;
  s.job_class = "c";
  s.team = Team("blue");
  s.tasks = 4;
  s.image = ImageName("i");
  return to_json(JobRecord{std::make_shared<const protocol::JobSpec>(s), WallMs(5)});
}
Json grants() {
  return to_json(
      Grants{{{Generation(1), kShard, Term(1), Ranges::span(0, 4), std::nullopt, false, {}}}, Generation(1)});
}
Json machines() {
  return to_json(std::vector<MachineRecord>{{MachineName("m"), MachineType("t"), Zone("z")}});
}
Change set(std::string key, Json v, std::uint64_t revision) {
  return {std::move(key), std::move(v), Revision(revision)};
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
      {"job", job_key(kJob), job(), [](const StateView& v) { return v.job(kJob) != nullptr; }},
      {"grants", grants_key(kJob), grants(),
       [](const StateView& v) { return v.jobs().contains(kJob) && v.jobs().at(kJob).grants.exists(); }},
      {"progress", progress_key(kShard, kJob), to_json(Progress{Ranges::span(0, 1), {}}),
       [](const StateView& v) { return v.jobs().contains(kJob) && !v.jobs().at(kJob).progress.empty(); }},
      {"registry", machines_key(kShard, 3), machines(),
       [](const StateView& v) { return v.machines(kShard, 3).exists(); }},
      {"liveness", alive_key(kController), Json{{"up", true}},
       [](const StateView& v) { return v.alive(kController); }},
  };
}

// A transaction is carried out at once and only its response is lost, while other controllers read what it
// wrote. Its writer learns of it late: a read has seen the key written and deleted by then.
TEST(LateResponse, NeverRestoresAKeyThatAReadHasSeenDeleted) {
  for (const auto& k : kinds()) {
    StateView v;
    v.apply_all({set(k.key, k.value, 10), drop(k.key, 12)});
    v.complete_to(Revision(12));
    v.apply(set(k.key, k.value, 10));  // the writer's own response
    EXPECT_FALSE(k.held(v)) << k.what;
    // What is newer counts, whoever brings it.
    v.apply(set(k.key, k.value, 13));
    EXPECT_TRUE(k.held(v)) << k.what;
  }
}

// The protocol's own example lists a deletion after a change of a later revision.
TEST(ChangeList, MayComeInAnyOrder) {
  for (const auto& k : kinds()) {
    for (bool backwards : {false, true}) {
      std::vector<Change> deleted{set(k.key, k.value, 10), drop(k.key, 12)};
      std::vector<Change> back{drop(k.key, 10), set(k.key, k.value, 12)};
      if (backwards) std::reverse(deleted.begin(), deleted.end()), std::reverse(back.begin(), back.end());
      StateView v;
      v.apply_all(deleted);
      EXPECT_FALSE(k.held(v)) << k.what << backwards;
      StateView w;
      w.apply(set(k.key, k.value, 5));
      w.apply_all(back);
      EXPECT_TRUE(k.held(w)) << k.what << backwards;
    }
  }
}

// A reload, after more changes than the state store keeps: what was dropped meanwhile is handled by
// leader and shard leaders like every other change.
TEST(Reload, KeysThatAreNotReloadedAreReportedAsChanged) {
  StateView v;
  for (const auto& k : kinds()) v.apply(set(k.key, k.value, 10));
  v.complete_to(Revision(10));
  v.take_changes();
  v.clear();
  auto changes = v.take_changes();
  EXPECT_TRUE(changes.jobs.contains(kJob));
  EXPECT_TRUE(changes.machines.contains(kShard));
  EXPECT_TRUE(changes.roles);
  // The load's pages hold older versions than what was known before.
  v.apply(set(job_key(kJob), job(), 8));
  EXPECT_NE(v.job(kJob), nullptr);
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
    StateView v;
    bool ended = false;
    for (auto i : order) {
      v.apply(changes[i]);
      ended |= i == 2;
      EXPECT_EQ(v.terminal_state(kJob), ended ? std::optional(TerminalState::kCancelled) : std::nullopt);
    }
  } while (std::next_permutation(order.begin(), order.end()));
}

}  // namespace
}  // namespace beaconsill::state_store
