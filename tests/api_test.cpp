// Tests of the HTTP API for users and of admission control, against a fake state store on loopback.
#include "api/api.h"

#include <gtest/gtest.h>

#include "api/admission.h"
#include "state_store_fixture.h"

namespace beaconsill::api {
namespace {

TEST(Admission, RejectsJobsThatCanNeverRunAndDefersWhileMachineTypesAreUnknown) {
  config::Settings settings;
  settings.teams = {{Team("blue"), 10, 20, 0, 0}, {Team("free"), 0, 0, 0, 0}};
  protocol::Catalogue catalogue;
  catalogue[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("a")}};
  catalogue[MachineType("g8")] = {MachineType("g8"), {8, 2, 64}, 10, 0.1, 1, 0.5, 20, {Zone("b")}};
  using Kind = AdmissionResult::Kind;
  struct Case {
    const char* description;
    std::function<void(protocol::JobSpec&)> modify;
    bool catalogue_known;
    Kind kind;
  };
  const Case cases[] = {
      {"task fits a machine type", [](auto&) {}, true, Kind::kAccept},
      {"unknown team", [](auto& spec) { spec.team = Team("red"); }, true, Kind::kReject},
      {"unknown team while the machine types are not known", [](auto& spec) { spec.team = Team("red"); },
       false, Kind::kReject},
      {"machine types not known", [](auto&) {}, false, Kind::kUndecided},
      {"too many CPUs for any machine type", [](auto& spec) { spec.each.cpus = 9; }, true, Kind::kReject},
      {"too much memory for any machine type", [](auto& spec) { spec.each.memory_gb = 65; }, true,
       Kind::kReject},
      {"allowed machine type too small",
       [](auto& spec) { spec.each.cpus = 5, spec.types = std::vector{MachineType("t4")}; }, true,
       Kind::kReject},
      {"unknown machine type", [](auto& spec) { spec.types = std::vector{MachineType("x")}; }, true,
       Kind::kReject},
      {"machine type not offered in the zone",
       [](auto& spec) { spec.zone = Zone("a"), spec.types = std::vector{MachineType("g8")}; }, true,
       Kind::kReject},
      {"unknown zone", [](auto& spec) { spec.zone = Zone("q"); }, true, Kind::kReject},
      {"array whose tasks exceed the limit together, but not one by one",
       [](auto& spec) { spec.tasks = 1000; }, true, Kind::kAccept},
      {"one task of an array over the team's limit", [](auto& spec) { spec.each.cpus = 21; }, true,
       Kind::kReject},
      {"service over the team's limit", [](auto& spec) { spec.tasks = 21, spec.kind = JobKind::kService; },
       true, Kind::kReject},
      {"service at the team's limit", [](auto& spec) { spec.tasks = 20, spec.kind = JobKind::kService; },
       true, Kind::kAccept},
      {"team without a limit",
       [](auto& spec) { spec.tasks = 1000, spec.kind = JobKind::kService, spec.team = Team("free"); }, true,
       Kind::kAccept},
  };
  for (const auto& test_case : cases) {
    protocol::JobSpec spec;
    spec.team = Team("blue");
    spec.tasks = 1;
    spec.each = {1, 0, 1};
    test_case.modify(spec);
    EXPECT_EQ(admit(spec, settings, test_case.catalogue_known ? &catalogue : nullptr).kind, test_case.kind)
        << test_case.description;
  }
}

constexpr Duration ms(int count) {
  return std::chrono::milliseconds(count);
}

// The HTTP API for users, connected to a fake state store.
struct ApiFixture : StateStoreFixture {
  // Stops the watch cache first: it calls back pending requests, which need the endpoints to be alive.
  // controller::Controller stops in the same order.
  ~ApiFixture() { watch_cache->stop(); }
  ApiFixture() {
    settings.teams = {{Team("blue"), 0, 0, 0, 0}};
    catalogue[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("a")}};
    Api::Hooks hooks{[this] { return &catalogue; },
                     [](Revision) {},
                     [this](const JobId&) { return may_reveal_cancellation; },
                     [](const JobId&) { return 0u; },
                     [] { return true; },
                     [this](std::uint32_t version) { return version <= version_supported_by_all; }};
    api = std::make_unique<Api>(io, clock, settings, client, watch_cache, hooks);
  }
  struct TimedResponse {
    net::Response response;
    Duration elapsed{};
  };
  // Sends a request and returns at once. The result gets its value when the response arrives.
  std::shared_ptr<std::optional<TimedResponse>> send(const char* method, std::string path,
                                                     std::string body = "") {
    net::Request request;
    request.method = method;
    request.path = std::move(path);
    request.body = std::move(body);
    auto timed = std::make_shared<std::optional<TimedResponse>>();
    api->handle(request, [this, timed, started = clock.now()](net::Response response) {
      ASSERT_FALSE(*timed) << "responded to twice";
      *timed = TimedResponse{std::move(response), clock.now() - started};
    });
    return timed;
  }
  // Sends a request and waits for its response.
  TimedResponse call(const char* method, std::string path, std::string body = "") {
    auto timed = send(method, std::move(path), std::move(body));
    run_until([&] { return timed->has_value(); });
    return timed->value_or(TimedResponse{});
  }
  static std::string job_body(const std::string& id) {
    return protocol::Json{{"ref", id},        {"berth", "c"},         {"crew", "blue"},
                          {"shape", "batch"}, {"precedence", "high"}, {"lamps", 2},
                          {"vcpus", 1.0},     {"cards", 0.0},         {"memoryGb", 1.0},
                          {"cargo", "img"},   {"sizeGb", 0.5},        {"together", false},
                          {"scatter", false}, {"driftwood", false},   {"reckonS", 1.0},
                          {"markS", 0.0},     {"stowS", 0.0}}
        .dump();
  }

