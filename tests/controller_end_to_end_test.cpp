// End to end on loopback: two real controllers against this repository's fakes.
#include <algorithm>

#include "controller/controller.h"
#include "controller_fixture.h"

namespace beaconsill {
namespace {

using fakes::Json;

struct TwoControllersSettings {
  double lease_s = 5;
  double cancel_s = 20;
  double value_kb = 8;
};

// Two controllers in two zones, a worker in each.
struct TwoControllers : EventLoopFixture {
  explicit TwoControllers(TwoControllersSettings fixture_settings = {}) : settings(fixture_settings) {
    for (int i = 0; i < 4; ++i) {
      reserved_ports.push_back(std::make_unique<fakes::ReservedPort>(io));
      ports.push_back(reserved_ports.back()->endpoint());
    }
    controllers.resize(2);
    for (std::size_t i = 0; i < 2; ++i) start(i);
    for (std::size_t i = 0; i < 2; ++i)
      workers.push_back(std::make_unique<fakes::Worker>(io, "host-" + std::to_string(i), i ? "west" : "east",
                                                        std::vector{ports[0], ports[2]},
                                                        std::vector<std::string>{"n0", "n1"}));
  }
  ~TwoControllers() {
    for (auto& worker : workers) worker->stop();
    for (auto& controller : controllers)
      if (controller) controller->stop();
    io.poll();
  }
  void start(std::size_t i) {
    auto config = controller_settings(state, cloud, i);
    config.zone = Zone(i ? "west" : "east");
    config.listen_address = fakes::text(ports[2 * i]);
    config.peer_listen_address = fakes::text(ports[2 * i + 1]);
    config.peers = {{ControllerName("n" + std::to_string(1 - i)), Zone(i ? "east" : "west"),
                     fakes::text(ports[2 * (1 - i) + 1])}};
    config.zones = {Zone("east"), Zone("west")};
    config.teams = {{Team("blue"), 0, 0, 0, 0}};
    config.lease_s = settings.lease_s;
    config.cancel_s = settings.cancel_s;
    config.value_kb = settings.value_kb;
    auto policy = config::parse_policy("home_delay = 500ms", "test", config);
    controllers[i] = std::make_unique<controller::Controller>(io, clock, config, policy);
    controllers[i]->start();
  }
  void run_until(const std::function<bool()>& done, const char* what) {
    ASSERT_TRUE(EventLoopFixture::run_until(done, std::chrono::seconds(60))) << what;
  }
  HttpAnswer call(std::size_t controller, const char* method, const std::string& path,
                  const std::string& body = "") {
    return request(ports[2 * controller], method, path, body);
  }
  void wait_until_healthy() {
    for (std::size_t i = 0; i < 2; ++i)
      for (int n = 0; n < 500 && call(i, "GET", "/up").status != 200; ++n)
        io.run_for(std::chrono::milliseconds(10));
  }
  // Until pipelines are accepted: all controllers have shown that they know of them.
  void wait_until_pipelines_accepted() {
    auto known = [this] {
      auto it = state.keys.find("beaconsill/versions");
      return it != state.keys.end() &&
             it->second.first.at("shown") ==
                 Json{{"n0", state_store::kFormatVersion}, {"n1", state_store::kFormatVersion}};
    };
    run_until(known, "all controllers know of pipelines");
    io.run_for(std::chrono::milliseconds(600));
  }
  // Ends the first controller for good: its lease expires as well.
  void end_first() {
    run_until([&] { return state.hold_of("beaconsill/alive/n0").has_value(); }, "n0 is alive");
    controllers[0]->stop();
    controllers[0].reset();
    state.expire(*state.hold_of("beaconsill/alive/n0"));
  }
  static std::string job(const std::string& id, const char* kind, int tasks) {
    return job_json(id, kind, tasks, "high");
  }
  // As a user does it: repeated for as long as it is refused for now. Each answer but the last has to be a
  // 503 that came at once and says when to come again.
  HttpAnswer cancel(std::size_t controller, const std::string& id) {
    HttpAnswer answer;
    run_until(
        [&] {
          auto sent_at = clock.now();
          answer = call(controller, "POST", "/v1/jobs/" + id + "/withdraw");
          if (answer.status != 503) return true;
          EXPECT_LT(clock.now() - sent_at, std::chrono::seconds(1));
          EXPECT_EQ(answer.retry_after_s, 1);
          io.run_for(std::chrono::seconds(1));  // as users do
          return false;
        },
        "the cancellation is confirmed");
    return answer;
  }
  // The job's state as users see it; empty unless the answer is 200.
  std::string job_state(std::size_t controller, const std::string& id) {
    auto answer = call(controller, "GET", "/v1/jobs/" + id);
    return answer.status == 200 ? answer.body["bearing"].get<std::string>() : "";
  }
  // Tasks started so far, on both workers.
  int started() const { return workers[0]->started + workers[1]->started; }
  // Tasks that run on both workers, of all jobs or those whose ids begin so.
  std::size_t running(const std::string& task_prefix = "") const {
    std::size_t count = 0;
    for (const auto& worker : workers)
      for (const auto& task : worker->tasks)
        count += task.state == "running" && task.id.starts_with(task_prefix);
    return count;
  }

