// Meetings of troubles at a controller and its state store: transactions that are carried out late or whose
// answer is lost, and requests of users at that moment. docs/meetings-controllers.md lists the meetings.
#include <gtest/gtest.h>

#include <thread>

#include "api/api.h"
#include "base/log.h"
#include "controller/controller.h"
#include "fakes/cloud.h"
#include "fakes/state_store.h"
#include "fakes/worker.h"

namespace beaconsill {
namespace {

using fakes::Json;
using Trouble = fakes::StateStore::RequestFault;

constexpr double kLimit_cpus = 4;

config::Settings settings(const fakes::StateStore& state, const fakes::Cloud& cloud) {
  config::Settings s;
  s.controller = ControllerName("n0");
  s.zone = Zone("east");
  s.cloud = fakes::text(cloud.server->local());
  s.state = fakes::text(state.doors[0]->local());
  s.zones = {Zone("east")};
  s.teams = {{Team("blue"), 0, kLimit_cpus, 0, 0}};
  s.report_s = 0.2;
  s.lease_s = 5;
  s.cancel_s = 20;
  s.state_rps = 1000;
  s.state_write_rps = 500;
  s.value_kb = 8;
  s.txn_ops = 16;
  s.cloud_rps = 50;
  s.list_lag_s = 1;
  s.cpu_share = 1;
  s.memory_mb = 64;
  s.max_connections = 200;
  return s;
}

std::string job(const std::string& id, const char* priority) {
  return Json{{"ref", id},
              {"berth", "c"},
              {"crew", "blue"},
              {"shape", "batch"},
              {"precedence", priority},
              {"lamps", 4},
              {"vcpus", 1.0},
              {"cards", 0.0},
              {"memoryGb", 1.0},
              {"cargo", "img"},
              {"sizeGb", 0.5},
              {"together", false},
              {"scatter", false},
              {"driftwood", false},
              {"reckonS", 1.0},
              {"markS", 0.0},
              {"stowS", 0.0}}
      .dump();
}

bool writes(const fakes::Request& r, std::string_view key) {
  if (r.path != "/txn") return false;
  auto txn = Json::parse(r.body);
  return std::any_of(txn["writes"].begin(), txn["writes"].end(),
                     [&](const Json& w) { return w.value("set", "").starts_with(key); });
}

struct Loop {
  Loop() : state(io), cloud(io) { spdlog::set_level(spdlog::level::err); }
  ~Loop() {
    for (auto& d : state.doors) d->stop();
    cloud.server->stop();
    io.poll();
  }
  bool run_until(const std::function<bool()>& done, std::chrono::seconds limit = std::chrono::seconds(30)) {
    auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(20));
    return done();
  }
  void run_for(std::chrono::milliseconds d) {
    auto end = std::chrono::steady_clock::now() + d;
    while (std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(20));
  }

  asio::io_context io;
  SystemClock clock;
  fakes::StateStore state;
  fakes::Cloud cloud;
};

// One controller with two workers, each with room for as much as the team's limit.
struct OneController : Loop {
  OneController() {
    auto s = settings(state, cloud);
    net::Tcp::acceptor users(io, fakes::any_port()), peers(io, fakes::any_port());
    at = users.local_endpoint();
    s.listen = fakes::text(at);
    s.peer_listen = fakes::text(peers.local_endpoint());
    users.close();
    peers.close();
    controller = std::make_unique<controller::Controller>(io, clock, s, config::parse_policy("", "test", s));
    controller->start();
    for (const char* name : {"host-0", "host-1"}) {
      workers.push_back(
          std::make_unique<fakes::Worker>(io, name, "east", std::vector{at}, std::vector<std::string>{"n0"}));
      workers.back()->run_reports = 1000000;
    }
  }
  ~OneController() {
    for (auto& w : workers) w->stop();
    controller->stop();
    // Handlers that are queued are not cancelled any more: they run while the stand-ins are still there.
    io.poll();
  }
  int call(const char* method, const std::string& path, const std::string& body = "") {
    auto client = std::make_shared<net::HttpClient>(io, at, 1);
    std::optional<int> status;
    client->request(method, path, body, std::chrono::seconds(5), [&](net::Result r) { status = r.status; });
    run_until([&] { return status.has_value(); });
    client->stop();
    return status.value_or(0);
  }
  bool healthy() {
    return run_until([&] { return call("GET", "/up") == 200; });
  }
  int started() const {
    int n = 0;
    for (const auto& w : workers) n += w->started;
    return n;
  }

