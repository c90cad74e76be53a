// Names, numbers and versions that identify things.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/strong.h"

namespace beaconsill {

// ---- Names, given by users, settings or the cloud
using JobId = Strong<struct JobIdTag, std::string>;
using ControllerName = Strong<struct ControllerNameTag, std::string>;
using MachineName = Strong<struct MachineNameTag, std::string>;
using Zone = Strong<struct ZoneTag, std::string>;
using Team = Strong<struct TeamTag, std::string>;
using ImageName = Strong<struct ImageTag, std::string>;
using MachineType = Strong<struct MachineTypeTag, std::string>;

// ---- Numbers
// A fixed part of the machines, with one shard leader at a time.
using ShardId = Strong<struct ShardTag, std::uint32_t>;
// Of a task's starts, ascending.
using Attempt = Strong<struct AttemptTag, std::uint64_t>;
// Of a process: a restarted one has another.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
// Of the messages from one sender.
using Sequence = Strong<struct SequenceTag, std::uint64_t>;
// Of a role, raised whenever a process acquires it; see FencingToken.
using Term = Strong<struct TermTag, std::uint64_t>;
// Of the state store, raised by each write.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
// Of a job's grants: each chunk of tasks is granted under one of its own.
using Generation = Strong<struct GenerationTag, std::uint64_t>;
// Of a lease that the state store holds.
using LeaseId = Strong<struct LeaseTag, std::uint64_t>;

// One task of a job, by its number in the job.
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
