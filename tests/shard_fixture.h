// What the tests of ShardManager share: workers whose heartbeats a test composes, and a fake of what the
// state store records about jobs. Times are seconds from an arbitrary start.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <initializer_list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shard/partitioning.h"
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
                                                     Priority p = Priority::kNormal) {
  protocol::JobSpec s;
  s.id = JobId(id);
  s.team = Team("blue");
  s.tasks = tasks;
  s.each = {1, 0, 1};
  s.image = ImageName("img");
  s.image_gb = 1;
  s.priority = p;
  s.estimate_s = 20;
  return std::make_shared<const protocol::JobSpec>(s);
}

// A shard with workers whose heartbeats the test composes, and a fake of the jobs' records.
struct ShardFixture {
  explicit ShardFixture(std::uint64_t term = 5) : shard(ShardId(0), Term(term), params(), at(0)) {
    shard.set_catalogue(catalogue());
  }

  protocol::WorkerHeartbeat& worker(const char* name) {
    auto& w = workers[name];
    if (w.machine.value().empty()) w = fixture::new_worker(name, Zone("a"));
    return w;
  }
  // Adds the workers, registers all and has these send a heartbeat, all at 0 s.
  void add_ready_workers(std::initializer_list<const char*> names) {
    for (const auto* name : names) worker(name);
    register_all(0);
    for (const auto* name : names) heartbeat(name, 0);
  }
  // The worker sends a heartbeat; it has seen the shard's token unless `obeys` is false.
  bool heartbeat(const char* name, double t, bool obeys = true) {
    auto& w = worker(name);
    if (obeys) w.token = std::max(w.token, FencingToken::first_of(shard.term()));
    w.sequence = Sequence(w.sequence.value() + 1);
    bool applied = shard.on_worker_heartbeat(w, at(t)) == HeartbeatResult::kApplied;
    if (applied) shard.heartbeat_response(w.machine, at(t));
    return applied;
  }
  void register_all(double t) {
    std::vector<state_store::MachineRecord> all;
    for (auto& [n, w] : workers) all.push_back({w.machine, w.type, w.zone, w.spot});
    shard.on_registry(all, at(t));
  }
  void grant(const char* id, std::uint32_t tasks, std::uint64_t term, double t,
             Priority p = Priority::kNormal, bool preempt = false) {
    auto& j = jobs[id];
    if (!j.record.spec) {
      j.record = {spec(id, tasks, p), WallMs(0)};
      j.created = Revision(1);
    }
    j.grants.value.last = Generation(j.grants.value.last.value() + 1);
    j.grants.value.chunks = {
        {j.grants.value.last, ShardId(0), Term(term), Ranges::span(0, tasks), std::nullopt, preempt, {}}};
    j.grants.revision = Revision(++revision);
    publish(id, t);
  }
  void grant_gang(const char* id, std::uint32_t tasks, double t, bool revoke = false) {
    auto s = *spec(id, tasks);
    s.kind = JobKind::kGang;
    s.checkpoint_s = 5;
    s.save_s = 2;
    auto& j = jobs[id];
    j.record = {std::make_shared<const protocol::JobSpec>(s), WallMs(0)};
    j.created = Revision(1);
    if (!revoke) {
      auto n = j.grants.value.last.value() + 1;
      j.grants.value = {{{Generation(n), ShardId(0), Term(5), Ranges::span(0, tasks), {}, false, Attempt(n)}},
                        Generation(n)};
    }
    j.grants.value.revoke = revoke;
    j.grants.revision = Revision(++revision);
    publish(id, t);
  }
  void publish(const char* id, double t, std::optional<TerminalState> end = std::nullopt) {
    shard.on_job(JobId(id), &jobs[id], end, at(t));
  }
  // What the state store does with unwritten progress.
  void record(double t) {
    for (auto& [id, p] : shard.unwritten_progress()) {
      jobs[id.value()].progress[ShardId(0)] = {p, Revision(++revision)};
      shard.on_job(id, &jobs[id.value()], std::nullopt, at(t));
    }
  }
  // Executes the batches that can be sent at their workers, and passes the answers on.
  std::vector<protocol::Command> execute_commands(double t) {
    std::vector<protocol::Command> all;
    for (auto& b : shard.take_command_batches(at(t))) {
      auto& w = worker(b.machine.value().c_str());
      apply(w, b);
      shard.on_command_result(b, ShardManager::CommandResult::kExecuted, w, at(t));
      all.insert(all.end(), b.commands.begin(), b.commands.end());
    }
    return all;
  }
  void apply(protocol::WorkerHeartbeat& w, const ShardManager::Batch& b) {
    w.token = std::max(w.token, b.token);
    w.sequence = Sequence(w.sequence.value() + 1);
    for (auto& c : b.commands) {
      auto it = std::find_if(w.tasks.begin(), w.tasks.end(),
                             [&](auto& x) { return x.task == c.task && x.attempt == c.attempt; });
      if (c.op == protocol::Command::Op::kStart && it == w.tasks.end())
        w.tasks.push_back({c.task, c.attempt, TaskState::kRunning, EndCause::kDone, false});
      if (c.op == protocol::Command::Op::kStop && it != w.tasks.end()) {
        it->state = TaskState::kEnded;
        it->cause = EndCause::kStopped;
      }
      if (c.op == protocol::Command::Op::kForget && it != w.tasks.end()) w.tasks.erase(it);
    }
  }
  void tick(double t) { shard.tick(at(t), at(t), at(t)); }

  ShardManager shard;
  std::map<std::string, protocol::WorkerHeartbeat> workers;
  std::map<std::string, state_store::Job> jobs;
  std::uint64_t revision = 10;
};

}  // namespace beaconsill::shard
