// Fixture for tests of late copies of commands: a shard leader, and workers that follow the protocol. Each
// batch of commands that a worker has executed and answered can reach it again at any later time.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "shard_test_data.h"

namespace beaconsill::shard {

using fixture::at;
using protocol::Command;
using protocol::EndCause;
using protocol::TaskState;
using state_store::TerminalState;

// A worker as the protocol describes it, without image fetches.
struct ModelWorker {
  protocol::WorkerHeartbeat state;
  bool reachable = true;
  double lease_renewed_s = 0;  // when the last answered heartbeat was sent
  double next_heartbeat_s = 0;
  std::vector<CommandBatch> executed;  // batches that contained commands

  protocol::WorkerHeartbeat report() {
    state.sequence = Sequence(state.sequence.value() + 1);
    return state;
  }
  // Returns whether the commands were executed, as opposed to rejected.
  bool execute(const CommandBatch& batch) {
    if (batch.token < state.token || batch.incarnation != state.incarnation) return false;
    state.token = batch.token;
    for (const auto& command : batch.commands) apply(command);
    return true;
  }
  void on_response(const HeartbeatResponse& response, double sent_s) {
    if (response.token < state.token) return;
    state.token = response.token;
    lease_renewed_s = std::max(lease_renewed_s, sent_s);
    for (const auto& command : response.commands) apply(command);
  }
  void expire_lease(double now_s) {
    state.tasks.clear();
    state.incarnation = Incarnation(state.incarnation.value() + 1);
    lease_renewed_s = now_s;
  }
  // The machine is gone with all its tasks and is back at once, with nothing that it knew before.
  void restart(double now_s) {
    state.tasks.clear();
    state.incarnation = Incarnation(1);
    state.sequence = Sequence();
    state.token = FencingToken();
    lease_renewed_s = next_heartbeat_s = now_s;
  }
  std::size_t live_tasks() const {
    return static_cast<std::size_t>(
        std::count_if(state.tasks.begin(), state.tasks.end(),
                      [](const auto& task) { return task.state != TaskState::kEnded; }));
  }
  void end_tasks(EndCause cause) {
    for (auto& task : state.tasks) end(task, cause);
  }

 private:
  static void end(protocol::TaskStatus& task, EndCause cause) {
    if (task.state == TaskState::kEnded) return;
    task.state = TaskState::kEnded;
    task.cause = cause;
  }
  void apply(const Command& command) {
    auto task = std::find_if(state.tasks.begin(), state.tasks.end(), [&](const auto& listed) {
      return listed.task == command.task && listed.attempt == command.attempt;
    });
    const bool known = task != state.tasks.end();
    if (command.op == Command::Op::kStart && !known)
      state.tasks.push_back({command.task, command.attempt, TaskState::kRunning, EndCause::kDone, false});
    if (command.op == Command::Op::kStop && known) end(*task, EndCause::kStopped);
    if (command.op == Command::Op::kForget && known && task->state == TaskState::kEnded)
      state.tasks.erase(task);
  }
};

// The machines `a` and `b` in one zone, and one job with a single task. Time advances in steps; after each of
// them, copies of all batches that the workers have executed arrive once more.
struct LateCopies : testing::Test {
  static constexpr double kStepSeconds = 0.1;
  static constexpr std::uint64_t kFirstTerm = 5;
  inline static const JobId kJob{"run-1"};

  LateCopies() {
    for (const char* name : {"a", "b"}) workers[name].state = fixture::new_worker(name, Zone("east"));
    lead(kFirstTerm);
    advance(2);
  }

