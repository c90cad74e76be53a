// End to end on loopback: real controllers against this repository's stand-ins.
#include <gtest/gtest.h>

#include "base/log.h"
#include "controller/controller.h"
#include "controller/socket_limits.h"
#include "fakes/cloud.h"
#include "fakes/state_store.h"
#include "fakes/worker.h"

namespace beaconsill {
namespace {

using fakes::Json;

struct EstimateResponse {
  int status = 0;
  std::optional<int> retry_after_s;
  Json body;
};

// Two controllers in two zones, a worker in each.
struct World {
  explicit World(double lease = 5, double cancel = 20, double value = 8)
      : state(io), cloud(io), lease_s(lease), cancel_s(cancel), value_kb(value) {
    spdlog::set_level(spdlog::level::err);
    // Ports that are free now; the controllers bind them a moment later.
    for (int i = 0; i < 4; ++i) {
      net::Tcp::acceptor a(io, fakes::any_port());
      ports.push_back(a.local_endpoint());
    }
    controllers.resize(2);
    for (std::size_t i = 0; i < 2; ++i) start(i);
    for (std::size_t i = 0; i < 2; ++i)
      workers.push_back(std::make_unique<fakes::Worker>(io, "host-" + std::to_string(i), i ? "west" : "east",
                                                        std::vector{ports[0], ports[2]},
                                                        std::vector<std::string>{"n0", "n1"}));
  }
  ~World() {
    for (auto& w : workers) w->stop();
    for (auto& n : controllers)
      if (n) n->stop();
    for (auto& d : state.doors) d->stop();
    cloud.server->stop();
    io.poll();
  }
  void start(std::size_t i) {
    config::Settings s;
    s.controller = ControllerName("n" + std::to_string(i));
    s.zone = Zone(i ? "west" : "east");
    s.listen = fakes::text(ports[2 * i]);
    s.peer_listen = fakes::text(ports[2 * i + 1]);
    s.peers = {{ControllerName("n" + std::to_string(1 - i)), Zone(i ? "east" : "west"),
                fakes::text(ports[2 * (1 - i) + 1])}};
    s.cloud = fakes::text(cloud.server->local());
    s.state = fakes::text(state.doors[i]->local());
    s.zones = {Zone("east"), Zone("west")};
    s.teams = {{Team("blue"), 0, 0, 0, 0}};
    s.report_s = 0.2;
    s.lease_s = lease_s;
    s.cancel_s = cancel_s;
    s.state_rps = 1000;
    s.state_write_rps = 500;
    s.value_kb = value_kb;
    s.txn_ops = 16;
    s.cloud_rps = 50;
    s.list_lag_s = 1;
    s.cpu_share = 1;
    s.memory_mb = 64;
    s.max_connections = 200;
    auto policy = config::parse_policy("home_delay = 500ms", "test", s);
    controllers[i] = std::make_unique<controller::Controller>(io, clock, s, policy);
    controllers[i]->start();
  }
  void run_until(const std::function<bool()>& done, const char* what) {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!done() && std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(20));
    ASSERT_TRUE(done()) << what;
  }
  EstimateResponse call(std::size_t controller, const char* method, const std::string& path,
                        const std::string& body = "") {
    auto client = std::make_shared<net::HttpClient>(io, ports[2 * controller], 1);
    EstimateResponse a;
    bool over = false;
    client->request(method, path, body, std::chrono::seconds(5), [&](net::Result r) {
      a.status = r.status;
      a.retry_after_s = r.retry_after_s;
      a.body = Json::parse(r.body, nullptr, false);
      over = true;
    });
    run_until([&] { return over; }, path.c_str());
    client->stop();
    return a;
  }
  void healthy() {
    for (std::size_t i = 0; i < 2; ++i)
      for (int n = 0; n < 500 && call(i, "GET", "/up").status != 200; ++n)
        io.run_for(std::chrono::milliseconds(10));
  }
  // Until pipelines are taken: all controllers have shown that they know of them.
  void pipelines() {
    auto known = [this] {
      auto it = state.keys.find("beaconsill/versions");
      return it != state.keys.end() &&
             it->second.first.at("shown") ==
                 Json{{"n0", state_store::kFormatVersion}, {"n1", state_store::kFormatVersion}};
    };
    run_until(known, "all controllers know of pipelines");
    io.run_for(std::chrono::milliseconds(600));
  }
  // Ends the first controller for good: its hold runs out as well.
  void end_first() {
    run_until([&] { return state.hold_of("beaconsill/alive/n0").has_value(); }, "n0 is alive");
    controllers[0]->stop();
    controllers[0].reset();
    state.expire(*state.hold_of("beaconsill/alive/n0"));
  }
  static std::string job(const std::string& id, const char* kind, int tasks) {
    return Json{{"ref", id},        {"berth", "c"},         {"crew", "blue"},
                {"shape", kind},    {"precedence", "high"}, {"lamps", tasks},
                {"vcpus", 1.0},     {"cards", 0.0},         {"memoryGb", 1.0},
                {"cargo", "img"},   {"sizeGb", 0.5},        {"together", false},
                {"scatter", false}, {"driftwood", false},   {"reckonS", 1.0},
                {"markS", 0.0},     {"stowS", 0.0}}
        .dump();
  }
  // As a user does it: repeated for as long as it is refused for now. Each answer but the last has to be a
  // 503 that came at once and says when to come again.
  EstimateResponse withdraw(std::size_t controller, const std::string& id) {
    EstimateResponse a;
    run_until(
        [&] {
          auto asked = clock.now();
          a = call(controller, "POST", "/v1/jobs/" + id + "/withdraw");
          if (a.status != 503) return true;
          EXPECT_LT(clock.now() - asked, std::chrono::seconds(1));
          EXPECT_EQ(a.retry_after_s, 1);
          io.run_for(std::chrono::seconds(1));  // as users do
          return false;
        },
        "the cancellation is confirmed");
    return a;
  }
  std::string bearing(std::size_t controller, const std::string& id) {
    auto a = call(controller, "GET", "/v1/jobs/" + id);
    return a.status == 200 ? a.body["bearing"].get<std::string>() : "";
  }