  net::Tcp::endpoint at;
  std::unique_ptr<controller::Controller> controller;
  std::vector<std::unique_ptr<fakes::Worker>> workers;
};

// Grants get no answer, and the next round gives the team's last room to another job. Carried out after that,
// the first would put the team over its limit.
TEST(Meetings, GrantsThatAreCarriedOutLateDoNotExceedTheLimit) {
  OneController w;
  ASSERT_TRUE(w.healthy());
  w.state.fault = [&](const fakes::Request& r) {
    return writes(r, "beaconsill/grants/run-000001") && w.state.late() == 0 ? Trouble::kLate : Trouble::kNone;
  };
  ASSERT_EQ(w.call("POST", "/v1/jobs", job("run-000001", "standard")), 201);
  ASSERT_TRUE(w.run_until([&] { return w.state.late() == 1; }));
  ASSERT_EQ(w.call("POST", "/v1/jobs", job("run-000002", "production")), 201);
  ASSERT_TRUE(w.run_until([&] { return w.state.keys.contains("beaconsill/grants/run-000002"); }));
  ASSERT_TRUE(w.run_until([&] { return w.started() == 4; }));
  w.state.fault = nullptr;
  for (int status : w.state.carry_out_late()) EXPECT_EQ(status, 409);
  w.run_for(std::chrono::milliseconds(1500));
  auto written_over = w.state.keys.find("beaconsill/grants/run-000001");
  if (written_over != w.state.keys.end()) {
    EXPECT_TRUE(state_store::parse_grants(written_over->second.first).chunks.empty());
  }
  EXPECT_EQ(w.started(), 4);
}

// Only the answer to the grants is lost: the leader finds them when it looks, and goes on.
TEST(Meetings, GrantsWhoseAnswerIsLostStand) {
  OneController w;
  ASSERT_TRUE(w.healthy());
  int lost = 0;
  w.state.fault = [&](const fakes::Request& r) {
    if (!writes(r, "beaconsill/grants/") || lost > 0) return Trouble::kNone;
    ++lost;
    return Trouble::kAnswerKept;
  };
  ASSERT_EQ(w.call("POST", "/v1/jobs", job("run-000001", "standard")), 201);
  EXPECT_TRUE(w.run_until([&] { return w.started() == 4; }));
  ASSERT_EQ(w.call("POST", "/v1/jobs/run-000001/withdraw"), 200);
  ASSERT_EQ(w.call("POST", "/v1/jobs", job("run-000002", "standard")), 201);
  EXPECT_TRUE(w.run_until([&] { return w.started() == 8; }));
  EXPECT_EQ(lost, 1);
}

// The transaction that writes over late grants has no answer itself, whether it was carried out or not: the
// next one serves, and none of those that come late stands beside it.
TEST(Meetings, WritingOverLateGrantsIsRepeated) {
  for (bool carried_out : {false, true}) {
    OneController w;
    ASSERT_TRUE(w.healthy());
    int writes_of_first = 0;
    w.state.fault = [&](const fakes::Request& r) {
      if (!writes(r, "beaconsill/grants/run-000001") || ++writes_of_first > 2) return Trouble::kNone;
      return writes_of_first == 2 && carried_out ? Trouble::kAnswerKept : Trouble::kLate;
    };
    ASSERT_EQ(w.call("POST", "/v1/jobs", job("run-000001", "standard")), 201);
    ASSERT_TRUE(w.run_until([&] { return w.state.late() >= 1; }));
    ASSERT_EQ(w.call("POST", "/v1/jobs", job("run-000002", "production")), 201);
    EXPECT_TRUE(w.run_until([&] { return w.started() == 4; })) << carried_out;
    EXPECT_GE(writes_of_first, carried_out ? 2 : 3);
    for (int status : w.state.carry_out_late()) EXPECT_EQ(status, 409) << carried_out;
    w.run_for(std::chrono::milliseconds(1500));
    EXPECT_EQ(w.started(), 4) << carried_out;
  }
}

// An earlier process of a controller had written that it's alive; carried out late, that ties the key to a
// hold that runs out. The controller has to write it anew, or it could never take a role again.
TEST(Meetings, ANodeWhoseAliveKeyWentWritesItAgain) {
  OneController w;
  ASSERT_TRUE(w.healthy());
  ASSERT_TRUE(w.run_until([&] { return w.state.keys.contains("beaconsill/alive/n0"); }));
  w.state.remove("beaconsill/alive/n0");
  EXPECT_TRUE(
      w.run_until([&] { return w.state.keys.contains("beaconsill/alive/n0"); }, std::chrono::seconds(5)));
}

// Found by ASan in a run of .ci/run: the stand-ins were freed before the handlers of their timers, which were
// queued already and so not cancelled any more, had run.
TEST(OneController, EndsWhileTimersAreDue) {
  for (int i = 0; i < 30; ++i) {
    OneController w;
    ASSERT_TRUE(w.healthy());
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    // Queues the handlers of all that is due, and runs one of them.
    w.io.run_one();
  }
}

// A controller's view of the state store, without the rest of the controller.
struct Viewer : Loop {
  Viewer() {
    store = std::make_shared<state_store::StoreClient>(io, clock, state.doors[0]->local(),
                                                       state_store::StoreLimits{1000, 500},
                                                       state_store::StoreLimits{1000, 500}, 1.0);
    watch_cache = std::make_shared<state_store::WatchCache>(io, clock, store, std::chrono::milliseconds(100),
                                                            [](const state_store::StateView::ChangeSet&) {});
    watch_cache->start();
    ready = run_until([&] { return watch_cache->ready(); });
  }
  ~Viewer() {
    watch_cache->stop();
    store->stop();
  }
  bool read_to(std::uint64_t revision) {
    return run_until([&] { return watch_cache->revision() >= Revision(revision); });
  }
  static Json record(const char* id) {
    protocol::JobSpec s;
    s.id = JobId(id);
    s.job_class = "c";
    s.team = Team("blue");
    s.tasks = 1;
    s.image = ImageName("i");
    return state_store::to_json(
        state_store::JobRecord{std::make_shared<const protocol::JobSpec>(s), WallMs(5)});
  }

