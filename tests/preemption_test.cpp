// Tests which tasks are preempted for a task of higher priority, and the reservation of the freed capacity.
#include "shard/preemption.h"

#include <gtest/gtest.h>

#include "shard_test_data.h"

namespace beaconsill::shard {
namespace {

using fixture::at;
using fixture::params;
using protocol::TaskState;

const JobId kUrgentJob("run-urgent");

std::shared_ptr<const protocol::JobSpec> spec(const JobId& id, Priority priority, JobKind kind) {
  protocol::JobSpec out;
  out.id = id;
  out.each = {1, 0, 1};
  out.image = ImageName("img");
  out.priority = priority;
  out.kind = kind;
  return std::make_shared<const protocol::JobSpec>(out);
}

// A shard whose machines have two CPUs each, with one granted task of high priority. The time is 100 s.
struct PreemptionTest : testing::Test {
  PreemptionTest() { grant(kUrgentJob); }

  void grant(const JobId& id) {
    state_store::Job job;
    job.record = {spec(id, Priority::kHigh, JobKind::kArray), WallMs(0)};
    job.grants.value.chunks = {
        {Generation(1), ShardId(0), Term(5), Ranges::span(0, 1), std::nullopt, true, {}, {}}};
    state.jobs.apply(id, job, std::nullopt, true, at(100));
  }
  void add_machine(const char* name) {
    auto& machine = state.machines[MachineName(name)];
    machine.name = MachineName(name);
    machine.zone = Zone("a");
    machine.total = {2, 0, 8};
    machine.confirmed = machine.registered = machine.type_known = true;
    machine.last_contact = machine.last_unsolicited_heartbeat = at(100);
  }
  MachineTask& run(const char* machine, const char* job, double since, Priority priority = Priority::kNormal,
                   JobKind kind = JobKind::kArray) {
    auto& host = state.machines.at(MachineName(machine));
    auto& task = state.locations.put(host, {{JobId(job), 0}, Attempt(1)}).task;
    task.state = TaskState::kRunning;
    task.spec = spec(JobId(job), priority, kind);
    task.running_since = at(since);
    host.invalidate_load();
    return task;
  }
  GrantedTask& task_of(const JobId& id) { return state.jobs.at(id).granted_tasks.at(0); }
  bool free_capacity_for(Preemption& preemption, const JobId& id) {
    return preemption.free_capacity_for(state.jobs.at(id), task_of(id), ImagePolicy::kMayFetch);
  }

  ShardState state{ShardId(0), Term(5), params(), at(0)};
};

TEST_F(PreemptionTest, TheTaskThatLosesTheLeastWorkIsStopped) {
  add_machine("m1");
  add_machine("m2");
  const auto& longest = run("m1", "run-1", 10);
  const auto& second_longest = run("m1", "run-2", 50);
  const auto& shortest = run("m2", "run-3", 90);
  const auto& second_shortest = run("m2", "run-4", 80);
  Preemption preemption(state, at(100));
  EXPECT_TRUE(free_capacity_for(preemption, kUrgentJob));
  EXPECT_TRUE(shortest.stop_grace);
  EXPECT_FALSE(longest.stop_grace || second_longest.stop_grace || second_shortest.stop_grace);
  EXPECT_EQ(task_of(kUrgentJob).preemption_target, MachineName("m2"));
  EXPECT_FALSE(task_of(kUrgentJob).preempt);
  EXPECT_TRUE(awaits_preemption(task_of(kUrgentJob), params().heartbeat_period, at(100.9)));
  EXPECT_FALSE(awaits_preemption(task_of(kUrgentJob), params().heartbeat_period, at(101)));
}

TEST_F(PreemptionTest, OnlyTasksOfLowerPriorityOutsideGangsAreStopped) {
  struct Case {
    const char* what;
    Priority priority;
    JobKind kind;
    bool preempted;
  };
  const Case cases[] = {
      {"lower priority", Priority::kNormal, JobKind::kArray, true},
      {"the same priority", Priority::kHigh, JobKind::kArray, false},
      {"higher priority", Priority::kProduction, JobKind::kArray, false},
      {"a gang, which losing a task would stop as a whole", Priority::kNormal, JobKind::kGang, false},
  };
  for (const auto& entry : cases) {
    state = ShardState(ShardId(0), Term(5), params(), at(0));
    grant(kUrgentJob);
    add_machine("m1");
    const auto& first = run("m1", "run-1", 10, entry.priority, entry.kind);
    const auto& second = run("m1", "run-2", 10, entry.priority, entry.kind);
    Preemption preemption(state, at(100));
    EXPECT_EQ(free_capacity_for(preemption, kUrgentJob), entry.preempted) << entry.what;
    EXPECT_EQ(first.stop_grace || second.stop_grace, entry.preempted) << entry.what;
  }
}

TEST_F(PreemptionTest, CapacityFreedForOneTaskIsNotCountedForAnother) {
  const JobId second_job("run-urgent-2");
  grant(second_job);
  add_machine("m1");
  const auto& first = run("m1", "run-1", 10);
  const auto& second = run("m1", "run-2", 20);
  Preemption preemption(state, at(100));
  EXPECT_TRUE(free_capacity_for(preemption, kUrgentJob));
  EXPECT_TRUE(second.stop_grace);
  EXPECT_FALSE(first.stop_grace);
  EXPECT_TRUE(free_capacity_for(preemption, second_job));
  EXPECT_TRUE(first.stop_grace);
  // A later pass computes the same reservations from the preemption targets of the waiting tasks.
  grant(JobId("run-urgent-3"));
  Preemption later(state, at(100.5));
  EXPECT_FALSE(free_capacity_for(later, JobId("run-urgent-3")));
}

}  // namespace
}  // namespace beaconsill::shard
