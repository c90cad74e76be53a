#include "api/api.h"

#include <gtest/gtest.h>

#include "api/admission.h"
#include "store_world.h"

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

// The users' endpoints before a stand-in of the state store.
struct ApiWorld : StoreWorld {
  // Questions that still wait are answered while the endpoints are there, as controller::Controller does when
  // it stops.
  ~ApiWorld() { watch_cache->stop(); }
  ApiWorld() {
    settings.teams = {{Team("blue"), 0, 0, 0, 0}};
    catalogue[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("a")}};
    Api::Hooks hooks{[this] { return &catalogue; },
                     [](Revision) {},
                     [](const JobId&) { return true; },
                     [](const JobId&) { return 0u; },
                     [] { return true; },
                     [this](std::uint32_t version) { return version <= known_by_all; }};
    api = std::make_unique<Api>(io, clock, settings, client, watch_cache, hooks);
  }
  struct EstimateResponse {
    net::Response response;
    Duration after{};
  };
  std::shared_ptr<std::optional<EstimateResponse>> send(const char* method, std::string path,
                                                        std::string body = "") {
    net::Request r;
    r.method = method;
    r.path = std::move(path);
    r.body = std::move(body);
    auto answer = std::make_shared<std::optional<EstimateResponse>>();
    api->handle(r, [this, answer, begun = clock.now()](net::Response x) {
      ASSERT_FALSE(*answer) << "answered twice";
      *answer = EstimateResponse{std::move(x), clock.now() - begun};
    });
    return answer;
  }
  EstimateResponse call(const char* method, std::string path, std::string body = "") {
    auto answer = send(method, std::move(path), std::move(body));
    run_until([&] { return answer->has_value(); });
    return answer->value_or(EstimateResponse{});
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
  std::uint32_t known_by_all = state_store::kFormatVersion;
  std::unique_ptr<Api> api;
};

// A job that awaits thousands goes into several values and transactions, also under the smallest limits. It's
// accepted as a whole or not at all, and a repeat is answered as the first was.
TEST(Api, AJobMayAwaitAsManyAsARequestCanName) {
  constexpr std::size_t kMost = 4000;
  ApiWorld w;
  w.settings.value_kb = 2;
  w.settings.txn_ops = w.state.max_ops = 6;
  w.state.max_value = 2048;
  auto names = [](std::size_t n) {
    protocol::Json list = protocol::Json::array();
    for (std::size_t i = 0; i < n; ++i) list.push_back("run-" + std::to_string(100000 + i));
    return list;
  };
  for (std::size_t i = 0; i < kMost; ++i)
    w.state.put(state_store::terminal_key(JobId("run-" + std::to_string(100000 + i))),
                protocol::Json{{"end", "done"}, {"done", 1}});
  auto join = [&](const std::string& id, protocol::Json depends_on) {
    auto j = protocol::Json::parse(ApiWorld::job(id));
    j["awaits"] = std::move(depends_on);
    return j.dump();
  };
  auto submit = [&](const std::string& body) {
    for (int i = 0; i < 20; ++i) {
      auto a = w.call("POST", "/v1/jobs", body).response;
      if (a.status != 503) return a.status;
      EXPECT_TRUE(a.retry_after_s);
      EXPECT_EQ(w.state.keys.count(state_store::job_key(JobId("run-7"))), 0u);
      w.io.run_for(ms(100));
    }
    return 503;
  };
  auto unknown = names(kMost);
  unknown.back() = "run-9";
  EXPECT_EQ(submit(join("run-7", unknown)), 422);
  EXPECT_EQ(w.state.keys.count(state_store::dependency_key(JobId("run-7"), 0)), 0u);
  // Until all controllers know of further keys only a list that fits into the record is taken.
  w.known_by_all = 1;
  EXPECT_EQ(submit(join("run-6", names(60))), 201);
  EXPECT_EQ(w.call("POST", "/v1/jobs", join("run-7", names(kMost))).response.status, 503);
  w.known_by_all = 0;
  EXPECT_EQ(w.call("POST", "/v1/jobs", join("run-8", names(1))).response.status, 503);
  w.known_by_all = state_store::kFormatVersion;
  EXPECT_EQ(submit(join("run-7", names(kMost))), 201);
  EXPECT_EQ(submit(join("run-7", names(kMost))), 200);
  ASSERT_TRUE(w.watch_cache->view().job(JobId("run-7")));
  EXPECT_EQ(w.watch_cache->view().job(JobId("run-7"))->record.spec->depends_on.size(), kMost);
  // What can't be stored however it's split can never run.
  auto huge = protocol::Json::parse(ApiWorld::job("run-5"));
  huge["hulls"] = std::vector<std::string>(700, "t4");
  EXPECT_EQ(submit(huge.dump()), 422);
}

