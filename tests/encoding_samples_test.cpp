// Guards the JSON encodings of the protocols with users, workers, the cloud and the state store against
// unintended changes: rendered messages are compared byte by byte with samples. The samples of stored records
// are in encoding_samples_records_test.cpp, those of messages between controllers in
// encoding_samples_peer_test.cpp.
#include <gtest/gtest.h>

#include "protocol/api.h"
#include "protocol/cloud.h"
#include "protocol/state_store.h"
#include "protocol/worker.h"

namespace beaconsill::protocol {
namespace {

// A rendered message and its expected bytes.
struct Sample {
  const char* name;
  std::string rendered;
  std::string expected;
};

void expect_samples(const std::vector<Sample>& samples) {
  for (const auto& sample : samples) EXPECT_EQ(sample.rendered, sample.expected) << sample.name;
}

JobSpec job_with_all_fields() {
  JobSpec job;
  job.id = JobId("run-000412");
  job.job_class = "train";
  job.team = Team("vision");
  job.kind = JobKind::kGang;
  job.priority = Priority::kHigh;
  job.tasks = 16;
  job.each = {8, 1, 64.5};
  job.image = ImageName("img-07");
  job.image_gb = 6.25;
  job.types = std::vector<MachineType>{MachineType("g8"), MachineType("g16")};
  job.zone = Zone("a");
  job.one_zone = true;
  job.spread = false;
  job.spot = true;
  job.estimate_s = 240;
  job.checkpoint_s = 30;
  job.save_s = 4.5;
  job.deadline_s = 900;
  job.depends_on = {JobId("run-1"), JobId("run-2")};
  return job;
}

JobSpec job_without_optional_fields() {
  JobSpec job;
  job.id = JobId("run-7");
  job.job_class = "serve";
  job.team = Team("speech");
  job.tasks = 1;
  job.image = ImageName("img-01");
  job.spread = true;
  return job;
}

const char* const kJobWithAllFields =
    R"({"awaits":["run-1","run-2"],"berth":"train","cards":1.0,"cargo":"img-07","crew":"vision",)"
    R"("driftwood":true,"harbour":"a","hulls":["g8","g16"],"lamps":16,"markS":30.0,"memoryGb":64.5,)"
    R"("precedence":"high","reckonS":240.0,"ref":"run-000412","scatter":false,"shape":"group",)"
    R"("sizeGb":6.25,"stowS":4.5,"tideS":900.0,"together":true,"vcpus":8.0})";
const char* const kJobWithoutOptionalFields =
    R"({"berth":"serve","cards":0.0,"cargo":"img-01","crew":"speech","driftwood":false,"lamps":1,)"
    R"("markS":0.0,"memoryGb":0.0,"precedence":"standard","reckonS":0.0,"ref":"run-7","scatter":true,)"
    R"("shape":"batch","sizeGb":0.0,"stowS":0.0,"together":false,"vcpus":0.0})";

TEST(JobEncoding, RenderedJobsMatchTheSamples) {
  expect_samples({
      {"all fields", dump(job_to_json(job_with_all_fields())), kJobWithAllFields},
      {"optional fields absent", dump(job_to_json(job_without_optional_fields())), kJobWithoutOptionalFields},
  });
}

TEST(JobEncoding, ParsedSamplesRenderTheSameBytes) {
  for (const char* sample : {kJobWithAllFields, kJobWithoutOptionalFields})
    EXPECT_EQ(dump(job_to_json(parse_job(parse_object(sample)))), sample);
}

TEST(JobEncoding, NullAndUnknownFieldsAreIgnored) {
  auto sample = parse_object(kJobWithoutOptionalFields);
  for (const char* field : {"harbour", "hulls", "tideS", "awaits"}) sample[field] = nullptr;
  sample["fieldOfALaterVersion"] = Json::array({1, 2});
  EXPECT_EQ(dump(job_to_json(parse_job(sample))), kJobWithoutOptionalFields);
}

TEST(JobEncoding, EveryJobKindHasItsName) {
  struct Case {
    JobKind kind;
    const char* name;
  };
  for (const auto& test_case :
       {Case{JobKind::kArray, "batch"}, Case{JobKind::kGang, "group"}, Case{JobKind::kService, "daemon"}}) {
    auto job = job_with_all_fields();
    job.kind = test_case.kind;
    EXPECT_EQ(job_to_json(job)["shape"], test_case.name);
    EXPECT_EQ(parse_job(job_to_json(job)).kind, test_case.kind) << test_case.name;
  }
}

TEST(JobEncoding, EveryPriorityHasItsName) {
  struct Case {
    Priority priority;
    const char* name;
  };
  for (const auto& test_case : {Case{Priority::kLow, "best_effort"}, Case{Priority::kNormal, "standard"},
                                Case{Priority::kHigh, "high"}, Case{Priority::kProduction, "production"}}) {
    auto job = job_with_all_fields();
    job.priority = test_case.priority;
    EXPECT_EQ(job_to_json(job)["precedence"], test_case.name);
    EXPECT_EQ(parse_job(job_to_json(job)).priority, test_case.priority) << test_case.name;
  }
}

TEST(JobIdsEncoding, JobIdsAreRenderedAndParsed) {
  const char* const sample = R"(["run-1","run-000412"])";
  EXPECT_EQ(dump(job_ids_to_json({JobId("run-1"), JobId("run-000412")})), sample);
  EXPECT_EQ(dump(job_ids_to_json(parse_job_ids(parse_json(sample)))), sample);
}

TEST(TaskNameEncoding, TaskNamesAreRenderedAndParsed) {
  const TaskId task{JobId("run-000412"), 15};
  EXPECT_EQ(task_name(task), "run-000412/15");
  EXPECT_EQ(parse_task_id("run-000412/15"), task);
}

TEST(UserResponseEncoding, RenderedResponsesMatchTheSamples) {
  const JobId id("run-7");
  expect_samples({
      {"accepted, queued", render_submission_response(id, JobState::kQueued),
       R"({"bearing":"queued","ref":"run-7"})"},
      {"accepted, running", render_submission_response(id, JobState::kRunning),
       R"({"bearing":"running","ref":"run-7"})"},
      {"accepted, done", render_submission_response(id, JobState::kDone),
       R"({"bearing":"done","ref":"run-7"})"},
      {"accepted, cancelled", render_submission_response(id, JobState::kCancelled),
       R"({"bearing":"withdrawn","ref":"run-7"})"},
      {"status, queued", render_status(id, JobState::kQueued, 0, 0),
       R"({"bearing":"queued","done":0,"ref":"run-7","running":0})"},
      {"status, running", render_status(id, JobState::kRunning, 3, 4),
       R"({"bearing":"running","done":3,"ref":"run-7","running":4})"},
      {"status, done", render_status(id, JobState::kDone, 7, 0),
       R"({"bearing":"done","done":7,"ref":"run-7","running":0})"},
      {"status, cancelled", render_status(id, JobState::kCancelled, 2, 1),
       R"({"bearing":"withdrawn","done":2,"ref":"run-7","running":1})"},
      {"error", render_error("lamps is out of range"), R"({"error":"lamps is out of range"})"},
      {"error with quotes and bytes that are not valid UTF-8", render_error("a \"b\"\xff"),
       "{\"error\":\"a \\\"b\\\"\xEF\xBF\xBD\"}"},
  });
}

std::vector<Command> one_command_of_each_kind() {
  return {{Command::Op::kStart, {JobId("run-1"), 4}, Attempt(2), 0},
          {Command::Op::kStop, {JobId("run-2"), 0}, Attempt(1), 10},
          {Command::Op::kForget, {JobId("run-3"), 12}, Attempt(3), 0}};
}

TEST(WorkerCommandEncoding, RenderedCommandsMatchTheSamples) {
  // The token is 41 << 20 | 1 = 42991617: the term is stored above the lower 20 bits.
  const auto token = FencingToken::first_of(Term(41)).raised();
  const std::string commands = R"([{"lamp":"run-1/4","launch":2,"signal":"run"},)"
                               R"({"dousingS":10.0,"lamp":"run-2/0","launch":1,"signal":"kill"},)"
                               R"({"lamp":"run-3/12","launch":3,"signal":"clear"}])";
  expect_samples({
      {"commands", render_commands(token, Incarnation(5), one_command_of_each_kind()),
       R"({"helm":42991617,"signals":)" + commands + R"(,"watch":5})"},
      {"no commands", render_commands(token, Incarnation(5), {}),
       R"({"helm":42991617,"signals":[],"watch":5})"},
      {"response to a heartbeat", render_heartbeat_response(token, one_command_of_each_kind()),
       R"({"helm":42991617,"signals":)" + commands + "}"},
      {"response to a heartbeat without commands", render_heartbeat_response(token, {}),
       R"({"helm":42991617,"signals":[]})"},
      {"redirect", render_redirect(ControllerName("n2")), R"({"keeper":"n2"})"},
      {"redirect without a known shard leader", render_redirect(std::nullopt), "{}"},
  });
}

const char* const kHeartbeatWithAllFields =
    R"({"beacon":"host-1","address":"10.1.0.2:9000","hull":"g8","harbour":"a","driftwood":true,)"
    R"("watch":2,"tally":88,"helm":42991617,"recallS":12.5,)"
    R"("lamps":[{"lamp":"run-000398/3","launch":4,"bearing":"ended","cause":"halted","stored":true}]})";

TEST(WorkerHeartbeatEncoding, AllFieldsAreParsed) {
  const auto heartbeat = parse_worker_heartbeat(parse_object(kHeartbeatWithAllFields));
  EXPECT_EQ(heartbeat.machine, MachineName("host-1"));
  EXPECT_EQ(heartbeat.address, "10.1.0.2:9000");
  EXPECT_EQ(heartbeat.type, MachineType("g8"));
  EXPECT_EQ(heartbeat.zone, Zone("a"));
  EXPECT_TRUE(heartbeat.spot);
  EXPECT_EQ(heartbeat.incarnation, Incarnation(2));
  EXPECT_EQ(heartbeat.sequence, Sequence(88));
  EXPECT_EQ(heartbeat.token, FencingToken(42991617));
  EXPECT_EQ(heartbeat.termination_notice_s, 12.5);
  ASSERT_EQ(heartbeat.tasks.size(), 1u);
  const auto& task = heartbeat.tasks.front();
  EXPECT_EQ(task.task, (TaskId{JobId("run-000398"), 3}));
  EXPECT_EQ(task.attempt, Attempt(4));
  EXPECT_EQ(task.state, TaskState::kEnded);
  EXPECT_EQ(task.cause, EndCause::kStopped);
  EXPECT_TRUE(task.saved);
}

TEST(WorkerHeartbeatEncoding, OptionalFieldsMayBeAbsent) {
  const auto heartbeat = parse_worker_heartbeat(parse_object(
      R"({"beacon":"host-1","address":"10.1.0.2:9000","hull":"g8","harbour":"a","driftwood":false,)"
      R"("watch":1,"tally":1,"helm":0,"lamps":[{"lamp":"run-1/0","launch":1,"bearing":"running"}]})"));
  EXPECT_FALSE(heartbeat.termination_notice_s);
  ASSERT_EQ(heartbeat.tasks.size(), 1u);
  EXPECT_FALSE(heartbeat.tasks.front().saved);
}

// Parses the sample heartbeat after replacing one field of its only task, and returns that task.
TaskStatus parse_task_with(const char* field, const char* value) {
  auto heartbeat = parse_object(kHeartbeatWithAllFields);
  heartbeat["lamps"][0][field] = value;
  return parse_worker_heartbeat(heartbeat).tasks.at(0);
}

TEST(WorkerHeartbeatEncoding, EveryTaskStateIsParsed) {
  struct Case {
    const char* name;
    TaskState state;
  };
  for (const auto& test_case : {Case{"fetching", TaskState::kFetching}, Case{"waiting", TaskState::kWaiting},
                                Case{"running", TaskState::kRunning}, Case{"saving", TaskState::kSaving},
                                Case{"ended", TaskState::kEnded}})
    EXPECT_EQ(parse_task_with("bearing", test_case.name).state, test_case.state) << test_case.name;
}

TEST(WorkerHeartbeatEncoding, EveryEndCauseIsParsed) {
  struct Case {
    const char* name;
    EndCause cause;
  };
  for (const auto& test_case : {Case{"done", EndCause::kDone}, Case{"halted", EndCause::kStopped},
                                Case{"mates_gone", EndCause::kPeersGone}, Case{"alone", EndCause::kAlone},
                                Case{"error", EndCause::kError}, Case{"full", EndCause::kNoCapacityLeft},
                                Case{"in_use", EndCause::kBusy}, Case{"unknown", EndCause::kUnknown},
                                Case{"cause_of_a_later_version", EndCause::kError}})
    EXPECT_EQ(parse_task_with("cause", test_case.name).cause, test_case.cause) << test_case.name;
}

TEST(CloudRequestEncoding, RenderedRequestsMatchTheSamples) {
  expect_samples({
      {"rent", render_rent_request({"n1-17", MachineType("g8"), Zone("a"), true, 12}),
       R"({"charter":"n1-17","count":12,"driftwood":true,"harbour":"a","hull":"g8"})"},
      {"delete", render_delete_request({MachineName("host-1"), MachineName("host-2")}),
       R"({"beacons":["host-1","host-2"]})"},
      {"first page of machines", machine_page_target(std::nullopt), "/machines?page=500"},
      {"next page of machines", machine_page_target(MachineName("host-9")),
       "/machines?page=500&after=host-9"},
  });
}

TEST(CloudResponseEncoding, CatalogueIsParsed) {
  const auto catalogue = parse_catalogue(parse_object(
      R"({"hulls":[{"sku":"g8","vcpus":8.0,"cards":2.0,"memoryGb":64.0,"localGb":200.0,)"
      R"("pullGbPerS":0.5,"hourly":3.25,"lowPrice":1.125,"readyS":45.0,"harbours":["a","b"]}]})"));
  ASSERT_EQ(catalogue.size(), 1u);
  const auto& type = catalogue.at(MachineType("g8"));
  EXPECT_EQ(type.name, MachineType("g8"));
  EXPECT_EQ(type.total, (Resources{8, 2, 64}));
  EXPECT_EQ(type.cache_gb, 200);
  EXPECT_EQ(type.fetch_gb_per_s, 0.5);
  EXPECT_EQ(type.price, 3.25);
  EXPECT_EQ(type.spot_price, 1.125);
  EXPECT_EQ(type.boot_s, 45);
  EXPECT_EQ(type.zones, (std::vector{Zone("a"), Zone("b")}));
}

TEST(CloudResponseEncoding, PageOfMachinesIsParsed) {
  const auto page = parse_machine_page(parse_object(
      R"({"beacons":[{"ref":"host-1","address":"10.1.0.2:9000","hull":"g8","harbour":"a","driftwood":true,)"
      R"("bearing":"running","heldS":12.5},)"
      R"({"ref":"host-2","hull":"t8","harbour":"b","driftwood":false,"bearing":"starting","heldS":0.0},)"
      R"({"ref":"host-3","hull":"t8","harbour":"b","driftwood":false,"bearing":"failed","heldS":1.0}],)"
      R"("more":true})"));
  EXPECT_TRUE(page.more);
  ASSERT_EQ(page.machines.size(), 3u);
  const auto& first = page.machines[0];
  EXPECT_EQ(first.name, MachineName("host-1"));
  EXPECT_EQ(first.address, "10.1.0.2:9000");
  EXPECT_EQ(first.type, MachineType("g8"));
  EXPECT_EQ(first.zone, Zone("a"));
  EXPECT_TRUE(first.spot);
  EXPECT_EQ(first.state, MachineState::kRunning);
  EXPECT_EQ(first.age_s, 12.5);
  EXPECT_EQ(page.machines[1].address, "");
  EXPECT_EQ(page.machines[1].state, MachineState::kBooting);
  EXPECT_EQ(page.machines[2].state, MachineState::kFailed);
}

TEST(CloudResponseEncoding, PageWithoutMoreFieldIsTheLastOne) {
  EXPECT_FALSE(parse_machine_page(parse_object(R"({"beacons":[]})")).more);
}

TEST(CloudResponseEncoding, RentedMachinesAreParsed) {
  EXPECT_EQ(parse_rented_machines(parse_object(R"({"beacons":["host-1","host-2"]})")),
            (std::vector{MachineName("host-1"), MachineName("host-2")}));
}

TEST(StateStoreRequestEncoding, RenderedRequestsMatchTheSamples) {
  const Txn transaction{{{"beaconsill/jobs/run-1", Revision()}, {"beaconsill/roles/leader", Revision(17)}},
                        {{"beaconsill/alive/n1", Json{{"up", true}}, LeaseId(7)},
                         {"beaconsill/jobs/run-1", Json{{"at", 5}}, std::nullopt},
                         {"beaconsill/jobs/run-2", std::nullopt, std::nullopt}}};
  expect_samples({
      {"transaction", render_txn(transaction),
       R"({"when":[{"entry":0,"path":"beaconsill/jobs/run-1"},{"entry":17,"path":"beaconsill/roles/leader"}],)"
       R"("writes":[{"moorage":7,"set":"beaconsill/alive/n1","v":{"up":true}},)"
       R"({"set":"beaconsill/jobs/run-1","v":{"at":5}},{"drop":"beaconsill/jobs/run-2"}]})"},
      {"empty transaction", render_txn({}), R"({"when":[],"writes":[]})"},
      {"new lease", render_lease_request(6000), R"({"ttlMs":6000})"},
      {"existing lease", lease_target(LeaseId(7)), "/holds/7"},
      {"first page", page_target("beaconsill/", "", 500), "/store?under=beaconsill/&page=500"},
      {"next page", page_target("beaconsill/", "beaconsill/jobs/run-1", 500),
       "/store?under=beaconsill/&page=500&after=beaconsill/jobs/run-1"},
      {"watch", watch_target("beaconsill/", Revision(433), 20000),
       "/watch?under=beaconsill/&after=433&holdMs=20000"},
  });
}

TEST(StateStoreResponseEncoding, ItemIsParsed) {
  const auto item = parse_item(parse_object(R"({"path":"a/b","v":{"x":1},"entry":12})"));
  EXPECT_EQ(item.key, "a/b");
  EXPECT_EQ(dump(item.value), R"({"x":1})");
  EXPECT_EQ(item.revision, Revision(12));
}

TEST(StateStoreResponseEncoding, PageIsParsed) {
  const auto page = parse_page(
      parse_object(R"({"rows":[{"path":"a/b","v":{"x":1},"entry":12}],"more":true,"logline":433})"));
  ASSERT_EQ(page.items.size(), 1u);
  EXPECT_EQ(page.items.front().key, "a/b");
  EXPECT_TRUE(page.more);
  EXPECT_EQ(page.revision, Revision(433));
  EXPECT_FALSE(parse_page(parse_object(R"({"rows":[],"logline":1})")).more);
}

TEST(StateStoreResponseEncoding, ChangesAreParsed) {
  const auto changes = parse_changes(parse_object(
      R"({"news":[{"set":"c/9","v":{"y":2},"entry":433},{"drop":"c/d","entry":432}],"logline":434})"));
  EXPECT_EQ(changes.revision, Revision(434));
  ASSERT_EQ(changes.changes.size(), 2u);
  const auto& written = changes.changes[0];
  EXPECT_EQ(written.key, "c/9");
  ASSERT_TRUE(written.value);
  EXPECT_EQ(dump(*written.value), R"({"y":2})");
  EXPECT_EQ(written.revision, Revision(433));
  const auto& deleted = changes.changes[1];
  EXPECT_EQ(deleted.key, "c/d");
  EXPECT_FALSE(deleted.value);
  EXPECT_EQ(deleted.revision, Revision(432));
  EXPECT_TRUE(parse_changes(parse_object(R"({"logline":1})")).changes.empty());
}

TEST(StateStoreResponseEncoding, RevisionOfATransactionIsParsed) {
  EXPECT_EQ(parse_revision(parse_object(R"({"logline":433})")), Revision(433));
}

TEST(StateStoreResponseEncoding, LeaseIsParsed) {
  EXPECT_EQ(parse_lease(parse_object(R"({"moorage":7})")), LeaseId(7));
}

}  // namespace
}  // namespace beaconsill::protocol