  TwoControllersSettings settings;
  std::vector<std::unique_ptr<fakes::ReservedPort>> reserved_ports;
  std::vector<net::Tcp::endpoint> ports;  // of each controller: for users and workers, for peers
  std::vector<std::unique_ptr<controller::Controller>> controllers;
  std::vector<std::unique_ptr<fakes::Worker>> workers;
};

TEST(EndToEnd, RunsAnArrayOnBothShardsAndKeepsItsTerminalState) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  auto answer = cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-000001", "batch", 14));
  EXPECT_EQ(answer.status, 201);
  EXPECT_EQ(answer.body["bearing"], "queued");
  // Known at once at the other controller as well.
  EXPECT_EQ(cluster.call(1, "GET", "/v1/jobs/run-000001").status, 200);
  cluster.run_until([&] { return cluster.job_state(1, "run-000001") == "done"; }, "the array is done");
  EXPECT_EQ(cluster.started(), 14);
  EXPECT_GT(cluster.workers[0]->started, 0);
  EXPECT_GT(cluster.workers[1]->started, 0);
  // Done it stays, also after its other keys were deleted.
  cluster.run_until([&] { return !cluster.state.keys.contains("beaconsill/jobs/run-000001"); },
                    "garbage-collected");
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_EQ(cluster.job_state(i, "run-000001"), "done");
    EXPECT_EQ(cluster.call(i, "POST", "/v1/jobs", TwoControllers::job("run-000001", "batch", 14)).status,
              200);
    EXPECT_EQ(cluster.call(i, "POST", "/v1/jobs/run-000001/withdraw").body["bearing"], "done");
  }
}

TEST(EndToEnd, ServicesRunUntilTheyAreCancelled) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  for (auto& worker : cluster.workers) worker->services.insert("run-7");
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-7", "daemon", 3)).status, 201);
  cluster.run_until([&] { return cluster.running() == 3; }, "three replicas run");
  auto answer = cluster.cancel(1, "run-7");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body["bearing"], "withdrawn");
  // The other controller answers nothing older, and the same as soon as all have acknowledged it to that
  // controller too.
  std::string state;
  cluster.run_until([&] { return !(state = cluster.job_state(0, "run-7")).empty(); },
                    "the other controller answers");
  EXPECT_EQ(state, "withdrawn");
  cluster.run_until([&] { return cluster.running() == 0; }, "no replica runs");
}