// Found on the day "gap": thousands of requests waited in vain at controllers that were up.
TEST(Api, RequestsThatCannotBeAnsweredAreRefusedSoon) {
  struct Case {
    const char* what;
    std::function<void(fakes::StateStore&)> fail;
  };
  const Case cases[] = {
      {"an outage", [](auto& s) { s.down = true; }},
      {"this node alone is refused", [](auto& s) { s.shut[0] = true; }},
      {"connections stay open with no answer", [](auto& s) { s.silent = true; }},
  };
  struct Question {
    const char* method;
    std::string path, body;
  };
  const Question questions[] = {
      {"GET", "/v1/jobs/run-000001", ""},
      {"GET", "/v1/jobs/run-000009", ""},
      {"POST", "/v1/jobs/run-000001/withdraw", ""},
      {"POST", "/v1/jobs/run-000009/withdraw", ""},
      {"POST", "/v1/jobs", ApiWorld::job("run-000001")},
      {"POST", "/v1/jobs", ApiWorld::job("run-000002")},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.what);
    ApiWorld w;
    ASSERT_EQ(w.call("POST", "/v1/jobs", ApiWorld::job("run-000001")).response.status, 201);
    c.fail(w.state);
    // All at once, before anything is known; then one by one, when it is.
    std::vector<std::shared_ptr<std::optional<ApiWorld::EstimateResponse>>> first;
    for (const auto& q : questions) first.push_back(w.send(q.method, q.path, q.body));
    for (auto& a : first) {
      w.run_until([&] { return a->has_value(); });
      EXPECT_EQ((*a)->response.status, 503);
      EXPECT_TRUE((*a)->response.retry_after_s);
      EXPECT_LT((*a)->after, ms(900));
    }
    for (int round = 0; round < 20; ++round) {
      const auto& q = questions[round % std::size(questions)];
      auto a = w.call(q.method, q.path, q.body);
      EXPECT_EQ(a.response.status, 503);
      EXPECT_TRUE(a.response.retry_after_s);
      EXPECT_LT(a.after, ms(100)) << q.method << ' ' << q.path;
      w.io.run_for(ms(50));
    }
  }
}

TEST(Api, ServesAgainSoonAfterAnOutage) {
  ApiWorld w;
  ASSERT_EQ(w.call("POST", "/v1/jobs", ApiWorld::job("run-000001")).response.status, 201);
  w.state.down = true;
  w.run_until([&] { return !w.watch_cache->is_responsive(); });
  w.io.run_for(ms(2000));
  w.state.down = false;
  auto end = w.clock.now();
  while (w.call("GET", "/v1/jobs/run-000001").response.status != 200 && w.clock.now() - end < ms(5000))
    w.io.run_for(ms(10));
  EXPECT_LT(w.clock.now() - end, ms(550));
}

// The answers to transactions are lost, the transactions are carried out.
TEST(Api, LostAnswersAreReadBack) {
  ApiWorld w;
  w.state.txn_answers_lost = true;
  auto a = w.call("POST", "/v1/jobs", ApiWorld::job("run-000001"));
  EXPECT_EQ(a.response.status, 201);
  EXPECT_LT(a.after, ms(300));
  a = w.call("POST", "/v1/jobs/run-000001/withdraw");
  EXPECT_EQ(a.response.status, 200);
  EXPECT_NE(a.response.body.find("withdrawn"), std::string::npos);
  EXPECT_LT(a.after, ms(300));
  w.state.unanswered.clear();
}

}  // namespace
}  // namespace beaconsill::api
