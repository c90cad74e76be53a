// The operators' own settings: one `name = expression` a line, '#' begins a comment.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "config/settings.h"

namespace beaconsill::config {

struct Policy {
  Duration reply_wait;      // how long the leader waits for a shard's estimate before it uses the summary
  std::uint32_t task_cap;   // most tasks on one machine
  Duration summary_period;  // how often a shard sends the summary of its capacity
  double reserve;           // share of each machine that arrays leave free for services
  Duration grace;           // silence after which a machine is deleted, which proves it terminated
  Duration idle_return;     // how long a machine is idle before it is returned
  Duration quiet_return;    // the same when no job is left at all
  Duration
      fail_back_delay;    // how long a shard's preferred controller is well before the shard fails back to it
  Duration longest_wait;  // how long a job may get nothing before it goes to the head of the queue
};

// A variable of the policy as it's described to operators.
struct PolicyVariable {
  std::string name;
  std::string type;
  std::string expression;  // the default
  std::string meaning;
};

// The variables with their default expressions.
std::vector<PolicyVariable> default_variables();
// The names that expressions may use, with their values for these settings.
std::string describe_names(const Settings& settings);

// Throws ConfigError. An empty path gives the defaults.
Policy load_policy(const std::string& path, const Settings& settings);
// `path`: named in errors.
Policy parse_policy(std::string_view text, const std::string& path, const Settings& settings);

}  // namespace beaconsill::config