TEST(EndToEnd, AnswersOfTheProtocol) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  struct Case {
    const char* method;
    std::string path, body;
    int status;
  };
  auto broken = TwoControllers::job("run-5", "batch", 1);
  broken.replace(broken.find("\"lamps\":1"), 9, "\"lamps\":-1");
  auto stranger = TwoControllers::job("run-5", "batch", 1);
  stranger.replace(stranger.find("\"blue\""), 6, "\"grey\"");
  auto huge = TwoControllers::job("run-5", "batch", 1);
  huge.replace(huge.find("\"vcpus\":1.0"), 11, "\"vcpus\":5.0");
  const Case cases[] = {
      {"POST", "/v1/jobs", "", 400},         {"POST", "/v1/jobs", "[1]", 400},
      {"POST", "/v1/jobs", broken, 400},     {"POST", "/v1/jobs", stranger, 422},
      {"POST", "/v1/jobs", huge, 422},       {"POST", "/v1/jobs", std::string(70000, '{'), 413},
      {"GET", "/v1/jobs", "", 405},          {"GET", "/v1/jobs/run-999", "", 404},
      {"GET", "/v1/jobs/nonsense", "", 404}, {"POST", "/v1/jobs/run-999/withdraw", "", 404},
      {"GET", "/elsewhere", "", 404},        {"POST", "/hello", "{}", 400},
  };
  for (const auto& c : cases)
    EXPECT_EQ(cluster.call(0, c.method, c.path, c.body).status, c.status) << c.method << ' ' << c.path;
}

TEST(Pipelines, RunStepByStepAndAreCancelledTogether) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  auto step = [](const std::string& id, std::vector<std::string> depends_on, const char* kind = "batch") {
    auto job = Json::parse(TwoControllers::job(id, kind, 2));
    job["awaits"] = std::move(depends_on);
    return job.dump();
  };
  auto submit = [&](std::size_t controller, const std::string& body) {
    return cluster.call(controller, "POST", "/v1/jobs", body);
  };
  cluster.wait_until_pipelines_accepted();
  EXPECT_EQ(submit(0, TwoControllers::job("run-1", "batch", 2)).status, 201);
  // Accepted by the other controller a moment ago.
  auto answer = submit(1, step("run-2", {"run-1"}));
  EXPECT_EQ(answer.status, 201);
  EXPECT_EQ(answer.body["bearing"], "queued");
  EXPECT_EQ(submit(0, step("run-9", {"run-1", "run-404"})).status, 422);
  EXPECT_EQ(submit(0, step("run-9", {"run-9"})).status, 400);
  EXPECT_EQ(cluster.call(0, "GET", "/v1/jobs/run-9").status, 404);
  cluster.state.down = true;
  EXPECT_EQ(submit(0, step("run-9", {"run-404"})).status, 503);
  cluster.state.down = false;
  auto started = [&](const std::string& job) {
    for (auto& worker : cluster.workers)
      for (auto& task : worker->tasks)
        if (task.id.starts_with(job + "/")) return true;
    return false;
  };
  bool too_early = false;
  auto over = [&] {
    bool second = started("run-2");
    too_early |= second && cluster.job_state(0, "run-1") != "done";
    return cluster.job_state(0, "run-2") == "done";
  };
  cluster.run_until(over, "both are done");
  EXPECT_FALSE(too_early);
  // Neither controller starts anything that waits for a service, and both show it as cancelled as soon as
  // that is.
  EXPECT_EQ(submit(0, TwoControllers::job("run-10", "daemon", 1)).status, 201);
  std::string before = "run-10";
  for (auto id : {"run-11", "run-12", "run-13"}) {
    EXPECT_EQ(submit(0, step(id, {before})).status, 201);
    before = id;
  }
  EXPECT_EQ(cluster.job_state(1, "run-13"), "queued");
  EXPECT_EQ(cluster.cancel(1, "run-10").body["bearing"], "withdrawn");
  for (std::size_t controller : {1, 0})
    for (auto id : {"run-11", "run-12", "run-13"})
      EXPECT_EQ(cluster.job_state(controller, id), "withdrawn") << id;
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs/run-12/withdraw").body["bearing"], "withdrawn");
  // Submitted with a cancelled dependency: accepted, and cancelled.
  answer = submit(0, step("run-14", {"run-13"}));
  EXPECT_EQ(answer.status, 201);
  EXPECT_EQ(answer.body["bearing"], "withdrawn");
  // They get terminal records of their own, their other keys go, and nothing changes by that.
  auto garbage_collected = [&] {
    for (auto id : {"run-11", "run-12", "run-13", "run-14"})
      if (cluster.state.keys.contains(std::string("beaconsill/jobs/") + id)) return false;
    return true;
  };
  cluster.run_until(garbage_collected, "garbage-collected");
  for (auto id : {"run-11", "run-12", "run-13", "run-14"})
    EXPECT_EQ(cluster.job_state(1, id), "withdrawn") << id;
  EXPECT_EQ(cluster.job_state(1, "run-2"), "done");
}