  asio::io_context io;
  SystemClock clock;
  fakes::StateStore state;
  fakes::Cloud cloud;
  double lease_s, cancel_s, value_kb;
  std::vector<net::Tcp::endpoint> ports;
  std::vector<std::unique_ptr<controller::Controller>> controllers;
  std::vector<std::unique_ptr<fakes::Worker>> workers;
};

TEST(EndToEnd, RunsAnArrayOverBothPartsAndKeepsItsEnd) {
  World w;
  w.healthy();
  auto a = w.call(0, "POST", "/v1/jobs", World::job("run-000001", "batch", 14));
  EXPECT_EQ(a.status, 201);
  EXPECT_EQ(a.body["bearing"], "queued");
  // Known at once at the other controller as well.
  EXPECT_EQ(w.call(1, "GET", "/v1/jobs/run-000001").status, 200);
  w.run_until([&] { return w.bearing(1, "run-000001") == "done"; }, "the array is done");
  EXPECT_EQ(w.workers[0]->started + w.workers[1]->started, 14);
  EXPECT_GT(w.workers[0]->started, 0);
  EXPECT_GT(w.workers[1]->started, 0);
  // Done it stays, also after what else is known of it was dropped.
  w.run_until([&] { return !w.state.keys.contains("beaconsill/jobs/run-000001"); }, "tidied");
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_EQ(w.bearing(i, "run-000001"), "done");
    EXPECT_EQ(w.call(i, "POST", "/v1/jobs", World::job("run-000001", "batch", 14)).status, 200);
    EXPECT_EQ(w.call(i, "POST", "/v1/jobs/run-000001/withdraw").body["bearing"], "done");
  }
}

