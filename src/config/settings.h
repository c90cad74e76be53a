// The settings file that the platform hands over.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"

namespace beaconsill::config {

// Its text names the file, the field and the reason.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Another controller.
struct PeerSettings {
  ControllerName controller;
  Zone zone;
  std::string address;
};

// The guarantees and limits of a team.
struct TeamSettings {
  Team name;
  double cpus = 0;      // guaranteed
  double cpus_max = 0;  // 0: no limit
  double gpus = 0;      // guaranteed
  double gpus_max = 0;  // 0: no limit
};

// A service-level objective.
struct Objective {
  std::string kind;
  std::string job_class;  // empty: of all
  double share = 0;       // of the jobs that have to meet it
  double within_s = 0;
  double times = 0;
};

struct Settings {
  ControllerName controller;
  Zone zone;
  std::string listen;       // for users and agents
  std::string peer_listen;  // for other controllers
  std::vector<PeerSettings> peers;
  std::string cloud;  // address
  std::string state;  // address of the state store
  std::vector<Zone> zones;
  double skew_ms = 0;
  std::vector<TeamSettings> teams;
  std::vector<Objective> objectives;
  double report_s = 0;  // between two heartbeats of an agent
  double lease_s = 0;   // an agent stops its tasks after so long without a response
  double gang_wait_s = 0;
  double gang_peer_s = 0;
  double cancel_s = 0;  // a cancelled job has stopped after so long
  // Sizes are those that hold now and after `state.next` has come: what is written must stay writable. Rates
  // come as they are now and as they will be.
  double value_kb = 64;  // the protocol lets a whole transaction hold no more
  std::size_t txn_ops = 0;
  double state_rps = 0;
  double state_write_rps = 0;
  double next_state_rps = 0;
  double next_state_write_rps = 0;
  double cloud_rps = 0;
  double list_lag_s = 0;  // the cloud's list of machines may be so old
  double cpu_share = 0;
  double memory_mb = 0;
  std::size_t max_connections = 0;

  // Bytes that a value may take up.
  std::size_t value_bytes() const { return static_cast<std::size_t>(value_kb * 1024); }
  // How many controllers there are, with this one.
  std::size_t controllers() const { return peers.size() + 1; }
  // Null: there is no such team.
  const TeamSettings* team(const Team& name) const;
};

// Throws ConfigError.
Settings load_settings(const std::string& path);
// `path`: named in errors.
Settings parse_settings(std::string_view text, const std::string& path);

}  // namespace beaconsill::config
