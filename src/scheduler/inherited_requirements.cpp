#include "scheduler/inherited_requirements.h"

#include <algorithm>
#include <utility>

namespace beaconsill::scheduler {

Requirement combined_requirement(const Requirement& left, const Requirement& right) {
  const auto& more_due_times = left.due_ms.size() >= right.due_ms.size() ? left : right;
  Requirement combined{std::max(left.priority, right.priority), more_due_times.due_ms};
  for (std::size_t i = 0; i < std::min(left.due_ms.size(), right.due_ms.size()); ++i)
    combined.due_ms[i] = std::min(left.due_ms[i], right.due_ms[i]);
  std::sort(combined.due_ms.begin(), combined.due_ms.end());
  return combined;
}

void InheritedRequirements::on_wait_started(const JobId& job, const std::vector<JobId>& depends_on,
                                            const Requirement& own, Duration lead_time) {
  auto [it, is_new] = waiting_.try_emplace(job);
  if (!is_new) return;
  it->second = {depends_on, own, lead_time};
  // An explicit work list instead of recursion, because chains may be thousands of jobs long.
  std::vector<JobId> to_propagate{job};
  while (!to_propagate.empty()) {
    auto current = std::move(to_propagate.back());
    to_propagate.pop_back();
    auto waiting = waiting_.find(current);
    if (waiting == waiting_.end()) continue;
    Requirement required_of_dependencies = combined_requirement(waiting->second.own, inherited_by(current));
    auto lead_time_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(waiting->second.lead_time).count();
    for (auto& due_ms : required_of_dependencies.due_ms) due_ms -= lead_time_ms;
    for (const auto& dependency : waiting->second.depends_on) {
      ++visited_count_;
      auto& inherited = inherited_[dependency];
      auto merged = combined_requirement(inherited, required_of_dependencies);
      if (merged == inherited) continue;
      inherited = std::move(merged);
      changed_.push_back(dependency);
      to_propagate.push_back(dependency);
    }
  }
}

void InheritedRequirements::on_terminated(const JobId& job) {
  waiting_.erase(job);
  inherited_.erase(job);
}

const Requirement& InheritedRequirements::inherited_by(const JobId& job) const {
  static const Requirement kNoRequirement;
  auto it = inherited_.find(job);
  return it == inherited_.end() ? kNoRequirement : it->second;
}

std::vector<JobId> InheritedRequirements::take_changed() {
  return std::exchange(changed_, {});
}

}  // namespace beaconsill::scheduler
