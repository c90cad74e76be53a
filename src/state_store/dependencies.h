// Which jobs wait for which, and what follows from how those ended. A job starts only after every job that it
// depends on is done; it's cancelled as soon as one of them is, directly or through others. Both are
// functions of records that are written once and never changed (the job's and the terminal record): every
// controller that has read the same records comes to the same result, and no later record takes it back.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "state_store/records.h"

namespace beaconsill::state_store {

// Not thread-safe; StateView owns it.
class Dependencies {
 public:
  // The terminal record of a job; null: there is none.
  using Lookup = std::function<const TerminalRecord*(const JobId&)>;

  // The record of a job with dependencies was read. Repeating it changes nothing.
  void on_record(const JobId& job, const std::vector<JobId>& depends_on, const Lookup& terminal_record_of);
  // The record was deleted, which happens only once the job has a terminal record of its own.
  void on_record_dropped(const JobId& job);
  // The terminal record of any job was read.
  void on_terminal_record(const JobId& job, const TerminalRecord& record);
  void clear();

  // Whether some job that this one depends on isn't done yet.
  bool waiting(const JobId& job) const;
  // When the last job that it depends on was done, `if_unknown` if no record says so; none: it waits, or
  // depends on nothing.
  std::optional<WallMs> ready_since(const JobId& job, WallMs if_unknown) const;
  // The job whose recorded cancellation reaches this one through its dependencies; null: none does.
  const JobId* cancelled_by(const JobId& job) const;
  // Cancelled through others, without a terminal record of their own yet.
  const std::set<JobId>& unrecorded() const { return unrecorded_; }
  // Jobs that have become ready, or were cancelled through others, since the last call.
  std::vector<JobId> take_changed();
  // Jobs looked at so far: an event must cost no more than the jobs whose state it changes.
  std::uint64_t visited_count() const { return visited_count_; }

 private:
  struct Dependent {
    std::vector<JobId> depends_on;
    std::size_t unfinished = 0;  // of them, those that aren't done
    std::optional<WallMs> ready_since;
    std::optional<JobId> cancelled_by;
    bool has_terminal_record = false;
  };
  // `job` is cancelled: so is all that depends on it.
  void cancel_dependents(const JobId& job, const JobId& root);

  std::unordered_map<JobId, Dependent> dependents_;
  // By a job without a terminal record, those that depend on it.
  std::unordered_map<JobId, std::set<JobId>> dependents_of_;
  std::set<JobId> unrecorded_;
  std::vector<JobId> changed_;
  std::uint64_t visited_count_ = 0;
};

}  // namespace beaconsill::state_store
