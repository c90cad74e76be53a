// The users' protocol: jobs, their status and errors.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

// A job as its user submits it.
struct JobSpec {
  JobId id;
  std::string job_class;
  Team team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  std::uint32_t tasks = 0;
  Resources each;  // of a task
  ImageName image;
  double image_gb = 0;
  std::optional<std::vector<MachineType>> types;  // none: any
  std::optional<Zone> zone;                       // none: any
  bool one_zone = false;                          // all tasks in the same zone
  bool spread = false;                            // at most half of the tasks in one zone
  bool spot = false;                              // may run on spot machines
  double estimate_s = 0;                          // expected run time of a task
  double checkpoint_s = 0;                        // between two checkpoints; 0: none
  double save_s = 0;                              // to save a checkpoint when stopped
  std::optional<double> deadline_s;
  std::vector<JobId> depends_on;  // jobs that have to be done before any task of this one starts
};

// Tasks of one job, at most.
constexpr std::uint32_t kMaxTasks = 100'000;

// Whether a text has the form of a job id.
bool valid_job_id(std::string_view id);
// A submission, or the same as the state store holds it. Throws ProtocolError.
JobSpec parse_job(const Json& json);
// The reverse of parse_job().
Json job_to_json(const JobSpec& spec);
// A list of job ids, as a job holds its dependencies. The parser throws ProtocolError.
Json job_ids_to_json(const std::vector<JobId>& ids);
std::vector<JobId> parse_job_ids(const Json& list);

// What users see of a job.
enum class JobState { kQueued, kRunning, kDone, kCancelled };
// The body of the response to a submission.
std::string render_accepted(const JobId& id, JobState state);
// The body of the response to a status request or a cancellation. `done`, `running`: numbers of tasks.
std::string render_status(const JobId& id, JobState state, std::uint32_t done, std::uint32_t running);
// The body of a refusal.
std::string render_error(std::string_view reason);

// Tasks are named JOB/NUMBER. None: the text is no such name.
std::optional<TaskId> parse_task_id(std::string_view text);
// The reverse of parse_task_id().
std::string task_name(const TaskId& id);

}  // namespace beaconsill::protocol
