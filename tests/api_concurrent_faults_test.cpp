// Concurrent faults at the view of the state store and the users' API: answers that come late or not at all,
// and requests of users at that moment. docs/fault-scenarios.md lists them.

#include "api/api.h"
#include "controller_fixture.h"
#include "state_store/watch_cache.h"

namespace beaconsill {
namespace {

using fakes::Json;
using RequestFault = fakes::StateStore::RequestFault;

std::string job(const std::string& id) {
  return job_json(id, "batch", 4, "standard");
}

// A controller's view of the state store, without the rest of the controller.
struct Viewer : EventLoopFixture {
  Viewer() {
    store = std::make_shared<state_store::StoreClient>(io, clock, state.servers[0]->local(),
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

// The answer to a controller's own transaction comes after reads that saw the key deleted again. Were it
// taken for news, the job would be back for good, and the leader's garbage collection would fail on it for
// ever.
TEST(WatchCacheConcurrentFaults, ALateAnswerDoesNotBringADeletedKeyBack) {
  Viewer viewer;
  ASSERT_TRUE(viewer.ready);
  viewer.state.set(state_store::job_key(kJob), Viewer::record("run-000001"));
  auto created = viewer.state.revision();
  viewer.state.remove(state_store::job_key(kJob));
  ASSERT_TRUE(viewer.read_to(viewer.state.revision()));
  protocol::Txn own;
  own.writes = {{state_store::job_key(kJob), Viewer::record("run-000001"), std::nullopt}};
  viewer.watch_cache->apply_own(own, Revision(created));
  EXPECT_EQ(viewer.watch_cache->view().job(kJob), nullptr);
  EXPECT_TRUE(viewer.watch_cache->view().jobs().empty());
}

// A read that was answered before this controller deleted a key arrives after it.
TEST(WatchCacheConcurrentFaults, AnOlderReadDoesNotBringADeletedKeyBack) {
  Viewer viewer;
  ASSERT_TRUE(viewer.ready);
  ASSERT_TRUE(viewer.read_to(viewer.state.revision()));
  viewer.state.set(state_store::job_key(kJob), Viewer::record("run-000001"));
  viewer.state.fault = [](const fakes::Request& request) {
    return request.path == "/watch" ? RequestFault::kResponseDelayed : RequestFault::kNone;
  };
  ASSERT_TRUE(viewer.run_until([&] { return viewer.state.delayed_responses() > 0; }));
  viewer.state.fault = nullptr;
  viewer.state.remove(state_store::job_key(kJob));
  protocol::Txn own;
  own.writes = {{state_store::job_key(kJob), std::nullopt, std::nullopt}};
  viewer.watch_cache->apply_own(own, Revision(viewer.state.revision()));
  auto before = viewer.watch_cache->revision();
  viewer.state.send_delayed_responses();
  ASSERT_TRUE(viewer.run_until([&] { return viewer.watch_cache->revision() > before; }));
  EXPECT_EQ(viewer.watch_cache->view().job(kJob), nullptr);
}

config::Settings api_settings(const fakes::StateStore& state, const fakes::Cloud& cloud) {
  auto settings = controller_settings(state, cloud, 0);
  settings.zone = Zone("east");
  settings.zones = {Zone("east")};
  settings.teams = {{Team("blue"), 0, 4, 0, 0}};
  return settings;
}

// Users' requests while the answer to a submission or a cancellation is on its way.
struct Users : Viewer {
  // Requests that still wait are answered while the endpoints are there, as controller::Controller does when
  // it stops.
  ~Users() { watch_cache->stop(); }
  Users()
      : settings(api_settings(state, cloud)),
        api(io, clock, settings, store, watch_cache,
            {[this] { return &types; }, [](Revision) {},
             [this](const JobId& id) {
               cancellation_revision = watch_cache->view().terminal_record(id).revision;
               return acknowledged;
             },
             [](const JobId&) { return 0u; }, [] { return true; }}) {
    types[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("east")}};
  }
  // Returns at once where the answer will be.
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
  std::string job_state(const net::Response& r) { return Json::parse(r.body).value("bearing", ""); }

  config::Settings settings;
  protocol::Catalogue types;
  // Of the cancellation that was to be acknowledged last.
  Revision cancellation_revision;
  bool acknowledged = true;
  api::Api api;
};

// Another controller has read the job, and answered its user how it ended, before the answer to its creation
// is here.
TEST(ApiConcurrentFaults, ASubmissionIsNotAnsweredOlderThanItsTerminalState) {
  for (auto end : {state_store::TerminalState::kDone, state_store::TerminalState::kCancelled}) {
    Users users;
    ASSERT_TRUE(users.ready);
    users.state.fault = [](const fakes::Request& request) {
      return is_txn_that_sets(request, "beaconsill/jobs/") ? RequestFault::kResponseDelayed : RequestFault::kNone;
    };
    auto answer = users.send("POST", "/v1/jobs", job("run-000001"));
    ASSERT_TRUE(users.run_until([&] { return users.state.delayed_responses() == 1; }));
    users.state.set(state_store::terminal_key(kJob),
                    state_store::to_json(state_store::TerminalRecord{end, 1}));
    ASSERT_TRUE(users.read_to(users.state.revision()));
    users.state.send_delayed_responses();
    ASSERT_TRUE(users.run_until([&] { return answer->has_value(); }));
    EXPECT_EQ(users.job_state(**answer), end == state_store::TerminalState::kDone ? "done" : "withdrawn");
  }
}

// A cancellation, a status request and a retried submission come while the terminal record is there, which no
// controller has read yet: each is answered by it. Nor does it matter whether the job's own key was deleted
// since.
TEST(ApiConcurrentFaults, RequestsConcurrentWithTheEndOfAJob) {
  struct Case {
    const char* what;
    const char* method;
    const char* path;
    bool known_before;  // the controller has read the job
    bool deleted;
  };
  const Case cases[] = {
      {"cancellation", "POST", "/v1/jobs/run-000001/withdraw", true, false},
      {"cancellation of a job that isn't read yet", "POST", "/v1/jobs/run-000001/withdraw", false, false},
      {"cancellation, its key is deleted", "POST", "/v1/jobs/run-000001/withdraw", true, true},
      {"status", "GET", "/v1/jobs/run-000001", true, false},
      {"status, its key is deleted", "GET", "/v1/jobs/run-000001", true, true},
      {"submission", "POST", "/v1/jobs", true, false},
      {"submission of a job that isn't read yet", "POST", "/v1/jobs", false, false},
      {"submission, its key is deleted", "POST", "/v1/jobs", true, true},
  };
  for (const auto& c : cases) {
    Users users;
    ASSERT_TRUE(users.ready);
    users.state.set(state_store::job_key(kJob), Viewer::record("run-000001"));
    if (c.known_before) {
      ASSERT_TRUE(users.read_to(users.state.revision()));
    }
    users.state.set(state_store::terminal_key(kJob),
                    state_store::to_json(state_store::TerminalRecord{state_store::TerminalState::kDone, 1}));
    if (c.deleted) users.state.remove(state_store::job_key(kJob));
    auto body = std::string_view(c.path) == "/v1/jobs" ? job("run-000001") : "";
    auto answer = users.send(c.method, c.path, body);
    ASSERT_TRUE(users.run_until([&] { return answer->has_value(); })) << c.what;
    EXPECT_EQ((*answer)->status, 200) << c.what;
    EXPECT_EQ(users.job_state(**answer), "done") << c.what;
  }
}

// No user is notified of a cancellation that the other controllers haven't acknowledged: nor by the answer to
// a retried submission, be the cancellation known before or found by a read, and whether or not the job would
// be accepted today.
TEST(ApiConcurrentFaults, EveryAnswerThatShowsACancellationIsAcknowledgedFirst) {
  struct Case {
    const char* what;
    const char* method;
    const char* path;
    bool known_before;
    bool fits;
  };
  const Case cases[] = {
      {"status", "GET", "/v1/jobs/run-000001", false, true},
      {"cancellation", "POST", "/v1/jobs/run-000001/withdraw", true, true},
      {"submission", "POST", "/v1/jobs", true, true},
      {"submission of a job that isn't read yet", "POST", "/v1/jobs", false, true},
      {"submission of what would be refused now", "POST", "/v1/jobs", false, false},
  };
  for (const auto& c : cases)
    for (bool acknowledged : {true, false}) {
      Users users;
      users.acknowledged = acknowledged;
      ASSERT_TRUE(users.ready);
      if (!c.fits) users.types.clear();
      users.state.set(state_store::job_key(kJob), Viewer::record("run-000001"));
      users.state.set(state_store::terminal_key(kJob), state_store::to_json(state_store::TerminalRecord{
                                                           state_store::TerminalState::kCancelled, 0}));
      auto end = users.state.revision();
      if (c.known_before) {
        ASSERT_TRUE(users.read_to(end));
      }
      auto body = std::string_view(c.path) == "/v1/jobs" ? job("run-000001") : "";
      auto answer = users.send(c.method, c.path, body);
      ASSERT_TRUE(users.run_until([&] { return answer->has_value(); })) << c.what;
      EXPECT_EQ((*answer)->status, acknowledged ? 200 : 503) << c.what;
      EXPECT_EQ(users.job_state(**answer), acknowledged ? "withdrawn" : "") << c.what;
      EXPECT_EQ(users.cancellation_revision, Revision(end)) << c.what;
    }
}

// A cancellation is carried out at once and only its answer is lost: the user is notified once it was read
// back, and so are the other controllers.
TEST(ApiConcurrentFaults, ACancellationWhoseAnswerIsLost) {
  Users users;
  ASSERT_TRUE(users.ready);
  users.state.set(state_store::job_key(kJob), Viewer::record("run-000001"));
  ASSERT_TRUE(users.read_to(users.state.revision()));
  users.state.fault = [](const fakes::Request& request) {
    return is_txn_that_sets(request, "beaconsill/ends/") ? RequestFault::kResponseDelayed : RequestFault::kNone;
  };
  auto answer = users.send("POST", "/v1/jobs/run-000001/withdraw");
  ASSERT_TRUE(users.run_until([&] { return answer->has_value(); }));
  EXPECT_EQ((*answer)->status, 200);
  EXPECT_EQ(users.job_state(**answer), "withdrawn");
  EXPECT_EQ(users.cancellation_revision, users.watch_cache->view().terminal_record(kJob).revision);
}

}  // namespace
}  // namespace beaconsill