  config::Settings settings;
  protocol::Catalogue catalogue;
  bool may_reveal_cancellation = true;
  std::uint32_t version_supported_by_all = state_store::kFormatVersion;
  std::unique_ptr<Api> api;
};

// A job with thousands of dependencies is stored in several values, which are written by several
// transactions, even under the smallest limits of the state store. It must be accepted as a whole or not at
// all, and a repeated submission must get the state of the accepted job.
TEST(Api, AcceptsAJobWithThousandsOfDependenciesAsAWholeOrNotAtAll) {
  constexpr std::size_t kMaxDependencies = 4000;
  ApiFixture fixture;
  fixture.settings.value_kb = 2;
  fixture.settings.txn_ops = fixture.state.max_txn_writes = 6;
  fixture.state.max_value_bytes = 2048;
  auto dependency_names = [](std::size_t count) {
    protocol::Json list = protocol::Json::array();
    for (std::size_t i = 0; i < count; ++i) list.push_back("run-" + std::to_string(100000 + i));
    return list;
  };
  for (std::size_t i = 0; i < kMaxDependencies; ++i)
    fixture.state.put(state_store::terminal_key(JobId("run-" + std::to_string(100000 + i))),
                      protocol::Json{{"end", "done"}, {"done", 1}});
  auto job_with_dependencies = [&](const std::string& id, protocol::Json depends_on) {
    auto job = protocol::Json::parse(ApiFixture::job_body(id));
    job["awaits"] = std::move(depends_on);
    return job.dump();
  };
  // Repeats the submission until its status is other than 503, and returns that status.
  auto submit = [&](const std::string& body) {
    for (int i = 0; i < 20; ++i) {
      auto response = fixture.call("POST", "/v1/jobs", body).response;
      if (response.status != 503) return response.status;
      EXPECT_TRUE(response.retry_after_s);
      EXPECT_EQ(fixture.state.keys.count(state_store::job_key(JobId("run-7"))), 0u);
      fixture.io.run_for(ms(100));
    }
    return 503;
  };
  auto with_unknown = dependency_names(kMaxDependencies);
  with_unknown.back() = "run-9";
  EXPECT_EQ(submit(job_with_dependencies("run-7", with_unknown)), 422);
  EXPECT_EQ(fixture.state.keys.count(state_store::dependency_key(JobId("run-7"), 0)), 0u);
  // Until all controllers support separate dependency keys, only a list that fits into the record is
  // accepted.
  fixture.version_supported_by_all = 1;
  EXPECT_EQ(submit(job_with_dependencies("run-6", dependency_names(60))), 201);
  EXPECT_EQ(
      fixture.call("POST", "/v1/jobs", job_with_dependencies("run-7", dependency_names(kMaxDependencies)))
          .response.status,
      503);
  fixture.version_supported_by_all = 0;
  EXPECT_EQ(
      fixture.call("POST", "/v1/jobs", job_with_dependencies("run-8", dependency_names(1))).response.status,
      503);
  fixture.version_supported_by_all = state_store::kFormatVersion;
  EXPECT_EQ(submit(job_with_dependencies("run-7", dependency_names(kMaxDependencies))), 201);
  EXPECT_EQ(submit(job_with_dependencies("run-7", dependency_names(kMaxDependencies))), 200);
  ASSERT_TRUE(fixture.watch_cache->view().job(JobId("run-7")));
  EXPECT_EQ(fixture.watch_cache->view().job(JobId("run-7"))->record.spec->depends_on.size(),
            kMaxDependencies);
  // A job that cannot be stored, even with its dependencies split over several keys, is rejected for good.
  auto huge = protocol::Json::parse(ApiFixture::job_body("run-5"));
  huge["hulls"] = std::vector<std::string>(700, "t4");
  EXPECT_EQ(submit(huge.dump()), 422);
}

