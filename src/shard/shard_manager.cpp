#include "shard/shard_manager.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "shard/gang_scheduling.h"
#include "shard/periodic_checks.h"
#include "shard/placer.h"

namespace beaconsill::shard {
namespace {

using protocol::TaskState;

// The periodic checks run no more often than this. Otherwise each of some hundred events a second would cause
// a pass over all machines.
constexpr Duration kPeriodicCheckPeriod = std::chrono::milliseconds(100);
constexpr Duration kOrphanCheckPeriod = std::chrono::milliseconds(500);
// A worker is redirected to this controller no more often than this.
constexpr Duration kRedirectInterval = std::chrono::seconds(20);
constexpr Duration kDeletionRetryDelay = std::chrono::seconds(2);
// Tolerance in tasks for rounding errors, when the CPUs of waiting tasks are divided by the CPUs of one task
// and the exact quotient is an integer.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

ShardManager::ShardManager(ShardId id, Term term, const ShardParams& params, Instant now)
    : state_(id, term, params, now) {}

void ShardManager::set_catalogue(std::shared_ptr<const protocol::Catalogue> catalogue) {
  state_.catalogue = std::move(catalogue);
  for (auto& [name, machine] : state_.machines) state_.apply_catalogue(machine);
}

void ShardManager::supersede(Term term) {
  if (term > state_.term) state_.supersede();
}

bool ShardManager::is_stable(Instant now) const {
  return state_.reconciled &&
         std::none_of(state_.machines.begin(), state_.machines.end(), [&](const auto& entry) {
           return FailureDetector::is_unreachable(entry.second, entry.second.contact_timeout, now);
         });
}

// ---------------------------------------------------------------- events

void ShardManager::on_registry_read(const std::vector<state_store::MachineRecord>& records, Instant now) {
  std::set<MachineName> registered;
  for (const auto& record : records) {
    registered.insert(record.name);
    if (state_.terminated.contains(record.name)) continue;
    auto [machine, added] = state_.find_or_add_machine(record.name, now);
    if (!added) continue;
    machine.type = record.type;
    machine.zone = record.zone;
    machine.spot = record.spot;
    machine.last_contact = now;
    machine.address = record.address;
    machine.quarantined = record.quarantined;
    machine.probe_at = now;
    state_.dispatch_queue.push(machine);
    state_.apply_catalogue(machine);
  }
  for (auto& [name, machine] : state_.machines) machine.registered = registered.contains(name);
  state_.registry.on_read(records);
  state_.check_reconciled(now);
}

HeartbeatResult ShardManager::on_worker_heartbeat(const protocol::WorkerHeartbeat& heartbeat, Instant now) {
  return HeartbeatReconciler(state_, now).reconcile(heartbeat, HeartbeatOrigin::kUnsolicited);
}

HeartbeatResponse ShardManager::heartbeat_response(const MachineName& name, Instant now) {
  return CommandDelivery(state_, now).heartbeat_response(state_.machines.at(name));
}

// A worker with running tasks whose heartbeat arrives through another controller may be partitioned from this
// one. If such a worker is redirected here, it waits in vain for an answer and then contacts the next
// controller, and its lease may have expired by then. On a recorded day of operation whole shards lost
// their tasks that way in a controller's second partition: since each machine had been redirected in the
// first partition, it was redirected at once in the second one instead of being answered. Therefore a worker
// is redirected only if it has answered commands of this controller recently; otherwise it is answered and
// probed.
bool ShardManager::should_redirect_here(const protocol::WorkerHeartbeat& heartbeat, Instant now) {
  auto* machine = state_.find_machine(heartbeat.machine);
  bool has_live_tasks = std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                                    [](const auto& task) { return task.state != TaskState::kEnded; });
  if (!machine || !has_live_tasks) return true;
  if (!machine->relayed_since) machine->relayed_since = now;
  if (!machine->last_command_answer_at || now - *machine->last_command_answer_at > kHeartbeatAnswerTimeout) {
    if (machine->can_be_probed()) request_probe(*machine, state_.dispatch_queue, now);
    return false;
  }
  if (machine->last_redirect_at && now - *machine->last_redirect_at < kRedirectInterval) return false;
  machine->last_redirect_at = now;
  return true;
}

void ShardManager::on_direct_contact(const MachineName& name) {
  if (auto* machine = state_.find_machine(name)) machine->relayed_since.reset();
}

void ShardManager::on_job(const JobId& id, const state_store::Job* job,
                          std::optional<state_store::TerminalState> terminal_state, Instant now) {
  if (!job) return state_.erase_job(id);
  if (!job->record.spec) {
    if (auto* known = state_.jobs.find(id); known && terminal_state) {
      known->terminal_state = terminal_state;
      state_.mark_possible_orphans(id);
    }
    return;
  }
  auto* shard_job = state_.jobs.apply(id, *job, terminal_state, state_.reconciled, now);
  if (!shard_job) return;
  if (shard_job->works) state_.failure_attribution.mark_job_working(id);
  apply_to_listed_tasks(id, *shard_job, now);
  shard_job->unwritten = true;
  if (shard_job->granted_tasks.empty() && shard_job->generations.empty()) state_.erase_job(id);
}

void ShardManager::apply_to_listed_tasks(const JobId& id, ShardJob& job, Instant now) {
  HeartbeatReconciler reconciler(state_, now);
  state_.locations.for_each_of_job(id, [&](Machine& machine, const TaskKey& key, MachineTask& task) {
    state_.dispatch_queue.push(machine);  // the task's result may be recorded now, or its job may have ended
    machine.may_have_orphans = true;
    if (!task.spec) {
      task.spec = job.record.spec;
      machine.invalidate_load();
    }
    if (is_live(task)) {
      reconciler.adopt(machine, key, task);
      if (job.terminal_state == state_store::TerminalState::kCancelled)
        state_.stop(machine, key, task, 0, StopReason::kJobEnded);
      if (job.revoked) state_.stop(machine, key, task, job.record.spec->save_s, StopReason::kRevoked);
    } else if (task.cause == protocol::EndCause::kDone) {
      auto* granted_task = state_.jobs.find_task(key.task);
      if (!granted_task || granted_task->is_finished()) return;
      granted_task->status = GrantedTask::Status::kDone;
      job.mark_progress();
    }
  });
}

void ShardManager::tick(Instant now, Instant cancellations_known_until, Instant up_to_date_at) {
  state_.check_reconciled(now);
  run_periodic_checks(now, up_to_date_at);
  // Tasks may be started only while the knowledge of cancellations is recent, compared with the time limit
  // within which a cancellation must take effect.
  if (now - cancellations_known_until < state_.params.cancel_limit / 4) Placer(state_, now).place_all();
  state_.jobs.release_unplaced(state_.params.heartbeat_period, now);
}

void ShardManager::run_periodic_checks(Instant now, Instant up_to_date_at) {
  if (!periodic_checks_at_ || now - *periodic_checks_at_ >= kPeriodicCheckPeriod) {
    periodic_checks_at_ = now;
    expire_leases(state_, up_to_date_at, now);
    stop_tasks_before_reclaim(state_, now);
    stop_broken_gangs(state_);
    schedule_probes(state_, now);
  }
  if (!orphan_check_at_ || now - *orphan_check_at_ >= kOrphanCheckPeriod) {
    orphan_check_at_ = now;
    stop_orphaned_tasks(state_, up_to_date_at);
  }
}

// ---------------------------------------------------------------- commands

std::vector<CommandBatch> ShardManager::take_command_batches(Instant now) {
  return CommandDelivery(state_, now).take_batches();
}

void ShardManager::on_command_result(const Batch& batch, CommandResult result,
                                     const std::optional<protocol::WorkerHeartbeat>& heartbeat, Instant now) {
  auto* machine = state_.find_machine(batch.machine);
  if (!machine) return;
  CommandDelivery delivery(state_, now);
  delivery.on_result(*machine, batch, result);
  if (heartbeat && heartbeat->machine == batch.machine) on_answer(*machine, batch, *heartbeat, now);
  if (batch.commands.empty()) delivery.schedule_next_probe(*machine, batch);
}

void ShardManager::on_answer(Machine& machine, const Batch& batch, const protocol::WorkerHeartbeat& answer,
                             Instant now) {
  if (batch.shows_restart(answer)) {
    if (!machine.restart_detected)
      spdlog::info("worker_restarted shard={} machine={} incarnation={} sequence={}", state_.id.value(),
                   machine.name.value(), answer.incarnation.value(), answer.sequence.value());
    on_worker_restarted(machine, state_.dispatch_queue, now);
  }
  HeartbeatReconciler(state_, now).reconcile(answer, HeartbeatOrigin::kCommandAnswer);
}

// ---------------------------------------------------------------- machines

RegistryState::RecordsByBucket ShardManager::registry_buckets_to_write() {
  return state_.registry.buckets_to_write(state_.machines);
}

void ShardManager::on_process_pause(Instant now) {
  state_.failure_detector.on_process_pause(state_.machines, now);
}

std::vector<MachineName> ShardManager::take_machines_to_delete(Instant now) {
  std::vector<MachineName> names;
  if (state_.superseded) return names;
  auto partitioned_zones = state_.failure_detector.update_partitioned_zones(state_.machines, now);
  // At most kMaxDeletedPerRequest machines are marked at a time, including those of earlier requests that are
  // not answered yet. A machine that is being deleted gets no commands except stops in the answers to its
  // heartbeats, so hundreds of marked machines would be unusable if their zone became reachable again.
  auto pending_deletions =
      static_cast<std::size_t>(std::count_if(state_.machines.begin(), state_.machines.end(),
                                             [](const auto& entry) { return entry.second.deleting; }));
  for (auto& [name, machine] : state_.machines) {
    if (names.size() + pending_deletions >= protocol::kMaxDeletedPerRequest) break;
    if (machine.deleting || (machine.retry_deletion_at && now < *machine.retry_deletion_at)) continue;
    bool partitioned = partitioned_zones.contains(machine.zone);
    auto reason = state_.failure_detector.reason_to_delete(machine, partitioned, now);
    if (!reason) continue;
    spdlog::info("machine_deletion_requested shard={} machine={} reason={}", state_.id.value(), name.value(),
                 to_string(*reason));
    machine.deleting = true;
    names.push_back(name);
  }
  return names;
}

void ShardManager::on_machine_terminated(const MachineName& name, Instant now) {
  state_.terminated.insert(name);
  auto* machine = state_.find_machine(name);
  if (!machine) return;
  state_.drop_all_tasks(*machine, now);
  state_.dispatch_queue.remove(*machine);
  state_.failure_attribution.on_machine_terminated(name);
  state_.machines.erase(name);
  state_.registry.mark_dirty();
  state_.check_reconciled(now);
}

void ShardManager::on_delete_failed(const MachineName& name, Instant now) {
  auto* machine = state_.find_machine(name);
  if (!machine) return;
  machine->deleting = false;
  state_.dispatch_queue.push(*machine);
  machine->retry_deletion_at = now + kDeletionRetryDelay;
}

void ShardManager::release(const MachineName& name) {
  auto* machine = state_.find_machine(name);
  if (machine && machine->tasks.empty()) machine->draining = true;
}

// ---------------------------------------------------------------- queries

protocol::CapacityByZone ShardManager::estimate(const protocol::ResourceRequest& request, Instant now) const {
  state_.visited_count += state_.machines.size();
  auto zones = shard::estimate(state_.machines, request, state_.params.rules, now);
  if (request.each.cpus <= 0) return zones;
  // Tasks that are already waiting here will use their share of the capacity first.
  auto waiting_cpus = state_.jobs.waiting_cpus(request.priority);
  auto reserved =
      static_cast<std::uint32_t>(std::ceil(waiting_cpus / request.each.cpus - kRoundingTolerance));
  for (auto& zone : zones) {
    auto count = std::min(reserved, zone.free);
    zone.free -= count;
    zone.image_cached = std::min(zone.image_cached, zone.free);
    reserved -= count;
  }
  return zones;
}

protocol::Summary ShardManager::summary(Instant now) const {
  protocol::Summary summary{state_.id, state_.term, {}, {}, {}};
  std::map<JobId, std::uint32_t> running;
  for (const auto& [name, machine] : state_.machines) {
    double idle_seconds = machine.tasks.empty() ? to_seconds(now - machine.idle_since) : 0;
    summary.machines.push_back({name, machine.type, machine.zone, machine.spot,
                                machine.total - machine.used(), idle_seconds, machine.usable(now)});
    for (const auto& [key, task] : machine.tasks)
      if (task.state == TaskState::kRunning || task.state == TaskState::kSaving) ++running[key.task.job];
  }
  for (const auto& [id, count] : running) summary.running.push_back({id, count});
  return summary;
}

std::uint32_t ShardManager::running(const JobId& id) const {
  std::uint32_t count = 0;
  state_.locations.for_each_of_job(id, [&](const Machine&, const TaskKey&, const MachineTask& task) {
    count += task.state == TaskState::kRunning;
  });
  return count;
}

}  // namespace beaconsill::shard
