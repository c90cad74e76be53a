// What users and the service say to each other.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

struct JobSpec {
  JobId id;
  std::string job_class;
  Team team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  std::uint32_t tasks = 0;
  Resources each;
  ImageName image;
  double image_gb = 0;
  std::optional<std::vector<MachineType>> types;
  std::optional<Zone> zone;
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double estimate_s = 0;
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;
  std::vector<JobId> depends_on;  // jobs that have to be done before any task of this one starts
};

constexpr std::uint32_t kMaxTasks = 100'000;

// The form that every job id has.
bool valid_job_id(std::string_view id);
// Throws ProtocolError.
JobSpec parse_job(const Json& j);
Json job_to_json(const JobSpec& spec);
// Of ids as `awaits` holds them. Parser: ProtocolError.
Json job_ids_to_json(const std::vector<JobId>& ids);
std::vector<JobId> parse_job_ids(const Json& list);

enum class JobState { kQueued, kRunning, kDone, kCancelled };
std::string render_accepted(const JobId& id, JobState state);
std::string render_status(const JobId& id, JobState state, std::uint32_t done, std::uint32_t running);
std::string render_error(std::string_view reason);

// Task names are JOB/NUMBER.
std::optional<TaskId> parse_task_id(std::string_view text);
std::string task_name(const TaskId& id);

}  // namespace beaconsill::protocol
