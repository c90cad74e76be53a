#include "config/policy.h"

#include <algorithm>
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
  double min_value, max_value;  // durations in seconds
  const char* meaning;
  std::function<void(Policy&, double)> set;
};

// Upper bound in seconds: the largest jobs must start within four minutes, whatever the objectives are.
constexpr double kMaxObjectiveSeconds = 240;

// Returns the longest time limit in seconds that an objective sets for a job to start or to complete, bounded
// by kMaxObjectiveSeconds. A job that waits for longer has missed all its objectives. Deadlines are not
// included, because they differ from job to job.
double longest_objective_s(const Settings& settings) {
  double longest = 0;
  for (const auto& objective : settings.objectives)
    if (objective.kind == "wait" || objective.kind == "finished")
      longest = std::max(longest, objective.within_s);
  return longest > 0 ? std::min(longest, kMaxObjectiveSeconds) : kMaxObjectiveSeconds;
}

// Returns a function that sets a duration of the policy from a number of seconds.
std::function<void(Policy&, double)> duration_setter(Duration Policy::*member) {
  return [member](Policy& policy, double seconds) { policy.*member = from_seconds(seconds); };
}

const std::vector<PolicyVariableSpec>& specs() {
  static const std::vector<PolicyVariableSpec> kSpecs{
      {"reply_wait", ExprType::kDuration, "2s", 0.01, 60,
       "time to wait for a shard's estimate before its capacity summary is used",
       duration_setter(&Policy::reply_wait)},
      {"task_cap", ExprType::kNumber, "64", 1, 100000, "maximum number of tasks on one machine",
       [](Policy& policy, double value) { policy.task_cap = static_cast<std::uint32_t>(value); }},
      {"summary_period", ExprType::kDuration, "10s", 0.1, 600,
       "interval at which shards send capacity summaries", duration_setter(&Policy::summary_period)},
      {"reserve", ExprType::kNumber, "0", 0, 0.9,
       "fraction of a machine that array jobs leave free for services",
       [](Policy& policy, double value) { policy.reserve = value; }},
      {"grace", ExprType::kDuration, "max(4 * report_period, lease / 2)", 0.5, 600,
       "time without contact after which a machine is deleted, to confirm that it is terminated",
       duration_setter(&Policy::grace)},
      {"idle_return", ExprType::kDuration, "120s", 1, 86400,
       "idle time after which a machine is returned to the cloud", duration_setter(&Policy::idle_return)},
      {"quiet_return", ExprType::kDuration, "40s", 1, 86400,
       "idle time after which a machine is returned to the cloud while there are no jobs",
       duration_setter(&Policy::quiet_return)},
      {"home_delay", ExprType::kDuration, "15s", 0, 86400,
       "time that a shard's preferred controller must be healthy before the shard fails back to it",
       duration_setter(&Policy::fail_back_delay)},
      // The lower limit is 60 s: for jobs that have waited for less, ordering the queue by due time gives
      // better results than ordering it by age. The upper limit is 150 s because a job at the head of the
      // queue doesn't get capacity at once: other tasks must end first, and jobs of higher priority go first
      // until the job has waited 1.3 times as long. That time and the scheduling rounds that a large job
      // needs must be within four minutes in total.
      {"longest_wait", ExprType::kDuration, "clamp(longest_aim, 60s, 150s)", 1, 86400,
       "time without any started task after which a job moves to the head of the queue",
       duration_setter(&Policy::longest_wait)},
  };
  return kSpecs;
}

const PolicyVariableSpec* find_spec(std::string_view name) {
  for (const auto& spec : specs())
    if (name == spec.name) return &spec;
  return nullptr;
}

