#include "part/machine.h"

#include <algorithm>

namespace beaconsill::part {

void ImageCache::use(const ImageName& image, double gb, Instant now) {
  images_[image] = {gb, now};
  double sum = 0;
  for (const auto& [name, e] : images_) sum += e.gb;
  while (sum > capacity_gb_ && images_.size() > 1) {
    auto oldest = std::min_element(images_.begin(), images_.end(), [](const auto& a, const auto& b) {
      return a.second.used < b.second.used;
    });
    sum -= oldest->second.gb;
    images_.erase(oldest);
  }
}

namespace {
template <class Pred>
Resources sum_of(const std::map<TaskKey, TaskOn>& tasks, Pred counts) {
  Resources r;
  for (const auto& [id, t] : tasks)
    if (t.spec && t.state != wire::TaskState::kEnded && counts(t)) r += t.spec->each;
  return r;
}
}  // namespace

Resources Machine::used() const {
  return sum_of(tasks, [](const TaskOn&) { return true; });
}

Resources Machine::used_from(Priority p) const {
  return sum_of(tasks, [p](const TaskOn& t) { return t.spec->priority >= p; });
}

std::size_t Machine::live_tasks() const {
  return static_cast<std::size_t>(std::count_if(
      tasks.begin(), tasks.end(), [](const auto& t) { return t.second.state != wire::TaskState::kEnded; }));
}

}  // namespace beaconsill::part
