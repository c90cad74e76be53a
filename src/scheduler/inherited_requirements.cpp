#include "scheduler/inherited_requirements.h"

#include <algorithm>
#include <utility>

namespace beaconsill::scheduler {

Requirement stricter_of(const Requirement& a, const Requirement& b) {
  Requirement out{std::max(a.priority, b.priority), a.due_ms.size() >= b.due_ms.size() ? a.due_ms : b.due_ms};
  for (std::size_t i = 0; i < std::min(a.due_ms.size(), b.due_ms.size()); ++i)
    out.due_ms[i] = std::min(a.due_ms[i], b.due_ms[i]);
  std::sort(out.due_ms.begin(), out.due_ms.end());
  return out;
}

void InheritedRequirements::on_waiting(const JobId& job, const std::vector<JobId>& depends_on,
                                       const Requirement& own, Duration takes) {
  auto [it, fresh] = waiting_.try_emplace(job);
  if (!fresh) return;
  it->second = {depends_on, own, takes};
  // A list of what is left to do instead of recursion: chains may be thousands of jobs long.
  std::vector<JobId> stricter_now{job};
  while (!stricter_now.empty()) {
    auto next = std::move(stricter_now.back());
    stricter_now.pop_back();
    auto waiting = waiting_.find(next);
    if (waiting == waiting_.end()) continue;
    Requirement before = stricter_of(waiting->second.own, of(next));
    auto takes_ms = std::chrono::duration_cast<std::chrono::milliseconds>(waiting->second.takes).count();
    for (auto& due : before.due_ms) due -= takes_ms;
    for (const auto& dependency : waiting->second.depends_on) {
      ++visited_count_;
      auto& need = inherited_[dependency];
      auto merged = stricter_of(need, before);
      if (merged == need) continue;
      need = std::move(merged);
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
