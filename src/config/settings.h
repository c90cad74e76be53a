// Loads and validates the settings file, which the platform that starts the controller provides.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"

namespace beaconsill::config {

// The settings or the policy are invalid. The text names the file, the field or line, and the reason.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One of the other controllers of the cluster.
struct PeerSettings {
  ControllerName controller;
  Zone zone;
  std::string address;
};

// The guaranteed resources and the resource limits of a team.
struct TeamSettings {
  Team name;
  double cpus = 0;      // guaranteed CPUs
  double cpus_max = 0;  // limit; 0 means no limit
  double gpus = 0;      // guaranteed GPUs
  double gpus_max = 0;  // limit; 0 means no limit
};

// A service-level objective of the cluster.
struct Objective {
  std::string kind;
  std::string job_class;  // the class of jobs it applies to; empty means all jobs
  double share = 0;       // the fraction of these jobs that must meet the objective
  double within_s = 0;    // time limit in seconds, for kinds that have one
  double times = 0;       // factor of a job's own deadline, for the kind "deadline"
};

struct Settings {
  ControllerName controller;
  Zone zone;
  std::string listen_address;       // for connections of users and workers
  std::string peer_listen_address;  // for connections of other controllers
  std::vector<PeerSettings> peers;
  std::string cloud_address;  // of the cloud provider's API
  std::string state_store_address;
  std::vector<Zone> zones;
  double skew_ms = 0;
  std::vector<TeamSettings> teams;
  std::vector<Objective> objectives;
  double worker_heartbeat_period_s = 0;  // time between two heartbeats of a worker
  double lease_s = 0;                    // a worker stops its tasks after this time without a response
  double gang_wait_s = 0;
  double gang_peer_s = 0;
  double cancel_s = 0;  // time limit within which the tasks of a cancelled job must have stopped
  // Limits of the state store. `cluster.state.next` announces limits that come into force later. A size limit
  // is the smaller of the current and the announced one, because stored values must remain writable. Rate
  // limits are stored separately: the current ones, and those that are announced.
  double value_kb = 64;        // KiB; the default is the limit of the protocol for a whole transaction
  std::size_t txn_ops = 0;     // maximum number of puts and deletes in one transaction
  double state_rps = 0;        // requests per second
  double state_write_rps = 0;  // puts and deletes per second
  double next_state_rps = 0;
  double next_state_write_rps = 0;
  double cloud_rps = 0;
  double list_lag_s = 0;  // maximum age of the machine list that the cloud returns
  double cpu_share = 0;
  double memory_mb = 0;
  std::size_t max_connections = 0;

  // Maximum size in bytes of a value in the state store.
  std::size_t value_bytes() const { return static_cast<std::size_t>(value_kb * 1024); }
  // Returns the number of controllers, including this one.
  std::size_t controller_count() const { return peers.size() + 1; }
  // Returns nullptr if there is no team of this name.
  const TeamSettings* find_team(const Team& name) const;
};

// Reads and parses the file at `path`. Throws ConfigError.
Settings load_settings(const std::string& path);
// Parses `text` as TOML. `path` is only used in error messages and in the log. Throws ConfigError.
Settings parse_settings(std::string_view text, const std::string& path);

}  // namespace beaconsill::config
