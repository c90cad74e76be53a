#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <fstream>
#include <sstream>

#include "config/expr.h"
#include "config/policy.h"

namespace beaconsill::config {
namespace {

// Returns complete and valid settings. The test cases below each change one thing.
std::string valid_settings() {
  return R"(
node = "n0"
area = "east"
bind = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
novel = { x = 1 }
[[known]]
node = "n1"
area = "west"
peer_addr = "127.0.0.1:3"
[external]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[cluster]
zones = ["east", "west"]
[[cluster.teams]]
name = "blue"
cpus = 10
cpus_max = 20.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 40.0
[cluster.state]
rps = 100.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 16
[cluster.cloud]
rps = 5.0
list_lag_s = 3.0
[cluster.quota]
cpu = 0.2
mem_mb = 64.0
max_connections = 500
)";
}

TEST(Settings, ParsesValidSettingsAndIgnoresUnknownFields) {
  auto settings = parse_settings(valid_settings(), "s.toml");
  EXPECT_EQ(settings.controller, ControllerName("n0"));
  EXPECT_EQ(settings.controller_count(), 2u);
  EXPECT_EQ(settings.find_team(Team("blue"))->cpus_max, 20);
  EXPECT_EQ(settings.find_team(Team("red")), nullptr);
}

TEST(Settings, LogsObjectivesOfUnknownKinds) {
  std::ostringstream log;
  auto original_logger = spdlog::default_logger();
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_st>(log)));
  auto text = valid_settings() + "[[cluster.objectives]]\nkind = \"deadline\"\nclass = \"c\"\nshare = 0.9\n" +
              "[[cluster.objectives]]\nkind = \"serenity\"\nshare = 0.5\n";
  EXPECT_EQ(parse_settings(text, "s.toml").objectives.size(), 2u);
  spdlog::set_default_logger(original_logger);
  EXPECT_NE(log.str().find("serenity"), std::string::npos);
  EXPECT_EQ(log.str().find("deadline"), std::string::npos);
}

// `cluster.state.next` announces limits that come into force later. Announced size limits apply at once if
// they are smaller; announced rate limits are stored separately from the current ones.
TEST(Settings, AnnouncedSizeLimitsApplyAtOnceAndAnnouncedRateLimitsDoNot) {
  struct Case {
    const char* next;
    double value_kb;
    std::size_t txn_ops;
    double rps, write_rps;
  };
  const Case cases[] = {
      {"", 8, 16, 100, 30},
      {"[cluster.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 5\n", 2, 5, 100, 15},
      {"[cluster.state.next]\nvalue_kb = 64.0\ntxn_ops = 50\nrps = 7.0\n", 8, 16, 7, 30},
      {"[cluster.state.next]\nserenity = 1\n", 8, 16, 100, 30},
  };
  for (const auto& test_case : cases) {
    auto text = valid_settings();
    text.insert(text.find("[cluster.cloud]"), test_case.next);
    auto settings = parse_settings(text, "s.toml");
    EXPECT_EQ(settings.value_kb, test_case.value_kb) << test_case.next;
    EXPECT_EQ(settings.txn_ops, test_case.txn_ops) << test_case.next;
    EXPECT_EQ(settings.next_state_rps, test_case.rps) << test_case.next;
    EXPECT_EQ(settings.next_state_write_rps, test_case.write_rps) << test_case.next;
    EXPECT_EQ(settings.state_rps, 100) << test_case.next;
    EXPECT_EQ(settings.state_write_rps, 30) << test_case.next;
  }
}

TEST(Settings, ErrorsNameFileFieldAndReason) {
  struct Case {
    const char* original;
    const char* replacement;
    const char* expected_text;
  };
  const Case cases[] = {
      {"node = \"n0\"", "node = 7", "s.toml: node: must be a string"},
      {"node = \"n0\"", "", "s.toml: node: is missing"},
      {"node = \"n1\"", "node = \"n0\"", "known[0].node: duplicate controller name 'n0'"},
      {"rps = 100.0", "rps = \"many\"", "cluster.state.rps: must be a number"},
      {"rps = 100.0", "rps = -1.0", "cluster.state.rps"},
      {"rps = 100.0", "rps = nan", "cluster.state.rps"},
      {"txn_ops = 16", "txn_ops = 0", "cluster.state.txn_ops: must be an integer"},
      {"txn_ops = 16", "txn_ops = 16\nnext = 3", "cluster.state.next: must be a table"},
      {"txn_ops = 16", "txn_ops = 16\nnext = {txn_ops = 0}",
       "cluster.state.next.txn_ops: must be an integer"},
      {"txn_ops = 16", "txn_ops = 16\nnext = {value_kb = -1}", "cluster.state.next.value_kb"},
      {"lease_s = 10.0", "lease_s = 0.5", "cluster.workers.lease_s: must be greater than report_s"},
      {"cpus = 10", "cpus = 30", "cluster.teams[0].cpus: must not be greater than cpus_max"},
      {R"(zones = ["east", "west"])", "zones = [1]", "cluster.zones"},
      {"[external]", "[external", "s.toml: line"},
  };
  for (const auto& test_case : cases) {
    auto text = valid_settings();
    text.replace(text.find(test_case.original), std::string(test_case.original).size(),
                 test_case.replacement);
    try {
      parse_settings(text, "s.toml");
      ADD_FAILURE() << "accepted: " << test_case.replacement;
    } catch (const ConfigError& error) {
      EXPECT_NE(std::string(error.what()).find(test_case.expected_text), std::string::npos) << error.what();
    }
  }
  EXPECT_THROW(load_settings("/nowhere/at/all.toml"), ConfigError);
}

