#include "shard/periodic_checks.h"

#include "base/log.h"

namespace beaconsill::shard {
namespace {

// Clocks drift apart by up to 0.05%. A lease has certainly expired after its duration times this factor, plus
// a margin for the resolution of timers.
constexpr double kClockDriftFactor = 1.002;
constexpr Duration kLeaseMargin = std::chrono::milliseconds(500);
// The grant of a task may not have reached this controller yet. A task is an orphan only if it isn't granted
// in a state that was read at least this long after the task was first seen.
constexpr Duration kOrphanGracePeriod = std::chrono::seconds(2);

// Whether the task is expected to complete within `seconds`, before the machine is reclaimed. Stopping such a
// task would only lose work.
bool completes_within(const MachineTask& task, double seconds, Instant now) {
  return task.spec->kind == JobKind::kArray && task.running_since &&
         task.spec->estimate_s - to_seconds(now - *task.running_since) < seconds;
}

void stop_or_discard(ShardState& state, Machine& machine, const TaskKey& key, MachineTask& task,
                     StopReason reason) {
  if (is_live(task)) {
    if (task.stop_grace != 0.0) state.stop(machine, key, task, 0, reason);
  } else if (!task.is_disposable) {
    task.is_disposable = true;
    state.dispatch_queue.push(machine);
  }
}

void stop_orphaned_tasks_on(ShardState& state, Machine& machine, Instant up_to_date_at) {
  machine.may_have_orphans = false;
  for (auto& [key, task] : machine.tasks) {
    const auto* job = state.jobs.find(key.task.job);
    if (job && job->terminal_state) {
      machine.may_have_orphans = true;
      stop_or_discard(state, machine, key, task, StopReason::kJobEnded);
      continue;
    }
    if (job && job->granted_tasks.contains(key.task.index)) continue;
    machine.may_have_orphans = true;
    if (up_to_date_at < task.since + kOrphanGracePeriod) continue;
    if (is_live(task) && !task.stop_grace)
      spdlog::info("orphaned_task_stopped shard={} machine={} task={} reason=not_granted", state.id.value(),
                   machine.name.value(), protocol::task_name(key.task));
    stop_or_discard(state, machine, key, task, StopReason::kNotGranted);
  }
}

}  // namespace

void expire_leases(ShardState& state, Instant up_to_date_at, Instant now) {
  state.visited_count += state.machines.size();
  for (auto& [name, machine] : state.machines) {
    // A worker that is not confirmed may still obey an earlier leader, which can have renewed the worker's
    // lease.
    if (!machine.confirmed || machine.tasks.empty()) continue;
    // Each heartbeat that was answered had been sent before the newest one arrived here, so the lease can't
    // be counted from a later time. Answers to late copies of older heartbeats don't extend it.
    auto expiry = machine.last_contact +
                  std::chrono::duration_cast<Duration>(state.params.lease * kClockDriftFactor) + kLeaseMargin;
    if (now <= expiry || up_to_date_at <= expiry || state.superseded) continue;
    spdlog::info("lease_expired shard={} machine={} count={} reason=no_contact", state.id.value(),
                 name.value(), machine.tasks.size());
    state.drop_all_tasks(machine, now);
    // From now on a heartbeat of the old incarnation can only be a late copy.
    machine.incarnation = Incarnation(machine.incarnation.value() + 1);
    machine.sequence = Sequence();
  }
}

void stop_tasks_before_reclaim(ShardState& state, Instant now) {
  for (auto& [name, machine] : state.machines) {
    if (!machine.reclaim_at || !machine.confirmed) continue;
    double seconds_left = to_seconds(*machine.reclaim_at - now);
    for (auto& [key, task] : machine.tasks) {
      if (!is_live(task) || !task.spec || task.stop_grace) continue;
      if (completes_within(task, seconds_left, now)) continue;
      state.stop(machine, key, task, grace_to_save(*task.spec), StopReason::kReclaimed);
      // A gang saves its checkpoint only if all of its tasks are stopped within a short time.
      if (task.spec->kind == JobKind::kGang)
        state.stop_job(key.task.job, task.spec->save_s, StopReason::kReclaimed);
    }
  }
}

void stop_orphaned_tasks(ShardState& state, Instant up_to_date_at) {
  for (auto& [name, machine] : state.machines) {
    ++state.visited_count;
    if (!machine.may_have_orphans) continue;
    state.visited_count += machine.tasks.size();
    stop_orphaned_tasks_on(state, machine, up_to_date_at);
  }
}

void schedule_probes(ShardState& state, Instant now) {
  for (auto* machine : state.failure_detector.machines_to_probe(state.machines, now))
    request_probe(*machine, state.dispatch_queue, now);
  for (auto& [name, machine] : state.machines)
    if (machine.probe_at && now >= *machine.probe_at) state.dispatch_queue.push(machine);
}

}  // namespace beaconsill::shard