TEST(EndToEnd, ServicesRunUntilTheyAreCancelled) {
  World w;
  w.healthy();
  for (auto& x : w.workers) x->services.insert("run-7");
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs", World::job("run-7", "daemon", 3)).status, 201);
  auto running = [&] {
    std::size_t n = 0;
    for (auto& x : w.workers)
      for (auto& t : x->tasks) n += t.state == "running";
    return n;
  };
  w.run_until([&] { return running() == 3; }, "three replicas run");
  auto a = w.withdraw(1, "run-7");
  EXPECT_EQ(a.status, 200);
  EXPECT_EQ(a.body["bearing"], "withdrawn");
  // The other controller tells nothing older, and the same as soon as all have acknowledged it to that
  // controller too.
  std::string told;
  w.run_until([&] { return !(told = w.bearing(0, "run-7")).empty(); }, "the other node answers");
  EXPECT_EQ(told, "withdrawn");
  w.run_until([&] { return running() == 0; }, "no replica runs");
}

TEST(EndToEnd, AnswersOfTheProtocol) {
  World w;
  w.healthy();
  struct Case {
    const char* method;
    std::string path, body;
    int status;
  };
  auto broken = World::job("run-5", "batch", 1);
  broken.replace(broken.find("\"lamps\":1"), 9, "\"lamps\":-1");
  auto stranger = World::job("run-5", "batch", 1);
  stranger.replace(stranger.find("\"blue\""), 6, "\"grey\"");
  auto huge = World::job("run-5", "batch", 1);
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
    EXPECT_EQ(w.call(0, c.method, c.path, c.body).status, c.status) << c.method << ' ' << c.path;
}

TEST(Pipelines, RunStepByStepAndAreCancelledTogether) {
  World w;
  w.healthy();
  auto step = [](const std::string& id, std::vector<std::string> depends_on, const char* kind = "batch") {
    auto j = Json::parse(World::job(id, kind, 2));
    j["awaits"] = std::move(depends_on);
    return j.dump();
  };
  auto submit = [&](std::size_t controller, const std::string& body) {
    return w.call(controller, "POST", "/v1/jobs", body);
  };
  w.pipelines();
  EXPECT_EQ(submit(0, World::job("run-1", "batch", 2)).status, 201);
  // Accepted by the other controller a moment ago.
  auto a = submit(1, step("run-2", {"run-1"}));
  EXPECT_EQ(a.status, 201);
  EXPECT_EQ(a.body["bearing"], "queued");
  EXPECT_EQ(submit(0, step("run-9", {"run-1", "run-404"})).status, 422);
  EXPECT_EQ(submit(0, step("run-9", {"run-9"})).status, 400);
  EXPECT_EQ(w.call(0, "GET", "/v1/jobs/run-9").status, 404);
  w.state.down = true;
  EXPECT_EQ(submit(0, step("run-9", {"run-404"})).status, 503);
  w.state.down = false;
  auto started = [&](const std::string& job) {
    for (auto& x : w.workers)
      for (auto& t : x->tasks)
        if (t.id.starts_with(job + "/")) return true;
    return false;
  };
  bool too_early = false;
  auto over = [&] {
    bool second = started("run-2");
    too_early |= second && w.bearing(0, "run-1") != "done";
    return w.bearing(0, "run-2") == "done";
  };
  w.run_until(over, "both are done");
  EXPECT_FALSE(too_early);
  // Neither controller starts anything of what waits for a service, and both call it off as soon as that is.
  EXPECT_EQ(submit(0, World::job("run-10", "daemon", 1)).status, 201);
  std::string before = "run-10";
  for (auto id : {"run-11", "run-12", "run-13"}) {
    EXPECT_EQ(submit(0, step(id, {before})).status, 201);
    before = id;
  }
  EXPECT_EQ(w.bearing(1, "run-13"), "queued");
  EXPECT_EQ(w.withdraw(1, "run-10").body["bearing"], "withdrawn");
  for (std::size_t controller : {1, 0})
    for (auto id : {"run-11", "run-12", "run-13"}) EXPECT_EQ(w.bearing(controller, id), "withdrawn") << id;
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs/run-12/withdraw").body["bearing"], "withdrawn");
  // Named afterwards: accepted, and called off.
  a = submit(0, step("run-14", {"run-13"}));
  EXPECT_EQ(a.status, 201);
  EXPECT_EQ(a.body["bearing"], "withdrawn");
  // They get ends of their own, their records go, and nothing changes by that.
  auto tidied = [&] {
    for (auto id : {"run-11", "run-12", "run-13", "run-14"})
      if (w.state.keys.contains(std::string("beaconsill/jobs/") + id)) return false;
    return true;
  };
  w.run_until(tidied, "tidied");
  for (auto id : {"run-11", "run-12", "run-13", "run-14"}) EXPECT_EQ(w.bearing(1, id), "withdrawn") << id;
  EXPECT_EQ(w.bearing(1, "run-2"), "done");
}

