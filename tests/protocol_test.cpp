#include <gtest/gtest.h>

#include "protocol/api.h"
#include "protocol/cloud.h"
#include "protocol/peer.h"
#include "protocol/state_store.h"
#include "protocol/worker.h"

namespace beaconsill::protocol {
namespace {

const char* const kJob = R"({"ref":"run-000412","berth":"train","crew":"vision","shape":"batch",
  "precedence":"high","lamps":16,"vcpus":8.0,"cards":1.0,"memoryGb":64.0,"cargo":"img-07","sizeGb":6.2,
  "hulls":["g8"],"harbour":null,"together":true,"scatter":false,"driftwood":true,
  "reckonS":240.0,"markS":30.0,"stowS":4.0,"tideS":900.0,"later":[1,2]})";

// What each getter takes, of fields that are missing, of the wrong type or out of range.
TEST(Json, GettersNameTheFieldThatTheyRefuse) {
  struct Case {
    const char* value;  // JSON; null pointer: the field is missing
    bool is_string, is_bool, is_count, is_amount, is_list;
  };
  const Case cases[] = {
      {nullptr, false, false, false, false, false},    {"null", false, false, false, false, false},
      {R"("text")", true, false, false, false, false}, {R"("")", false, false, false, false, false},
      {"true", false, true, false, false, false},      {"7", false, false, true, true, false},
      {"-7", false, false, false, false, false},       {"0.5", false, false, false, true, false},
      {"1e9", false, false, false, true, false},       {"1.1e9", false, false, false, false, false},
      {"[]", false, false, false, false, true},        {"{}", false, false, false, false, false},
  };
  auto accepts = [](const auto& getter, const Json& json) {
    try {
      getter(json, "field");
      return true;
    } catch (const ProtocolError& error) {
      EXPECT_NE(std::string(error.what()).find("field"), std::string::npos);
      return false;
    }
  };
  for (const auto& c : cases) {
    Json json = Json::object();
    if (c.value) json["field"] = parse_json(c.value);
    const std::string what = c.value ? c.value : "missing";
    auto string_getter = [](const Json& object, const char* field) { get_string(object, field); };
    EXPECT_EQ(accepts(string_getter, json), c.is_string) << what;
    EXPECT_EQ(accepts(get_bool, json), c.is_bool) << what;
    EXPECT_EQ(accepts(get_count, json), c.is_count) << what;
    EXPECT_EQ(accepts(get_amount, json), c.is_amount) << what;
    EXPECT_EQ(accepts(get_list, json), c.is_list) << what;
  }
  EXPECT_THROW(get_string(Json{{"field", "text"}}, "field", 3), ProtocolError);
  EXPECT_TRUE(get_bool_or(Json::object(), "field", true));
  EXPECT_FALSE(get_bool_or(Json{{"field", false}}, "field", true));
  EXPECT_THROW(find_field(Json::array(), "field"), ProtocolError);
}

TEST(Job, GoodOnesSurviveTheRoundTrip) {
  auto spec = parse_job(parse_object(kJob));
  EXPECT_EQ(spec.id, JobId("run-000412"));
  EXPECT_EQ(spec.priority, Priority::kHigh);
  EXPECT_EQ(spec.tasks, 16u);
  EXPECT_FALSE(spec.zone);
  ASSERT_TRUE(spec.types);
  EXPECT_EQ(job_to_json(parse_job(job_to_json(spec))), job_to_json(spec));
}

// Each case replaces one field (or the whole text) by something that must be refused.
TEST(Job, BadOnesAreRefused) {
  struct Case {
    const char* field;
    const char* value;  // JSON; null pointer: the field is left out
  };
  const Case cases[] = {
      {"ref", nullptr},          {"ref", "\"\""},         {"ref", "\"run-\""},
      {"ref", "\"job-1\""},      {"ref", "\"run-1/2\""},  {"ref", "17"},
      {"berth", "null"},         {"crew", "{}"},          {"shape", "\"array\""},
      {"precedence", "\"top\""}, {"lamps", "0"},          {"lamps", "-1"},
      {"lamps", "1.5"},          {"lamps", "100001"},     {"lamps", "1e30"},
      {"lamps", "\"7\""},        {"vcpus", "-0.5"},       {"vcpus", "\"8\""},
      {"vcpus", "1e300"},        {"memoryGb", "null"},    {"hulls", "\"g8\""},
      {"hulls", "[1]"},          {"harbour", "3"},        {"together", "1"},
      {"scatter", nullptr},      {"driftwood", "\"no\""}, {"reckonS", "-1"},
      {"tideS", "[]"},           {"cargo", "\"\""},       {"lamps", "18446744073709551616"},
  };
  for (const auto& c : cases) {
    auto j = parse_object(kJob);
    if (c.value) {
      j[c.field] = Json::parse(c.value);
    } else {
      j.erase(c.field);
    }
    EXPECT_THROW(parse_job(j), ProtocolError) << c.field << " = " << (c.value ? c.value : "missing");
  }
  for (const char* text : {"", "{", "[]", "null", "\"x\"", "{\"ref\":1e999}", "\xff\xfe", "{}x", "NaN"})
    EXPECT_THROW(parse_object(text), ProtocolError) << text;
}