TEST(Expr, EvaluatesToExpectedTypeAndValue) {
  ExprNames names{{"lease", {ExprType::kDuration, 10}}, {"n", {ExprType::kNumber, 3}}};
  struct Case {
    const char* text;
    ExprType type;
    double value;
  };
  const Case cases[] = {
      {"1 + 2 * 3", ExprType::kNumber, 7},           {"(1 + 2) * 3", ExprType::kNumber, 9},
      {"250ms + 1s", ExprType::kDuration, 1.25},     {"2m - 30s", ExprType::kDuration, 90},
      {"lease / 4", ExprType::kDuration, 2.5},       {"lease / 2s", ExprType::kNumber, 5},
      {"2 * lease", ExprType::kDuration, 20},        {"min(lease, 3s, 4s)", ExprType::kDuration, 3},
      {"clamp(n, 5, 9)", ExprType::kNumber, 5},      {"n > 2 && !(n == 4) ? 1 : 0", ExprType::kNumber, 1},
      {"lease >= 10s || false", ExprType::kBool, 1}, {"-n + 1", ExprType::kNumber, -2},
      {"10 - 3 - 2", ExprType::kNumber, 5},
  };
  for (const auto& test_case : cases) {
    auto result = evaluate(test_case.text, names);
    EXPECT_EQ(result.type, test_case.type) << test_case.text;
    EXPECT_DOUBLE_EQ(result.value, test_case.value) << test_case.text;
  }
}

TEST(Expr, RejectsInvalidExpressions) {
  ExprNames names{{"lease", {ExprType::kDuration, 10}}};
  const char* const cases[] = {
      "",         "1 +",       "1s + 2",        "lease * lease", "2 / lease", "!3",
      "true + 1", "1 2",       "unknown",       "f(1)",          "min()",     "min(1, 2s)",
      "clamp(1)", "3 parsecs", "1 ? 2 : 3",     "true ? 1 : 2s", "1 < 2s",    "(1",
      "1 / 0",    "@",         "true ? 1 : 1s",
  };
  for (const char* text : cases) EXPECT_THROW(evaluate(text, names), ExprError) << text;
  EXPECT_THROW(evaluate(std::string(5000, '('), names), ExprError);
  EXPECT_THROW(evaluate(std::string(5000, '!') + "true", names), ExprError);
}

TEST(Policy, FileOverridesDefaults) {
  auto settings = parse_settings(valid_settings(), "s.toml");
  auto defaults = load_policy("", settings);
  EXPECT_EQ(defaults.task_cap, 64u);
  auto policy = parse_policy(
      "# comment\ntask_cap = 8 * controllers # more\n\nreply_wait = report_period / 2\n", "p", settings);
  EXPECT_EQ(policy.task_cap, 16u);
  EXPECT_EQ(policy.reply_wait, from_seconds(0.5));
  EXPECT_EQ(policy.idle_return, defaults.idle_return);
}

// A job that waits for longer than all objectives allow moves to the head of the queue. The upper bound of
// that wait lets the largest jobs start within four minutes; the lower bound prevents ordering the queue by
// age instead of by due time.
TEST(Policy, DefaultLongestWaitIsDerivedFromObjectives) {
  struct Case {
    const char* description;
    std::vector<Objective> objectives;
    const char* policy;
    double longest_wait_s;
  };
  const Case cases[] = {
      {"no objectives", {}, "", 150},
      {"longest objective determines the wait",
       {{"wait", "web", 0.9, 1}, {"finished", "a", 0.9, 90}, {"wait", "b", 0.9, 70}},
       "",
       90},
      {"objective for completion", {{"finished", "a", 0.9, 120}}, "", 120},
      {"objective longer than four minutes", {{"finished", "a", 0.9, 600}}, "", 150},
      {"objective shorter than the lower bound", {{"wait", "web", 0.9, 1}}, "", 60},
      {"deadline objectives are ignored", {{"deadline", "a", 0.9, 0, 1.5}}, "", 150},
      {"objectives of other kinds are ignored", {{"up", "web", 0.9, 80}}, "", 150},
      {"policy sets the wait", {{"finished", "a", 0.9, 90}}, "longest_wait = 200s", 200},
      {"policy computes the wait from the objectives",
       {{"finished", "a", 0.9, 90}},
       "longest_wait = longest_aim * 2",
       180},
  };
  for (const auto& test_case : cases) {
    auto settings = parse_settings(valid_settings(), "s.toml");
    settings.objectives = test_case.objectives;
    EXPECT_EQ(parse_policy(test_case.policy, "p", settings).longest_wait,
              from_seconds(test_case.longest_wait_s))
        << test_case.description;
  }
}

TEST(Policy, ErrorsNameLineAndReason) {
  auto settings = parse_settings(valid_settings(), "s.toml");
  struct Case {
    const char* text;
    const char* reason;
  };
  const Case cases[] = {
      {"task_cap 7", "p:1: expected 'name = expression'"},
      {"\nno_such = 1", "p:2: unknown policy variable 'no_such'"},
      {"task_cap = 2s", "p:1: task_cap: must be a number"},
      {"task_cap = 0", "must be between"},
      {"task_cap = 1\ntask_cap = 2", "p:2: task_cap: is set twice"},
      {"reserve = 2", "must be between"},
      {"grace = lease +", "p:1: grace: column"},
  };
  for (const auto& test_case : cases) {
    try {
      parse_policy(test_case.text, "p", settings);
      ADD_FAILURE() << "accepted: " << test_case.text;
    } catch (const ConfigError& error) {
      EXPECT_NE(std::string(error.what()).find(test_case.reason), std::string::npos) << error.what();
    }
  }
}

}  // namespace
}  // namespace beaconsill::config