// The keys that hold what a job awaits are dropped after its record.
TEST(Pipelines, KeysOfAwaitedJobsAreTidied) {
  World w(5, 20, 0.5);
  w.state.max_value = 512;
  w.healthy();
  w.pipelines();
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs", World::job("run-1", "daemon", 1)).status, 201);
  std::vector<std::string> dependency{"run-1"};
  for (int i = 0; i < 60; ++i) {
    dependency.push_back("run-00000" + std::to_string(100 + i));
    w.state.put("beaconsill/ends/" + dependency.back(), Json{{"end", "done"}, {"done", 1}});
  }
  auto join = Json::parse(World::job("run-2", "batch", 1));
  join["awaits"] = dependency;
  w.run_until([&] { return w.call(1, "POST", "/v1/jobs", join.dump()).status / 100 == 2; }, "accepted");
  EXPECT_EQ(w.bearing(0, "run-2"), "queued");
  auto keys = [&] {
    return std::count_if(w.state.keys.begin(), w.state.keys.end(), [](const auto& k) {
      return k.first.starts_with("beaconsill/awaits/") || k.first.starts_with("beaconsill/jobs/");
    });
  };
  EXPECT_GE(keys(), 4);
  w.withdraw(0, "run-1");
  w.run_until([&] { return keys() == 0; }, "tidied");
  EXPECT_EQ(w.bearing(1, "run-2"), "withdrawn");
}

// Until each controller has shown that it knows of such jobs, an earlier version might start them too early.
TEST(Pipelines, AreRefusedForNowUntilAllControllersKnowOfThem) {
  World w;
  w.healthy();
  w.pipelines();
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs", World::job("run-1", "daemon", 1)).status, 201);
  auto j = Json::parse(World::job("run-2", "batch", 1));
  j["awaits"] = {"run-1"};
  // Recorded with the leader's role in a form that an earlier version can't take it by.
  const auto& role = w.state.keys.at("beaconsill/roles/leader").first;
  EXPECT_EQ(state_store::parse_role(role).readable_since, state_store::kFormatVersion);
  EXPECT_FALSE(role.contains("node"));    // what version 0 reads
  EXPECT_FALSE(role.contains("holder"));  // what version 1 reads
  // The second controller is set back to an earlier version.
  auto old = [&] { w.state.put("beaconsill/alive/n1", Json{{"up", true}}); };
  old();
  w.io.run_for(std::chrono::milliseconds(600));
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs", j.dump()).status, 503);
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs", World::job("run-3", "batch", 1)).status, 201);
}

// At thousands of machines a list takes longer than the time between two of them.
TEST(EndToEnd, ListsOfMachinesDoNotPileUp) {
  World w;
  w.healthy();
  w.run_until([&] { return w.cloud.lists > 0; }, "listed");
  w.cloud.lists = 0;
  w.cloud.lists_silent = true;
  w.io.run_for(std::chrono::seconds(9));
  EXPECT_GE(w.cloud.lists, 1);
  EXPECT_LE(w.cloud.lists, 2);
}

