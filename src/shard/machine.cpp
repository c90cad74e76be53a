#include "shard/machine.h"

#include <algorithm>

namespace beaconsill::shard {

void ImageCache::use(const ImageName& image, double size_gb, Instant now) {
  auto [it, inserted] = images_.try_emplace(image);
  it->second = {size_gb, now};
  if (inserted) evict_to_capacity();
}

void ImageCache::evict_to_capacity() {
  double total_gb = 0;
  for (const auto& [name, entry] : images_) total_gb += entry.size_gb;
  while (total_gb > capacity_gb_ && images_.size() > 1) {
    auto oldest = std::min_element(images_.begin(), images_.end(), [](const auto& left, const auto& right) {
      return left.second.last_used < right.second.last_used;
    });
    total_gb -= oldest->second.size_gb;
    images_.erase(oldest);
  }
}

const MachineLoad& Machine::load() const {
  if (load_) return *load_;
  load_.emplace();
  for (const auto& [key, task] : tasks) {
    if (!is_live(task)) continue;
    if (task.state == protocol::TaskState::kFetching && task.spec && !images.has(task.spec->image))
      load_->fetching.insert(task.spec->image);
    // A task of an unknown job counts at the highest priority, so that no task preempts it.
    auto priority = task.spec ? task.spec->priority : Priority::kProduction;
    for (std::size_t level = 0; level <= static_cast<std::size_t>(priority); ++level) {
      ++load_->task_count_at_or_above[level];
      if (task.spec) load_->used_at_or_above[level] += task.spec->each;
    }
  }
  return *load_;
}

}  // namespace beaconsill::shard
