// Loads the policy file, which contains the parameters that operators can tune. Each line has the form
// `name = expression`, and '#' begins a comment.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "config/settings.h"

namespace beaconsill::config {

struct Policy {
  Duration reply_wait;       // time that the leader waits for a shard's estimate before it uses the summary
  std::uint32_t task_cap;    // maximum number of tasks on one machine
  Duration summary_period;   // interval at which a shard sends the summary of its capacity
  double reserve;            // fraction of each machine that array jobs leave free for services
  Duration grace;            // time without contact after which a machine is deleted, to confirm that it
                             // is terminated
  Duration idle_return;      // idle time after which a machine is returned to the cloud
  Duration quiet_return;     // idle time after which a machine is returned while there are no jobs at all
  Duration fail_back_delay;  // time that a shard's preferred controller must be healthy before the shard
                             // fails back to it
  Duration longest_wait;     // time without any started task after which a job moves to the head of the queue
};

// Describes a policy variable to operators.
struct PolicyVariable {
  std::string name;
  std::string type;
  std::string expression;  // the default value, as an expression
  std::string meaning;
};

// Returns all policy variables with their default expressions.
std::vector<PolicyVariable> default_variables();
// Returns a listing of the names that expressions can use, with their values for these settings, one per
// line.
std::string describe_names(const Settings& settings);

// Reads and parses the policy file at `path`. If `path` is empty, returns the default policy. Throws
// ConfigError.
Policy load_policy(const std::string& path, const Settings& settings);
// Parses the text of a policy file. `path` is only used in error messages. Throws ConfigError.
Policy parse_policy(std::string_view text, const std::string& path, const Settings& settings);

}  // namespace beaconsill::config
