// Shared by the tests of ShardManager: workers whose heartbeats a test composes, and a fake of the job
// records in the state store. Times are seconds from an arbitrary start.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <initializer_list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shard/shard_manager.h"
#include "shard_test_data.h"

namespace beaconsill::shard {

using fixture::at;
using fixture::params;
using protocol::EndCause;
using protocol::TaskState;
using state_store::TerminalState;

inline std::shared_ptr<const protocol::Catalogue> catalogue() {
  return fixture::catalogue({Zone("a"), Zone("b")});
}

inline std::shared_ptr<const protocol::JobSpec> spec(const char* id, std::uint32_t tasks,
                                                     Priority priority = Priority::kNormal) {
  protocol::JobSpec out;
  out.id = JobId(id);
  out.team = Team("blue");
  out.tasks = tasks;
  out.each = {1, 0, 1};
  out.image = ImageName("img");
  out.image_gb = 1;
  out.priority = priority;
  out.estimate_s = 20;
  return std::make_shared<const protocol::JobSpec>(out);
}

// A shard with workers whose heartbeats the test composes, and a fake of the job records in the state store.
struct ShardFixture {
  explicit ShardFixture(std::uint64_t term = 5) : shard(ShardId(0), Term(term), params(), at(0)) {
    shard.set_catalogue(catalogue());
  }

  protocol::WorkerHeartbeat& worker(const char* name) {
    auto& found = workers[name];
    if (found.machine.value().empty()) found = fixture::new_worker(name, Zone("a"));
    return found;
  }
  // Adds the workers, registers all workers and sends a heartbeat of each of the added ones, all at 0 s.
  void add_ready_workers(std::initializer_list<const char*> names) {
    for (const auto* name : names) worker(name);
    register_all(0);
    for (const auto* name : names) heartbeat(name, 0);
  }
  // Delivers the worker's next heartbeat, with a token of the shard's term unless `has_seen_term` is false.
  // Returns whether the shard applied it.
  bool heartbeat(const char* name, double time_s, bool has_seen_term = true) {
    auto& sender = worker(name);
    if (has_seen_term) sender.token = std::max(sender.token, FencingToken::first_of(shard.term()));
    sender.sequence = Sequence(sender.sequence.value() + 1);
    bool applied = shard.on_worker_heartbeat(sender, at(time_s)) == HeartbeatResult::kApplied;
    if (applied) shard.heartbeat_response(sender.machine, at(time_s));
    return applied;
  }
  void register_all(double time_s) {
    std::vector<state_store::MachineRecord> records;
    for (auto& [name, sender] : workers)
      records.push_back({sender.machine, sender.type, sender.zone, sender.spot});
    shard.on_registry_read(records, at(time_s));
  }
  void grant(const char* id, std::uint32_t tasks, std::uint64_t term, double time_s,
             Priority priority = Priority::kNormal, bool preempt = false) {
    auto& job = jobs[id];
    if (!job.record.spec) {
      job.record = {spec(id, tasks, priority), WallMs(0)};
      job.created = Revision(1);
    }
    job.grants.value.last = Generation(job.grants.value.last.value() + 1);
    job.grants.value.chunks = {
        {job.grants.value.last, ShardId(0), Term(term), Ranges::span(0, tasks), std::nullopt, preempt, {}}};
    job.grants.revision = Revision(++revision);
    publish(id, time_s);
  }
  void grant_gang(const char* id, std::uint32_t tasks, double time_s, bool revoke = false) {
    auto gang_spec = *spec(id, tasks);
    gang_spec.kind = JobKind::kGang;
    gang_spec.checkpoint_s = 5;
    gang_spec.save_s = 2;
    auto& job = jobs[id];
    job.record = {std::make_shared<const protocol::JobSpec>(gang_spec), WallMs(0)};
    job.created = Revision(1);
    if (!revoke) {
      auto generation = job.grants.value.last.value() + 1;
      job.grants.value = {{{Generation(generation),
                            ShardId(0),
                            Term(5),
                            Ranges::span(0, tasks),
                            {},
                            false,
                            Attempt(generation)}},
                          Generation(generation)};
    }
    job.grants.value.revoke = revoke;
    job.grants.revision = Revision(++revision);
    publish(id, time_s);
  }
  void publish(const char* id, double time_s, std::optional<TerminalState> end = std::nullopt) {
    shard.on_job(JobId(id), &jobs[id], end, at(time_s));
  }
  // Writes the unwritten progress to the fake records, and passes these to the shard.
  void record(double time_s) {
    for (auto& [id, progress] : shard.unwritten_progress()) {
      jobs[id.value()].progress[ShardId(0)] = {progress, Revision(++revision)};
      shard.on_job(id, &jobs[id.value()], std::nullopt, at(time_s));
    }
  }
  // Has the workers execute all batches that can be sent, delivers the answers and returns the commands.
  std::vector<protocol::Command> execute_commands(double time_s) {
    std::vector<protocol::Command> all;
    for (auto& batch : shard.take_command_batches(at(time_s))) {
      auto& receiver = worker(batch.machine.value().c_str());
      apply(receiver, batch);
      shard.on_command_result(batch, ShardManager::CommandResult::kExecuted, receiver, at(time_s));
      all.insert(all.end(), batch.commands.begin(), batch.commands.end());
    }
    return all;
  }
  // Changes the worker's next heartbeat to what it would be after executing the batch.
  void apply(protocol::WorkerHeartbeat& receiver, const ShardManager::Batch& batch) {
    receiver.token = std::max(receiver.token, batch.token);
    receiver.sequence = Sequence(receiver.sequence.value() + 1);
    for (auto& command : batch.commands) {
      auto task = std::find_if(receiver.tasks.begin(), receiver.tasks.end(), [&](auto& listed) {
        return listed.task == command.task && listed.attempt == command.attempt;
      });
      if (command.op == protocol::Command::Op::kStart && task == receiver.tasks.end())
        receiver.tasks.push_back(
            {command.task, command.attempt, TaskState::kRunning, EndCause::kDone, false});
      if (command.op == protocol::Command::Op::kStop && task != receiver.tasks.end()) {
        task->state = TaskState::kEnded;
        task->cause = EndCause::kStopped;
      }
      if (command.op == protocol::Command::Op::kForget && task != receiver.tasks.end())
        receiver.tasks.erase(task);
    }
  }
  void tick(double time_s) { shard.tick(at(time_s), at(time_s), at(time_s)); }

  ShardManager shard;
  std::map<std::string, protocol::WorkerHeartbeat> workers;
  std::map<std::string, state_store::Job> jobs;
  std::uint64_t revision = 10;
};

}  // namespace beaconsill::shard
