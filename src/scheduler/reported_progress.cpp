#include "scheduler/reported_progress.h"

#include "state_store/job.h"

namespace beaconsill::scheduler {
void ReportedProgress::on_report(const protocol::ProgressReport& report) {
  bool current = terms_.is_current(report.shard, report.term);
  for (const auto& job : report.jobs) {
    auto& reported = by_job_[job.job][report.shard];
    reported.progress.done.add(job.done);
    if (!current) continue;
    if (reported.term != report.term) reported.progress.released.clear();
    reported.term = report.term;
    // Within a term releases are only added: a release of a generation remains valid, and copies of a report
    // may arrive late and in any order.
    for (const auto& released : job.released)
      state_store::find_or_add_released(reported.progress.released, released.generation).add(released.tasks);
  }
}

std::vector<JobId> ReportedProgress::on_terms(const ShardTerms& terms) {
  std::vector<JobId> changed;
  if (terms == terms_) return changed;
  terms_ = terms;
  for (auto& [job, shards] : by_job_) {
    for (auto& [shard, reported] : shards) {
      if (reported.progress.released.empty() || terms_.is_current(shard, reported.term)) continue;
      reported.progress.released.clear();
      changed.push_back(job);
    }
  }
  return changed;
}

const ProgressByShard* ReportedProgress::find(const JobId& job) const {
  auto it = by_job_.find(job);
  return it == by_job_.end() ? nullptr : &it->second;
}

}  // namespace beaconsill::scheduler