ExprNames expression_names(const Settings& settings) {
  auto number = [](double value) { return ExprValue{ExprType::kNumber, value}; };
  auto duration = [](double seconds) { return ExprValue{ExprType::kDuration, seconds}; };
  return {{"report_period", duration(settings.worker_heartbeat_period_s)},
          {"lease", duration(settings.lease_s)},
          {"cancel_limit", duration(settings.cancel_s)},
          {"list_lag", duration(settings.list_lag_s)},
          {"longest_aim", duration(longest_objective_s(settings))},
          {"controllers", number(static_cast<double>(settings.controller_count()))},
          {"zones", number(static_cast<double>(settings.zones.size()))},
          {"teams", number(static_cast<double>(settings.teams.size()))},
          {"state_rate", number(settings.state_rps)},
          {"state_write_rate", number(settings.state_write_rps)},
          {"cloud_rate", number(settings.cloud_rps)},
          {"cpu_share", number(settings.cpu_share)},
          {"memory_mb", number(settings.memory_mb)},
          {"connections", number(static_cast<double>(settings.max_connections))}};
}

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

// Builds a policy by evaluating one variable at a time.
class PolicyBuilder {
 public:
  explicit PolicyBuilder(const Settings& settings) : names_(expression_names(settings)) {}

  // Throws ConfigError, whose text begins with `where`.
  void set(const PolicyVariableSpec& spec, std::string_view expression, const std::string& where) {
    try {
      spec.set(policy_, checked_value(spec, expression));
    } catch (const ExprError& error) {
      throw ConfigError(where + spec.name + ": " + error.what());
    }
  }
  const Policy& policy() const { return policy_; }

 private:
  double checked_value(const PolicyVariableSpec& spec, std::string_view expression) const {
    const auto result = evaluate(expression, names_);
    if (result.type != spec.type)
      throw ExprError(std::string("must be a ") + type_name(spec.type) + ", not a " + type_name(result.type));
    if (result.value < spec.min_value || result.value > spec.max_value) {
      std::ostringstream reason;
      reason << "is " << result.value << ", must be between " << spec.min_value << " and " << spec.max_value;
      throw ExprError(reason.str());
    }
    return result.value;
  }

  ExprNames names_;
  Policy policy_{};
};

// Removes the first line from the text and returns it without its comment and surrounding whitespace.
std::string_view remove_first_line(std::string_view& text) {
  const auto end = text.find('\n');
  const auto line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return trim(line.substr(0, line.find('#')));
}

}  // namespace

std::vector<PolicyVariable> default_variables() {
  std::vector<PolicyVariable> variables;
  for (const auto& spec : specs())
    variables.push_back({spec.name, type_name(spec.type), spec.expression, spec.meaning});
  return variables;
}

std::string describe_names(const Settings& settings) {
  std::ostringstream text;
  for (const auto& [name, value] : expression_names(settings))
    text << "  " << name << " (" << type_name(value.type) << ") = " << value.value << '\n';
  return text.str();
}

Policy parse_policy(std::string_view text, const std::string& path, const Settings& settings) {
  PolicyBuilder builder(settings);
  for (const auto& spec : specs()) builder.set(spec, spec.expression, "defaults: ");
  std::map<std::string, int, std::less<>> first_lines;  // variable name -> line that sets it
  for (int line_number = 1; !text.empty(); ++line_number) {
    const auto line = remove_first_line(text);
    if (line.empty()) continue;
    const auto where = path + ":" + std::to_string(line_number) + ": ";
    const auto equals = line.find('=');
    if (equals == std::string_view::npos) throw ConfigError(where + "expected 'name = expression'");
    const auto name = trim(line.substr(0, equals));
    const auto* spec = find_spec(name);
    if (!spec) throw ConfigError(where + "unknown policy variable '" + std::string(name) + "'");
    const auto [it, inserted] = first_lines.emplace(name, line_number);
    if (!inserted)
      throw ConfigError(where + std::string(name) + ": is set twice, first on line " +
                        std::to_string(it->second));
    builder.set(*spec, trim(line.substr(equals + 1)), where);
  }
  return builder.policy();
}

Policy load_policy(const std::string& path, const Settings& settings) {
  if (path.empty()) return parse_policy("", "defaults", settings);
  std::ifstream file(path);
  if (!file) throw ConfigError(path + ": cannot open the policy file");
  std::ostringstream text;
  text << file.rdbuf();
  return parse_policy(text.str(), path, settings);
}

}  // namespace beaconsill::config
