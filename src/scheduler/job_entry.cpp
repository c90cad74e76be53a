#include "scheduler/job_entry.h"

#include <utility>

namespace beaconsill::scheduler {
namespace {

// Returns the tasks that a chunk contains when it is written back to the state store: either only those that
// it must contain (`needed`), or also those of its `not_released` tasks that its shard has recorded as done,
// whichever takes fewer ranges. Including recorded tasks is safe because they are never started again. With
// the needed tasks only, the grants of an array whose tasks end in arbitrary order would become too large for
// one value.
Ranges select_shorter_ranges(const Ranges& needed, const Ranges& not_released, const state_store::Job& job,
                             ShardId shard) {
  auto progress = job.progress.find(shard);
  if (progress == job.progress.end() || needed.spans().size() <= not_released.spans().size()) return needed;
  Ranges with_recorded = progress->second.value.done;
  Ranges outside_chunk = with_recorded;
  outside_chunk.remove(not_released);
  with_recorded.remove(outside_chunk);
  with_recorded.add(needed);
  return with_recorded.spans().size() < needed.spans().size() ? with_recorded : needed;
}

}  // namespace

void JobEntry::update(const state_store::Job& job, std::optional<state_store::TerminalState> terminal,
                      const ProgressByShard* reported) {
  record = job.record;
  terminal_state = terminal;
  grants = job.grants.value;
  grants_revision = job.grants.revision;
  // The grants' key may exist although no task was ever granted, see IndeterminateGrants.
  granted_before = grants.last.value() > 0;
  const Ranges recorded = job.done();
  done = recorded;
  // A completed task stays completed when the shard's leader changes.
  if (reported)
    for (const auto& [shard, shard_progress] : *reported) done.add(shard_progress.progress.done);
  retained_chunks.clear();
  released_by_message.clear();
  outstanding_tasks = released_by_message_tasks = 0;
  Ranges outstanding;
  for (const auto& chunk : grants.chunks) outstanding.add(update_chunk(chunk, job, recorded, reported));
  // Tasks whose release was reported but not recorded stay charged, because the shard's next leader doesn't
  // know of the release and may start them. Jobs in a terminal state are an exception, see
  // QuotaLedger::required_terms. Done tasks aren't charged, whether recorded or only reported: if a later
  // shard leader starts such a task again, the task ends as soon as its image has been fetched.
  charged_tasks = outstanding_tasks + (terminal_state ? 0 : released_by_message_tasks);
  pending = Ranges();
  if (terminal_state) return;
  pending = Ranges::span(0, spec().tasks);
  pending.remove(done);
  pending.remove(outstanding);
}

Ranges JobEntry::update_chunk(const state_store::Chunk& chunk, const state_store::Job& job,
                              const Ranges& recorded, const ProgressByShard* reported) {
  Ranges needed = job.unreleased(chunk);
  const Ranges not_released = needed;
  needed.remove(recorded);
  Ranges released = needed;
  if (reported)
    if (auto shard_progress = reported->find(chunk.shard); shard_progress != reported->end())
      needed.remove(state_store::released_tasks(shard_progress->second.progress, chunk.generation));
  released.remove(needed);
  if (!released.empty()) released_by_message.insert(chunk.shard);
  // A new shard leader may release tasks that the previous leader reported as done.
  released.remove(done);
  released_by_message_tasks += released.count();
  if (needed.empty()) return needed;
  auto retained = chunk;
  retained.tasks = select_shorter_ranges(needed, not_released, job, chunk.shard);
  retained_chunks.push_back({needed.count(), std::move(retained)});
  needed.remove(done);
  outstanding_tasks += needed.count();
  return needed;
}

std::size_t JobEntry::grants_size() const {
  std::size_t size = 0;
  for (const auto& retained : retained_chunks) size += 1 + retained.chunk.tasks.spans().size();
  return size;
}

}  // namespace beaconsill::scheduler
