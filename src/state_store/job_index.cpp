#include "state_store/job_index.h"

#include <utility>

namespace beaconsill::state_store {

const Job* JobIndex::find(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() || !it->second.complete ? nullptr : &it->second;
}

const DependencyKeys& JobIndex::dependency_keys(const JobId& id) const {
  static const DependencyKeys kNone;
  auto it = dependency_keys_.find(id);
  return it == dependency_keys_.end() ? kNone : it->second;
}

JobIndex::RecordChange JobIndex::apply_record(const JobId& id, const protocol::Change& change) {
  auto& job = jobs_[id];
  auto result = RecordChange::kNone;
  if (change.revision > job.created) {
    job.record = change.value ? parse_job_record(*change.value) : JobRecord{};
    job.created = change.value ? change.revision : Revision();
    job.complete = false;
    if (!job.record.spec) {
      result = RecordChange::kDeleted;
    } else if (try_complete(id, job)) {
      result = RecordChange::kCompleted;
    }
  }
  erase_if_empty(id);
  return result;
}

JobIndex::RecordChange JobIndex::apply_dependencies(const JobId& id, std::uint32_t segment,
                                                    const protocol::Change& change) {
  auto& keys = dependency_keys_[id];
  update(keys[segment], change, parse_dependency_segment);
  if (!keys[segment].exists()) keys.erase(segment);
  if (keys.empty()) dependency_keys_.erase(id);
  auto job = jobs_.find(id);
  if (job == jobs_.end() || !job->second.record.spec) return RecordChange::kNone;
  return try_complete(id, job->second) ? RecordChange::kCompleted : RecordChange::kNone;
}

void JobIndex::apply_grants(const JobId& id, const protocol::Change& change) {
  update(jobs_[id].grants, change, parse_grants);
  erase_if_empty(id);
}

void JobIndex::apply_progress(const JobId& id, ShardId shard, const protocol::Change& change) {
  auto& progress = jobs_[id].progress;
  auto& recorded = progress[shard];
  update(recorded, change, parse_progress);
  if (!recorded.exists()) progress.erase(shard);
  erase_if_empty(id);
}

void JobIndex::clear() {
  jobs_.clear();
  dependency_keys_.clear();
}

void JobIndex::erase_if_empty(const JobId& id) {
  auto it = jobs_.find(id);
  const auto& job = it->second;
  if (!job.record.spec && !job.grants.exists() && job.progress.empty()) jobs_.erase(it);
}

// Pages are read one after the other, so a job record may be read before dependency keys that were written
// earlier.
bool JobIndex::try_complete(const JobId& id, Job& job) const {
  if (job.complete) return false;
  const auto key_count = job.record.dependency_keys;
  if (key_count > 0) {
    auto spec = *job.record.spec;
    const auto& keys = dependency_keys(id);
    for (std::uint32_t segment = 0; segment < key_count; ++segment) {
      auto key = keys.find(segment);
      if (key == keys.end()) return false;
      const auto& depends_on = key->second.value.depends_on;
      spec.depends_on.insert(spec.depends_on.end(), depends_on.begin(), depends_on.end());
    }
    job.record.spec = std::make_shared<const protocol::JobSpec>(std::move(spec));
  }
  job.complete = true;
  return true;
}

}  // namespace beaconsill::state_store
