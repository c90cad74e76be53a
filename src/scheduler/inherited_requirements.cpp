#include "scheduler/inherited_requirements.h"

#include <algorithm>
#include <utility>

namespace beaconsill::scheduler {

Requirement stricter_of(const Requirement& first, const Requirement& second) {
  const auto& longer = first.due_ms.size() >= second.due_ms.size() ? first : second;
  Requirement stricter{std::max(first.priority, second.priority), longer.due_ms};
  for (std::size_t i = 0; i < std::min(first.due_ms.size(), second.due_ms.size()); ++i)
    stricter.due_ms[i] = std::min(first.due_ms[i], second.due_ms[i]);
  std::sort(stricter.due_ms.begin(), stricter.due_ms.end());
  return stricter;
}

void InheritedRequirements::on_waiting(const JobId& job, const std::vector<JobId>& depends_on,
                                       const Requirement& own, Duration takes) {
  auto [it, is_new] = waiting_.try_emplace(job);
  if (!is_new) return;
  it->second = {depends_on, own, takes};
  // A work list instead of recursion: chains may be thousands of jobs long.
  std::vector<JobId> stricter_now{job};
  while (!stricter_now.empty()) {
    auto next = std::move(stricter_now.back());
    stricter_now.pop_back();
    auto waiting = waiting_.find(next);
    if (waiting == waiting_.end()) continue;
    Requirement of_dependencies = stricter_of(waiting->second.own, of(next));
    auto takes_ms = std::chrono::duration_cast<std::chrono::milliseconds>(waiting->second.takes).count();
    for (auto& due_ms : of_dependencies.due_ms) due_ms -= takes_ms;
    for (const auto& dependency : waiting->second.depends_on) {
      ++visited_count_;
      auto& inherited = inherited_[dependency];
      auto merged = stricter_of(inherited, of_dependencies);
      if (merged == inherited) continue;
      inherited = std::move(merged);
      changed_.push_back(dependency);
      stricter_now.push_back(dependency);
    }
  }
}

void InheritedRequirements::on_over(const JobId& job) {
  waiting_.erase(job);
  inherited_.erase(job);
}

const Requirement& InheritedRequirements::of(const JobId& job) const {
  static const Requirement kNothing;
  auto it = inherited_.find(job);
  return it == inherited_.end() ? kNothing : it->second;
}

std::vector<JobId> InheritedRequirements::take_changed() {
  return std::exchange(changed_, {});
}

}  // namespace beaconsill::scheduler