// The keys with a job's dependencies are deleted after its record.
TEST(Pipelines, KeysOfDependenciesAreGarbageCollected) {
  TwoControllers cluster({.value_kb = 0.5});
  cluster.state.max_value = 512;
  cluster.wait_until_healthy();
  cluster.wait_until_pipelines_accepted();
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "daemon", 1)).status, 201);
  std::vector<std::string> dependency{"run-1"};
  for (int i = 0; i < 60; ++i) {
    dependency.push_back("run-00000" + std::to_string(100 + i));
    cluster.state.put("beaconsill/ends/" + dependency.back(), Json{{"end", "done"}, {"done", 1}});
  }
  auto join = Json::parse(TwoControllers::job("run-2", "batch", 1));
  join["awaits"] = dependency;
  cluster.run_until([&] { return cluster.call(1, "POST", "/v1/jobs", join.dump()).status / 100 == 2; },
                    "accepted");
  EXPECT_EQ(cluster.job_state(0, "run-2"), "queued");
  auto keys = [&] {
    return std::count_if(cluster.state.keys.begin(), cluster.state.keys.end(), [](const auto& k) {
      return k.first.starts_with("beaconsill/awaits/") || k.first.starts_with("beaconsill/jobs/");
    });
  };
  EXPECT_GE(keys(), 4);
  cluster.cancel(0, "run-1");
  cluster.run_until([&] { return keys() == 0; }, "garbage-collected");
  EXPECT_EQ(cluster.job_state(1, "run-2"), "withdrawn");
}

// Until each controller has shown that it knows of such jobs, an earlier version might start them too early.
TEST(Pipelines, AreRefusedForNowUntilAllControllersKnowOfThem) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  cluster.wait_until_pipelines_accepted();
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "daemon", 1)).status, 201);
  auto job = Json::parse(TwoControllers::job("run-2", "batch", 1));
  job["awaits"] = {"run-1"};
  // Recorded with the leader's role in a form that an earlier version can't take it by.
  const auto& role = cluster.state.keys.at("beaconsill/roles/leader").first;
  EXPECT_EQ(state_store::parse_role(role).min_reader_version, state_store::kFormatVersion);
  EXPECT_FALSE(role.contains("node"));    // what version 0 reads
  EXPECT_FALSE(role.contains("holder"));  // what version 1 reads
  // The second controller is set back to an earlier version.
  auto old = [&] { cluster.state.put("beaconsill/alive/n1", Json{{"up", true}}); };
  old();
  cluster.io.run_for(std::chrono::milliseconds(600));
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", job.dump()).status, 503);
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-3", "batch", 1)).status, 201);
}

// At thousands of machines a list takes longer than the time between two of them.
TEST(EndToEnd, ListsOfMachinesDoNotPileUp) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  cluster.run_until([&] { return cluster.cloud.lists > 0; }, "listed");
  cluster.cloud.lists = 0;
  cluster.cloud.lists_silent = true;
  cluster.io.run_for(std::chrono::seconds(9));
  EXPECT_GE(cluster.cloud.lists, 1);
  EXPECT_LE(cluster.cloud.lists, 2);
}

TEST(EndToEnd, AnUnreadableStateStoreIsNever404) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "batch", 1)).status, 201);
  cluster.run_until([&] { return cluster.job_state(0, "run-1") == "done"; }, "done");
  cluster.state.down = true;
  EXPECT_EQ(cluster.call(0, "GET", "/v1/jobs/run-2").status, 503);
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-3", "batch", 1)).status, 503);
  EXPECT_EQ(cluster.call(0, "GET", "/v1/jobs/run-1").status, 200);  // final states need no reading
  cluster.state.down = false;
}

