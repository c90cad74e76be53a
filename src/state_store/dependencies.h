// Which jobs wait for which, and what follows from how those ended. A job starts only after every job that it
// awaits is done; it's cancelled as soon as one of them is, directly or through others. Both are functions of
// records that are written once and never changed (`jobs/`, `ends/`): every controller that has read the same
// records comes to the same result, and no later record takes it back.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "state_store/records.h"

namespace beaconsill::state_store {

class Dependencies {
 public:
  // How a job ended, if that is recorded; null: it isn't.
  using Lookup = std::function<const TerminalRecord*(const JobId&)>;

  // The record of a job that awaits others was read. Repeating it changes nothing.
  void on_record(const JobId& job, const std::vector<JobId>& depends_on, const Lookup& ends);
  // The record was dropped, which happens only once the job's own end is recorded.
  void on_record_dropped(const JobId& job);
  // The end of any job was recorded.
  void on_end(const JobId& job, const TerminalRecord& terminal_record);
  void clear();

  // Whether some job that this one awaits isn't done yet.
  bool waiting(const JobId& job) const;
  // When the last job that it awaits was done (0: not known); none: it waits, or awaits nothing.
  std::optional<WallMs> ready_since(const JobId& job) const;
  // The job whose recorded cancellation reaches this one through those that it awaits; null: none does.
  const JobId* cancelled_by(const JobId& job) const;
  // Cancelled through others, without an end of their own in the state store yet.
  const std::set<JobId>& unrecorded() const { return unrecorded_; }
  // Jobs whose wait ended, or that were cancelled through others, since the last call.
  std::vector<JobId> take_changed();
  // Jobs looked at so far: an event must cost no more than the jobs whose state it changes.
  std::uint64_t visited_count() const { return visited_count_; }

 private:
  struct Waiter {
    std::vector<JobId> depends_on;
    std::size_t open = 0;  // of them, those that aren't done
    WallMs since;
    std::optional<JobId> cancelled_by;
    bool ended = false;  // its own end is recorded
  };
  // `job` is cancelled: so is all that awaits it.
  void cancel_dependents(const JobId& job, const JobId& root);

  std::unordered_map<JobId, Waiter> waiters_;
  // By the job that isn't over yet, those that await it.
  std::unordered_map<JobId, std::set<JobId>> dependents_;
  std::set<JobId> unrecorded_;
  std::vector<JobId> changed_;
  std::uint64_t visited_count_ = 0;
};

}  // namespace beaconsill::state_store
