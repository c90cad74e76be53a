#include "scheduler/job_entry.h"

#include <utility>

namespace beaconsill::scheduler {
namespace {

// A chunk is written with the tasks it has to hold (`needed`), or with the tasks that its shard has recorded
// as done as well, whichever takes fewer ranges; nobody starts recorded tasks. Otherwise an array whose tasks
// end in no order would outgrow its value.
Ranges shorter_chunk(const Ranges& needed, const Ranges& not_released, const state_store::Job& job,
                     ShardId shard) {
  auto progress = job.progress.find(shard);
  if (progress == job.progress.end() || needed.spans().size() <= not_released.spans().size()) return needed;
  Ranges whole = progress->second.value.done;
  Ranges others = whole;
  others.remove(not_released);
  whole.remove(others);
  whole.add(needed);
  return whole.spans().size() < needed.spans().size() ? whole : needed;
}

}  // namespace

void JobEntry::update(const state_store::Job& job, std::optional<state_store::TerminalState> terminal,
                      const ProgressByShard* reported) {
  record = job.record;
  terminal_state = terminal;
  grants = job.grants.value;
  grants_revision = job.grants.revision;
  // The key of the grants may exist without any grant: see IndeterminateGrants.
  granted_before = grants.last.value() > 0;
  const Ranges recorded = job.done();
  done = recorded;
  // That a task is done stays true whoever leads the shard.
  if (reported)
    for (const auto& [shard, shard_progress] : *reported) done.add(shard_progress.progress.done);
  retained_chunks.clear();
  released_by_message.clear();
  outstanding_tasks = released_by_message_tasks = 0;
  Ranges outstanding;
  for (const auto& chunk : grants.chunks) outstanding.add(update_chunk(chunk, job, recorded, reported));
  // Tasks released by message only stay charged: the shard's next leader doesn't know of the release and may
  // start them. Not so for a job that is over, see QuotaLedger::required_terms. Done tasks aren't charged,
  // recorded or not: if one is started again, it ends as soon as it has its image.
  charged_tasks = outstanding_tasks + (terminal_state ? 0 : released_by_message_tasks);
  pending = Ranges();
  if (terminal_state) return;
  pending = Ranges::span(0, spec().tasks);
  pending.remove(done);
  pending.remove(outstanding);
}

Ranges JobEntry::update_chunk(const state_store::Chunk& chunk, const state_store::Job& job,
                              const Ranges& recorded, const ProgressByShard* reported) {
  Ranges held = job.unreleased(chunk);
  const Ranges not_released = held;
  held.remove(recorded);
  Ranges released = held;
  if (reported)
    if (auto shard_progress = reported->find(chunk.shard); shard_progress != reported->end())
      held.remove(state_store::released_tasks(shard_progress->second.progress, chunk.generation));
  released.remove(held);
  if (!released.empty()) released_by_message.insert(chunk.shard);
  // A new shard leader may release tasks that the one before it reported as done.
  released.remove(done);
  released_by_message_tasks += released.count();
  if (held.empty()) return held;
  auto retained = chunk;
  retained.tasks = shorter_chunk(held, not_released, job, chunk.shard);
  retained_chunks.push_back({held.count(), std::move(retained)});
  held.remove(done);
  outstanding_tasks += held.count();
  return held;
}

std::size_t JobEntry::grants_size() const {
  std::size_t size = 0;
  for (const auto& retained : retained_chunks) size += 1 + retained.chunk.tasks.spans().size();
  return size;
}

}  // namespace beaconsill::scheduler
