// Tests that a late copy of a start command, which was executed and answered before, never starts a task once
// more, whatever has happened to the task, its machine and the shard's leader in between.
#include "late_copies_fixture.h"

namespace beaconsill::shard {
namespace {

TEST_F(LateCopies, AfterTheTaskEndedAndWasRemovedFromTheReports) {
  auto& worker = start_task();
  worker.end_tasks(EndCause::kDone);
  advance(5);
  EXPECT_TRUE(worker.state.tasks.empty());
  EXPECT_EQ(started_by_copies, 0u);
}

TEST_F(LateCopies, AfterTheTaskWasStoppedAndMoved) {
  auto& first = start_task();
  first.state.termination_notice_s = 5;
  advance(3);
  EXPECT_EQ(first.live_tasks(), 0u);
  EXPECT_EQ(running(), 1u);
  first.state.termination_notice_s.reset();
  advance(5);
  EXPECT_EQ(started_by_copies, 0u);
}

TEST_F(LateCopies, AfterTheTaskFailedAndMoved) {
  auto& first = start_task();
  first.end_tasks(EndCause::kError);
  first.state.termination_notice_s = 60;  // gets no tasks
  advance(5);
  EXPECT_EQ(other(first).live_tasks(), 1u);
  EXPECT_EQ(started_by_copies, 0u);
}

TEST_F(LateCopies, AfterTheJobWasCancelled) {
  auto& worker = start_task();
  cancel();
  advance(5);
  EXPECT_TRUE(worker.state.tasks.empty());
  EXPECT_EQ(started_by_copies, 0u);
}

TEST_F(LateCopies, AfterAGangsTaskWasStoppedAndMovedUnderTheSameAttempt) {
  auto& first = start_task(JobKind::kGang);
  first.end_tasks(EndCause::kAlone);
  first.state.termination_notice_s = 60;
  advance(5);
  EXPECT_EQ(started_by_copies, 0u);
}

// The machine hangs or is cut off, its lease expires, and it comes back under the next incarnation.
TEST_F(LateCopies, AfterTheLeaseExpiredAndTheTaskMoved) {
  auto& first = start_task();
  first.reachable = false;
  advance(fixture::kLeaseSeconds + 2);
  EXPECT_EQ(other(first).live_tasks(), 1u);
  first.reachable = true;
  advance(5);
  EXPECT_EQ(started_by_copies, 0u);
}

// A controller that is back within a second acquires its role again under a later term.
TEST_F(LateCopies, AfterTheShardLeaderRestartedUnderTheSameRole) {
  auto& worker = start_task();
  for (std::uint64_t term = kFirstTerm + 1; term < kFirstTerm + 4; ++term) {
    lead(term);
    advance(0.5);
  }
  EXPECT_EQ(worker.live_tasks(), 1u);
  worker.end_tasks(EndCause::kDone);
  advance(5);
  EXPECT_EQ(running(), 0u);
  EXPECT_EQ(started_by_copies, 0u);
}

TEST_F(LateCopies, AfterAFailoverInTheMiddleOfAMove) {
  auto& first = start_task();
  first.state.termination_notice_s = 5;
  advance(0.3);
  lead(kFirstTerm + 1);
  first.state.termination_notice_s = 60;
  advance(5);
  EXPECT_EQ(started_by_copies, 0u);
}

TEST_F(LateCopies, AfterAFailoverAndACancellation) {
  auto& worker = start_task();
  lead(kFirstTerm + 1);
  cancel();
  advance(5);
  EXPECT_TRUE(worker.state.tasks.empty());
  EXPECT_EQ(started_by_copies, 0u);
}

// ---- A machine that is back under its own name within a second. Its incarnation, sequence and token are
// reset, so it accepts any earlier command until it has heard from the shard's leader. Copies arrive after
// that.

struct RestartedMachine : LateCopies {
  // Restarts the worker, and holds all copies until it has had an answer to a heartbeat and `hold_s` seconds
  // have passed.
  void restart(ModelWorker& worker, double hold_s = kStepSeconds) {
    copies_held = true;
    worker.restart(now);
    advance(hold_s);
    copies_held = false;
  }
};

// The worker's first heartbeats after the restart have lower numbers than those before it. A copy may start
// the task on the machine that it is still assigned to, which does no harm.
TEST_F(RestartedMachine, ItsTaskRunsAgainSoon) {
  auto& first = start_task();
  advance(60);
  restart(first);
  advance(4);
  EXPECT_EQ(running(), 1u);
}

// All machines of a zone restart: the shard's leader must not take that for a partition.
TEST_F(RestartedMachine, AllMachinesOfAZoneAreUsableAgainSoon) {
  for (const char* name : {"c", "d", "e", "f"}) workers[name].state = fixture::new_worker(name, Zone("east"));
  lead(kFirstTerm + 1);
  advance(2);
  start_task();
  advance(60);
  copies_held = true;
  for (auto& [name, worker] : workers) worker.restart(now);
  advance(6);
  for (const auto& [name, machine] : shard->machines()) EXPECT_TRUE(machine.usable(at(now))) << name.value();
  EXPECT_EQ(running(), 1u);
}

// The worker has sent few heartbeats before the restart, so those after it soon have higher numbers.
TEST_F(RestartedMachine, AfterTheTaskMovedAway) {
  auto& first = start_task();
  first.restart(now);
  first.state.sequence = Sequence(1000);
  first.state.termination_notice_s = 60;  // gets no tasks
  copies_held = true;
  advance(3);
  copies_held = false;
  advance(5);
  EXPECT_EQ(other(first).live_tasks(), 1u);
  EXPECT_EQ(started_by_copies, 0u);
}

TEST_F(RestartedMachine, AfterItsLeaseExpiredAndTheTaskMoved) {
  auto& first = start_task();
  first.reachable = false;
  advance(fixture::kLeaseSeconds + 2);
  EXPECT_EQ(other(first).live_tasks(), 1u);
  first.reachable = true;
  restart(first);
  advance(5);
  EXPECT_EQ(started_by_copies, 0u);
}

TEST_F(RestartedMachine, AfterTheJobWasCancelled) {
  auto& worker = start_task();
  cancel();
  advance(2);
  restart(worker);
  advance(5);
  EXPECT_EQ(running(), 0u);
  EXPECT_EQ(started_by_copies, 0u);
}

TEST_F(RestartedMachine, AfterAFailover) {
  auto& worker = start_task();
  worker.end_tasks(EndCause::kDone);
  advance(2);
  lead(kFirstTerm + 1);
  restart(worker);
  advance(5);
  EXPECT_EQ(running(), 0u);
  EXPECT_EQ(started_by_copies, 0u);
}

// A copy that reaches the worker before anything else does is executed. Nothing the shard's leader has sent
// can prevent that, but the task is stopped as soon as the restart is noticed.
TEST_F(RestartedMachine, StopsWhatACopyStartedBeforeItsFirstContact) {
  auto& worker = start_task();
  advance(30);
  cancel();
  advance(3);
  EXPECT_EQ(running(), 0u);
  worker.restart(now);
  worker.execute(worker.executed.front());
  EXPECT_EQ(worker.live_tasks(), 1u);
  advance(4);
  EXPECT_EQ(running(), 0u);
}

// The machine's record is dropped because the cloud confirmed its deletion. A machine that appears under its
// name afterwards gets nothing in this term, and is a new machine in the next.
TEST_F(RestartedMachine, AfterItsRecordWasDroppedAndRecreated) {
  auto& first = start_task();
  copies_held = true;
  first.restart(now);
  shard->on_machine_terminated(first.state.machine, at(now));
  advance(3);
  EXPECT_EQ(other(first).live_tasks(), 1u);
  lead(kFirstTerm + 1);
  advance(0.5);
  copies_held = false;
  advance(5);
  EXPECT_EQ(running(), 1u);
  EXPECT_EQ(started_by_copies, 0u);
}

}  // namespace
}  // namespace beaconsill::shard
