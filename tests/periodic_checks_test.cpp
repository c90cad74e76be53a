// Tests the periodic checks of a shard: lease expiry, spot reclaim and orphaned tasks.
#include "shard/periodic_checks.h"

#include <gtest/gtest.h>

#include "shard_test_data.h"

namespace beaconsill::shard {
namespace {

using fixture::at;
using fixture::params;
using protocol::TaskState;

const JobId kJob("run-1");
const TaskKey kTask{{kJob, 0}, Attempt(1)};

// A shard with one machine, whose last contact was at 0 s and which has run one task since then.
struct PeriodicChecksTest : testing::Test {
  PeriodicChecksTest() { reset(); }

  void reset() {
    state = ShardState(ShardId(0), Term(5), params(), at(0));
    machine = &state.machines[MachineName("m1")];
    machine->name = MachineName("m1");
    machine->confirmed = true;
    machine->incarnation = Incarnation(3);
    machine->last_contact = at(0);
    task = &state.locations.put(*machine, kTask).task;
    task->state = TaskState::kRunning;
    task->since = at(0);
    task->running_since = at(0);
    protocol::JobSpec spec;
    spec.estimate_s = 20;
    task->spec = std::make_shared<const protocol::JobSpec>(spec);
  }
  void grant(std::uint32_t first, std::uint32_t last, std::optional<state_store::TerminalState> end) {
    state_store::Job job;
    job.record = {task->spec, WallMs(0)};
    job.grants.value.chunks = {
        {Generation(1), ShardId(0), Term(5), Ranges::span(first, last), std::nullopt, false, {}, {}}};
    state.jobs.apply(kJob, job, end, true, at(0));
  }

  ShardState state{ShardId(0), Term(5), params(), at(0)};
  Machine* machine = nullptr;
  MachineTask* task = nullptr;
};

// A lease expires after its 10 s, plus 0.2% for clock drift and 0.5 s for the resolution of timers.
TEST_F(PeriodicChecksTest, ALeaseExpiresAfterAMarginAndALaterReadOfTheStateStore) {
  struct Case {
    const char* what;
    double now, up_to_date_at;
    bool confirmed, superseded;
    bool expired;
  };
  const Case cases[] = {
      {"within the margin", 10.52, 10.52, true, false, false},
      {"beyond the margin", 10.53, 10.53, true, false, true},
      {"a successor may exist", 60, 10.52, true, false, false},
      {"the worker may still obey an earlier leader", 60, 60, false, false, false},
      {"a successor exists", 60, 60, true, true, false},
  };
  for (const auto& entry : cases) {
    reset();
    machine->confirmed = entry.confirmed;
    if (entry.superseded) state.supersede();
    expire_leases(state, at(entry.up_to_date_at), at(entry.now));
    EXPECT_EQ(machine->tasks.empty(), entry.expired) << entry.what;
    EXPECT_EQ(machine->incarnation, Incarnation(entry.expired ? 4 : 3)) << entry.what;
  }
}

TEST_F(PeriodicChecksTest, TasksThatCannotCompleteBeforeTheirMachineIsReclaimedAreStopped) {
  struct Case {
    const char* what;
    std::optional<double> reclaim_at;
    bool stopped;
  };
  const Case cases[] = {
      {"no reclaim notice", std::nullopt, false},
      {"the task completes after the reclaim", 19, true},
      {"the task completes before the reclaim", 21, false},
  };
  for (const auto& entry : cases) {
    reset();
    if (entry.reclaim_at) machine->reclaim_at = at(*entry.reclaim_at);
    stop_tasks_before_reclaim(state, at(5));
    EXPECT_EQ(task->stop_grace.has_value(), entry.stopped) << entry.what;
  }
}

TEST_F(PeriodicChecksTest, TasksThatAreNotGrantedToThisShardAreStopped) {
  struct Case {
    const char* what;
    bool granted;
    std::optional<state_store::TerminalState> end;
    double up_to_date_at;
    bool stopped;
  };
  const Case cases[] = {
      {"granted", true, std::nullopt, 60, false},
      {"the grant may not have been read yet", false, std::nullopt, 1.9, false},
      {"not granted", false, std::nullopt, 2, true},
      {"the job is cancelled", true, state_store::TerminalState::kCancelled, 0, true},
  };
  for (const auto& entry : cases) {
    reset();
    if (entry.granted) grant(0, 1, entry.end);
    stop_orphaned_tasks(state, at(entry.up_to_date_at));
    EXPECT_EQ(task->stop_grace.has_value(), entry.stopped) << entry.what;
    // The machine is visited again in the next pass as long as it has orphans.
    EXPECT_EQ(machine->may_have_orphans, !entry.granted || entry.end) << entry.what;
  }
}

TEST_F(PeriodicChecksTest, AnEndedOrphanBecomesDisposable) {
  task->state = TaskState::kEnded;
  stop_orphaned_tasks(state, at(2));
  EXPECT_TRUE(task->is_disposable);
  EXPECT_FALSE(task->stop_grace);
}

}  // namespace
}  // namespace beaconsill::shard
