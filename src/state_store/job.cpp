#include "state_store/job.h"

#include <algorithm>

namespace beaconsill::state_store {

Ranges released_tasks(const Progress& progress, Generation generation) {
  for (const auto& released : progress.released)
    if (released.generation == generation) return released.tasks;
  return {};
}

Ranges& find_or_add_released(std::vector<ReleasedTasks>& released, Generation generation) {
  auto it = std::find_if(released.begin(), released.end(),
                         [&](const ReleasedTasks& entry) { return entry.generation == generation; });
  if (it == released.end()) it = released.insert(it, {generation, {}});
  return it->tasks;
}

Ranges Job::done() const {
  Ranges tasks;
  for (const auto& [shard, recorded] : progress) tasks.add(recorded.value.done);
  return tasks;
}

Ranges Job::unreleased(const Chunk& chunk) const {
  Ranges tasks = chunk.tasks;
  auto recorded = progress.find(chunk.shard);
  if (recorded != progress.end()) tasks.remove(released_tasks(recorded->second.value, chunk.generation));
  return tasks;
}

Ranges Job::outstanding(ShardId shard) const {
  Ranges tasks;
  for (const auto& chunk : grants.value.chunks)
    if (chunk.shard == shard) tasks.add(unreleased(chunk));
  if (!tasks.empty()) tasks.remove(done());
  return tasks;
}

Ranges Job::outstanding() const {
  Ranges tasks;
  for (const auto& chunk : grants.value.chunks) tasks.add(unreleased(chunk));
  tasks.remove(done());
  return tasks;
}

}  // namespace beaconsill::state_store