TEST(EndToEnd, AnUnreadableStateServiceIsNever404) {
  World w;
  w.healthy();
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs", World::job("run-1", "batch", 1)).status, 201);
  w.run_until([&] { return w.bearing(0, "run-1") == "done"; }, "done");
  w.state.down = true;
  EXPECT_EQ(w.call(0, "GET", "/v1/jobs/run-2").status, 503);
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs", World::job("run-3", "batch", 1)).status, 503);
  EXPECT_EQ(w.call(0, "GET", "/v1/jobs/run-1").status, 200);  // final states need no reading
  w.state.down = false;
}

// Found on a day on which the state store refused one owner, another controller confirmed cancellations,
// and then the state store was out for all: the first owner knew that there were some and not which, and
// let all leases run out.
TEST(EndToEnd, AnOwnerWithoutTheStateServiceStopsWhatWasCancelledAndNothingElse) {
  World w(2, 6);
  w.healthy();
  for (auto& x : w.workers) x->services = {"run-7", "run-8"};
  w.call(0, "POST", "/v1/jobs", World::job("run-7", "daemon", 4));
  w.call(0, "POST", "/v1/jobs", World::job("run-8", "daemon", 4));
  auto running = [&](const std::string& job) {
    std::size_t n = 0;
    for (auto& x : w.workers)
      for (auto& t : x->tasks) n += t.state == "running" && t.id.starts_with(job + "/");
    return n;
  };
  w.run_until([&] { return running("run-7") == 4 && running("run-8") == 4; }, "both services run");
  w.state.shut[0] = true;
  EXPECT_EQ(w.withdraw(1, "run-7").status, 200);
  w.state.down = true;
  w.run_until([&] { return running("run-7") == 0; }, "what was cancelled is stopped");
  // For longer than `cancel_s` every worker is answered at least once a second.
  for (int s = 0; s < 7; ++s) {
    auto first = w.workers[0]->answered, second = w.workers[1]->answered;
    w.io.run_for(std::chrono::seconds(1));
    EXPECT_GT(w.workers[0]->answered, first) << s;
    EXPECT_GT(w.workers[1]->answered, second) << s;
  }
  EXPECT_EQ(running("run-8"), 4);
}

// Found on a day with an outage: users' requests waited in the queue to the state store until they gave up.
TEST(EndToEnd, RequestsAreRefusedWithoutAskingAnUnreachableStateService) {
  World w;
  w.healthy();
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs", World::job("run-1", "daemon", 1)).status, 201);
  w.state.down = true;
  w.io.run_for(std::chrono::milliseconds(1500));
  auto before = w.state.refused["/txn"];
  for (int n = 0; n < 20; ++n) {
    EXPECT_EQ(w.call(0, "POST", "/v1/jobs", World::job("run-2", "batch", 1)).status, 503);
    EXPECT_EQ(w.call(0, "POST", "/v1/jobs/run-1/withdraw").status, 503);
    EXPECT_EQ(w.call(0, "GET", "/v1/jobs/run-1").retry_after_s, 1);
  }
  EXPECT_LT(w.state.refused["/txn"] - before, 20);
  w.state.down = false;
  w.run_until([&] { return w.call(0, "GET", "/v1/jobs/run-1").status == 200; }, "it's read again");
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs", World::job("run-2", "batch", 1)).status, 201);
}

// Found on a day when the state store failed just as a shard was going home: its owner had stopped answering
// before the change was applied, and all leases ran out.
TEST(EndToEnd, APartThatCannotGoHomeIsStillAnswered) {
  World w;
  w.healthy();
  w.end_first();
  auto owner = [&](const char* shard) {
    auto it = w.state.keys.find(std::string("beaconsill/roles/part/") + shard);
    return it == w.state.keys.end() ? std::string() : it->second.first["node"].get<std::string>();
  };
  w.run_until([&] { return owner("0") == "n1"; }, "n1 owns both parts");
  w.start(0);
  w.run_until([&] { return w.state.hold_of("beaconsill/alive/n0").has_value(); }, "n0 is back");
  w.state.down = true;
  w.io.run_for(std::chrono::milliseconds(800));
  auto before = w.workers[0]->answered;
  w.run_until([&] { return w.workers[0]->answered > before + 10; },
              "its worker is answered during the outage");
  w.state.down = false;
  w.run_until([&] { return owner("0") == "n0"; }, "the part goes home");
}