  std::shared_ptr<state_store::StoreClient> store;
  std::shared_ptr<state_store::WatchCache> watch_cache;
  bool ready = false;
};

const JobId kJob("run-000001");

// The answer to a controller's own transaction comes after reads that saw the key dropped again. Were it
// taken for news, the job would be back for good, and the leader's tidying would fail on it for ever.
TEST(Meetings, ALateAnswerDoesNotBringADroppedKeyBack) {
  Viewer v;
  ASSERT_TRUE(v.ready);
  v.state.set(state_store::job_key(kJob), Viewer::record("run-000001"));
  auto created = v.state.revision();
  v.state.remove(state_store::job_key(kJob));
  ASSERT_TRUE(v.read_to(v.state.revision()));
  protocol::Txn own;
  own.writes = {{state_store::job_key(kJob), Viewer::record("run-000001"), std::nullopt}};
  v.watch_cache->apply_own(own, Revision(created));
  EXPECT_EQ(v.watch_cache->view().job(kJob), nullptr);
  EXPECT_TRUE(v.watch_cache->view().jobs().empty());
}

// A read that was answered before this controller dropped a key arrives after it.
TEST(Meetings, AnOlderReadDoesNotBringADroppedKeyBack) {
  Viewer v;
  ASSERT_TRUE(v.ready);
  ASSERT_TRUE(v.read_to(v.state.revision()));
  v.state.set(state_store::job_key(kJob), Viewer::record("run-000001"));
  v.state.fault = [](const fakes::Request& r) {
    return r.path == "/watch" ? Trouble::kAnswerKept : Trouble::kNone;
  };
  ASSERT_TRUE(v.run_until([&] { return v.state.kept() > 0; }));
  v.state.fault = nullptr;
  v.state.remove(state_store::job_key(kJob));
  protocol::Txn own;
  own.writes = {{state_store::job_key(kJob), std::nullopt, std::nullopt}};
  v.watch_cache->apply_own(own, Revision(v.state.revision()));
  auto before = v.watch_cache->revision();
  v.state.answer_kept();
  ASSERT_TRUE(v.run_until([&] { return v.watch_cache->revision() > before; }));
  EXPECT_EQ(v.watch_cache->view().job(kJob), nullptr);
}

// Users at the moment at which the answer to a submission or a cancellation is on its way.
struct Users : Viewer {
  // Questions that still wait are answered while the endpoints are there, as controller::Controller does when
  // it stops.
  ~Users() { watch_cache->stop(); }
  Users()
      : config(settings(state, cloud)),
        api(io, clock, config, store, watch_cache,
            {[this] { return &types; }, [](Revision) {},
             [this](const JobId& id) {
               asked = watch_cache->view().terminal_record(id).version;
               return acknowledged;
             },
             [](const JobId&) { return 0u; }, [] { return true; }}) {
    types[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("east")}};
  }
  // The answer comes into the place that is returned.
  std::shared_ptr<std::optional<net::Response>> send(const char* method, const std::string& path,
                                                     const std::string& body = "") {
    auto answer = std::make_shared<std::optional<net::Response>>();
    net::Request r;
    r.method = method;
    r.path = path;
    r.body = body;
    api.handle(r, [answer](net::Response x) { *answer = std::move(x); });
    return answer;
  }
  std::string bearing(const net::Response& r) { return Json::parse(r.body).value("bearing", ""); }

