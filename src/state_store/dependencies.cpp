#include "state_store/dependencies.h"

#include <algorithm>

namespace beaconsill::state_store {

void Dependencies::on_record(const JobId& job, const std::vector<JobId>& depends_on, const Lookup& ends) {
  if (depends_on.empty()) return;
  auto [it, fresh] = waiters_.try_emplace(job);
  if (!fresh) return;
  auto& waiter = it->second;
  waiter.depends_on = depends_on;
  waiter.ended = ends(job) != nullptr;
  std::optional<JobId> root;
  for (const auto& dependency : depends_on) {
    ++visited_count_;
    const auto* terminal_record = ends(dependency);
    if (terminal_record && terminal_record->end == TerminalState::kDone) {
      waiter.since = std::max(waiter.since, terminal_record->at);
      continue;
    }
    ++waiter.open;
    if (terminal_record) {
      root = dependency;
    } else if (const auto* through = cancelled_by(dependency)) {
      root = *through;
    } else {
      dependents_[dependency].insert(job);
    }
  }
  if (!root || waiter.ended) return;
  waiter.cancelled_by = root;
  unrecorded_.insert(job);
  // Changes may be read in any order: what awaits this job may have been there before it.
  cancel_dependents(job, *root);
}

void Dependencies::on_record_dropped(const JobId& job) {
  auto it = waiters_.find(job);
  if (it == waiters_.end()) return;
  for (const auto& dependency : it->second.depends_on) {
    ++visited_count_;
    auto list = dependents_.find(dependency);
    if (list == dependents_.end()) continue;
    list->second.erase(job);
    if (list->second.empty()) dependents_.erase(list);
  }
  unrecorded_.erase(job);
  waiters_.erase(it);
}

void Dependencies::on_end(const JobId& job, const TerminalRecord& terminal_record) {
  unrecorded_.erase(job);
  if (auto own = waiters_.find(job); own != waiters_.end()) own->second.ended = true;
  if (terminal_record.end == TerminalState::kCancelled) return cancel_dependents(job, job);
  auto list = dependents_.extract(job);
  if (!list) return;
  for (const auto& dependent : list.mapped()) {
    ++visited_count_;
    auto& waiter = waiters_.at(dependent);
    waiter.since = std::max(waiter.since, terminal_record.at);
    if (--waiter.open == 0) changed_.push_back(dependent);
  }
}

// A list of what is left to do instead of recursion: chains may be thousands of jobs long.
void Dependencies::cancel_dependents(const JobId& job, const JobId& root) {
  std::vector<JobId> cancelled{job};
  while (!cancelled.empty()) {
    auto list = dependents_.extract(cancelled.back());
    cancelled.pop_back();
    if (!list) continue;
    for (const auto& dependent : list.mapped()) {
      ++visited_count_;
      auto& waiter = waiters_.at(dependent);
      if (waiter.cancelled_by || waiter.ended) continue;
      waiter.cancelled_by = root;
      unrecorded_.insert(dependent);
      changed_.push_back(dependent);
      cancelled.push_back(dependent);
    }
  }
}

void Dependencies::clear() {
  waiters_.clear();
  dependents_.clear();
  unrecorded_.clear();
  changed_.clear();
}

bool Dependencies::waiting(const JobId& job) const {
  auto it = waiters_.find(job);
  return it != waiters_.end() && it->second.open > 0;
}

std::optional<WallMs> Dependencies::ready_since(const JobId& job) const {
  auto it = waiters_.find(job);
  if (it == waiters_.end() || it->second.open > 0) return std::nullopt;
  return it->second.since;
}

const JobId* Dependencies::cancelled_by(const JobId& job) const {
  auto it = waiters_.find(job);
  return it == waiters_.end() || !it->second.cancelled_by ? nullptr : &*it->second.cancelled_by;
}

std::vector<JobId> Dependencies::take_changed() {
  return std::exchange(changed_, {});
}

}  // namespace beaconsill::state_store