// Found when a controller was ended just as a timer of its had come due: the timer's work ran on what was
// freed. Whatever the limit, no use of sockets takes what another needs, and the largest fleets fit at one
// controller.
TEST(Sockets, AreSharedOut) {
  struct Case {
    std::uint32_t limit;
    std::size_t workers;  // of machines that all report to one controller
  };
  for (const auto& c : {Case{16, 1}, Case{600, 60}, Case{1557, 590}, Case{2693, 1054}}) {
    config::Settings s;
    s.max_connections = c.limit;
    s.peers.resize(2);
    auto p = controller::plan_socket_limits(s);
    EXPECT_LE(p.own + p.commands + p.served, c.limit);
    EXPECT_GE(p.served, c.workers + c.workers / 4) << c.limit;
    EXPECT_GT(p.users, 0u) << c.limit;
    EXPECT_GE(p.served - p.users, p.users) << c.limit;
  }
}

TEST(OneShotTimer, DoesNotRunOnceItsOwnerIsGone) {
  asio::io_context io;
  int ran = 0;
  auto second = std::make_unique<controller::OneShotTimer>(io, [&] { ran += 10; });
  controller::OneShotTimer first(io, [&] {
    ++ran;
    second.reset();
  });
  // Both have come due, and are queued, when the first one runs.
  first.set(Duration(0));
  second->set(Duration(0));
  io.run();
  EXPECT_EQ(ran, 1);
}

// An accepted job runs or stays known: once all troubles are over it's answered again, and its tasks are
// done.
TEST(EndToEnd, AcceptedJobsAreAnsweredAndRunAfterAllNodesEndedInAnOutage) {
  World w;
  w.healthy();
  EXPECT_EQ(w.call(0, "POST", "/v1/jobs", World::job("run-1", "batch", 6)).status, 201);
  EXPECT_EQ(w.call(1, "POST", "/v1/jobs", World::job("run-2", "batch", 6)).status, 201);
  w.state.down = true;
  for (auto& n : w.controllers) {
    n->stop();
    n.reset();
  }
  for (std::size_t i = 0; i < 2; ++i) w.start(i);
  // Nothing is known yet, and so nothing is denied.
  EXPECT_EQ(w.call(0, "GET", "/v1/jobs/run-1").status, 503);
  w.state.down = false;
  for (const char* id : {"run-1", "run-2"})
    for (std::size_t i = 0; i < 2; ++i) w.run_until([&] { return w.bearing(i, id) == "done"; }, id);
}

// Found on a day when one controller lost the state store only: its workers stayed with it, since it kept
// answering them, and its successor waited for them in vain.
TEST(EndToEnd, AnOwnerThatOnlyPeersCanReachHandsItsWorkersOver) {
  World w;
  w.healthy();
  for (auto& x : w.workers) x->services.insert("run-7");
  w.call(0, "POST", "/v1/jobs", World::job("run-7", "daemon", 8));
  auto started = [&] { return w.workers[0]->started + w.workers[1]->started; };
  w.run_until([&] { return started() == 8; }, "eight replicas run");
  w.run_until([&] { return w.state.hold_of("beaconsill/alive/n0").has_value(); }, "n0 is alive");
  w.state.shut[0] = true;
  w.state.expire(*w.state.hold_of("beaconsill/alive/n0"));
  w.run_until([&] { return (w.workers[0]->token >> 20) >= 2; },
              "the worker of n0 has seen its successor's term");
  EXPECT_EQ(started(), 8);
}

