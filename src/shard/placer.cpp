#include "shard/placer.h"

#include <algorithm>

#include "shard/gang_scheduling.h"

namespace beaconsill::shard {
namespace {

// Jobs without a deadline are ordered as if theirs was this long after their submission.
constexpr double kDefaultDeadlineSeconds = 3600;

std::int64_t deadline_ms(const ShardJob& job) {
  auto seconds = job.record.spec->deadline_s.value_or(kDefaultDeadlineSeconds);
  return job.record.submitted.value() + static_cast<std::int64_t>(seconds * 1000);
}

Priority priority_of(const ShardJob& job) {
  return job.record.spec->priority;
}

bool allows_same_machines(const protocol::ResourceRequest& left, const protocol::ResourceRequest& right) {
  return left.image == right.image && left.types == right.types && left.zone == right.zone &&
         left.spot == right.spot && left.priority == right.priority;
}

bool is_no_larger(const Resources& left, const Resources& right) {
  return left.cpus <= right.cpus && left.gpus <= right.gpus && left.memory_gb <= right.memory_gb;
}

}  // namespace

std::vector<Placer::WaitingJob> Placer::collect_waiting_jobs() {
  std::vector<WaitingJob> waiting;
  state_.jobs.for_each_waiting([&](const JobId& id, ShardJob& job) {
    if (!job.terminal_state && !in_crash_loop_backoff(id)) waiting.push_back({id, &job});
  });
  std::sort(waiting.begin(), waiting.end(), [](const auto& left, const auto& right) {
    if (priority_of(*left.job) != priority_of(*right.job))
      return priority_of(*left.job) > priority_of(*right.job);
    return deadline_ms(*left.job) < deadline_ms(*right.job);
  });
  return waiting;
}

void Placer::place_all() {
  auto waiting = collect_waiting_jobs();
  if (waiting.empty()) return;
  state_.visited_count += state_.machines.size();
  for (auto& [name, machine] : state_.machines)
    if (machine.usable(now_) && has_capacity(machine, state_.params.rules))
      machines_with_capacity_.push_back(&machine);
  for (auto first = waiting.begin(); first != waiting.end();) {
    auto priority = priority_of(*first->job);
    auto last = std::find_if(first, waiting.end(),
                             [&](const auto& entry) { return priority_of(*entry.job) != priority; });
    for (auto image_policy : {ImagePolicy::kCachedOnly, ImagePolicy::kMayFetch})
      for (auto entry = first; entry != last; ++entry) place_job(entry->id, *entry->job, image_policy);
    first = last;
  }
}

// Without this check, each of the hundreds of tasks of a job that fails because of a mistake in its
// specification would be restarted again and again. One task at a time is enough to detect whether the job
// still fails.
bool Placer::in_crash_loop_backoff(const JobId& id) const {
  if (!state_.failure_attribution.is_job_failing(id, now_)) return false;
  auto retry_at = state_.failure_attribution.retry_at(id);
  if (retry_at && now_ < *retry_at) return true;
  bool has_live_task = false;
  state_.locations.for_each_of_job(id, [&](const Machine&, const TaskKey&, const MachineTask& task) {
    has_live_task = has_live_task || is_live(task);
  });
  return has_live_task;
}

void Placer::place_job(const JobId& id, ShardJob& job, ImagePolicy image_policy) {
  if (job.record.spec->kind == JobKind::kGang) {
    if (image_policy == ImagePolicy::kMayFetch) place_gang(state_, id, job, machines_with_capacity_, now_);
    return;
  }
  JobPlacement placement{id,
                         job,
                         image_policy,
                         request_of(*job.record.spec, 1),
                         state_.failure_attribution.failed_on(id, now_),
                         state_.failure_attribution.is_job_failing(id, now_),
                         {}};
  for (auto& [index, task] : job.granted_tasks) {
    if (task.status != GrantedTask::Status::kWaiting) continue;
    if (place_task(placement, index, task) == Next::kNextJob) return;
  }
}

Placer::Next Placer::place_task(JobPlacement& placement, std::uint32_t index, GrantedTask& task) {
  const auto& request = placement.request;
  bool cached_only = placement.image_policy == ImagePolicy::kCachedOnly;
  if (!cached_only && !task.preempt && !task.preemption_target && is_unplaceable(request, task.zone))
    return Next::kNextTask;
  auto* best = best_candidate(placement, task.zone);
  if (cached_only && !best) return task.zone ? Next::kNextTask : Next::kNextJob;
  TaskId id{placement.id, index};
  // Safeguard against bugs in other components: a task that is still live on any machine is never started
  // again.
  if (state_.locations.is_live_anywhere(id)) return Next::kNextTask;
  // The task starts earliest on the machine where other tasks are being preempted for it.
  if (auto* target = usable_preemption_target(task)) {
    if (available_tasks(*target, request, state_.params.rules, LowerPriorityWork::kLeftRunning) == 0)
      return Next::kNextTask;
    preemption_.on_placed(target->name, request.each);
    state_.place(*target, id, placement.job, task, now_);
    return placement.fails_everywhere ? Next::kNextJob : Next::kNextTask;
  }
  if (task.preempt && preempt(placement, task, best)) return Next::kNextTask;
  if (!best) {
    // The search excluded the machines on which this job failed, so its result does not hold for other jobs.
    if (!placement.avoided.empty()) return Next::kNextJob;
    unplaceable_.push_back({request, task.zone});
    return Next::kNextTask;
  }
  state_.place(*best, id, placement.job, task, now_);
  return placement.fails_everywhere ? Next::kNextJob : Next::kNextTask;
}

Machine* Placer::best_candidate(JobPlacement& placement, const std::optional<Zone>& zone) {
  const auto& rules = state_.params.rules;
  auto& candidates = placement.candidates;
  if (!candidates.searched || candidates.zone != zone) {
    state_.visited_count += machines_with_capacity_.size();
    auto machines =
        choose_machines(machines_with_capacity_,
                        {placement.request, zone, placement.avoided, placement.image_policy}, rules, now_);
    candidates = {true, zone, std::move(machines), 0};
  }
  auto& next = candidates.next;
  while (next < candidates.machines.size() && available_tasks(*candidates.machines[next], placement.request,
                                                              rules, LowerPriorityWork::kLeftRunning) == 0)
    ++next;
  return next < candidates.machines.size() ? candidates.machines[next] : nullptr;
}

bool Placer::is_unplaceable(const protocol::ResourceRequest& request, const std::optional<Zone>& zone) const {
  return std::any_of(unplaceable_.begin(), unplaceable_.end(), [&](const auto& known) {
    return known.zone == zone && allows_same_machines(known.request, request) &&
           is_no_larger(known.request.each, request.each);
  });
}

Machine* Placer::usable_preemption_target(const GrantedTask& task) {
  if (!awaits_preemption(task, state_.params.heartbeat_period, now_)) return nullptr;
  auto* target = state_.find_machine(*task.preemption_target);
  return target && target->usable(now_) ? target : nullptr;
}

// Prefers preemption on a machine where the image is cached to fetching the image on `best`. Preempts on a
// machine that must fetch the image only if no machine has capacity without preemption.
bool Placer::preempt(const JobPlacement& placement, GrantedTask& task, const Machine* best) {
  bool must_fetch = !best || !best->images.has(placement.request.image);
  if (must_fetch && preemption_.free_capacity_for(placement.job, task, ImagePolicy::kCachedOnly)) return true;
  return !best && preemption_.free_capacity_for(placement.job, task, ImagePolicy::kMayFetch);
}

}  // namespace beaconsill::shard
