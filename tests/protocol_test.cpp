// Tests of the parsers and serializers of all protocols: valid messages are read and written correctly, and
// invalid messages are rejected.
#include <gtest/gtest.h>

#include "protocol/api.h"
#include "protocol/cloud.h"
#include "protocol/peer.h"
#include "protocol/state_store.h"
#include "protocol/worker.h"

namespace beaconsill::protocol {
namespace {

const char* const kValidJob = R"({"ref":"run-000412","berth":"train","crew":"vision","shape":"batch",
  "precedence":"high","lamps":16,"vcpus":8.0,"cards":1.0,"memoryGb":64.0,"cargo":"img-07","sizeGb":6.2,
  "hulls":["g8"],"harbour":null,"together":true,"scatter":false,"driftwood":true,
  "reckonS":240.0,"markS":30.0,"stowS":4.0,"tideS":900.0,"later":[1,2]})";

// For each value of the field, the table lists which getters accept it. All other getters must throw an error
// that names the field.
TEST(Json, GettersRejectInvalidFieldsWithAnErrorThatNamesTheField) {
  struct Case {
    const char* value;  // JSON; nullptr: the field is missing
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
  for (const auto& test_case : cases) {
    Json json = Json::object();
    if (test_case.value) json["field"] = parse_json(test_case.value);
    const std::string description = test_case.value ? test_case.value : "missing";
    auto string_getter = [](const Json& object, const char* field) { get_string(object, field); };
    EXPECT_EQ(accepts(string_getter, json), test_case.is_string) << description;
    EXPECT_EQ(accepts(get_bool, json), test_case.is_bool) << description;
    EXPECT_EQ(accepts(get_count, json), test_case.is_count) << description;
    EXPECT_EQ(accepts(get_amount, json), test_case.is_amount) << description;
    EXPECT_EQ(accepts(get_list, json), test_case.is_list) << description;
  }
  EXPECT_THROW(get_string(Json{{"field", "text"}}, "field", 3), ProtocolError);
  EXPECT_TRUE(get_bool_or(Json::object(), "field", true));
  EXPECT_FALSE(get_bool_or(Json{{"field", false}}, "field", true));
  EXPECT_THROW(find_field(Json::array(), "field"), ProtocolError);
}

TEST(Job, ValidJobIsParsedAndPreservedBySerialization) {
  auto spec = parse_job(parse_object(kValidJob));
  EXPECT_EQ(spec.id, JobId("run-000412"));
  EXPECT_EQ(spec.priority, Priority::kHigh);
  EXPECT_EQ(spec.tasks, 16u);
  EXPECT_FALSE(spec.zone);
  ASSERT_TRUE(spec.types);
  EXPECT_EQ(job_to_json(parse_job(job_to_json(spec))), job_to_json(spec));
}

// Each case replaces or removes one field of a valid job. The texts at the end are not JSON objects.
TEST(Job, InvalidFieldsAndMalformedJsonAreRejected) {
  struct Case {
    const char* field;
    const char* value;  // JSON; nullptr: the field is removed
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
  for (const auto& test_case : cases) {
    auto json = parse_object(kValidJob);
    if (test_case.value) {
      json[test_case.field] = Json::parse(test_case.value);
    } else {
      json.erase(test_case.field);
    }
    EXPECT_THROW(parse_job(json), ProtocolError)
        << test_case.field << " = " << (test_case.value ? test_case.value : "missing");
  }
  for (const char* text : {"", "{", "[]", "null", "\"x\"", "{\"ref\":1e999}", "\xff\xfe", "{}x", "NaN"})
    EXPECT_THROW(parse_object(text), ProtocolError) << text;
}

TEST(WorkerHeartbeat, ValidOneIsParsedAndInvalidFieldsAreRejected) {
  auto valid =
      parse_object(R"({"beacon":"host-1","address":"10.1.0.2:9000","hull":"g8","harbour":"a","driftwood":true,
    "watch":2,"tally":88,"helm":41,"recallS":12.5,
    "lamps":[{"lamp":"run-000412/3","launch":2,"bearing":"running"},
             {"lamp":"run-000398/0","launch":1,"bearing":"ended","cause":"halted","stored":true},
             {"lamp":"run-000399/0","launch":1,"bearing":"ended","cause":"some_new_cause"}]})");
  auto heartbeat = parse_worker_heartbeat(valid);
  EXPECT_EQ(heartbeat.machine, MachineName("host-1"));
  EXPECT_EQ(heartbeat.token, FencingToken(41));
  ASSERT_EQ(heartbeat.tasks.size(), 3u);
  EXPECT_EQ(heartbeat.tasks[0].task, (TaskId{JobId("run-000412"), 3}));
  EXPECT_EQ(heartbeat.tasks[1].cause, EndCause::kStopped);
  EXPECT_TRUE(heartbeat.tasks[1].saved);
  EXPECT_EQ(heartbeat.tasks[2].cause, EndCause::kError);
  struct Case {
    const char* field;
    const char* value;
  };
  for (const auto& test_case :
       {Case{"watch", "-1"}, Case{"tally", "\"8\""}, Case{"helm", "1.5"}, Case{"lamps", "{}"},
        Case{"lamps", "[1]"}, Case{"lamps", R"([{"lamp":"x"}])"}, Case{"beacon", "\"\""}}) {
    auto json = valid;
    json[test_case.field] = Json::parse(test_case.value);
    EXPECT_THROW(parse_worker_heartbeat(json), ProtocolError) << test_case.field;
  }
}

TEST(WorkerHeartbeat, HigherIncarnationOrHigherSequenceWithinItIsNewer) {
  WorkerHeartbeat heartbeat;
  heartbeat.incarnation = Incarnation(2);
  heartbeat.sequence = Sequence(5);
  struct Case {
    std::uint64_t incarnation, sequence;
    bool newer;
  };
  for (const auto& test_case :
       {Case{1, 99, true}, Case{2, 4, true}, Case{2, 5, false}, Case{2, 6, false}, Case{3, 1, false}})
    EXPECT_EQ(heartbeat.is_newer_than(Incarnation(test_case.incarnation), Sequence(test_case.sequence)),
              test_case.newer)
        << test_case.incarnation << '/' << test_case.sequence;
}

TEST(WorkerCommands, CommandsAndRedirectsMatchTheWireFormat) {
  std::vector<Command> commands{{Command::Op::kStart, {JobId("run-1"), 4}, Attempt(2), 0},
                                {Command::Op::kStop, {JobId("run-2"), 0}, Attempt(1), 10},
                                {Command::Op::kForget, {JobId("run-3"), 0}, Attempt(1), 0}};
  EXPECT_EQ(parse_object(render_commands(FencingToken(41), Incarnation(1), commands)), parse_object(R"(
    {"helm":41,"watch":1,"signals":[{"signal":"run","lamp":"run-1/4","launch":2},
     {"signal":"kill","lamp":"run-2/0","launch":1,"dousingS":10.0},{"signal":"clear","lamp":"run-3/0","launch":1}]})"));
  EXPECT_EQ(render_redirect(ControllerName("n2")), R"({"keeper":"n2"})");
  EXPECT_EQ(render_redirect(std::nullopt), "{}");
}

TEST(StateStoreMessages, TransactionsAndChangesMatchTheWireFormat) {
  Txn transaction{{{"a/b", Revision()}},
                  {{"a/b", Json{{"x", 1}}, LeaseId(7)}, {"c/d", std::nullopt, std::nullopt}}};
  EXPECT_EQ(
      parse_object(render_txn(transaction)),
      parse_object(
          R"({"when":[{"path":"a/b","entry":0}],"writes":[{"set":"a/b","v":{"x":1},"moorage":7},{"drop":"c/d"}]})"));
  auto changes = parse_changes(parse_object(
      R"({"logline":433,"news":[{"set":"c/9","v":{"y":2},"entry":433},{"drop":"c/d","entry":432}]})"));
  ASSERT_EQ(changes.changes.size(), 2u);
  EXPECT_TRUE(changes.changes[0].value);
  EXPECT_FALSE(changes.changes[1].value);
  EXPECT_EQ(changes.revision, Revision(433));
  EXPECT_THROW(parse_changes(parse_object(R"({"news":[{"set":"x"}],"logline":1})")), ProtocolError);
  EXPECT_THROW(parse_page(parse_object(R"({"rows":7,"logline":1})")), ProtocolError);
}

TEST(PeerMessages, EveryKindIsPreservedByEncodingAndDecoding) {
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
  const PeerPayload payloads[] = {
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
  for (const auto& payload : payloads) {
    auto bytes = encode_peer({ControllerName("n1"), payload});
    auto decoded = decode_peer(bytes);
    ASSERT_TRUE(decoded) << payload.index();
    EXPECT_EQ(decoded->from, ControllerName("n1"));
    EXPECT_EQ(decoded->payload.index(), payload.index());
    EXPECT_EQ(encode_peer(*decoded), bytes) << payload.index();
    // A message truncated at any word must be rejected or decoded to some message; it must not crash the
    // decoder.
    for (std::size_t size = 0; size < bytes.size(); size += 8)
      decode_peer(std::string_view(bytes).substr(0, size));
  }
  EXPECT_FALSE(decode_peer("garbage!"));
  EXPECT_FALSE(decode_peer("odd"));
  auto estimate_request =
      std::get<EstimateRequest>(decode_peer(encode_peer({ControllerName("n"), payloads[3]}))->payload);
  EXPECT_EQ(estimate_request.resource_requests[0], resource_request);
  auto progress_report = std::get<ProgressReport>(
      decode_peer(encode_peer({ControllerName("n"), *std::rbegin(payloads)}))->payload);
  std::vector<JobHealth> health;
  for (const auto& job : progress_report.jobs) health.push_back(job.health);
  EXPECT_EQ(health,
            (std::vector{JobHealth::kNone, JobHealth::kNone, JobHealth::kFailing, JobHealth::kHealthy}));
  // A heartbeat from a version that does not support CancellationSync must be distinguishable from one with
  // an empty CancellationSync.
  auto heartbeat = [&](std::size_t i) {
    return std::get<Heartbeat>(decode_peer(encode_peer({ControllerName("n"), payloads[i]}))->payload);
  };
  EXPECT_FALSE(heartbeat(0).cancellation_sync);
  auto cancellation_sync = heartbeat(1).cancellation_sync;
  ASSERT_TRUE(cancellation_sync);
  EXPECT_TRUE(cancellation_sync->ready);
  EXPECT_TRUE(cancellation_sync->complete);
  EXPECT_EQ(cancellation_sync->read_until, Revision(30));
  EXPECT_EQ(cancellation_sync->read_lease, std::chrono::milliseconds(7500));
  EXPECT_EQ(cancellation_sync->cancelled, std::get<Heartbeat>(payloads[1]).cancellation_sync->cancelled);
}

}  // namespace
}  // namespace beaconsill::protocol