// Found in a simulated day on which the state store refused one shard leader, another controller confirmed
// cancellations, and then the state store was out for all: the first shard leader knew that there were some
// and not which, and let all leases expire.
TEST(EndToEnd, AShardLeaderWithoutTheStateStoreStopsWhatWasCancelledAndNothingElse) {
  TwoControllers cluster({.lease_s = 2, .cancel_s = 6});
  cluster.wait_until_healthy();
  for (auto& worker : cluster.workers) worker->services = {"run-7", "run-8"};
  cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-7", "daemon", 4));
  cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-8", "daemon", 4));
  cluster.run_until([&] { return cluster.running("run-7/") == 4 && cluster.running("run-8/") == 4; },
                    "both services run");
  cluster.state.shut[0] = true;
  EXPECT_EQ(cluster.cancel(1, "run-7").status, 200);
  cluster.state.down = true;
  cluster.run_until([&] { return cluster.running("run-7/") == 0; }, "what was cancelled is stopped");
  // For longer than `cancel_s` every worker is answered at least once a second.
  for (int s = 0; s < 7; ++s) {
    auto first = cluster.workers[0]->answered, second = cluster.workers[1]->answered;
    cluster.io.run_for(std::chrono::seconds(1));
    EXPECT_GT(cluster.workers[0]->answered, first) << s;
    EXPECT_GT(cluster.workers[1]->answered, second) << s;
  }
  EXPECT_EQ(cluster.running("run-8/"), 4);
}

// Found in a simulated day with an outage: users' requests waited in the queue to the state store until they
// gave up.
TEST(EndToEnd, RequestsAreRefusedWithoutRequestsToAnUnreachableStateStore) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "daemon", 1)).status, 201);
  cluster.state.down = true;
  cluster.io.run_for(std::chrono::milliseconds(1500));
  auto before = cluster.state.refused["/txn"];
  for (int n = 0; n < 20; ++n) {
    EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-2", "batch", 1)).status, 503);
    EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs/run-1/withdraw").status, 503);
    EXPECT_EQ(cluster.call(0, "GET", "/v1/jobs/run-1").retry_after_s, 1);
  }
  EXPECT_LT(cluster.state.refused["/txn"] - before, 20);
  cluster.state.down = false;
  cluster.run_until([&] { return cluster.call(0, "GET", "/v1/jobs/run-1").status == 200; },
                    "it's read again");
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-2", "batch", 1)).status, 201);
}

// Found in a simulated day when the state store failed just as a shard failed back: its leader had stopped
// answering before the change was applied, and all leases expired.
TEST(EndToEnd, WorkersOfAShardThatCannotFailBackAreStillAnswered) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  cluster.end_first();
  auto shard_leader = [&](const char* shard) {
    auto it = cluster.state.keys.find(std::string("beaconsill/roles/part/") + shard);
    return it == cluster.state.keys.end() ? std::string() : it->second.first["node"].get<std::string>();
  };
  cluster.run_until([&] { return shard_leader("0") == "n1"; }, "n1 leads both shards");
  cluster.start(0);
  cluster.run_until([&] { return cluster.state.hold_of("beaconsill/alive/n0").has_value(); }, "n0 is back");
  cluster.state.down = true;
  cluster.io.run_for(std::chrono::milliseconds(800));
  auto before = cluster.workers[0]->answered;
  cluster.run_until([&] { return cluster.workers[0]->answered > before + 10; },
                    "its worker is answered during the outage");
  cluster.state.down = false;
  cluster.run_until([&] { return shard_leader("0") == "n0"; }, "the shard fails back");
}