TEST(WorkerHeartbeat, ParsesAndRefuses) {
  auto good =
      parse_object(R"({"beacon":"host-1","address":"10.1.0.2:9000","hull":"g8","harbour":"a","driftwood":true,
    "watch":2,"tally":88,"helm":41,"recallS":12.5,
    "lamps":[{"lamp":"run-000412/3","launch":2,"bearing":"running"},
             {"lamp":"run-000398/0","launch":1,"bearing":"ended","cause":"halted","stored":true},
             {"lamp":"run-000399/0","launch":1,"bearing":"ended","cause":"some_new_cause"}]})");
  auto r = parse_worker_heartbeat(good);
  EXPECT_EQ(r.machine, MachineName("host-1"));
  EXPECT_EQ(r.token, FencingToken(41));
  ASSERT_EQ(r.tasks.size(), 3u);
  EXPECT_EQ(r.tasks[0].task, (TaskId{JobId("run-000412"), 3}));
  EXPECT_EQ(r.tasks[1].cause, EndCause::kStopped);
  EXPECT_TRUE(r.tasks[1].saved);
  EXPECT_EQ(r.tasks[2].cause, EndCause::kError);
  struct Case {
    const char* field;
    const char* value;
  };
  for (const auto& c : {Case{"watch", "-1"}, Case{"tally", "\"8\""}, Case{"helm", "1.5"}, Case{"lamps", "{}"},
                        Case{"lamps", "[1]"}, Case{"lamps", R"([{"lamp":"x"}])"}, Case{"beacon", "\"\""}}) {
    auto j = good;
    j[c.field] = Json::parse(c.value);
    EXPECT_THROW(parse_worker_heartbeat(j), ProtocolError) << c.field;
  }
}

TEST(WorkerHeartbeat, NewerByIncarnationThenSequence) {
  WorkerHeartbeat r;
  r.incarnation = Incarnation(2);
  r.sequence = Sequence(5);
  struct Case {
    std::uint64_t incarnation, sequence;
    bool newer;
  };
  for (const auto& c :
       {Case{1, 99, true}, Case{2, 4, true}, Case{2, 5, false}, Case{2, 6, false}, Case{3, 1, false}})
    EXPECT_EQ(r.is_newer_than(Incarnation(c.incarnation), Sequence(c.sequence)), c.newer)
        << c.incarnation << '/' << c.sequence;
}

