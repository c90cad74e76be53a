// The scheduler's view of one job: its record, its grants and what became of them.
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

// A chunk that the job's grants have to go on holding.
struct RetainedChunk {
  std::uint32_t unreleased_tasks = 0;  // neither recorded as done nor released
  state_store::Chunk chunk;            // as it's to be written
};

struct JobEntry {
  state_store::JobRecord record;
  std::optional<state_store::TerminalState> terminal_state;
  state_store::Grants grants;
  Revision grants_revision;
  Ranges pending;  // tasks to grant: neither outstanding nor done; empty once the job is over
  Ranges done;     // recorded or reported
  // Also holds tasks that a shard leader reported as done until it has recorded that.
  std::vector<RetainedChunk> retained_chunks;
  std::uint32_t outstanding_tasks = 0;          // granted, neither done nor released
  std::uint32_t released_by_message_tasks = 0;  // released by messages only, without a record
  std::uint32_t charged_tasks = 0;              // charged to the team's quota
  std::set<ShardId> released_by_message;        // shards whose leaders sent those messages
  WallMs counts_from;                           // submission, or when its last dependency was done
  Requirement requirement;                      // its own, and what it inherits from dependent jobs
  bool granted_before = false;
  // Size of its grants (see grants_size) when they last didn't fit into one value; none: they do.
  std::optional<std::size_t> oversized_at;
  Instant waiting_since{};
  std::optional<Instant> last_considered;  // when it was last in an estimation round
  std::optional<Instant> last_granted;

  const protocol::JobSpec& spec() const { return *record.spec; }
  bool is_gang() const { return record.spec->kind == JobKind::kGang; }
  bool is_service() const { return record.spec->kind == JobKind::kService; }

  // Recomputes all that follows from the state store and from `reported` (may be null), except the times and
  // the requirement.
  void update(const state_store::Job& job, std::optional<state_store::TerminalState> terminal,
              const ProgressByShard* reported);
  // Chunks and ranges that the value of its grants has to hold.
  std::size_t grants_size() const;
  // When it began to wait, or was last granted tasks.
  Instant waiting_or_granted_since() const {
    return last_granted ? std::max(waiting_since, *last_granted) : waiting_since;
  }

 private:
  // Returns the chunk's outstanding tasks.
  Ranges update_chunk(const state_store::Chunk& chunk, const state_store::Job& job, const Ranges& recorded,
                      const ProgressByShard* reported);
};

}  // namespace beaconsill::scheduler
