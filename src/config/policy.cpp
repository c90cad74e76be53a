#include "config/policy.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include "config/expr.h"

namespace beaconsill::config {
namespace {

struct PolicyVariableSpec {
  const char* name;
  ExprType type;
  const char* expression;
  double low, high;
  const char* meaning;
  std::function<void(Policy&, double)> set;
};

// Whatever the aims say, the largest jobs have to begin within four minutes.
constexpr double kLongestAimOfAllSeconds = 240;

// The longest time that an aim leaves a job to start or to complete in: what waits beyond that has missed all
// its aims. Deadlines don't count here, since they are each job's own.
double longest_aim_s(const Settings& s) {
  double longest = 0;
  for (const auto& o : s.objectives)
    if (o.kind == "wait" || o.kind == "finished") longest = std::max(longest, o.within_s);
  return longest > 0 ? std::min(longest, kLongestAimOfAllSeconds) : kLongestAimOfAllSeconds;
}

const std::vector<PolicyVariableSpec>& specs() {
  static const std::vector<PolicyVariableSpec> kSpecs{
      {"reply_wait", ExprType::kDuration, "2s", 0.01, 60,
       "wait for a part's estimate before its summary is used",
       [](Policy& p, double v) { p.reply_wait = from_seconds(v); }},
      {"task_cap", ExprType::kNumber, "64", 1, 100000, "most tasks on one machine",
       [](Policy& p, double v) { p.task_cap = static_cast<std::uint32_t>(v); }},
      {"summary_period", ExprType::kDuration, "10s", 0.1, 600, "period of the free-room summaries",
       [](Policy& p, double v) { p.summary_period = from_seconds(v); }},
      {"reserve", ExprType::kNumber, "0", 0, 0.9, "share of a machine that arrays leave free for services",
       [](Policy& p, double v) { p.reserve = v; }},
      {"grace", ExprType::kDuration, "max(4 * report_period, lease / 2)", 0.5, 600,
       "silence after which a machine is deleted, which proves it gone",
       [](Policy& p, double v) { p.grace = from_seconds(v); }},
      {"idle_return", ExprType::kDuration, "120s", 1, 86400, "idle time after which a machine is returned",
       [](Policy& p, double v) { p.idle_return = from_seconds(v); }},
      {"quiet_return", ExprType::kDuration, "40s", 1, 86400, "the same when no job is left at all",
       [](Policy& p, double v) { p.quiet_return = from_seconds(v); }},
      {"home_delay", ExprType::kDuration, "15s", 0, 86400,
       "how long a part's home node is well before it gets it back",
       [](Policy& p, double v) { p.home_delay = from_seconds(v); }},
      // Within a minute the order by due times does better than the order by age. The head of the queue is no
      // room yet: tasks have to end first, and until 1.3 times the wait work of higher priority goes before.
      // That and a large job's share of rounds have to fit into the four minutes.
      {"longest_wait", ExprType::kDuration, "clamp(longest_aim, 60s, 150s)", 1, 86400,
       "how long a job may get nothing before it goes to the head of the queue",
       [](Policy& p, double v) { p.longest_wait = from_seconds(v); }},
  };
  return kSpecs;
}

ExprNames names_for(const Settings& s) {
  auto number = [](double v) { return ExprValue{ExprType::kNumber, v}; };
  auto duration = [](double v) { return ExprValue{ExprType::kDuration, v}; };
  return {{"report_period", duration(s.report_s)},
          {"lease", duration(s.lease_s)},
          {"cancel_limit", duration(s.cancel_s)},
          {"list_lag", duration(s.list_lag_s)},
          {"longest_aim", duration(longest_aim_s(s))},
          {"controllers", number(static_cast<double>(s.controllers()))},
          {"zones", number(static_cast<double>(s.zones.size()))},
          {"teams", number(static_cast<double>(s.teams.size()))},
          {"state_rate", number(s.state_rps)},
          {"state_write_rate", number(s.state_write_rps)},
          {"cloud_rate", number(s.cloud_rps)},
          {"cpu_share", number(s.cpu_share)},
          {"memory_mb", number(s.memory_mb)},
          {"connections", number(static_cast<double>(s.max_connections))}};
}

std::string_view trim(std::string_view s) {
  auto b = s.find_first_not_of(" \t\r");
  if (b == std::string_view::npos) return {};
  return s.substr(b, s.find_last_not_of(" \t\r") - b + 1);
}

}  // namespace

std::vector<PolicyVariable> default_variables() {
  std::vector<PolicyVariable> v;
  for (const auto& k : specs()) v.push_back({k.name, type_name(k.type), k.expression, k.meaning});
  return v;
}

std::string describe_names(const Settings& s) {
  std::ostringstream os;
  for (const auto& [name, v] : names_for(s))
    os << "  " << name << " (" << type_name(v.type) << ") = " << v.value << '\n';
  return os.str();
}

Policy parse_policy(std::string_view text, const std::string& path, const Settings& s) {
  Policy policy{};
  auto names = names_for(s);
  auto apply = [&](const PolicyVariableSpec& k, std::string_view expression, const std::string& where) {
    try {
      auto v = evaluate(expression, names);
      if (v.type != k.type)
        throw ExprError(std::string("must be a ") + type_name(k.type) + ", not a " + type_name(v.type));
      if (v.value < k.low || v.value > k.high) {
        std::ostringstream os;
        os << "is " << v.value << ", must lie between " << k.low << " and " << k.high;
        throw ExprError(os.str());
      }
      k.set(policy, v.value);
    } catch (const ExprError& e) {
      throw ConfigError(where + k.name + ": " + e.what());
    }
  };
  for (const auto& k : specs()) apply(k, k.expression, "defaults: ");
  std::map<std::string, int, std::less<>> seen;
  int line_number = 0;
  while (!text.empty()) {
    ++line_number;
    auto end = text.find('\n');
    auto line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    line = trim(line.substr(0, line.find('#')));
    if (line.empty()) continue;
    auto where = path + ":" + std::to_string(line_number) + ": ";
    auto eq = line.find('=');
    if (eq == std::string_view::npos) throw ConfigError(where + "expected name = expression");
    auto name = trim(line.substr(0, eq));
    const PolicyVariableSpec* spec = nullptr;
    for (const auto& k : specs())
      if (name == k.name) spec = &k;
    if (!spec) throw ConfigError(where + "unknown setting '" + std::string(name) + "'");
    auto [it, fresh] = seen.emplace(name, line_number);
    if (!fresh)
      throw ConfigError(where + std::string(name) + ": is set twice, first in line " +
                        std::to_string(it->second));
    apply(*spec, trim(line.substr(eq + 1)), where);
  }
  return policy;
}

Policy load_policy(const std::string& path, const Settings& s) {
  if (path.empty()) return parse_policy("", "defaults", s);
  std::ifstream in(path);
  if (!in) throw ConfigError(path + ": cannot be read");
  std::ostringstream text;
  text << in.rdbuf();
  return parse_policy(text.str(), path, s);
}

}  // namespace beaconsill::config
