// The settings file that the platform hands over.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "base/types.h"

namespace beaconsill::config {

// Its text names the file, the field and the reason.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct PeerSettings {
  ControllerName controller;
  Zone zone;
  std::string address;
};

struct TeamSettings {
  Team name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // a limit of 0: none
};

struct Objective {
  std::string kind;
  std::string job_class;
  double share = 0;
  double within_s = 0;
  double times = 0;
};

struct Settings {
  ControllerName controller;
  Zone zone;
  std::string listen;
  std::string peer_listen;
  std::vector<PeerSettings> peers;
  std::string cloud;
  std::string state;
  std::vector<Zone> zones;
  double skew_ms = 0;
  std::vector<TeamSettings> teams;
  std::vector<Objective> objectives;
  double report_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
  // Sizes are those that hold now and after `state.next` has come: what is written must stay writable. Rates
  // come as they are now and as they will be.
  double value_kb = 64;  // the protocol lets a whole transaction hold no more
  std::size_t txn_ops = 0;
  double state_rps = 0, state_write_rps = 0;
  double next_state_rps = 0, next_state_write_rps = 0;
  double cloud_rps = 0, list_lag_s = 0;
  double cpu_share = 0, memory_mb = 0;
  std::size_t max_connections = 0;

  // Bytes that a value may take up.
  std::size_t value_bytes() const { return static_cast<std::size_t>(value_kb * 1024); }
  std::size_t controllers() const { return peers.size() + 1; }
  const TeamSettings* team(const Team& name) const;
};

// Throws ConfigError.
Settings load_settings(const std::string& path);
Settings parse_settings(std::string_view text, const std::string& path);

}  // namespace beaconsill::config