// A worker whose address makes no sense: commands to it count as unanswered, so that it comes into doubt,
// rather than that its tasks wait for an answer for good.
TEST(EndToEnd, CommandsToAnAddressThatIsNotUnderstoodCountAsUnanswered) {
  World w;
  w.healthy();
  w.workers[0]->stop();
  std::uint64_t tally = 0, first = 0, seen = 0;
  auto heartbeat = [&] {
    Json r{{"beacon", "host-9"},    {"address", "nowhere"}, {"hull", "t4"},
           {"harbour", "east"},     {"driftwood", false},   {"watch", 1},
           {"tally", ++tally},      {"helm", seen},         {"recallS", nullptr},
           {"lamps", Json::array()}};
    auto a = w.call(0, "POST", "/hello", r.dump());
    if (a.status != 200) return;
    seen = a.body["helm"].get<std::uint64_t>();
    if (first == 0) first = seen;
    w.io.run_for(std::chrono::milliseconds(20));
  };
  for (int n = 0; n < 500 && first == 0; ++n) heartbeat();
  ASSERT_GT(first, 0u);
  w.call(0, "POST", "/v1/jobs", World::job("run-9", "daemon", 64));
  // Raised once for the commands, and once more since they had no answer.
  for (int n = 0; n < 500 && seen < first + 2; ++n) heartbeat();
  EXPECT_GE(seen, first + 2);
}

TEST(EndToEnd, ASuccessorTakesOverWithoutRestartingWhatRuns) {
  World w;
  w.healthy();
  for (auto& x : w.workers) x->services.insert("run-7");
  w.call(0, "POST", "/v1/jobs", World::job("run-7", "daemon", 8));
  auto started = [&] { return w.workers[0]->started + w.workers[1]->started; };
  w.run_until([&] { return started() == 8; }, "eight replicas run");
  w.end_first();
  w.run_until(
      [&] {
        auto it = w.state.keys.find("beaconsill/roles/part/0");
        return it != w.state.keys.end() && it->second.first["node"] == "n1" &&
               (w.workers[0]->token >> 20) >= 2;
      },
      "n1 owns the part and its worker has seen the new term");
  EXPECT_EQ(w.call(1, "POST", "/v1/jobs", World::job("run-8", "batch", 1)).status, 201);
  EXPECT_EQ(started(), 8);
  EXPECT_EQ(w.withdraw(1, "run-7").status, 200);
  w.run_until([&] { return w.workers[0]->tasks.empty() || w.workers[0]->tasks[0].id != "run-7/0"; },
              "stopped");
  w.run_until([&] { return w.bearing(1, "run-8") == "done"; }, "the new job runs");
}

TEST(PauseDetector, IsNoticedByAGapBetweenObservations) {
  struct Case {
    std::vector<double> observed;
    double over;  // 0: never
  };
  for (const auto& c : {Case{{5}, 0}, Case{{5, 5.1, 5.9}, 0}, Case{{5, 6.2}, 6.2},
                        Case{{5, 25, 25.1, 25.5}, 25}, Case{{5, 10, 11, 30, 30.4}, 30}}) {
    controller::PauseDetector s;
    for (double t : c.observed) s.observe(Instant{} + from_seconds(t));
    EXPECT_EQ(s.over(), Instant{} + from_seconds(c.over)) << c.observed.back();
  }
}

TEST(Shares, AddUpWhoeverIsThere) {
  struct Case {
    controller::LiveControllers sharers;
    double share;
  };
  const Case cases[] = {
      {{3, true, true}, 0.6},  {{3, false, true}, 0.2},     {{3, false, false}, 1.0 / 3},
      {{2, false, true}, 0.4}, {{2, false, false}, 0.5},    {{1, false, false}, 1},
      {{1, true, true}, 1},    {{1, false, true}, 1},       {{3, true, false}, 0.6},
      {{2, true, true}, 0.6},  {{5, false, true}, 0.4 / 4},
  };
  for (const auto& c : cases)
    EXPECT_NEAR(controller::rate_limit_share(c.sharers, 0.6), c.share, 1e-9)
        << c.sharers.alive << c.sharers.is_leader << c.sharers.has_leader;
}

}  // namespace
}  // namespace beaconsill
