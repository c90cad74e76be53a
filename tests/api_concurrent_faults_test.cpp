// Tests of the watch cache and of the HTTP API for users under concurrent faults: responses of the state
// store that arrive late or not at all, while users send requests. docs/fault-scenarios.md lists the
// scenarios.

#include "api/api.h"
#include "controller_fixture.h"
#include "state_store/watch_cache.h"

namespace beaconsill {
namespace {

using fakes::Json;
using RequestFault = fakes::StateStore::RequestFault;

std::string job_body(const std::string& id) {
  return job_json(id, "batch", 4, "standard");
}

// A watch cache that is connected to the fake state store, without the rest of the controller.
struct WatchCacheFixture : EventLoopFixture {
  WatchCacheFixture() {
    store = std::make_shared<state_store::StoreClient>(io, clock, state.servers[0]->local(),
                                                       state_store::StoreLimits{1000, 500},
                                                       state_store::StoreLimits{1000, 500}, 1.0);
    watch_cache = std::make_shared<state_store::WatchCache>(io, clock, store, std::chrono::milliseconds(100),
                                                            [](const state_store::StateView::ChangeSet&) {});
    watch_cache->start();
    ready = run_until([&] { return watch_cache->ready(); });
  }
  ~WatchCacheFixture() {
    watch_cache->stop();
    store->stop();
  }
  bool read_up_to(std::uint64_t revision) {
    return run_until([&] { return watch_cache->revision() >= Revision(revision); });
  }
  static Json job_record(const char* id) {
    protocol::JobSpec spec;
    spec.id = JobId(id);
    spec.job_class = "c";
    spec.team = Team("blue");
    spec.tasks = 1;
    spec.image = ImageName("i");
    return state_store::to_json(
        state_store::JobRecord{std::make_shared<const protocol::JobSpec>(spec), WallMs(5)});
  }

  std::shared_ptr<state_store::StoreClient> store;
  std::shared_ptr<state_store::WatchCache> watch_cache;
  bool ready = false;
};

const JobId kJob("run-000001");

// The response to a controller's own transaction arrives after reads that saw the key deleted again. If the
// watch cache applied that transaction, the job would stay in the view for good, and the leader's garbage
// collection would fail on it forever.
TEST(WatchCacheConcurrentFaults, ALateResponseToAnOwnTransactionDoesNotRestoreADeletedKey) {
  WatchCacheFixture fixture;
  ASSERT_TRUE(fixture.ready);
  fixture.state.set(state_store::job_key(kJob), WatchCacheFixture::job_record("run-000001"));
  auto created = fixture.state.revision();
  fixture.state.remove(state_store::job_key(kJob));
  ASSERT_TRUE(fixture.read_up_to(fixture.state.revision()));
  protocol::Txn own_txn;
  own_txn.writes = {{state_store::job_key(kJob), WatchCacheFixture::job_record("run-000001"), std::nullopt}};
  fixture.watch_cache->apply_own_txn(own_txn, Revision(created));
  EXPECT_EQ(fixture.watch_cache->view().job(kJob), nullptr);
  EXPECT_TRUE(fixture.watch_cache->view().jobs().empty());
}

// The response to a read is created before this controller deletes a key, and arrives after the deletion.
TEST(WatchCacheConcurrentFaults, AnOlderReadDoesNotRestoreADeletedKey) {
  WatchCacheFixture fixture;
  ASSERT_TRUE(fixture.ready);
  ASSERT_TRUE(fixture.read_up_to(fixture.state.revision()));
  fixture.state.set(state_store::job_key(kJob), WatchCacheFixture::job_record("run-000001"));
  fixture.state.fault = [](const fakes::Request& request) {
    return request.path == "/watch" ? RequestFault::kResponseDelayed : RequestFault::kNone;
  };
  ASSERT_TRUE(fixture.run_until([&] { return fixture.state.delayed_responses() > 0; }));
  fixture.state.fault = nullptr;
  fixture.state.remove(state_store::job_key(kJob));
  protocol::Txn own_txn;
  own_txn.writes = {{state_store::job_key(kJob), std::nullopt, std::nullopt}};
  fixture.watch_cache->apply_own_txn(own_txn, Revision(fixture.state.revision()));
  auto revision_before = fixture.watch_cache->revision();
  fixture.state.send_delayed_responses();
  ASSERT_TRUE(fixture.run_until([&] { return fixture.watch_cache->revision() > revision_before; }));
  EXPECT_EQ(fixture.watch_cache->view().job(kJob), nullptr);
}

config::Settings api_settings(const fakes::StateStore& state, const fakes::Cloud& cloud) {
  auto settings = controller_settings(state, cloud, 0);
  settings.zone = Zone("east");
  settings.zones = {Zone("east")};
  settings.teams = {{Team("blue"), 0, 4, 0, 0}};
  return settings;
}

// The HTTP API for users on top of the watch cache, to send requests while responses of the state store are
// delayed.
struct ApiFixture : WatchCacheFixture {
  // Stops the watch cache first: it calls back pending requests, which need the endpoints to be alive.
  // controller::Controller stops in the same order.
  ~ApiFixture() { watch_cache->stop(); }
  ApiFixture()
      : settings(api_settings(state, cloud)),
        api(io, clock, settings, store, watch_cache,
            {[this] { return &catalogue; }, [](Revision) {},
             [this](const JobId& id) {
               checked_cancellation_revision = watch_cache->view().terminal_record(id).revision;
               return may_reveal_cancellation;
             },
             [](const JobId&) { return 0u; }, [] { return true; }}) {
    catalogue[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("east")}};
  }
  // Sends a request and returns at once. The result gets its value when the response arrives.
  std::shared_ptr<std::optional<net::Response>> send(const char* method, const std::string& path,
                                                     const std::string& body = "") {
    auto response = std::make_shared<std::optional<net::Response>>();
    net::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    api.handle(request, [response](net::Response received) { *response = std::move(received); });
    return response;
  }
  std::string job_state(const net::Response& response) {
    return Json::parse(response.body).value("bearing", "");
  }

