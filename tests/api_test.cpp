#include "api/api.h"

#include <gtest/gtest.h>

#include "api/admission.h"
#include "state_store_fixture.h"

namespace beaconsill::api {
namespace {

TEST(Admission, WhatCanNeverRunAndWhatCannotBeDecidedYet) {
  config::Settings settings;
  settings.teams = {{Team("blue"), 10, 20, 0, 0}, {Team("free"), 0, 0, 0, 0}};
  protocol::Catalogue catalogue;
  catalogue[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("a")}};
  catalogue[MachineType("g8")] = {MachineType("g8"), {8, 2, 64}, 10, 0.1, 1, 0.5, 20, {Zone("b")}};
  using Kind = AdmissionResult::Kind;
  struct Case {
    const char* what;
    std::function<void(protocol::JobSpec&)> change;
    bool catalogue_known;
    Kind kind;
  };
  const Case cases[] = {
      {"fits", [](auto&) {}, true, Kind::kAccept},
      {"unknown team", [](auto& s) { s.team = Team("red"); }, true, Kind::kNever},
      {"unknown team, types not known", [](auto& s) { s.team = Team("red"); }, false, Kind::kNever},
      {"types not known", [](auto&) {}, false, Kind::kNotYet},
      {"too large", [](auto& s) { s.each.cpus = 9; }, true, Kind::kNever},
      {"too much memory", [](auto& s) { s.each.memory_gb = 65; }, true, Kind::kNever},
      {"type too small", [](auto& s) { s.each.cpus = 5, s.types = std::vector{MachineType("t4")}; }, true,
       Kind::kNever},
      {"unknown type", [](auto& s) { s.types = std::vector{MachineType("x")}; }, true, Kind::kNever},
      {"type not in the zone", [](auto& s) { s.zone = Zone("a"), s.types = std::vector{MachineType("g8")}; },
       true, Kind::kNever},
      {"unknown zone", [](auto& s) { s.zone = Zone("q"); }, true, Kind::kNever},
      {"array over the limit in all, one task fits", [](auto& s) { s.tasks = 1000; }, true, Kind::kAccept},
      {"array task over the limit", [](auto& s) { s.each.cpus = 21; }, true, Kind::kNever},
      {"service over the limit", [](auto& s) { s.tasks = 21, s.kind = JobKind::kService; }, true,
       Kind::kNever},
      {"service at the limit", [](auto& s) { s.tasks = 20, s.kind = JobKind::kService; }, true,
       Kind::kAccept},
      {"no limit", [](auto& s) { s.tasks = 1000, s.kind = JobKind::kService, s.team = Team("free"); }, true,
       Kind::kAccept},
  };
  for (const auto& c : cases) {
    protocol::JobSpec s;
    s.team = Team("blue");
    s.tasks = 1;
    s.each = {1, 0, 1};
    c.change(s);
    EXPECT_EQ(admit(s, settings, c.catalogue_known ? &catalogue : nullptr).kind, c.kind) << c.what;
  }
}

constexpr Duration ms(int n) {
  return std::chrono::milliseconds(n);
}

// The users' endpoints before a fake state store.
struct ApiFixture : StateStoreFixture {
  // Requests that still wait are responded to while the endpoints are there, as controller::Controller does
  // when it stops.
  ~ApiFixture() { watch_cache->stop(); }
  ApiFixture() {
    settings.teams = {{Team("blue"), 0, 0, 0, 0}};
    catalogue[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("a")}};
    Api::Hooks hooks{[this] { return &catalogue; },
                     [](Revision) {},
                     [this](const JobId&) { return may_reveal; },
                     [](const JobId&) { return 0u; },
                     [] { return true; },
                     [this](std::uint32_t version) { return version <= supported_by_all; }};
    api = std::make_unique<Api>(io, clock, settings, client, watch_cache, hooks);
  }
  struct TimedResponse {
    net::Response response;
    Duration after{};
  };
  std::shared_ptr<std::optional<TimedResponse>> send(const char* method, std::string path,
                                                     std::string body = "") {
    net::Request r;
    r.method = method;
    r.path = std::move(path);
    r.body = std::move(body);
    auto timed = std::make_shared<std::optional<TimedResponse>>();
    api->handle(r, [this, timed, started = clock.now()](net::Response response) {
      ASSERT_FALSE(*timed) << "responded to twice";
      *timed = TimedResponse{std::move(response), clock.now() - started};
    });
    return timed;
  }
  TimedResponse call(const char* method, std::string path, std::string body = "") {
    auto timed = send(method, std::move(path), std::move(body));
    run_until([&] { return timed->has_value(); });
    return timed->value_or(TimedResponse{});
  }
  static std::string job(const std::string& id) {
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
  bool may_reveal = true;
  std::uint32_t supported_by_all = state_store::kFormatVersion;
  std::unique_ptr<Api> api;
};

// A job with thousands of dependencies goes into several values and transactions, also under the smallest
// limits. It's accepted as a whole or not at all, and a repeated submission gets the same response.
TEST(Api, AJobMayDependOnAsManyAsARequestCanName) {
  constexpr std::size_t kMost = 4000;
  ApiFixture fixture;
  fixture.settings.value_kb = 2;
  fixture.settings.txn_ops = fixture.state.max_txn_writes = 6;
  fixture.state.max_value_bytes = 2048;
  auto names = [](std::size_t n) {
    protocol::Json list = protocol::Json::array();
    for (std::size_t i = 0; i < n; ++i) list.push_back("run-" + std::to_string(100000 + i));
    return list;
  };
  for (std::size_t i = 0; i < kMost; ++i)
    fixture.state.put(state_store::terminal_key(JobId("run-" + std::to_string(100000 + i))),
                      protocol::Json{{"end", "done"}, {"done", 1}});
  auto join = [&](const std::string& id, protocol::Json depends_on) {
    auto j = protocol::Json::parse(ApiFixture::job(id));
    j["awaits"] = std::move(depends_on);
    return j.dump();
  };
  auto submit = [&](const std::string& body) {
    for (int i = 0; i < 20; ++i) {
      auto a = fixture.call("POST", "/v1/jobs", body).response;
      if (a.status != 503) return a.status;
      EXPECT_TRUE(a.retry_after_s);
      EXPECT_EQ(fixture.state.keys.count(state_store::job_key(JobId("run-7"))), 0u);
      fixture.io.run_for(ms(100));
    }
    return 503;
  };
  auto unknown = names(kMost);
  unknown.back() = "run-9";
  EXPECT_EQ(submit(join("run-7", unknown)), 422);
  EXPECT_EQ(fixture.state.keys.count(state_store::dependency_key(JobId("run-7"), 0)), 0u);
  // Until all controllers support further keys only a list that fits into the record is taken.
  fixture.supported_by_all = 1;
  EXPECT_EQ(submit(join("run-6", names(60))), 201);
  EXPECT_EQ(fixture.call("POST", "/v1/jobs", join("run-7", names(kMost))).response.status, 503);
  fixture.supported_by_all = 0;
  EXPECT_EQ(fixture.call("POST", "/v1/jobs", join("run-8", names(1))).response.status, 503);
  fixture.supported_by_all = state_store::kFormatVersion;
  EXPECT_EQ(submit(join("run-7", names(kMost))), 201);
  EXPECT_EQ(submit(join("run-7", names(kMost))), 200);
  ASSERT_TRUE(fixture.watch_cache->view().job(JobId("run-7")));
  EXPECT_EQ(fixture.watch_cache->view().job(JobId("run-7"))->record.spec->depends_on.size(), kMost);
  // What can't be stored however it's split can never run.
  auto huge = protocol::Json::parse(ApiFixture::job("run-5"));
  huge["hulls"] = std::vector<std::string>(700, "t4");
  EXPECT_EQ(submit(huge.dump()), 422);
}

// Found on the day "gap": thousands of requests waited in vain at controllers that were up.
TEST(Api, RequestsThatCannotBeServedAreRefusedSoon) {
  struct Case {
    const char* what;
    std::function<void(fakes::StateStore&)> fail;
  };
  const Case cases[] = {
      {"an outage", [](auto& s) { s.down = true; }},
      {"this controller alone is refused", [](auto& s) { s.server_unavailable[0] = true; }},
      {"connections stay open with no response", [](auto& s) { s.ignore_requests = true; }},
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
      {"POST", "/v1/jobs", ApiFixture::job("run-000001")},
      {"POST", "/v1/jobs", ApiFixture::job("run-000002")},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.what);
    ApiFixture fixture;
    ASSERT_EQ(fixture.call("POST", "/v1/jobs", ApiFixture::job("run-000001")).response.status, 201);
    c.fail(fixture.state);
    // All at once, before anything is known; then one by one, when it is.
    std::vector<std::shared_ptr<std::optional<ApiFixture::TimedResponse>>> first;
    for (const auto& q : requests) first.push_back(fixture.send(q.method, q.path, q.body));
    for (auto& a : first) {
      fixture.run_until([&] { return a->has_value(); });
      EXPECT_EQ((*a)->response.status, 503);
      EXPECT_TRUE((*a)->response.retry_after_s);
      EXPECT_LT((*a)->after, ms(900));
    }
    for (int round = 0; round < 20; ++round) {
      const auto& q = requests[round % std::size(requests)];
      auto a = fixture.call(q.method, q.path, q.body);
      EXPECT_EQ(a.response.status, 503);
      EXPECT_TRUE(a.response.retry_after_s);
      EXPECT_LT(a.after, ms(100)) << q.method << ' ' << q.path;
      fixture.io.run_for(ms(50));
    }
  }
}

