// Messages of the HTTP API for users: parsing of submitted jobs, and the bodies of responses and errors.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

// A job as submitted by its user.
struct JobSpec {
  JobId id;
  std::string job_class;
  Team team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  std::uint32_t tasks = 0;
  Resources each;  // required by each task
  ImageName image;
  double image_gb = 0;
  std::optional<std::vector<MachineType>> types;  // std::nullopt: any
  std::optional<Zone> zone;                       // std::nullopt: any
  bool one_zone = false;                          // all tasks in the same zone
  bool spread = false;                            // at most half of the tasks in one zone
  bool spot = false;                              // may run on spot machines
  double estimate_s = 0;                          // expected run time of a task, in seconds
  double checkpoint_s = 0;                        // seconds between two checkpoints; 0: no checkpoints
  double save_s = 0;                              // seconds that a stopped task needs to save a checkpoint
  std::optional<double> deadline_s;               // seconds from the submission
  std::vector<JobId> depends_on;                  // jobs that must be done before any task of this job starts
};

// The maximum number of tasks of one job.
constexpr std::uint32_t kMaxTasks = 100'000;

// Returns whether the text has the form of a job id: "run-" followed by digits, at most 32 bytes in total.
bool valid_job_id(std::string_view id);
// Parses a job from a submission or from its record in the state store, which have the same form. Throws
// ProtocolError if a field is missing or invalid.
JobSpec parse_job(const Json& json);
// Serializes a job in the form that parse_job() reads.
Json job_to_json(const JobSpec& spec);
// Serializes a list of job ids, for example the dependencies of a job.
Json job_ids_to_json(const std::vector<JobId>& ids);
// Parses such a list. Throws ProtocolError if it is invalid.
std::vector<JobId> parse_job_ids(const Json& list);

// The state of a job as reported to users.
enum class JobState { kQueued, kRunning, kDone, kCancelled };
// Renders the body of the response to an accepted submission.
std::string render_submission_response(const JobId& id, JobState state);
// Renders the body of the response to a status request or a cancellation. `done` and `running` are numbers of
// tasks.
std::string render_status(const JobId& id, JobState state, std::uint32_t done, std::uint32_t running);
// Renders the body of an error response.
std::string render_error(std::string_view reason);

// Parses a task name of the form JOB/INDEX. Returns std::nullopt if the text does not have this form.
std::optional<TaskId> parse_task_id(std::string_view text);
// Returns the name of a task in the form that parse_task_id() reads.
std::string task_name(const TaskId& id);

}  // namespace beaconsill::protocol
