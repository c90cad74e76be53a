#include "shard/heartbeat_reconciler.h"

#include <algorithm>

#include "base/log.h"

namespace beaconsill::shard {
namespace {

using protocol::EndCause;
using protocol::TaskState;

// A task that has run for this long shows that its job doesn't fail on every machine.
constexpr Duration kStableAfter = std::chrono::seconds(10);

}  // namespace

Machine& HeartbeatReconciler::find_or_add_machine(const protocol::WorkerHeartbeat& heartbeat) {
  auto& machine = state_.find_or_add_machine(heartbeat.machine, now_).machine;
  if (machine.type != heartbeat.type || !machine.type_known) {
    machine.type = heartbeat.type;
    state_.apply_catalogue(machine);
  }
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  machine.address = heartbeat.address;
  return machine;
}

bool HeartbeatReconciler::is_of_later_term(const protocol::WorkerHeartbeat& heartbeat) {
  if (heartbeat.token.term() <= state_.term) return false;
  if (!state_.superseded)
    spdlog::info("shard_superseded shard={} term={} machine={} later_term={}", state_.id.value(),
                 state_.term.value(), heartbeat.machine.value(), heartbeat.token.term().value());
  state_.supersede();
  return true;
}

HeartbeatResult HeartbeatReconciler::reconcile(const protocol::WorkerHeartbeat& heartbeat,
                                               HeartbeatOrigin origin) {
  if (state_.terminated.contains(heartbeat.machine) || is_of_later_term(heartbeat))
    return HeartbeatResult::kDropped;
  auto& machine = find_or_add_machine(heartbeat);
  if (is_stale(machine, heartbeat)) {
    spdlog::debug("heartbeat_dropped shard={} machine={} incarnation={} sequence={} reason=stale",
                  state_.id.value(), machine.name.value(), heartbeat.incarnation.value(),
                  heartbeat.sequence.value());
    if (origin == HeartbeatOrigin::kUnsolicited) probe_if_only_stale(machine);
    return HeartbeatResult::kDropped;
  }
  if (machine.restart_detected) {
    machine.restart_detected = false;
    resolve_in_flight(machine, state_.dispatch_queue);
  }
  bool lease_expired = heartbeat.incarnation != machine.incarnation;
  if (lease_expired) on_new_incarnation(machine);
  update_contact(machine, heartbeat, origin, lease_expired);
  update_reclaim_notice(machine, heartbeat);
  // The worker no longer obeys commands with a token lower than the fencing token.
  if (machine.channel == Machine::Channel::kFencing && heartbeat.token >= machine.token)
    resolve_in_flight(machine, state_.dispatch_queue);
  state_.dispatch_queue.push(machine);
  update_tasks(machine, heartbeat);
  state_.check_reconciled(now_);
  return HeartbeatResult::kApplied;
}

bool HeartbeatReconciler::is_stale(const Machine& machine, const protocol::WorkerHeartbeat& heartbeat) {
  if (machine.restart_detected)
    return machine.channel != Machine::Channel::kFencing || heartbeat.token < machine.token;
  return heartbeat.token < machine.reported_token ||
         !heartbeat.is_newer_than(machine.incarnation, machine.sequence);
}

void HeartbeatReconciler::probe_if_only_stale(Machine& machine) {
  if (now_ - machine.last_contact <= state_.failure_detector.suspicion_timeout()) return;
  if (machine.can_be_probed()) request_probe(machine, state_.dispatch_queue, now_);
}

void HeartbeatReconciler::on_new_incarnation(Machine& machine) {
  if (!machine.tasks.empty())
    spdlog::info("lease_expired shard={} machine={} count={} reason=new_incarnation", state_.id.value(),
                 machine.name.value(), machine.tasks.size());
  state_.drop_all_tasks(machine, now_);
}

// A pause within the normal variation of heartbeats doesn't count.
bool HeartbeatReconciler::likely_missed_answer(const Machine& machine) const {
  auto timeout = std::max(kHeartbeatAnswerTimeout, state_.failure_detector.suspicion_timeout());
  return machine.last_answered >= machine.last_contact && now_ - machine.last_contact >= timeout;
}

void HeartbeatReconciler::update_contact(Machine& machine, const protocol::WorkerHeartbeat& heartbeat,
                                         HeartbeatOrigin origin, bool lease_expired) {
  bool missed_answer = likely_missed_answer(machine);
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = heartbeat.sequence;
  machine.last_contact = now_;
  if (origin == HeartbeatOrigin::kUnsolicited) machine.last_unsolicited_heartbeat = now_;
  machine.reset_unanswered();
  machine.token = std::max(machine.token, heartbeat.token);
  machine.reported_token = std::max(machine.reported_token, heartbeat.token);
  // The machine sends heartbeats, but possibly receives nothing.
  if (machine.confirmed && origin == HeartbeatOrigin::kUnsolicited && (lease_expired || missed_answer))
    begin_fencing(machine, state_.dispatch_queue, now_);
  if (!machine.confirmed && heartbeat.token >= FencingToken::first_of(state_.term)) {
    machine.confirmed = true;
    state_.registry.mark_dirty();
    machine.probe_at.reset();
  }
}

void HeartbeatReconciler::update_reclaim_notice(Machine& machine,
                                                const protocol::WorkerHeartbeat& heartbeat) const {
  if (!heartbeat.termination_notice_s) {
    machine.reclaim_at.reset();
    return;
  }
  if (!machine.reclaim_at)
    spdlog::info("spot_reclaim_notice shard={} machine={} seconds={:.1f}", state_.id.value(),
                 machine.name.value(), *heartbeat.termination_notice_s);
  machine.reclaim_at = now_ + from_seconds(*heartbeat.termination_notice_s);
}

void HeartbeatReconciler::update_tasks(Machine& machine, const protocol::WorkerHeartbeat& heartbeat) {
  ++state_.heartbeat_count;
  state_.visited_count += heartbeat.tasks.size() + machine.tasks.size();
  for (const auto& status : heartbeat.tasks) {
    TaskKey key{status.task, status.attempt};
    auto [task, inserted] = state_.locations.put(machine, key);
    if (inserted) {
      task.since = now_;
      if (const auto* job = state_.jobs.find(status.task.job)) task.spec = job->record.spec;
    }
    task.last_listed = state_.heartbeat_count;
    update_task(machine, key, task, status);
  }
  drop_unlisted_tasks(machine, heartbeat);
  machine.invalidate_load();
  if (machine.live_task_count() > 0) machine.idle_since = now_;
}

// A start that is queued or in flight may still be executed, so the absence of its task from a heartbeat
// proves nothing. A task whose start was acknowledged is only missing if the worker has removed it by
// command, which came with a higher token, or has restarted. In the latter case a late copy of the start
// command would be executed, so the task is kept until the worker has seen a higher token.
void HeartbeatReconciler::drop_unlisted_tasks(Machine& machine, const protocol::WorkerHeartbeat& heartbeat) {
  bool copies_executable = false;
  state_.drop_tasks_if(
      machine,
      [&](const TaskKey&, const MachineTask& task) {
        if (task.start != MachineTask::Start::kAcknowledged || task.last_listed == state_.heartbeat_count)
          return false;
        if (heartbeat.token > task.start_token) return true;
        copies_executable = true;
        return false;
      },
      now_);
  if (!copies_executable || machine.channel != Machine::Channel::kIdle) return;
  spdlog::info("acknowledged_tasks_missing shard={} machine={} incarnation={} sequence={}", state_.id.value(),
               machine.name.value(), heartbeat.incarnation.value(), heartbeat.sequence.value());
  begin_fencing(machine, state_.dispatch_queue, now_);
}

void HeartbeatReconciler::update_task(Machine& machine, const TaskKey& key, MachineTask& task,
                                      const protocol::TaskStatus& status) {
  bool was_live = is_live(task) || task.since == now_;
  task.start = MachineTask::Start::kAcknowledged;
  task.state = status.state;
  task.cause = status.cause;
  task.saved = status.saved;
  if (status.state == TaskState::kRunning && !task.running_since) {
    task.running_since = now_;
    spdlog::debug("task_running shard={} machine={} task={} seconds={:.2f}", state_.id.value(),
                  machine.name.value(), protocol::task_name(key.task), to_seconds(now_ - task.since));
  }
  if (task.running_since && !task.is_proven_stable && is_live(task) &&
      now_ - *task.running_since >= kStableAfter) {
    task.is_proven_stable = true;
    on_task_succeeded(machine, key.task.job, task.since);
  }
  if (task.spec && (status.state == TaskState::kRunning || status.state == TaskState::kWaiting))
    machine.images.use(task.spec->image, task.spec->image_gb, now_);
  if (is_live(task)) {
    adopt(machine, key, task);
  } else if (was_live) {
    on_ended(machine, key, task);
  }
}

// A listed task needs adoption after a failover, or if its grant became known only after it was listed.
void HeartbeatReconciler::adopt(Machine& machine, const TaskKey& key, MachineTask& task) {
  using Status = GrantedTask::Status;
  auto* granted_task = state_.jobs.find_task(key.task);
  if (!granted_task) return;
  bool unplaced =
      granted_task->status == Status::kAwaitingReconciliation || granted_task->status == Status::kWaiting;
  bool placed_elsewhere = granted_task->status == Status::kPlaced &&
                          (granted_task->machine != machine.name || granted_task->attempt != key.attempt) &&
                          !task.stop_grace;
  if (!unplaced && !placed_elsewhere) return;
  if (placed_elsewhere && !machine.confirmed) return;
  if (unplaced || is_outdated(*granted_task, key.task, machine, task)) {
    granted_task->status = Status::kPlaced;
    granted_task->started = true;
    granted_task->machine = machine.name;
    granted_task->attempt = key.attempt;
    return;
  }
  spdlog::error("duplicate_execution shard={} machine={} task={} other_machine={}", state_.id.value(),
                machine.name.value(), protocol::task_name(key.task), granted_task->machine.value());
  state_.stop(machine, key, task, 0, StopReason::kDuplicate);
}

// Whether the recorded placement of a granted task is based on an old heartbeat. A new leader can't tell an
// old heartbeat from a new one until the machine sends one under the new term. Without this check, a copy
// that arrived late, for example from a terminated machine, would cause the running task to be stopped as a
// duplicate.
bool HeartbeatReconciler::is_outdated(const GrantedTask& granted_task, const TaskId& id,
                                      const Machine& machine, const MachineTask& task) {
  const auto* placed_on = state_.find_machine(granted_task.machine);
  if (!placed_on) return true;
  if (placed_on != &machine) return !placed_on->confirmed;
  auto placed = machine.tasks.find({id, granted_task.attempt});
  if (placed == machine.tasks.end()) return true;
  return placed->second.start == MachineTask::Start::kAcknowledged &&
         placed->second.last_listed < task.last_listed;
}

void HeartbeatReconciler::on_ended(Machine& machine, const TaskKey& key, MachineTask& task) {
  if (task.cause == EndCause::kDone) {
    on_task_succeeded(machine, key.task.job, task.since);
    if (auto* granted_task = state_.jobs.find_task(key.task)) {
      if (granted_task->status != GrantedTask::Status::kReleased)
        granted_task->status = GrantedTask::Status::kDone;
      state_.jobs.at(key.task.job).mark_progress();
    }
    return;
  }
  task.is_disposable = true;
  if (task.cause == EndCause::kError || task.cause == EndCause::kUnknown)
    on_task_failed(machine, key.task.job);
  state_.requeue(key, now_);
}

void HeartbeatReconciler::on_task_failed(Machine& machine, const JobId& id) {
  auto& attribution = state_.failure_attribution;
  auto* job = state_.jobs.find(id);
  attribution.on_task_failed(machine.name, id, job && job->works, now_);
  machine.avoided_until = attribution.suspected_until(machine.name);
  quarantine_if_faulty(machine);
  if (job && attribution.is_job_failing(id, now_)) job->report_health(protocol::JobHealth::kFailing);
}

void HeartbeatReconciler::on_task_succeeded(Machine& machine, const JobId& id, Instant placed) {
  auto& attribution = state_.failure_attribution;
  auto* job = state_.jobs.find(id);
  if (job) job->works = true;
  if (!attribution.has_recent_failures(machine.name, id)) return;
  if (job && attribution.is_job_failing(id, now_)) job->report_health(protocol::JobHealth::kHealthy);
  attribution.on_task_succeeded(machine.name, id, placed);
  machine.avoided_until = attribution.suspected_until(machine.name);
  for (const auto& name : attribution.failed_on(id, now_))
    if (auto* other = state_.find_machine(name)) quarantine_if_faulty(*other);
}

void HeartbeatReconciler::quarantine_if_faulty(Machine& machine) {
  if (machine.quarantined || !state_.failure_attribution.is_machine_faulty(machine.name)) return;
  machine.quarantined = true;
  state_.registry.mark_dirty();
  spdlog::info("machine_quarantined shard={} machine={} reason=jobs_fail_only_here", state_.id.value(),
               machine.name.value());
}

}  // namespace beaconsill::shard