TEST(Commands, HaveTheFormOfTheProtocol) {
  std::vector<Command> commands{{Command::Op::kStart, {JobId("run-1"), 4}, Attempt(2), 0},
                                {Command::Op::kStop, {JobId("run-2"), 0}, Attempt(1), 10},
                                {Command::Op::kForget, {JobId("run-3"), 0}, Attempt(1), 0}};
  EXPECT_EQ(parse_object(render_commands(FencingToken(41), Incarnation(1), commands)), parse_object(R"(
    {"helm":41,"watch":1,"signals":[{"signal":"run","lamp":"run-1/4","launch":2},
     {"signal":"kill","lamp":"run-2/0","launch":1,"dousingS":10.0},{"signal":"clear","lamp":"run-3/0","launch":1}]})"));
  EXPECT_EQ(render_redirect(ControllerName("n2")), R"({"keeper":"n2"})");
  EXPECT_EQ(render_redirect(std::nullopt), "{}");
}

TEST(StateStore, MessagesHaveTheFormOfTheProtocol) {
  Txn t{{{"a/b", Revision()}}, {{"a/b", Json{{"x", 1}}, LeaseId(7)}, {"c/d", std::nullopt, std::nullopt}}};
  EXPECT_EQ(
      parse_object(render_txn(t)),
      parse_object(
          R"({"when":[{"path":"a/b","entry":0}],"writes":[{"set":"a/b","v":{"x":1},"moorage":7},{"drop":"c/d"}]})"));
  auto c = parse_changes(parse_object(
      R"({"logline":433,"news":[{"set":"c/9","v":{"y":2},"entry":433},{"drop":"c/d","entry":432}]})"));
  ASSERT_EQ(c.changes.size(), 2u);
  EXPECT_TRUE(c.changes[0].value);
  EXPECT_FALSE(c.changes[1].value);
  EXPECT_EQ(c.revision, Revision(433));
  EXPECT_THROW(parse_changes(parse_object(R"({"news":[{"set":"x"}],"logline":1})")), ProtocolError);
  EXPECT_THROW(parse_page(parse_object(R"({"rows":7,"logline":1})")), ProtocolError);
}

TEST(Peer, EveryKindSurvivesTheRoundTrip) {
  ResourceRequest resource_request{{1, 0, 2},
                                   std::vector<MachineType>{MachineType("g8")},
                                   Zone("a"),
                                   true,
                                   ImageName("i"),
                                   Priority::kHigh,
                                   7};
  Summary summary{ShardId(1),
                  Term(2),
                  Revision(3),
                  {{MachineName("m"), MachineType("t"), Zone("z"), true, {1, 2, 3}, 4.5, false}},
                  {{JobId("run-1"), 6}}};
  const PeerPayload bodies[] = {
      Heartbeat{Revision(5), {{ShardId(1), Term(9)}}, 11, 12, true, {}},
      Heartbeat{Revision(5),
                {},
                11,
                12,
                true,
                CancellationSync{true,
                                 Revision(30),
                                 std::chrono::milliseconds(7500),
                                 true,
                                 {{Revision(31), JobId("run-1"), 4}, {Revision(40), JobId("run-2"), 0}}}},
      ChangeNotification{Revision(8)},
      EstimateRequest{4, {resource_request, ResourceRequest{}}},
      EstimateResponse{4, ShardId(2), Term(3), Revision(6), {{{Zone("a"), 1, 2, 3, 4}}, {}}},
      summary,
      ReleaseMachines{{MachineName("x"), MachineName("y")}},
      TerminatedMachines{{MachineName("z")}},
      RelayedHeartbeat{5, "{}"},
      RelayedReply{5, 421, "{}"},
      ProgressReport{ShardId(1),
                     Term(4),
                     {{JobId("run-1"), Ranges::span(0, 7), {{Generation(3), Ranges::span(9, 12)}}},
                      {},
                      {JobId("run-2"), {}, {}, JobHealth::kFailing},
                      {JobId("run-3"), {}, {}, JobHealth::kHealthy}}},
  };
  for (const auto& body : bodies) {
    auto bytes = encode_peer({ControllerName("n1"), body});
    auto back = decode_peer(bytes);
    ASSERT_TRUE(back) << body.index();
    EXPECT_EQ(back->from, ControllerName("n1"));
    EXPECT_EQ(back->payload.index(), body.index());
    EXPECT_EQ(encode_peer(*back), bytes) << body.index();
    // Cut off anywhere, it must be refused or read as something, never crash.
    for (std::size_t n = 0; n < bytes.size(); n += 8) decode_peer(std::string_view(bytes).substr(0, n));
  }
  EXPECT_FALSE(decode_peer("garbage!"));
  EXPECT_FALSE(decode_peer("odd"));
  auto estimate_request =
      std::get<EstimateRequest>(decode_peer(encode_peer({ControllerName("n"), bodies[3]}))->payload);
  EXPECT_EQ(estimate_request.resource_requests[0], resource_request);
  auto progress_report = std::get<ProgressReport>(
      decode_peer(encode_peer({ControllerName("n"), *std::rbegin(bodies)}))->payload);
  std::vector<JobHealth> health;
  for (const auto& job : progress_report.jobs) health.push_back(job.health);
  EXPECT_EQ(health, (std::vector{JobHealth::kNone, JobHealth::kNone, JobHealth::kFailing, JobHealth::kHealthy}));
  // A heartbeat of a version without a cancellation sync differs from one that has nothing to sync.
  auto heartbeat = [&](std::size_t i) {
    return std::get<Heartbeat>(decode_peer(encode_peer({ControllerName("n"), bodies[i]}))->payload);
  };
  EXPECT_FALSE(heartbeat(0).cancellation_sync);
  auto cancellation_sync = heartbeat(1).cancellation_sync;
  ASSERT_TRUE(cancellation_sync);
  EXPECT_TRUE(cancellation_sync->ready);
  EXPECT_TRUE(cancellation_sync->complete);
  EXPECT_EQ(cancellation_sync->read_until, Revision(30));
  EXPECT_EQ(cancellation_sync->read_lease, std::chrono::milliseconds(7500));
  EXPECT_EQ(cancellation_sync->cancelled, std::get<Heartbeat>(bodies[1]).cancellation_sync->cancelled);
}

}  // namespace
}  // namespace beaconsill::protocol
