// Indexes the terminal records of jobs, which state whether a job is done or cancelled.
#pragma once

#include <set>
#include <unordered_map>

#include "protocol/task_records.h"
#include "state_store/records.h"
#include "state_store/versioned.h"

namespace beaconsill::state_store {

// Not thread-safe.
class TerminalRecords {
 public:
  // Applies a change if it is newer than the stored record. Returns the new record, or null if the change was
  // stale or deleted the record. Throws ProtocolError for a malformed value.
  const TerminalRecord* apply(const JobId& id, const protocol::Change& change);
  void clear();

  // Returns an entry with revision 0 if the job has no terminal record.
  const Versioned<TerminalRecord>& find(const JobId& id) const;
  // Returns all jobs with a recorded cancellation, ordered by the revision of the record.
  const std::set<protocol::CancelledJob>& cancelled() const { return cancelled_; }
  const std::unordered_map<JobId, Versioned<TerminalRecord>>& all() const { return records_; }

 private:
  std::unordered_map<JobId, Versioned<TerminalRecord>> records_;
  std::set<protocol::CancelledJob> cancelled_;
};

}  // namespace beaconsill::state_store