// Guards against thousands of requests waiting in vain at controllers that are up but cannot reach the state
// store. This was found with the faults of tests/fault_scenarios/gap.toml.
TEST(Api, RefusesRequestsQuicklyWhileTheStateStoreIsUnavailable) {
  struct Case {
    const char* description;
    std::function<void(fakes::StateStore&)> inject_fault;
  };
  const Case cases[] = {
      {"outage of the state store", [](auto& state) { state.down = true; }},
      {"the state store refuses this controller only",
       [](auto& state) { state.server_unavailable[0] = true; }},
      {"connections stay open without a response", [](auto& state) { state.ignore_requests = true; }},
  };
  struct UserRequest {
    const char* method;
    std::string path, body;
  };
  const UserRequest requests[] = {
      {"GET", "/v1/jobs/run-000001", ""},
      {"GET", "/v1/jobs/run-000009", ""},
      {"POST", "/v1/jobs/run-000001/withdraw", ""},
      {"POST", "/v1/jobs/run-000009/withdraw", ""},
      {"POST", "/v1/jobs", ApiFixture::job_body("run-000001")},
      {"POST", "/v1/jobs", ApiFixture::job_body("run-000002")},
  };
  for (const auto& test_case : cases) {
    SCOPED_TRACE(test_case.description);
    ApiFixture fixture;
    ASSERT_EQ(fixture.call("POST", "/v1/jobs", ApiFixture::job_body("run-000001")).response.status, 201);
    test_case.inject_fault(fixture.state);
    // First all requests at once, before the controller has detected the failure; then one by one, after it
    // has.
    std::vector<std::shared_ptr<std::optional<ApiFixture::TimedResponse>>> first_responses;
    for (const auto& request : requests)
      first_responses.push_back(fixture.send(request.method, request.path, request.body));
    for (auto& timed : first_responses) {
      fixture.run_until([&] { return timed->has_value(); });
      EXPECT_EQ((*timed)->response.status, 503);
      EXPECT_TRUE((*timed)->response.retry_after_s);
      EXPECT_LT((*timed)->elapsed, ms(900));
    }
    for (int round = 0; round < 20; ++round) {
      const auto& request = requests[round % std::size(requests)];
      auto timed = fixture.call(request.method, request.path, request.body);
      EXPECT_EQ(timed.response.status, 503);
      EXPECT_TRUE(timed.response.retry_after_s);
      EXPECT_LT(timed.elapsed, ms(100)) << request.method << ' ' << request.path;
      fixture.io.run_for(ms(50));
    }
  }
}

