#include "lead/pipeline.h"

#include <algorithm>
#include <utility>

namespace beaconsill::lead {

Need stricter(const Need& a, const Need& b) {
  Need out{std::max(a.priority, b.priority), a.due_ms.size() >= b.due_ms.size() ? a.due_ms : b.due_ms};
  for (std::size_t i = 0; i < std::min(a.due_ms.size(), b.due_ms.size()); ++i)
    out.due_ms[i] = std::min(a.due_ms[i], b.due_ms[i]);
  std::sort(out.due_ms.begin(), out.due_ms.end());
  return out;
}

void PipelineNeeds::on_waiting(const JobId& job, const std::vector<JobId>& awaits, const Need& own,
                               Duration takes) {
  auto [it, fresh] = waiting_.try_emplace(job);
  if (!fresh) return;
  it->second = {awaits, own, takes};
  // A list of what is left to do instead of recursion: chains may be thousands of jobs long.
  std::vector<JobId> stricter_now{job};
  while (!stricter_now.empty()) {
    auto next = std::move(stricter_now.back());
    stricter_now.pop_back();
    auto waiting = waiting_.find(next);
    if (waiting == waiting_.end()) continue;
    Need before = stricter(waiting->second.own, of(next));
    auto takes_ms = std::chrono::duration_cast<std::chrono::milliseconds>(waiting->second.takes).count();
    for (auto& due : before.due_ms) due -= takes_ms;
    for (const auto& awaited : waiting->second.awaits) {
      ++effort_;
      auto& need = needs_[awaited];
      auto merged = stricter(need, before);
      if (merged == need) continue;
      need = std::move(merged);
      changed_.push_back(awaited);
      stricter_now.push_back(awaited);
    }
  }
}

void PipelineNeeds::on_over(const JobId& job) {
  waiting_.erase(job);
  needs_.erase(job);
}

const Need& PipelineNeeds::of(const JobId& job) const {
  static const Need kNothing;
  auto it = needs_.find(job);
  return it == needs_.end() ? kNothing : it->second;
}

std::vector<JobId> PipelineNeeds::take_changed() {
  return std::exchange(changed_, {});
}

}  // namespace beaconsill::lead
