// The operators' own settings: one `name = expression` a line, '#' begins a comment.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "config/settings.h"

namespace beaconsill::config {

struct Policy {
  Duration reply_wait;      // how long the leader waits for a shard's estimate before it uses the summary
  std::uint32_t task_cap;   // most tasks on one machine
  Duration summary_period;  // how often a shard sends its free-room summary
  double reserve;           // share of each machine that arrays leave free for services
  Duration grace;           // silence after which a machine is proved gone by deleting it
  Duration idle_return;     // how long a machine is idle before it is returned
  Duration quiet_return;    // the same when no job is left at all
  Duration home_delay;      // how long a shard's home controller is well before it gets the shard back
  Duration longest_wait;    // how long a job may get nothing before it goes to the head of the queue
};

struct PolicyVariable {
  std::string name;
  std::string type;
  std::string expression;
  std::string meaning;
};

// The knobs with their compiled-in expressions.
std::vector<PolicyVariable> default_variables();
// The names that expressions may use, with their values for these settings.
std::string describe_names(const Settings& s);

// Throws ConfigError. An empty path gives the defaults.
Policy load_policy(const std::string& path, const Settings& s);
Policy parse_policy(std::string_view text, const std::string& path, const Settings& s);

}  // namespace beaconsill::config
