#include "config/settings.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include "base/log.h"

namespace beaconsill::config {
namespace {

// The kinds of aims that this program has heard of; those that set a time for jobs order the queue.
bool known_aim(std::string_view kind) {
  for (auto k :
       {"rules", "up", "wait", "deadline", "finished", "guarantee", "submit", "price", "node_restarts"})
    if (kind == k) return true;
  return false;
}

// Reads fields of one table; every error names the file and the field's full path.
class Reader {
 public:
  Reader(const toml::table& t, const std::string& file, std::string path)
      : table_(t), file_(file), path_(std::move(path)) {}

  [[noreturn]] void fail(std::string_view field, std::string_view reason) const {
    throw ConfigError(file_ + ": " + path_ + std::string(field) + ": " + std::string(reason));
  }

  bool has(std::string_view field) const { return table_.get(field) != nullptr; }
  std::string str(std::string_view field) const {
    const auto* n = need(field);
    if (!n->is_string()) fail(field, "must be a string");
    auto s = **n->as_string();
    if (s.empty()) fail(field, "must not be empty");
    return s;
  }
  std::string str_or(std::string_view field, const std::string& otherwise) const {
    return table_.get(field) ? str(field) : otherwise;
  }
  double number(std::string_view field) const {
    const auto* n = need(field);
    double d = 0;
    if (auto f = n->as_floating_point()) {
      d = **f;
    } else if (auto i = n->as_integer()) {
      d = static_cast<double>(**i);
    } else {
      fail(field, "must be a number");
    }
    if (!std::isfinite(d) || d < 0) fail(field, "must be a number of at least 0");
    return d;
  }
  double number_or(std::string_view field, double otherwise) const {
    return table_.get(field) ? number(field) : otherwise;
  }
  double positive(std::string_view field) const {
    double d = number(field);
    if (d <= 0) fail(field, "must be more than 0");
    return d;
  }
  std::size_t count(std::string_view field) const {
    const auto* n = need(field);
    auto i = n->as_integer();
    if (!i || **i < 1) fail(field, "must be a whole number of at least 1");
    return static_cast<std::size_t>(**i);
  }
  Reader table(std::string_view field) const {
    const auto* n = need(field);
    if (!n->is_table()) fail(field, "must be a table");
    return {*n->as_table(), file_, path_ + std::string(field) + "."};
  }
  std::vector<Reader> tables(std::string_view field) const {
    std::vector<Reader> v;
    const auto* n = table_.get(field);
    if (!n) return v;
    if (!n->is_array()) fail(field, "must be a list of tables");
    std::size_t i = 0;
    for (const auto& e : *n->as_array()) {
      auto name = std::string(field) + "[" + std::to_string(i++) + "]";
      if (!e.is_table()) fail(name, "must be a table");
      v.emplace_back(*e.as_table(), file_, path_ + name + ".");
    }
    return v;
  }
  std::vector<std::string> strings(std::string_view field) const {
    std::vector<std::string> v;
    const auto* n = need(field);
    if (!n->is_array()) fail(field, "must be a list");
    for (const auto& e : *n->as_array()) {
      if (!e.is_string()) fail(field, "must be a list of strings");
      v.push_back(**e.as_string());
    }
    return v;
  }

