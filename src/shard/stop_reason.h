// Why a task is stopped.
#pragma once

namespace beaconsill::shard {

enum class StopReason {
  kJobEnded,        // its job was cancelled or has completed
  kRevoked,         // the scheduler revoked the job's grants
  kPreempted,       // it makes room for a task of higher priority
  kReclaimed,       // the cloud will reclaim a machine on which a task of the job runs
  kNotGranted,      // it is not granted to this shard
  kDuplicate,       // the same task runs on another machine
  kIncompleteGang,  // another task of its gang is lost, and it has not started yet
};

// Returns the reason as it is written to the log.
constexpr const char* to_string(StopReason reason) {
  switch (reason) {
    case StopReason::kJobEnded:
      return "job_ended";
    case StopReason::kRevoked:
      return "revoked";
    case StopReason::kPreempted:
      return "preempted";
    case StopReason::kReclaimed:
      return "reclaimed";
    case StopReason::kNotGranted:
      return "not_granted";
    case StopReason::kDuplicate:
      return "duplicate";
    case StopReason::kIncompleteGang:
      return "incomplete_gang";
  }
  return "unknown";
}

}  // namespace beaconsill::shard