  config::Settings settings;
  protocol::Catalogue catalogue;
  // The revision of the cancellation that the API last asked to reveal.
  Revision checked_cancellation_revision;
  bool may_reveal_cancellation = true;
  api::Api api;
};

// The response to the transaction that creates a job is delayed. Meanwhile another controller reads the job
// and tells a user its terminal state. The response to the submission must not report an older state.
TEST(ApiConcurrentFaults, ASubmissionReportsATerminalStateReadBeforeItsOwnResponse) {
  for (auto end : {state_store::TerminalState::kDone, state_store::TerminalState::kCancelled}) {
    ApiFixture fixture;
    ASSERT_TRUE(fixture.ready);
    fixture.state.fault = [](const fakes::Request& request) {
      return is_txn_that_sets(request, "beaconsill/jobs/") ? RequestFault::kResponseDelayed
                                                           : RequestFault::kNone;
    };
    auto response = fixture.send("POST", "/v1/jobs", job_body("run-000001"));
    ASSERT_TRUE(fixture.run_until([&] { return fixture.state.delayed_responses() == 1; }));
    fixture.state.set(state_store::terminal_key(kJob),
                      state_store::to_json(state_store::TerminalRecord{end, 1}));
    ASSERT_TRUE(fixture.read_up_to(fixture.state.revision()));
    fixture.state.send_delayed_responses();
    ASSERT_TRUE(fixture.run_until([&] { return response->has_value(); }));
    EXPECT_EQ(fixture.job_state(**response), end == state_store::TerminalState::kDone ? "done" : "withdrawn");
  }
}

// A cancellation, a status request or a repeated submission arrives when the job's terminal record is stored
// but no controller has read it yet. Each response must report the terminal state, even if the job's own key
// was deleted meanwhile.
TEST(ApiConcurrentFaults, RequestsReportATerminalStateThatThisControllerHasNotReadYet) {
  struct Case {
    const char* description;
    const char* method;
    const char* path;
    bool known_beforehand;  // the controller has read the job
    bool deleted;
  };
  const Case cases[] = {
      {"cancellation", "POST", "/v1/jobs/run-000001/withdraw", true, false},
      {"cancellation of a job that this controller has not read yet", "POST", "/v1/jobs/run-000001/withdraw",
       false, false},
      {"cancellation of a job whose key was deleted", "POST", "/v1/jobs/run-000001/withdraw", true, true},
      {"status", "GET", "/v1/jobs/run-000001", true, false},
      {"status of a job whose key was deleted", "GET", "/v1/jobs/run-000001", true, true},
      {"submission", "POST", "/v1/jobs", true, false},
      {"submission of a job that this controller has not read yet", "POST", "/v1/jobs", false, false},
      {"submission of a job whose key was deleted", "POST", "/v1/jobs", true, true},
  };
  for (const auto& test_case : cases) {
    ApiFixture fixture;
    ASSERT_TRUE(fixture.ready);
    fixture.state.set(state_store::job_key(kJob), WatchCacheFixture::job_record("run-000001"));
    if (test_case.known_beforehand) {
      ASSERT_TRUE(fixture.read_up_to(fixture.state.revision()));
    }
    fixture.state.set(state_store::terminal_key(kJob), state_store::to_json(state_store::TerminalRecord{
                                                           state_store::TerminalState::kDone, 1}));
    if (test_case.deleted) fixture.state.remove(state_store::job_key(kJob));
    auto body = std::string_view(test_case.path) == "/v1/jobs" ? job_body("run-000001") : "";
    auto response = fixture.send(test_case.method, test_case.path, body);
    ASSERT_TRUE(fixture.run_until([&] { return response->has_value(); })) << test_case.description;
    EXPECT_EQ((*response)->status, 200) << test_case.description;
    EXPECT_EQ(fixture.job_state(**response), "done") << test_case.description;
  }
}

// A cancellation must not be revealed to any user before the other controllers have acknowledged it. This
// includes the response to a repeated submission, whether the cancellation was known beforehand or found by a
// read, and whether or not admission control would accept the job now.
TEST(ApiConcurrentFaults, NoResponseRevealsACancellationThatIsNotAcknowledged) {
  struct Case {
    const char* description;
    const char* method;
    const char* path;
    bool known_beforehand;  // the controller has read the job and its cancellation
    bool is_admissible;     // admission control would accept the job now
  };
  const Case cases[] = {
      {"status", "GET", "/v1/jobs/run-000001", false, true},
      {"cancellation", "POST", "/v1/jobs/run-000001/withdraw", true, true},
      {"submission", "POST", "/v1/jobs", true, true},
      {"submission of a job that this controller has not read yet", "POST", "/v1/jobs", false, true},
      {"submission of a job that would be rejected now", "POST", "/v1/jobs", false, false},
  };
  for (const auto& test_case : cases)
    for (bool may_reveal_cancellation : {true, false}) {
      ApiFixture fixture;
      fixture.may_reveal_cancellation = may_reveal_cancellation;
      ASSERT_TRUE(fixture.ready);
      if (!test_case.is_admissible) fixture.catalogue.clear();
      fixture.state.set(state_store::job_key(kJob), WatchCacheFixture::job_record("run-000001"));
      fixture.state.set(state_store::terminal_key(kJob), state_store::to_json(state_store::TerminalRecord{
                                                             state_store::TerminalState::kCancelled, 0}));
      auto cancelled_at = fixture.state.revision();
      if (test_case.known_beforehand) {
        ASSERT_TRUE(fixture.read_up_to(cancelled_at));
      }
      auto body = std::string_view(test_case.path) == "/v1/jobs" ? job_body("run-000001") : "";
      auto response = fixture.send(test_case.method, test_case.path, body);
      ASSERT_TRUE(fixture.run_until([&] { return response->has_value(); })) << test_case.description;
      EXPECT_EQ((*response)->status, may_reveal_cancellation ? 200 : 503) << test_case.description;
      EXPECT_EQ(fixture.job_state(**response), may_reveal_cancellation ? "withdrawn" : "")
          << test_case.description;
      EXPECT_EQ(fixture.checked_cancellation_revision, Revision(cancelled_at)) << test_case.description;
    }
}

// The state store executes a cancellation at once, but its response is lost. The API must read the record
// back, ask whether it may be revealed, and then respond to the user.
TEST(ApiConcurrentFaults, ACancellationWhoseTransactionResponseIsLostIsReadBackAndReported) {
  ApiFixture fixture;
  ASSERT_TRUE(fixture.ready);
  fixture.state.set(state_store::job_key(kJob), WatchCacheFixture::job_record("run-000001"));
  ASSERT_TRUE(fixture.read_up_to(fixture.state.revision()));
  fixture.state.fault = [](const fakes::Request& request) {
    return is_txn_that_sets(request, "beaconsill/ends/") ? RequestFault::kResponseDelayed
                                                         : RequestFault::kNone;
  };
  auto response = fixture.send("POST", "/v1/jobs/run-000001/withdraw");
  ASSERT_TRUE(fixture.run_until([&] { return response->has_value(); }));
  EXPECT_EQ((*response)->status, 200);
  EXPECT_EQ(fixture.job_state(**response), "withdrawn");
  EXPECT_EQ(fixture.checked_cancellation_revision,
            fixture.watch_cache->view().terminal_record(kJob).revision);
}

}  // namespace
}  // namespace beaconsill
