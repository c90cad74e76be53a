#include "shard/preemption.h"

#include <algorithm>

namespace beaconsill::shard {
namespace {

// Returns the CPU time that is lost by stopping the task now: its run time, limited to one checkpoint
// interval if it writes checkpoints.
double lost_cpu_seconds(const MachineTask& task, Instant now) {
  double seconds = task.running_since ? to_seconds(now - *task.running_since) : 0;
  if (task.spec->checkpoint_s > 0) seconds = std::min(seconds, task.spec->checkpoint_s);
  return seconds * task.spec->each.cpus;
}

// Tasks of gangs are not preempted, because losing one task stops the whole gang.
bool is_preemptible(const MachineTask& task, Priority preemptor) {
  return is_live(task) && task.spec && task.spec->priority < preemptor && task.spec->kind != JobKind::kGang;
}

}  // namespace

bool awaits_preemption(const GrantedTask& task, Duration heartbeat_period, Instant now) {
  return task.status == GrantedTask::Status::kWaiting && task.preemption_target &&
         now - task.since < heartbeat_period;
}

// Without reservations, capacity that is freed for one task would be counted for the next one as well.
// Services that may preempt were delayed by a second or two this way, some of them several times.
void Preemption::collect_reservations() {
  if (reserved_) return;
  reserved_.emplace();
  for (const auto& id : state_.jobs.waiting()) {
    const auto& job = state_.jobs.at(id);
    if (job.terminal_state) continue;
    for (const auto& [index, task] : job.granted_tasks)
      if (awaits_preemption(task, state_.params.heartbeat_period, now_))
        (*reserved_)[*task.preemption_target] += job.record.spec->each;
  }
}

void Preemption::on_placed(const MachineName& target, const Resources& resources) {
  if (reserved_) (*reserved_)[target] -= resources;
}

bool Preemption::is_candidate(const Machine& machine, const protocol::ResourceRequest& request,
                              const GrantedTask& task, ImagePolicy image_policy) const {
  return machine.usable(now_) && is_allowed(request, machine.type, machine.zone, machine.spot) &&
         (!task.zone || *task.zone == machine.zone) &&
         accepts_image_state(image_state(machine, request.image), image_policy) &&
         available_tasks(machine, request, state_.params.rules, LowerPriorityWork::kPreempted) > 0;
}

std::optional<Preemption::Plan> Preemption::plan_on(Machine& machine,
                                                    const protocol::ResourceRequest& request) const {
  Resources idle = machine.total - machine.used();
  if (auto it = reserved_->find(machine.name); it != reserved_->end()) idle -= it->second;
  std::vector<MachineTaskEntry*> preemptible;
  for (auto& entry : machine.tasks) {
    auto& task = entry.second;
    if (!is_preemptible(task, request.priority)) continue;
    if (task.stop_grace) {
      idle += task.spec->each;  // already being stopped
    } else if (task.start == MachineTask::Start::kAcknowledged) {
      preemptible.push_back(&entry);
    }
  }
  std::sort(preemptible.begin(), preemptible.end(), [this](const auto* left, const auto* right) {
    return lost_cpu_seconds(left->second, now_) < lost_cpu_seconds(right->second, now_);
  });
  Plan plan{&machine, {}, 0};
  for (auto* entry : preemptible) {
    if (tasks_that_fit(idle, request.each) > 0) break;
    idle += entry->second.spec->each;
    plan.lost_cpu_seconds += lost_cpu_seconds(entry->second, now_);
    plan.victims.push_back(entry);
  }
  if (tasks_that_fit(idle, request.each) == 0) return std::nullopt;
  return plan;
}

bool Preemption::free_capacity_for(const ShardJob& job, GrantedTask& task, ImagePolicy image_policy) {
  auto request = request_of(*job.record.spec, 1);
  collect_reservations();
  std::optional<Plan> best;
  for (auto& [name, machine] : state_.machines) {
    if (!is_candidate(machine, request, task, image_policy)) continue;
    auto plan = plan_on(machine, request);
    if (plan && (!best || plan->lost_cpu_seconds < best->lost_cpu_seconds)) best = std::move(plan);
  }
  if (!best) return false;
  for (auto* victim : best->victims) {
    auto& [key, stopped] = *victim;
    state_.stop(*best->machine, key, stopped, grace_to_save(*stopped.spec), StopReason::kPreempted);
  }
  task.preempt = false;
  task.preemption_target = best->machine->name;
  task.since = now_;
  (*reserved_)[best->machine->name] += request.each;
  return true;
}

}  // namespace beaconsill::shard