  config::Settings config;
  protocol::Catalogue types;
  // Of the cancellation whose disclosure was asked for.
  Revision asked;
  bool acknowledged = true;
  api::Api api;
};

// Another controller has read the job, and told its user how it ended, before the answer to its creation is
// here.
TEST(Meetings, ASubmissionIsNotAnsweredOlderThanItsEnd) {
  for (auto end : {state_store::TerminalState::kDone, state_store::TerminalState::kCancelled}) {
    Users u;
    ASSERT_TRUE(u.ready);
    u.state.fault = [](const fakes::Request& r) {
      return writes(r, "beaconsill/jobs/") ? Trouble::kAnswerKept : Trouble::kNone;
    };
    auto answer = u.send("POST", "/v1/jobs", job("run-000001", "standard"));
    ASSERT_TRUE(u.run_until([&] { return u.state.kept() == 1; }));
    u.state.set(state_store::terminal_key(kJob), state_store::to_json(state_store::TerminalRecord{end, 1}));
    ASSERT_TRUE(u.read_to(u.state.revision()));
    u.state.answer_kept();
    ASSERT_TRUE(u.run_until([&] { return answer->has_value(); }));
    EXPECT_EQ(u.bearing(**answer), end == state_store::TerminalState::kDone ? "done" : "withdrawn");
  }
}