 private:
  const toml::node* need(std::string_view field) const {
    const auto* n = table_.get(field);
    if (!n) fail(field, "is missing");
    return n;
  }
  const toml::table& table_;
  const std::string& file_;
  std::string path_;
};

}  // namespace

const TeamSettings* Settings::team(const Team& name) const {
  for (const auto& t : teams)
    if (t.name == name) return &t;
  return nullptr;
}

Settings parse_settings(std::string_view text, const std::string& path) {
  auto parsed = toml::parse(text, path);
  if (!parsed) {
    std::ostringstream os;
    os << path << ": line " << parsed.error().source().begin.line << ": " << parsed.error().description();
    throw ConfigError(os.str());
  }
  Reader root(parsed.table(), path, "");
  Settings s;
  s.controller = ControllerName(root.str("node"));
  s.zone = Zone(root.str("area"));
  s.listen = root.str("bind");
  s.peer_listen = root.str("internal_addr");
  std::set<ControllerName> names{s.controller};
  for (const auto& k : root.tables("known")) {
    PeerSettings p{ControllerName(k.str("node")), Zone(k.str("area")), k.str("peer_addr")};
    if (!names.insert(p.controller).second) k.fail("node", "is named twice");
    s.peers.push_back(std::move(p));
  }
  auto external = root.table("external");
  s.cloud = external.str("cloud");
  s.state = external.str("state");
  auto cluster = root.table("cluster");
  for (auto& z : cluster.strings("zones")) s.zones.emplace_back(std::move(z));
  s.skew_ms = cluster.number_or("skew_ms", 0);
  std::set<Team> teams;
  for (const auto& t : cluster.tables("teams")) {
    TeamSettings ts{Team(t.str("name")), t.number_or("cpus", 0), t.number_or("cpus_max", 0),
                    t.number_or("gpus", 0), t.number_or("gpus_max", 0)};
    if (!teams.insert(ts.name).second) t.fail("name", "is named twice");
    if (ts.cpus_max > 0 && ts.cpus > ts.cpus_max) t.fail("cpus", "is more than cpus_max");
    if (ts.gpus_max > 0 && ts.gpus > ts.gpus_max) t.fail("gpus", "is more than gpus_max");
    s.teams.push_back(std::move(ts));
  }
  for (const auto& o : cluster.tables("objectives")) {
    s.objectives.push_back({o.str("kind"), o.str_or("class", ""), o.number_or("share", 0),
                            o.number_or("within_s", 0), o.number_or("times", 1)});
    if (const auto& kind = s.objectives.back().kind; !known_aim(kind))
      spdlog::info("{}: cluster.objectives: an aim of kind {} isn't known, and is ignored", path, kind);
  }
  auto workers = cluster.table("workers");
  s.report_s = workers.positive("report_s");
  s.lease_s = workers.positive("lease_s");
  s.gang_wait_s = workers.number("gang_wait_s");
  s.gang_peer_s = workers.number("gang_peer_s");
  s.cancel_s = workers.positive("cancel_s");
  if (s.lease_s <= s.report_s) workers.fail("lease_s", "must be more than report_s");
  if (s.cancel_s <= s.lease_s) workers.fail("cancel_s", "must be more than lease_s");
  auto state = cluster.table("state");
  s.state_rps = state.positive("rps");
  s.state_write_rps = state.positive("write_rps");
  s.value_kb = state.positive("value_kb");
  s.txn_ops = state.count("txn_ops");
  s.next_state_rps = s.state_rps;
  s.next_state_write_rps = s.state_write_rps;
  if (state.has("next")) {
    auto next = state.table("next");
    if (next.has("rps")) s.next_state_rps = next.positive("rps");
    if (next.has("write_rps")) s.next_state_write_rps = next.positive("write_rps");
    if (next.has("value_kb")) s.value_kb = std::min(s.value_kb, next.positive("value_kb"));
    if (next.has("txn_ops")) s.txn_ops = std::min(s.txn_ops, next.count("txn_ops"));
  }
  auto cloud = cluster.table("cloud");
  s.cloud_rps = cloud.positive("rps");
  s.list_lag_s = cloud.number("list_lag_s");
  auto quota = cluster.table("quota");
  s.cpu_share = quota.positive("cpu");
  s.memory_mb = quota.positive("mem_mb");
  s.max_connections = quota.count("max_connections");
  return s;
}

Settings load_settings(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw ConfigError(path + ": cannot be read");
  std::ostringstream text;
  text << in.rdbuf();
  return parse_settings(text.str(), path);
}

}  // namespace beaconsill::config
