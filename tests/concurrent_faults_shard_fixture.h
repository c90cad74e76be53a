// Fixture for tests of concurrent faults: a shard leader whose workers and messages the test controls one by
// one.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shard_test_data.h"

namespace beaconsill::shard {

using fixture::at;
using protocol::Command;
using protocol::EndCause;
using protocol::TaskState;
using state_store::TerminalState;
using CommandResult = ShardManager::CommandResult;

constexpr std::uint64_t kTerm = 5;
inline const JobId kJob("run-1");

// A shard with machines `a` and `b` in zone "east" and `c` in zone "west". The test composes the heartbeats.
struct ShardLeader {
  using Names = std::vector<const char*>;
  // `registered`: the registered machines, or std::nullopt if the registry hasn't been read yet.
  explicit ShardLeader(const std::optional<Names>& registered = Names{"a", "b", "c"})
      : shard(ShardId(0), Term(kTerm), fixture::params(), at(0)) {
    shard.set_catalogue(fixture::catalogue({Zone("east"), Zone("west")}));
    for (const char* name : {"a", "b", "c"}) {
      auto& sender = workers[name];
      sender = fixture::new_worker(name, Zone(name[0] == 'c' ? "west" : "east"));
      sender.sequence = Sequence(100);
      sender.token = FencingToken::first_of(Term(kTerm - 1));
    }
    if (registered) read_registry(*registered);
  }

  void read_registry(const std::vector<const char*>& names, double time_s = 0) {
    std::vector<state_store::MachineRecord> all;
    for (const char* name : names) all.push_back(fixture::machine_record(workers.at(name)));
    shard.on_registry_read(all, at(time_s));
  }
  static protocol::TaskStatus task(std::uint32_t index, std::uint64_t attempt,
                                   TaskState state = TaskState::kRunning) {
    return {{kJob, index}, Attempt(attempt), state, EndCause::kDone, false};
  }
  // Delivers a late copy of a heartbeat that was sent before this leader's term. Returns whether it was
  // applied.
  bool deliver_late_copy(const char* name, std::vector<protocol::TaskStatus> tasks, double time_s,
                         std::uint64_t incarnation = 1) {
    auto sender = workers.at(name);
    sender.incarnation = Incarnation(incarnation);
    sender.sequence = Sequence(7);
    sender.tasks = std::move(tasks);
    return shard.on_worker_heartbeat(sender, at(time_s)) == HeartbeatResult::kApplied;
  }
  // Delivers a heartbeat of the worker, which has seen this leader's term. Returns whether it was applied.
  bool heartbeat(const char* name, double time_s) {
    auto& sender = workers.at(name);
    sender.token = std::max(sender.token, FencingToken::first_of(shard.term()));
    sender.sequence = Sequence(sender.sequence.value() + 1);
    bool applied = shard.on_worker_heartbeat(sender, at(time_s)) == HeartbeatResult::kApplied;
    if (applied) shard.heartbeat_response(sender.machine, at(time_s));
    return applied;
  }
  void grant(std::uint32_t tasks, std::uint64_t term, double time_s, std::optional<Zone> zone = std::nullopt,
             std::optional<Zone> job_zone = std::nullopt) {
    auto spec = fixture::job_spec(kJob, tasks);
    spec.estimate_s = 20;
    spec.zone = job_zone;
    fixture::record_job(job, spec);
    auto generation = Generation(job.grants.value.last.value() + 1);
    job.grants.value = {{{generation, ShardId(0), Term(term), Ranges::span(0, tasks), zone, false, {}}},
                        generation};
    job.grants.revision = Revision(++revision);
    shard.on_job(kJob, &job, std::nullopt, at(time_s));
  }
  void cancel(double time_s) { shard.on_job(kJob, &job, TerminalState::kCancelled, at(time_s)); }
  void tick(double time_s) { shard.tick(at(time_s), at(time_s), at(time_s)); }
  std::vector<ShardManager::Batch> batches(double time_s) { return shard.take_command_batches(at(time_s)); }
  // Returns the commands of one kind in these batches, each as "MACHINE TASK_INDEX".
  static std::vector<std::string> commands(const std::vector<ShardManager::Batch>& batches, Command::Op op) {
    std::vector<std::string> out;
    for (const auto& batch : batches)
      for (const auto& command : batch.commands)
        if (command.op == op) out.push_back(batch.machine.value() + " " + std::to_string(command.task.index));
    return out;
  }
  // Has the worker execute a batch. Its answer is returned, not delivered.
  protocol::WorkerHeartbeat execute(const ShardManager::Batch& batch) {
    auto& worker = workers.at(batch.machine.value());
    worker.token = std::max(worker.token, batch.token);
    worker.sequence = Sequence(worker.sequence.value() + 1);
    for (const auto& command : batch.commands) {
      auto found = std::find_if(worker.tasks.begin(), worker.tasks.end(), [&](auto& listed) {
        return listed.task == command.task && listed.attempt == command.attempt;
      });
      if (command.op == Command::Op::kStart && found == worker.tasks.end())
        worker.tasks.push_back({command.task, command.attempt, TaskState::kRunning, EndCause::kDone, false});
      if (command.op == Command::Op::kStop && found != worker.tasks.end()) {
        found->state = TaskState::kEnded;
        found->cause = EndCause::kStopped;
      }
      if (command.op == Command::Op::kForget && found != worker.tasks.end()) worker.tasks.erase(found);
    }
    return worker;
  }
  // Has the workers execute all batches that can be sent, and delivers the answers.
  void execute_all(double time_s) {
    for (auto& batch : batches(time_s)) {
      auto answer = execute(batch);
      shard.on_command_result(batch, CommandResult::kExecuted, answer, at(time_s));
    }
  }
  // Delivers a heartbeat of every machine under this term, and executes the commands for all of them.
  void confirm_all(double time_s) {
    for (auto& [name, sender] : workers) heartbeat(name.c_str(), time_s);
    execute_all(time_s);
    tick(time_s);
    execute_all(time_s);
  }

  std::map<std::string, protocol::WorkerHeartbeat> workers;
  ShardManager shard;
  state_store::Job job;
  std::uint64_t revision = 10;
};

}  // namespace beaconsill::shard
