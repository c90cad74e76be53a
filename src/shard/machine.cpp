#include "shard/machine.h"

#include <algorithm>

namespace beaconsill::shard {

void ImageCache::use(const ImageName& image, double gb, Instant now) {
  auto [it, fresh] = images_.try_emplace(image);
  it->second = {gb, now};
  if (!fresh) return;
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

const MachineLoad& Machine::load() const {
  if (load_) return *load_;
  load_.emplace();
  for (const auto& [key, t] : tasks) {
    if (t.state == protocol::TaskState::kEnded) continue;
    if (t.state == protocol::TaskState::kFetching && t.spec && !images.has(t.spec->image))
      load_->fetching.insert(t.spec->image);
    // What isn't known can't be stopped for anything.
    auto priority = t.spec ? t.spec->priority : Priority::kProduction;
    for (std::size_t p = 0; p <= static_cast<std::size_t>(priority); ++p) {
      ++load_->tasks_from[p];
      if (t.spec) load_->used_from[p] += t.spec->each;
    }
  }
  return *load_;
}

}  // namespace beaconsill::shard