// An accepted job runs or stays known: once all faults are over it's answered again, and its tasks are done.
TEST(EndToEnd, AcceptedJobsAreAnsweredAndRunAfterAllControllersEndedInAnOutage) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "batch", 6)).status, 201);
  EXPECT_EQ(cluster.call(1, "POST", "/v1/jobs", TwoControllers::job("run-2", "batch", 6)).status, 201);
  cluster.state.down = true;
  for (auto& controller : cluster.controllers) {
    controller->stop();
    controller.reset();
  }
  for (std::size_t i = 0; i < 2; ++i) cluster.start(i);
  // Nothing is known yet, and so no job is reported as unknown.
  EXPECT_EQ(cluster.call(0, "GET", "/v1/jobs/run-1").status, 503);
  cluster.state.down = false;
  for (const char* id : {"run-1", "run-2"})
    for (std::size_t i = 0; i < 2; ++i)
      cluster.run_until([&] { return cluster.job_state(i, id) == "done"; }, id);
}

// Found in a simulated day when one controller lost the state store only: its workers stayed with it, since
// it kept answering them, and its successor waited for them in vain.
TEST(EndToEnd, AShardLeaderThatOnlyPeersCanReachHandsItsWorkersOver) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  for (auto& worker : cluster.workers) worker->services.insert("run-7");
  cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-7", "daemon", 8));
  cluster.run_until([&] { return cluster.started() == 8; }, "eight replicas run");
  cluster.run_until([&] { return cluster.state.hold_of("beaconsill/alive/n0").has_value(); }, "n0 is alive");
  cluster.state.shut[0] = true;
  cluster.state.expire(*cluster.state.hold_of("beaconsill/alive/n0"));
  cluster.run_until([&] { return (cluster.workers[0]->token >> 20) >= 2; },
                    "the worker of n0 has seen its successor's term");
  EXPECT_EQ(cluster.started(), 8);
}

// A worker whose address is invalid: commands to it count as unanswered, so that it is suspected, rather than
// that its tasks wait for an answer for good.
TEST(EndToEnd, CommandsToAnInvalidAddressCountAsUnanswered) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  cluster.workers[0]->stop();
  std::uint64_t sequence = 0, first = 0, seen = 0;
  auto heartbeat = [&] {
    Json r{{"beacon", "host-9"},    {"address", "nowhere"}, {"hull", "t4"},
           {"harbour", "east"},     {"driftwood", false},   {"watch", 1},
           {"tally", ++sequence},   {"helm", seen},         {"recallS", nullptr},
           {"lamps", Json::array()}};
    auto answer = cluster.call(0, "POST", "/hello", r.dump());
    if (answer.status != 200) return;
    seen = answer.body["helm"].get<std::uint64_t>();
    if (first == 0) first = seen;
    cluster.io.run_for(std::chrono::milliseconds(20));
  };
  for (int n = 0; n < 500 && first == 0; ++n) heartbeat();
  ASSERT_GT(first, 0u);
  cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-9", "daemon", 64));
  // Its fencing token is raised once for the commands, and once more since they had no answer.
  for (int n = 0; n < 500 && seen < first + 2; ++n) heartbeat();
  EXPECT_GE(seen, first + 2);
}

TEST(EndToEnd, ASuccessorTakesOverWithoutRestartingWhatRuns) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  for (auto& worker : cluster.workers) worker->services.insert("run-7");
  cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-7", "daemon", 8));
  cluster.run_until([&] { return cluster.started() == 8; }, "eight replicas run");
  cluster.end_first();
  cluster.run_until(
      [&] {
        auto it = cluster.state.keys.find("beaconsill/roles/part/0");
        return it != cluster.state.keys.end() && it->second.first["node"] == "n1" &&
               (cluster.workers[0]->token >> 20) >= 2;
      },
      "n1 leads the shard and its worker has seen the new term");
  EXPECT_EQ(cluster.call(1, "POST", "/v1/jobs", TwoControllers::job("run-8", "batch", 1)).status, 201);
  EXPECT_EQ(cluster.started(), 8);
  EXPECT_EQ(cluster.cancel(1, "run-7").status, 200);
  cluster.run_until(
      [&] { return cluster.workers[0]->tasks.empty() || cluster.workers[0]->tasks[0].id != "run-7/0"; },
      "stopped");
  cluster.run_until([&] { return cluster.job_state(1, "run-8") == "done"; }, "the new job runs");
}

}  // namespace
}  // namespace beaconsill
