// Strongly typed identifiers: names, sequence numbers and versions.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/strong.h"

namespace beaconsill {

// ---- Names, chosen by users, by the settings or by the cloud provider
using JobId = Strong<struct JobIdTag, std::string>;
using ControllerName = Strong<struct ControllerNameTag, std::string>;
using MachineName = Strong<struct MachineNameTag, std::string>;
using Zone = Strong<struct ZoneTag, std::string>;
using Team = Strong<struct TeamTag, std::string>;
using ImageName = Strong<struct ImageTag, std::string>;
using MachineType = Strong<struct MachineTypeTag, std::string>;

// ---- Numbers
// Identifies a shard: a fixed part of the machines that has at most one leader at a time.
using ShardId = Strong<struct ShardTag, std::uint32_t>;
// Numbers the starts of a task, in ascending order.
using Attempt = Strong<struct AttemptTag, std::uint64_t>;
// Identifies one run of a process: a restarted process has a different incarnation.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
// Numbers the messages of one sender.
using Sequence = Strong<struct SequenceTag, std::uint64_t>;
// The term of a role, which increases whenever a controller acquires the role; see FencingToken.
using Term = Strong<struct TermTag, std::uint64_t>;
// The revision of the state store, which increases with each write.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
// Identifies one of a job's grants: each chunk of tasks is granted under a generation of its own.
using Generation = Strong<struct GenerationTag, std::uint64_t>;
// Identifies a lease in the state store.
using LeaseId = Strong<struct LeaseTag, std::uint64_t>;

// Identifies a task by its job and its index within the job.
struct TaskId {
  JobId job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};

}  // namespace beaconsill

template <>
struct std::hash<beaconsill::TaskId> {
  std::size_t operator()(const beaconsill::TaskId& task) const {
    constexpr std::size_t kMultiplier = 1000003;
    return std::hash<std::string>()(task.job.value()) * kMultiplier + task.index;
  }
};
