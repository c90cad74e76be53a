// Fixture for tests of single components: a shard's state in which the test sets up machines, grants and
// tasks.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

#include "shard/shard_state.h"
#include "shard_test_data.h"

namespace beaconsill::shard {

using fixture::at;

// A reconciled shard under term 5. The current time is 100 s. Machines have four CPUs, each task takes one.
struct ShardStateFixture : testing::Test {
  static constexpr double kNowSeconds = 100;
  static constexpr Term kTerm{5};

  // Returns to the initial state, for the next case of a table.
  void reset() {
    state = ShardState(ShardId(0), kTerm, fixture::params(), at(0));
    state.reconciled = true;
  }
  // Adds a machine that is usable, so that tasks can be placed on it.
  Machine& add_machine(const std::string& name, const std::string& zone = "a") {
    auto& machine = state.machines[MachineName(name)];
    machine.name = MachineName(name);
    machine.zone = Zone(zone);
    machine.type = MachineType("t4");
    machine.address = "127.0.0.1:1";
    machine.total = {4, 0, 16};
    machine.images.set_capacity(20);
    machine.confirmed = machine.registered = machine.type_known = true;
    machine.incarnation = Incarnation(1);
    machine.sequence = Sequence(1);
    machine.token = FencingToken::first_of(kTerm);
    machine.first_seen = machine.last_contact = machine.last_unsolicited_heartbeat = at(kNowSeconds);
    return machine;
  }
  static protocol::JobSpec job_spec(const std::string& id, std::uint32_t tasks,
                                    JobKind kind = JobKind::kArray) {
    auto spec = fixture::job_spec(JobId(id), tasks);
    spec.kind = kind;
    return spec;
  }
  // Grants all tasks of the job to this shard.
  ShardJob& grant(const protocol::JobSpec& spec, std::optional<Zone> zone = std::nullopt,
                  bool preempt = false) {
    state_store::Job job;
    fixture::record_job(job, spec);
    job.grants.value.chunks = {{Generation(1), ShardId(0), kTerm, Ranges::span(0, spec.tasks),
                                std::move(zone), preempt, Attempt(1), std::nullopt}};
    return *state.jobs.apply(spec.id, job, std::nullopt, true, at(kNowSeconds));
  }
  GrantedTask& granted_task(const std::string& job, std::uint32_t index = 0) {
    return *state.jobs.find_task({JobId(job), index});
  }
  // Places the granted task. Its start command is not sent yet.
  MachineTask& place(Machine& machine, const std::string& job, std::uint32_t index = 0) {
    auto& granted = granted_task(job, index);
    TaskId id{JobId(job), index};
    state.place(machine, id, state.jobs.at(id.job), granted, at(kNowSeconds));
    return machine.tasks.at({id, granted.attempt});
  }
  // Places the granted task and marks it as running.
  MachineTask& run(Machine& machine, const std::string& job, std::uint32_t index = 0) {
    auto& task = place(machine, job, index);
    task.start = MachineTask::Start::kAcknowledged;
    task.state = protocol::TaskState::kRunning;
    task.running_since = at(kNowSeconds);
    machine.invalidate_load();
    return task;
  }

  ShardState state = [] {
    ShardState initial(ShardId(0), kTerm, fixture::params(), at(0));
    initial.reconciled = true;
    return initial;
  }();
};

}  // namespace beaconsill::shard