TEST(Api, ServesAgainSoonAfterAnOutage) {
  ApiFixture fixture;
  ASSERT_EQ(fixture.call("POST", "/v1/jobs", ApiFixture::job("run-000001")).response.status, 201);
  fixture.state.down = true;
  fixture.run_until([&] { return !fixture.watch_cache->is_responsive(); });
  fixture.io.run_for(ms(2000));
  fixture.state.down = false;
  auto end = fixture.clock.now();
  while (fixture.call("GET", "/v1/jobs/run-000001").response.status != 200 &&
         fixture.clock.now() - end < ms(5000))
    fixture.io.run_for(ms(10));
  EXPECT_LT(fixture.clock.now() - end, ms(550));
}

// A cancellation that another controller may not know of yet is shown to nobody: not in the response to the
// cancellation, nor to a status request or a repeated submission after it.
TEST(Api, ACancellationIsShownOnlyOnceItMayBeAcknowledged) {
  struct Case {
    const char* method;
    std::string path, body;
  };
  const Case cases[] = {{"POST", "/v1/jobs/run-000001/withdraw", ""},
                        {"GET", "/v1/jobs/run-000001", ""},
                        {"POST", "/v1/jobs", ApiFixture::job("run-000001")},
                        {"POST", "/v1/jobs/run-000001/withdraw", ""}};
  ApiFixture fixture;
  ASSERT_EQ(fixture.call("POST", "/v1/jobs", ApiFixture::job("run-000001")).response.status, 201);
  for (bool may_reveal : {false, true}) {
    fixture.may_reveal = may_reveal;
    for (const auto& c : cases) {
      const auto response = fixture.call(c.method, c.path, c.body).response;
      EXPECT_EQ(response.status, may_reveal ? 200 : 503) << c.method << ' ' << c.path;
      EXPECT_EQ(response.retry_after_s.has_value(), !may_reveal) << c.method << ' ' << c.path;
      EXPECT_EQ(response.body.find("withdrawn") != std::string::npos, may_reveal) << response.body;
    }
  }
}

// What each path and method gets without a job.
TEST(Api, RoutesByPathAndMethod) {
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
  for (const auto& c : cases)
    EXPECT_EQ(fixture.call(c.method, c.path).response.status, c.status) << c.method << ' ' << c.path;
}

// The responses to transactions are lost, the transactions are carried out.
TEST(Api, LostResponsesAreReadBack) {
  ApiFixture fixture;
  fixture.state.drop_txn_responses = true;
  auto a = fixture.call("POST", "/v1/jobs", ApiFixture::job("run-000001"));
  EXPECT_EQ(a.response.status, 201);
  EXPECT_LT(a.after, ms(300));
  a = fixture.call("POST", "/v1/jobs/run-000001/withdraw");
  EXPECT_EQ(a.response.status, 200);
  EXPECT_NE(a.response.body.find("withdrawn"), std::string::npos);
  EXPECT_LT(a.after, ms(300));
  fixture.state.unanswered.clear();
}

}  // namespace
}  // namespace beaconsill::api