  // Begins a new term of the shard, whose leader knows only what the state store has.
  void lead(std::uint64_t term) {
    shard = std::make_unique<ShardManager>(ShardId(0), Term(term), fixture::params(), at(now));
    shard->set_catalogue(fixture::catalogue({Zone("east")}));
    std::vector<state_store::MachineRecord> records;
    for (auto& [name, worker] : workers) records.push_back(fixture::machine_record(worker.state));
    shard->on_registry_read(records, at(now));
    if (job.record.spec) publish();
  }
  void publish() { shard->on_job(kJob, &job, terminal_state, at(now)); }
  // Grants the job's task to the shard and waits until it runs. Returns its worker.
  ModelWorker& start_task(JobKind kind = JobKind::kArray) {
    auto spec = fixture::job_spec(kJob, 1);
    spec.kind = kind;
    spec.estimate_s = 20;
    fixture::record_job(job, spec);
    const Generation generation(job.grants.value.last.value() + 1);
    const Attempt attempt(kind == JobKind::kGang ? generation.value() : 0);
    job.grants.value = {{{generation, ShardId(0), shard->term(), Ranges::span(0, 1), {}, false, attempt}},
                        generation};
    job.grants.revision = Revision(++revision);
    publish();
    advance(1);
    EXPECT_EQ(running(), 1u);
    return running_on();
  }
  void cancel() {
    terminal_state = TerminalState::kCancelled;
    publish();
  }

  void advance(double seconds) {
    for (const double until = now + seconds; now < until - kStepSeconds / 2;) {
      now += kStepSeconds;
      for (auto& [name, worker] : workers) step(worker);
      shard->tick(at(now), at(now), at(now));
      send_commands();
      record_progress();
      deliver_copies();
      ASSERT_LE(running(), 1u) << "the task runs twice at " << now << " s";
    }
  }
  // Each batch that a worker has executed reaches it once more.
  void deliver_copies() {
    if (copies_held) return;
    for (auto& [name, worker] : workers) {
      if (!worker.reachable) continue;
      for (const auto& batch : worker.executed) {
        const auto before = worker.live_tasks();
        worker.execute(batch);
        started_by_copies += worker.live_tasks() > before ? 1 : 0;
      }
    }
  }

  std::size_t running() const {
    std::size_t count = 0;
    for (const auto& [name, worker] : workers) count += worker.live_tasks();
    return count;
  }
  ModelWorker& running_on() { return workers.at(workers.at("a").live_tasks() > 0 ? "a" : "b"); }
  ModelWorker& other(const ModelWorker& worker) {
    return workers.at(&worker == &workers.at("a") ? "b" : "a");
  }

  double now = 0;
  std::map<std::string, ModelWorker> workers;
  std::unique_ptr<ShardManager> shard;
  state_store::Job job;
  std::optional<TerminalState> terminal_state;
  std::uint64_t revision = 10;
  std::size_t started_by_copies = 0;
  bool copies_held = false;

 private:
  void step(ModelWorker& worker) {
    if (now - worker.lease_renewed_s > fixture::kLeaseSeconds) worker.expire_lease(now);
    if (!worker.reachable || now < worker.next_heartbeat_s) return;
    worker.next_heartbeat_s = now + fixture::kHeartbeatSeconds;
    shard->on_worker_heartbeat(worker.report(), at(now));
    if (shard->find_machine(worker.state.machine))
      worker.on_response(shard->heartbeat_response(worker.state.machine, at(now)), now);
  }
  void send_commands() {
    for (const auto& batch : shard->take_command_batches(at(now))) {
      auto& worker = workers.at(batch.machine.value());
      if (!worker.reachable) {
        shard->on_command_result(batch, CommandResult::kNoAnswer, std::nullopt, at(now));
        continue;
      }
      const bool executed = worker.execute(batch);
      if (executed && !batch.commands.empty()) worker.executed.push_back(batch);
      shard->on_command_result(batch, executed ? CommandResult::kExecuted : CommandResult::kRejected,
                               worker.report(), at(now));
    }
  }
  void record_progress() {
    for (auto& [id, progress] : shard->unwritten_progress()) {
      job.progress[ShardId(0)] = {progress, Revision(++revision)};
      publish();
    }
  }
};

}  // namespace beaconsill::shard
