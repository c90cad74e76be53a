// The scheduler's view of one job: its record, its grants and the state of the granted tasks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "base/ranges.h"
#include "base/types.h"
#include "scheduler/inherited_requirements.h"
#include "scheduler/reported_progress.h"
#include "state_store/state_view.h"

namespace beaconsill::scheduler {

// A chunk that must stay part of the job's grants.
struct RetainedChunk {
  std::uint32_t unreleased_tasks = 0;  // tasks that are neither recorded as done nor released
  state_store::Chunk chunk;            // the chunk as it has to be written back to the state store
};

struct JobEntry {
  state_store::JobRecord record;
  std::optional<state_store::TerminalState> terminal_state;
  state_store::Grants grants;
  Revision grants_revision;
  Ranges pending;  // tasks that are neither outstanding nor done; empty if the job is in a terminal state
  Ranges done;     // tasks that are recorded or reported as done
  // Includes tasks that a shard leader has reported as done but not yet recorded.
  std::vector<RetainedChunk> retained_chunks;
  std::uint32_t outstanding_tasks = 0;  // granted, neither done nor released
  // Tasks whose release a shard leader has reported in a message but not recorded in the state store.
  std::uint32_t released_by_message_tasks = 0;
  std::uint32_t charged_tasks = 0;        // charged to the team's quota
  std::set<ShardId> released_by_message;  // shards whose leaders reported those releases
  WallMs eligible_since;                  // submission, or completion of the last dependency
  Requirement requirement;                // the job's own, combined with that of dependent jobs
  bool granted_before = false;
  // The size of the grants (see grants_size) when they last exceeded the size limit of a value in the state
  // store; std::nullopt if they are within the limit.
  std::optional<std::size_t> oversized_grants_size;
  Instant waiting_since{};
  std::optional<Instant> last_considered;  // when the job last took part in an estimation round
  std::optional<Instant> last_granted;

  const protocol::JobSpec& spec() const { return *record.spec; }
  bool is_gang() const { return record.spec->kind == JobKind::kGang; }
  bool is_service() const { return record.spec->kind == JobKind::kService; }

  // Recomputes the members that are derived from the state store and from `reported` (may be null). The times
  // and the requirement are not changed.
  void update(const state_store::Job& job, std::optional<state_store::TerminalState> terminal,
              const ProgressByShard* reported);
  // Returns the number of retained chunks plus the number of their ranges, as a measure of the size of the
  // grants' value in the state store.
  std::size_t grants_size() const;
  // Returns when the job began to wait or was last granted tasks, whichever is later.
  Instant waiting_or_granted_since() const {
    return last_granted ? std::max(waiting_since, *last_granted) : waiting_since;
  }

 private:
  // Updates the members for one chunk and returns the chunk's outstanding tasks.
  Ranges update_chunk(const state_store::Chunk& chunk, const state_store::Job& job, const Ranges& recorded,
                      const ProgressByShard* reported);
};

}  // namespace beaconsill::scheduler