TEST(Api, ServesRequestsAgainSoonAfterAnOutageOfTheStateStore) {
  ApiFixture fixture;
  ASSERT_EQ(fixture.call("POST", "/v1/jobs", ApiFixture::job_body("run-000001")).response.status, 201);
  fixture.state.down = true;
  fixture.run_until([&] { return !fixture.watch_cache->is_responsive(); });
  fixture.io.run_for(ms(2000));
  fixture.state.down = false;
  auto outage_ended = fixture.clock.now();
  while (fixture.call("GET", "/v1/jobs/run-000001").response.status != 200 &&
         fixture.clock.now() - outage_ended < ms(5000))
    fixture.io.run_for(ms(10));
  EXPECT_LT(fixture.clock.now() - outage_ended, ms(550));
}

// A cancellation that another controller may not know of yet must not be revealed to any user: not in the
// response to the cancellation itself, nor in the response to a later status request or repeated submission.
TEST(Api, RevealsACancellationOnlyOnceAllControllersKnowOfIt) {
  struct Case {
    const char* method;
    std::string path, body;
  };
  const Case cases[] = {{"POST", "/v1/jobs/run-000001/withdraw", ""},
                        {"GET", "/v1/jobs/run-000001", ""},
                        {"POST", "/v1/jobs", ApiFixture::job_body("run-000001")},
                        {"POST", "/v1/jobs/run-000001/withdraw", ""}};
  ApiFixture fixture;
  ASSERT_EQ(fixture.call("POST", "/v1/jobs", ApiFixture::job_body("run-000001")).response.status, 201);
  for (bool may_reveal : {false, true}) {
    fixture.may_reveal_cancellation = may_reveal;
    for (const auto& request : cases) {
      const auto response = fixture.call(request.method, request.path, request.body).response;
      EXPECT_EQ(response.status, may_reveal ? 200 : 503) << request.method << ' ' << request.path;
      EXPECT_EQ(response.retry_after_s.has_value(), !may_reveal) << request.method << ' ' << request.path;
      EXPECT_EQ(response.body.find("withdrawn") != std::string::npos, may_reveal) << response.body;
    }
  }
}

// The status of the response to each path and method while no job exists.
TEST(Api, RoutesRequestsByPathAndMethod) {
  struct Case {
    const char* method;
    std::string path;
    int status;
  };
  const Case cases[] = {{"GET", "/up", 200},
                        {"POST", "/up", 405},
                        {"GET", "/v1/jobs", 405},
                        {"POST", "/v1/jobs", 400},
                        {"GET", "/v1/jobs/run-000001", 404},
                        {"POST", "/v1/jobs/run-000001", 405},
                        {"GET", "/v1/jobs/run-000001/withdraw", 405},
                        {"POST", "/v1/jobs/run-000001/withdraw", 404},
                        {"GET", "/v1/jobs/run-000001/0", 404},
                        {"GET", "/v1/jobs/", 404},
                        {"GET", "/v1/jobsx", 404},
                        {"GET", "/elsewhere", 404}};
  ApiFixture fixture;
  for (const auto& request : cases)
    EXPECT_EQ(fixture.call(request.method, request.path).response.status, request.status)
        << request.method << ' ' << request.path;
}

// The state store executes the transactions, but their responses are lost. The API must read the result back.
TEST(Api, RespondsFromStoredStateIfTheResponseToATransactionIsLost) {
  ApiFixture fixture;
  fixture.state.drop_txn_responses = true;
  auto timed = fixture.call("POST", "/v1/jobs", ApiFixture::job_body("run-000001"));
  EXPECT_EQ(timed.response.status, 201);
  EXPECT_LT(timed.elapsed, ms(300));
  timed = fixture.call("POST", "/v1/jobs/run-000001/withdraw");
  EXPECT_EQ(timed.response.status, 200);
  EXPECT_NE(timed.response.body.find("withdrawn"), std::string::npos);
  EXPECT_LT(timed.elapsed, ms(300));
  fixture.state.unanswered.clear();
}

}  // namespace
}  // namespace beaconsill::api
