#include "state_store/dependencies.h"

#include <algorithm>
#include <utility>

namespace beaconsill::state_store {

void Dependencies::on_job_record(const JobId& job, const std::vector<JobId>& depends_on,
                                 const TerminalRecordLookup& terminal_record_of) {
  if (depends_on.empty()) return;
  auto [it, inserted] = dependents_.try_emplace(job);
  if (!inserted) return;
  auto& dependent = it->second;
  dependent.depends_on = depends_on;
  dependent.has_terminal_record = terminal_record_of(job) != nullptr;
  std::optional<JobId> root;
  for (const auto& dependency : depends_on) {
    ++visited_count_;
    const auto* record = terminal_record_of(dependency);
    if (record && record->state == TerminalState::kDone) {
      dependent.ready_since = std::max(dependent.ready_since, record->completed_at);
      continue;
    }
    ++dependent.unfinished_count;
    if (record) {
      root = dependency;
    } else if (const auto* cancelled_root = cancelled_by(dependency)) {
      root = *cancelled_root;
    } else {
      dependents_of_[dependency].insert(job);
    }
  }
  if (!root || dependent.has_terminal_record) return;
  dependent.cancelled_by = root;
  unrecorded_cancellations_.insert(job);
  // Records may be read in any order, so dependents of this job may have been added before it.
  cancel_dependents(job, *root);
}

void Dependencies::on_job_record_deleted(const JobId& job) {
  auto it = dependents_.find(job);
  if (it == dependents_.end()) return;
  for (const auto& dependency : it->second.depends_on) {
    ++visited_count_;
    auto list = dependents_of_.find(dependency);
    if (list == dependents_of_.end()) continue;
    list->second.erase(job);
    if (list->second.empty()) dependents_of_.erase(list);
  }
  unrecorded_cancellations_.erase(job);
  dependents_.erase(it);
}

void Dependencies::on_terminal_record(const JobId& job, const TerminalRecord& record) {
  unrecorded_cancellations_.erase(job);
  if (auto own = dependents_.find(job); own != dependents_.end()) own->second.has_terminal_record = true;
  if (record.state == TerminalState::kCancelled) return cancel_dependents(job, job);
  auto list = dependents_of_.extract(job);
  if (!list) return;
  for (const auto& id : list.mapped()) {
    ++visited_count_;
    auto& dependent = dependents_.at(id);
    dependent.ready_since = std::max(dependent.ready_since, record.completed_at);
    if (--dependent.unfinished_count == 0) changed_.push_back(id);
  }
}

// Iterates over a work list instead of recursing, because dependency chains may be thousands of jobs long.
void Dependencies::cancel_dependents(const JobId& job, const JobId& root) {
  std::vector<JobId> cancelled{job};
  while (!cancelled.empty()) {
    auto list = dependents_of_.extract(cancelled.back());
    cancelled.pop_back();
    if (!list) continue;
    for (const auto& id : list.mapped()) {
      ++visited_count_;
      auto& dependent = dependents_.at(id);
      if (dependent.cancelled_by || dependent.has_terminal_record) continue;
      dependent.cancelled_by = root;
      unrecorded_cancellations_.insert(id);
      changed_.push_back(id);
      cancelled.push_back(id);
    }
  }
}

void Dependencies::clear() {
  dependents_.clear();
  dependents_of_.clear();
  unrecorded_cancellations_.clear();
  changed_.clear();
}

bool Dependencies::waiting(const JobId& job) const {
  auto it = dependents_.find(job);
  return it != dependents_.end() && it->second.unfinished_count > 0;
}

std::optional<WallMs> Dependencies::ready_since(const JobId& job, WallMs fallback) const {
  auto it = dependents_.find(job);
  if (it == dependents_.end() || it->second.unfinished_count > 0) return std::nullopt;
  return it->second.ready_since.value_or(fallback);
}

const JobId* Dependencies::cancelled_by(const JobId& job) const {
  auto it = dependents_.find(job);
  return it == dependents_.end() || !it->second.cancelled_by ? nullptr : &*it->second.cancelled_by;
}

std::vector<JobId> Dependencies::take_changed() {
  return std::exchange(changed_, {});
}

}  // namespace beaconsill::state_store
