#include "shard/granted_jobs.h"

#include <algorithm>
#include <utility>

namespace beaconsill::shard {
namespace {

using Status = GrantedTask::Status;

state_store::Progress progress_of(const ShardJob& job) {
  state_store::Progress progress;
  progress.done = job.recorded.done;
  for (const auto& released : job.recorded.released)
    if (job.generations.contains(released.generation)) progress.released.push_back(released);
  for (const auto& [index, task] : job.granted_tasks) {
    if (task.status == Status::kDone) progress.done.add(index);
    if (task.status == Status::kReleased)
      state_store::find_or_add_released(progress.released, task.generation).add(index);
  }
  return progress;
}

}  // namespace

bool ShardJob::has_waiting_task() const {
  return std::any_of(granted_tasks.begin(), granted_tasks.end(),
                     [](const auto& entry) { return entry.second.status == Status::kWaiting; });
}

ShardJob* GrantedJobs::find(const JobId& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const ShardJob* GrantedJobs::find(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

GrantedTask* GrantedJobs::find_task(const TaskId& id) {
  auto* job = find(id.job);
  if (!job) return nullptr;
  auto it = job->granted_tasks.find(id.index);
  return it == job->granted_tasks.end() ? nullptr : &it->second;
}

ShardJob* GrantedJobs::apply(const JobId& id, const state_store::Job& job,
                             std::optional<state_store::TerminalState> terminal_state, bool reconciled,
                             Instant now) {
  const auto& chunks = job.grants.value.chunks;
  bool granted =
      std::any_of(chunks.begin(), chunks.end(), [&](const auto& chunk) { return chunk.shard == shard_; });
  if (!granted && !jobs_.contains(id)) return nullptr;
  auto& shard_job = jobs_[id];
  set_record(shard_job, job);
  if (shard_job.record.spec->kind == JobKind::kGang) gangs_.insert(id);
  shard_job.terminal_state = terminal_state;
  auto recorded = job.progress.find(shard_);
  shard_job.recorded = recorded == job.progress.end() ? state_store::Progress{} : recorded->second.value;
  shard_job.works =
      shard_job.works || std::any_of(job.progress.begin(), job.progress.end(),
                                     [](const auto& entry) { return !entry.second.value.done.empty(); });
  shard_job.revoked = job.grants.value.revoke;
  shard_job.generations.clear();
  std::set<std::uint32_t> granted_indices;
  for (const auto& chunk : chunks)
    if (chunk.shard == shard_) apply_chunk(id, shard_job, chunk, reconciled, granted_indices, now);
  std::erase_if(shard_job.granted_tasks,
                [&](const auto& entry) { return !granted_indices.contains(entry.first); });
  return &shard_job;
}

void GrantedJobs::apply_chunk(const JobId& id, ShardJob& job, const state_store::Chunk& chunk,
                              bool reconciled, std::set<std::uint32_t>& granted_indices, Instant now) {
  job.generations.insert(chunk.generation);
  if (chunk.term > term_) return;  // granted to a later leader of the shard
  Ranges tasks = chunk.tasks;
  tasks.remove(state_store::released_tasks(job.recorded, chunk.generation));
  tasks.remove(job.recorded.done);
  for (auto [first, last] : tasks.spans())
    for (auto index = first; index < last; ++index) {
      granted_indices.insert(index);
      auto [it, inserted] = job.granted_tasks.try_emplace(index);
      auto& task = it->second;
      if (!inserted && task.generation == chunk.generation) continue;
      task = {};
      task.generation = chunk.generation;
      task.earlier_term = chunk.term < term_;
      task.preempt = chunk.preempt;
      task.zone = chunk.zone;
      task.attempt = chunk.gang_attempt;
      task.reset_to_waiting(reconciled, now);
      mark_waiting(id);
    }
}

// In this shard the job has at least the priority that the scheduler granted with the chunks: it inherits the
// priority of the jobs that depend on it.
void GrantedJobs::set_record(ShardJob& shard_job, const state_store::Job& job) const {
  auto priority = job.record.spec->priority;
  for (const auto& chunk : job.grants.value.chunks)
    if (chunk.shard == shard_ && chunk.priority) priority = std::max(priority, *chunk.priority);
  shard_job.record.submitted = job.record.submitted;
  if (shard_job.record.spec && shard_job.record.spec->priority == priority) return;
  shard_job.record.spec = job.record.spec;
  if (priority == job.record.spec->priority) return;
  auto raised = *job.record.spec;
  raised.priority = priority;
  shard_job.record.spec = std::make_shared<const protocol::JobSpec>(std::move(raised));
}

void GrantedJobs::erase(const JobId& id) {
  waiting_.erase(id);
  gangs_.erase(id);
  jobs_.erase(id);
}

std::size_t GrantedJobs::finish_reconciliation(Instant now) {
  std::size_t count = 0;
  for (auto& [id, job] : jobs_)
    for (auto& [index, task] : job.granted_tasks) {
      if (task.status != Status::kAwaitingReconciliation) continue;
      task.reset_to_waiting(true, now);
      mark_waiting(id);
      ++count;
    }
  return count;
}

void GrantedJobs::release_unplaced(Duration limit, Instant now) {
  for (const auto& id : waiting_) {
    auto& job = jobs_.at(id);
    for (auto& [index, task] : job.granted_tasks) {
      if (task.status != Status::kWaiting) continue;
      if (!job.terminal_state && !job.revoked && now - task.since < limit) continue;
      task.status = Status::kReleased;
      job.mark_progress();
    }
  }
}

bool GrantedJobs::is_durable(const TaskId& id) const {
  const auto* job = find(id.job);
  return job && (job->terminal_state || job->recorded.done.contains(id.index));
}

bool GrantedJobs::has_no_unfinished_tasks(const JobId& id) const {
  const auto* job = find(id);
  return !job || std::all_of(job->granted_tasks.begin(), job->granted_tasks.end(),
                             [](const auto& entry) { return entry.second.is_finished(); });
}

double GrantedJobs::waiting_cpus(Priority priority) const {
  double cpus = 0;
  for (const auto& id : waiting_) {
    const auto& job = jobs_.at(id);
    if (job.terminal_state || job.record.spec->priority < priority) continue;
    for (const auto& [index, task] : job.granted_tasks)
      if (task.status == Status::kWaiting) cpus += job.record.spec->each.cpus;
  }
  return cpus;
}

std::map<JobId, state_store::Progress> GrantedJobs::unwritten_progress() {
  std::map<JobId, state_store::Progress> out;
  for (auto& [id, job] : jobs_) {
    if (!job.unwritten) continue;
    auto progress = progress_of(job);
    bool any_finished = std::any_of(job.granted_tasks.begin(), job.granted_tasks.end(),
                                    [](const auto& entry) { return entry.second.is_finished(); });
    job.unwritten = any_finished && progress != job.recorded;  // until the recorded value equals it
    if (job.unwritten) out[id] = std::move(progress);
  }
  return out;
}

std::vector<protocol::JobProgress> GrantedJobs::progress_report(bool all) {
  std::vector<protocol::JobProgress> out;
  for (auto& [id, job] : jobs_) {
    if (!job.unreported && !(all && job.unwritten)) continue;
    job.unreported = false;
    auto progress = progress_of(job);
    auto health = std::exchange(job.unreported_health, protocol::JobHealth::kNone);
    if (progress != job.recorded || health != protocol::JobHealth::kNone)
      out.push_back({id, std::move(progress.done), std::move(progress.released), health});
  }
  return out;
}

}  // namespace beaconsill::shard
