#include "config/settings.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "base/log.h"
#include "config/table_reader.h"

namespace beaconsill::config {
namespace {

// The kinds of objectives that this program recognizes. Those that set a time limit for jobs affect the order
// of the job queue.
constexpr std::string_view kObjectiveKinds[] = {"rules",     "up",     "wait",  "deadline",     "finished",
                                                "guarantee", "submit", "price", "node_restarts"};

bool is_known_kind(std::string_view kind) {
  return std::find(std::begin(kObjectiveKinds), std::end(kObjectiveKinds), kind) != std::end(kObjectiveKinds);
}

void read_controllers(const TableReader& root, Settings& settings) {
  settings.controller = ControllerName(root.str("node"));
  settings.zone = Zone(root.str("area"));
  settings.listen_address = root.str("bind");
  settings.peer_listen_address = root.str("internal_addr");
  std::set<ControllerName> names{settings.controller};
  for (const auto& table : root.tables("known")) {
    PeerSettings peer{ControllerName(table.str("node")), Zone(table.str("area")), table.str("peer_addr")};
    if (!names.insert(peer.controller).second)
      table.fail("node", "duplicate controller name '" + peer.controller.value() + "'");
    settings.peers.push_back(std::move(peer));
  }
}

void read_external(const TableReader& external, Settings& settings) {
  settings.cloud_address = external.str("cloud");
  settings.state_store_address = external.str("state");
}

void read_teams(const TableReader& cluster, Settings& settings) {
  std::set<Team> names;
  for (const auto& table : cluster.tables("teams")) {
    TeamSettings team{Team(table.str("name")), table.number_or("cpus", 0), table.number_or("cpus_max", 0),
                      table.number_or("gpus", 0), table.number_or("gpus_max", 0)};
    if (!names.insert(team.name).second)
      table.fail("name", "duplicate team name '" + team.name.value() + "'");
    if (team.cpus_max > 0 && team.cpus > team.cpus_max)
      table.fail("cpus", "must not be greater than cpus_max");
    if (team.gpus_max > 0 && team.gpus > team.gpus_max)
      table.fail("gpus", "must not be greater than gpus_max");
    settings.teams.push_back(std::move(team));
  }
}

void read_objectives(const TableReader& cluster, const std::string& path, Settings& settings) {
  for (const auto& table : cluster.tables("objectives")) {
    settings.objectives.push_back({table.str("kind"), table.str_or("class", ""), table.number_or("share", 0),
                                   table.number_or("within_s", 0), table.number_or("times", 1)});
    const auto& kind = settings.objectives.back().kind;
    if (!is_known_kind(kind))
      spdlog::info("objective_ignored key={} reason=\"objective has unknown kind {}\"", path, kind);
  }
}

void read_workers(const TableReader& workers, Settings& settings) {
  settings.worker_heartbeat_period_s = workers.positive("report_s");
  settings.lease_s = workers.positive("lease_s");
  settings.gang_wait_s = workers.number("gang_wait_s");
  settings.gang_peer_s = workers.number("gang_peer_s");
  settings.cancel_s = workers.positive("cancel_s");
  if (settings.lease_s <= settings.worker_heartbeat_period_s)
    workers.fail("lease_s", "must be greater than report_s");
  if (settings.cancel_s <= settings.lease_s) workers.fail("cancel_s", "must be greater than lease_s");
}

// Reads the limits of the state store that come into force later.
void read_next_limits(const TableReader& next, Settings& settings) {
  if (next.has("rps")) settings.next_state_rps = next.positive("rps");
  if (next.has("write_rps")) settings.next_state_write_rps = next.positive("write_rps");
  if (next.has("value_kb")) settings.value_kb = std::min(settings.value_kb, next.positive("value_kb"));
  if (next.has("txn_ops")) settings.txn_ops = std::min(settings.txn_ops, next.count("txn_ops"));
}

void read_state_store(const TableReader& state, Settings& settings) {
  settings.state_rps = state.positive("rps");
  settings.state_write_rps = state.positive("write_rps");
  settings.value_kb = state.positive("value_kb");
  settings.txn_ops = state.count("txn_ops");
  settings.next_state_rps = settings.state_rps;
  settings.next_state_write_rps = settings.state_write_rps;
  if (state.has("next")) read_next_limits(state.table("next"), settings);
}

void read_cloud(const TableReader& cloud, Settings& settings) {
  settings.cloud_rps = cloud.positive("rps");
  settings.list_lag_s = cloud.number("list_lag_s");
}

// Reads the resources that this process may use.
void read_quota(const TableReader& quota, Settings& settings) {
  settings.cpu_share = quota.positive("cpu");
  settings.memory_mb = quota.positive("mem_mb");
  settings.max_connections = quota.count("max_connections");
}

}  // namespace

const TeamSettings* Settings::find_team(const Team& name) const {
  for (const auto& candidate : teams)
    if (candidate.name == name) return &candidate;
  return nullptr;
}

Settings parse_settings(std::string_view text, const std::string& path) {
  const auto parsed = toml::parse(text, path);
  if (!parsed) {
    std::ostringstream reason;
    reason << path << ": line " << parsed.error().source().begin.line << ": " << parsed.error().description();
    throw ConfigError(reason.str());
  }
  const TableReader root(parsed.table(), path, "");
  Settings settings;
  read_controllers(root, settings);
  read_external(root.table("external"), settings);
  const auto cluster = root.table("cluster");
  for (auto& zone : cluster.strings("zones")) settings.zones.emplace_back(std::move(zone));
  settings.skew_ms = cluster.number_or("skew_ms", 0);
  read_teams(cluster, settings);
  read_objectives(cluster, path, settings);
  read_workers(cluster.table("workers"), settings);
  read_state_store(cluster.table("state"), settings);
  read_cloud(cluster.table("cloud"), settings);
  read_quota(cluster.table("quota"), settings);
  return settings;
}

Settings load_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw ConfigError(path + ": cannot open the settings file");
  std::ostringstream text;
  text << file.rdbuf();
  return parse_settings(text.str(), path);
}

}  // namespace beaconsill::config