// A cancellation, a question and a repeated submission meet the record of the end, which no controller has
// read yet: each is answered by it. Nor does it matter whether the job's own key has been dropped since.
TEST(Meetings, RequestsMeetTheEndOfAJob) {
  struct Case {
    const char* what;
    const char* method;
    const char* path;
    bool known_before;  // the controller has read the job
    bool dropped;
  };
  const Case cases[] = {
      {"cancellation", "POST", "/v1/jobs/run-000001/withdraw", true, false},
      {"cancellation of a job that isn't read yet", "POST", "/v1/jobs/run-000001/withdraw", false, false},
      {"cancellation, its key is dropped", "POST", "/v1/jobs/run-000001/withdraw", true, true},
      {"question", "GET", "/v1/jobs/run-000001", true, false},
      {"question, its key is dropped", "GET", "/v1/jobs/run-000001", true, true},
      {"submission", "POST", "/v1/jobs", true, false},
      {"submission of a job that isn't read yet", "POST", "/v1/jobs", false, false},
      {"submission, its key is dropped", "POST", "/v1/jobs", true, true},
  };
  for (const auto& c : cases) {
    Users u;
    ASSERT_TRUE(u.ready);
    u.state.set(state_store::job_key(kJob), Viewer::record("run-000001"));
    if (c.known_before) {
      ASSERT_TRUE(u.read_to(u.state.revision()));
    }
    u.state.set(state_store::terminal_key(kJob),
                state_store::to_json(state_store::TerminalRecord{state_store::TerminalState::kDone, 1}));
    if (c.dropped) u.state.remove(state_store::job_key(kJob));
    auto body = std::string_view(c.path) == "/v1/jobs" ? job("run-000001", "standard") : "";
    auto answer = u.send(c.method, c.path, body);
    ASSERT_TRUE(u.run_until([&] { return answer->has_value(); })) << c.what;
    EXPECT_EQ((*answer)->status, 200) << c.what;
    EXPECT_EQ(u.bearing(**answer), "done") << c.what;
  }
}

// No user is told of a cancellation that the other controllers haven't acknowledged: neither by the answer to
// a repeated submission, be it known before or found by a read, and whatever would be said of the job today.
TEST(Meetings, EveryAnswerThatTellsOfACancellationCounts) {
  struct Case {
    const char* what;
    const char* method;
    const char* path;
    bool known_before;
    bool fits;
  };
  const Case cases[] = {
      {"question", "GET", "/v1/jobs/run-000001", false, true},
      {"cancellation", "POST", "/v1/jobs/run-000001/withdraw", true, true},
      {"submission", "POST", "/v1/jobs", true, true},
      {"submission of a job that isn't read yet", "POST", "/v1/jobs", false, true},
      {"submission of what would be refused now", "POST", "/v1/jobs", false, false},
  };
  for (const auto& c : cases)
    for (bool acknowledged : {true, false}) {
      Users u;
      u.acknowledged = acknowledged;
      ASSERT_TRUE(u.ready);
      if (!c.fits) u.types.clear();
      u.state.set(state_store::job_key(kJob), Viewer::record("run-000001"));
      u.state.set(state_store::terminal_key(kJob), state_store::to_json(state_store::TerminalRecord{
                                                       state_store::TerminalState::kCancelled, 0}));
      auto end = u.state.revision();
      if (c.known_before) {
        ASSERT_TRUE(u.read_to(end));
      }
      auto body = std::string_view(c.path) == "/v1/jobs" ? job("run-000001", "standard") : "";
      auto answer = u.send(c.method, c.path, body);
      ASSERT_TRUE(u.run_until([&] { return answer->has_value(); })) << c.what;
      EXPECT_EQ((*answer)->status, acknowledged ? 200 : 503) << c.what;
      EXPECT_EQ(u.bearing(**answer), acknowledged ? "withdrawn" : "") << c.what;
      EXPECT_EQ(u.asked, Revision(end)) << c.what;
    }
}

// A cancellation is carried out at once and only its answer is lost: the user is told once it was read back,
// and so are the other controllers.
TEST(Meetings, ACancellationWhoseAnswerIsLost) {
  Users u;
  ASSERT_TRUE(u.ready);
  u.state.set(state_store::job_key(kJob), Viewer::record("run-000001"));
  ASSERT_TRUE(u.read_to(u.state.revision()));
  u.state.fault = [](const fakes::Request& r) {
    return writes(r, "beaconsill/ends/") ? Trouble::kAnswerKept : Trouble::kNone;
  };
  auto answer = u.send("POST", "/v1/jobs/run-000001/withdraw");
  ASSERT_TRUE(u.run_until([&] { return answer->has_value(); }));
  EXPECT_EQ((*answer)->status, 200);
  EXPECT_EQ(u.bearing(**answer), "withdrawn");
  EXPECT_EQ(u.asked, u.watch_cache->view().terminal_record(kJob).version);
}

}  // namespace
}  // namespace beaconsill
