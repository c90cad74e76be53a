// The terminal records of jobs: whether they are done or cancelled.
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
  // Applies a change if it's newer than what is known. Returns the record if there is a new one, else null.
  // Throws ProtocolError for a value that isn't understood.
  const TerminalRecord* apply(const JobId& id, const protocol::Change& change);
  void clear();

  // Version 0: none is recorded.
  const Versioned<TerminalRecord>& find(const JobId& id) const;
  // All jobs with the record of a cancellation, the oldest first.
  const std::set<protocol::CancelledJob>& cancelled() const { return cancelled_; }
  const std::unordered_map<JobId, Versioned<TerminalRecord>>& all() const { return records_; }

 private:
  std::unordered_map<JobId, Versioned<TerminalRecord>> records_;
  std::set<protocol::CancelledJob> cancelled_;
};

}  // namespace beaconsill::state_store
