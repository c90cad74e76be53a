// Samples of the keys and values that this program stores in the state store, written down byte by byte,
// and of the values that the version in production (commit 60b8ce84) stores. A change of an encoding fails
// here.
#include <gtest/gtest.h>

#include "state_store/records.h"

namespace beaconsill::state_store {
namespace {

using protocol::dump;
using protocol::Json;
using protocol::parse_json;

// A value beside the bytes that it's stored as.
template <class Value>
struct Sample {
  const char* name;
  Value value;
  const char* stored;
};

// Each value is stored as its sample, and what is parsed from the sample is stored as the same bytes again.
template <class Value>
void expect_samples(const std::vector<Sample<Value>>& samples, Value (*parse)(const Json&)) {
  for (const auto& sample : samples) {
    EXPECT_EQ(dump(to_json(sample.value)), sample.stored) << sample.name;
    EXPECT_EQ(dump(to_json(parse(parse_json(sample.stored)))), sample.stored) << sample.name;
  }
}

TEST(StoredKeys, AreWritten) {
  struct Case {
    const char* name;
    std::string key;
    const char* expected;
  };
  const JobId job("run-7");
  for (const auto& c : {
           Case{"job", job_key(job), "beaconsill/jobs/run-7"},
           Case{"end", terminal_key(job), "beaconsill/ends/run-7"},
           Case{"awaited jobs", dependency_key(job, 3), "beaconsill/awaits/run-7/3"},
           Case{"grants", grants_key(job), "beaconsill/grants/run-7"},
           Case{"progress", progress_key(ShardId(2), job), "beaconsill/progress/2/run-7"},
           Case{"registry", machines_key(ShardId(2), 33), "beaconsill/machines/2/33"},
           Case{"role of a shard", shard_role_key(ShardId(2)), "beaconsill/roles/part/2"},
           Case{"role of the leader", leader_role_key(), "beaconsill/roles/leader"},
           Case{"liveness", alive_key(ControllerName("n1")), "beaconsill/alive/n1"},
           Case{"versions", versions_key(), "beaconsill/versions"},
           Case{"prefix of all keys", std::string(kPrefix), "beaconsill/"},
       })
    EXPECT_EQ(c.key, c.expected) << c.name;
}

TEST(StoredKeys, MachinesStayInTheirBuckets) {
  struct Case {
    const char* machine;
    std::uint32_t bucket;
  };
  for (const auto& c : {Case{"host-1", 10}, Case{"host-2", 13}, Case{"host-100000", 15}, Case{"", 2}})
    EXPECT_EQ(machine_bucket(MachineName(c.machine)), c.bucket) << c.machine;
  EXPECT_EQ(kMachineBuckets, 16u);
}

TEST(StoredKeys, RegistryKeysThatEachVersionReads) {
  struct Case {
    std::uint32_t key;
    std::uint32_t since;
  };
  for (const auto& c : {Case{0, 0}, Case{15, 0}, Case{16, 1}, Case{63, 1}, Case{64, 2}, Case{100000, 2}})
    EXPECT_EQ(registry_key_since(c.key), c.since) << c.key;
}

std::shared_ptr<const protocol::JobSpec> job_that_awaits(std::vector<JobId> depends_on) {
  protocol::JobSpec job;
  job.id = JobId("run-7");
  job.job_class = "serve";
  job.team = Team("speech");
  job.tasks = 1;
  job.image = ImageName("img-01");
  job.depends_on = std::move(depends_on);
  return std::make_shared<const protocol::JobSpec>(std::move(job));
}

TEST(StoredJob, Samples) {
  expect_samples<JobRecord>(
      {
          {"without awaited jobs",
           {job_that_awaits({}), WallMs(1700000000123)},
           R"({"at":1700000000123,"job":{"berth":"serve","cards":0.0,"cargo":"img-01","crew":"speech",)"
           R"("driftwood":false,"lamps":1,"markS":0.0,"memoryGb":0.0,"precedence":"standard","reckonS":0.0,)"
           R"("ref":"run-7","scatter":false,"shape":"batch","sizeGb":0.0,"stowS":0.0,"together":false,)"
           R"("vcpus":0.0}})"},
          {"awaited jobs in the record",
           {job_that_awaits({JobId("run-1"), JobId("run-2")}), WallMs(1700000000123)},
           R"({"at":1700000000123,"job":{"awaits":["run-1","run-2"],"berth":"serve","cards":0.0,)"
           R"("cargo":"img-01","crew":"speech","driftwood":false,"lamps":1,"markS":0.0,"memoryGb":0.0,)"
           R"("precedence":"standard","reckonS":0.0,"ref":"run-7","scatter":false,"shape":"batch",)"
           R"("sizeGb":0.0,"stowS":0.0,"together":false,"vcpus":0.0}})"},
          {"awaited jobs in further keys",
           {job_that_awaits({JobId("run-1"), JobId("run-2")}), WallMs(1700000000123), 2},
           R"({"at":1700000000123,"awaitsKeys":2,"job":{"berth":"serve","cards":0.0,"cargo":"img-01",)"
           R"("crew":"speech","driftwood":false,"lamps":1,"markS":0.0,"memoryGb":0.0,)"
           R"("precedence":"standard","reckonS":0.0,"ref":"run-7","scatter":false,"shape":"batch",)"
           R"("sizeGb":0.0,"stowS":0.0,"together":false,"vcpus":0.0}})"},
      },
      parse_job_record);
}

TEST(StoredJob, OfTheVersionInProductionHasNoFurtherKeys) {
  const auto record = parse_job_record(parse_json(
      R"({"at":1700000000123,"job":{"awaits":["run-1"],"berth":"serve","cards":0.0,"cargo":"img-01",)"
      R"("crew":"speech","driftwood":false,"lamps":1,"markS":0.0,"memoryGb":0.0,"precedence":"standard",)"
      R"("reckonS":0.0,"ref":"run-7","scatter":false,"shape":"batch","sizeGb":0.0,"stowS":0.0,)"
      R"("together":false,"vcpus":0.0}})"));
  EXPECT_EQ(record.dependency_keys, 0u);
  EXPECT_EQ(record.spec->depends_on, std::vector{JobId("run-1")});
  EXPECT_EQ(record.submitted, WallMs(1700000000123));
}

TEST(StoredAwaitedJobs, Samples) {
  expect_samples<DependencySegment>(
      {
          {"two jobs",
           {{JobId("run-1"), JobId("run-2")}, WallMs(1700000000123)},
           R"({"at":1700000000123,"awaits":["run-1","run-2"]})"},
          {"none", {{}, WallMs(5)}, R"({"at":5,"awaits":[]})"},
      },
      parse_dependency_segment);
}

TEST(StoredEnd, Samples) {
  expect_samples<TerminalRecord>(
      {
          {"done, at a known time",
           {TerminalState::kDone, 48, WallMs(1700000000123)},
           R"({"at":1700000000123,"done":48,"end":"done"})"},
          {"done, at an unknown time", {TerminalState::kDone, 48}, R"({"done":48,"end":"done"})"},
          {"cancelled", {TerminalState::kCancelled, 3}, R"({"done":3,"end":"cancelled"})"},
      },
      parse_terminal_record);
}

Ranges tasks(const char* text) {
  return Ranges::parse(text).value();
}

Chunk chunk_with_all_fields(Priority priority) {
  return {Generation(9), ShardId(2), Term(41), tasks("0-47,50"), Zone("a"), true, Attempt(6), priority};
}

TEST(StoredGrants, Samples) {
  const Chunk smallest{Generation(8), ShardId(0), Term(3), tasks("7")};
  expect_samples<Grants>(
      {
          {"all optional fields",
           {{chunk_with_all_fields(Priority::kHigh)}, Generation(9), true},
           R"({"chunks":[{"a":6,"g":9,"p":2,"q":2,"r":"0-47,50","t":41,"x":true,"z":"a"}],)"
           R"("last":9,"recall":true})"},
          {"no optional fields",
           {{smallest}, Generation(9)},
           R"({"chunks":[{"g":8,"p":0,"r":"7","t":3}],"last":9})"},
          {"no chunks", {{}, Generation(9)}, R"({"chunks":[],"last":9})"},
      },
      parse_grants);
}

TEST(StoredGrants, NumberEveryPriority) {
  struct Case {
    Priority priority;
    int number;
  };
  for (const auto& c : {Case{Priority::kLow, 0}, Case{Priority::kNormal, 1}, Case{Priority::kHigh, 2},
                        Case{Priority::kProduction, 3}}) {
    const auto stored = to_json(Grants{{chunk_with_all_fields(c.priority)}, Generation(9)});
    EXPECT_EQ(stored["chunks"][0]["q"], c.number);
    EXPECT_EQ(parse_grants(stored).chunks.front().priority, c.priority) << c.number;
  }
}

TEST(StoredGrants, OfTheVersionInProductionHaveNoPriorityOfTheirOwn) {
  const auto grants = parse_grants(
      parse_json(R"({"chunks":[{"a":6,"g":9,"p":2,"r":"0-47,50","t":41,"x":true,"z":"a"}],"last":9})"));
  auto expected = chunk_with_all_fields(Priority::kHigh);
  expected.priority.reset();
  EXPECT_EQ(grants.chunks, std::vector{expected});
  EXPECT_EQ(grants.last, Generation(9));
  EXPECT_FALSE(grants.revoke);
}

TEST(StoredProgress, Samples) {
  expect_samples<Progress>(
      {
          {"done and returned",
           {tasks("0-9,12"), {{Generation(3), tasks("13-15")}, {Generation(4), tasks("20")}}},
           R"({"done":"0-9,12","returned":[{"g":3,"r":"13-15"},{"g":4,"r":"20"}]})"},
          {"nothing", {}, R"({"done":"","returned":[]})"},
      },
      parse_progress);
}

TEST(StoredRole, Samples) {
  expect_samples<Role>(
      {
          {"that every version reads", {ControllerName("n1"), Term(41), 0}, R"({"node":"n1","term":41})"},
          {"that version 1 reads", {ControllerName("n1"), Term(41), 1}, R"({"holder":"n1","term":41})"},
          {"that version 2 reads", {ControllerName("n1"), Term(41), 2}, R"({"owner":"n1","term":41})"},
      },
      parse_role);
}

TEST(StoredRole, OfTheVersionInProductionTellsWhoReadsIt) {
  struct Case {
    const char* stored;
    std::uint32_t min_reader_version;
  };
  for (const auto& c : {Case{R"({"node":"n1","term":41})", 0}, Case{R"({"holder":"n1","term":41})", 1}}) {
    const auto role = parse_role(parse_json(c.stored));
    EXPECT_EQ(role.controller, ControllerName("n1")) << c.stored;
    EXPECT_EQ(role.term, Term(41)) << c.stored;
    EXPECT_EQ(role.min_reader_version, c.min_reader_version) << c.stored;
  }
}

TEST(StoredMachines, Samples) {
  expect_samples<std::vector<MachineRecord>>(
      {
          {"all fields",
           {{MachineName("host-1"), MachineType("g8"), Zone("a"), true, "10.1.0.2:9000", true}},
           R"({"machines":[{"a":"10.1.0.2:9000","k":true,"n":"host-1","s":true,"t":"g8","z":"a"}]})"},
          {"no optional fields",
           {{MachineName("host-1"), MachineType("g8"), Zone("a")}},
           R"({"machines":[{"n":"host-1","s":false,"t":"g8","z":"a"}]})"},
          {"no machines", {}, R"({"machines":[]})"},
      },
      parse_machines);
}

TEST(StoredVersions, Samples) {
  expect_samples<Versions>(
      {
          {"of two controllers",
           {{ControllerName("n1"), 2}, {ControllerName("n2"), 0}},
           R"({"shown":{"n1":2,"n2":0}})"},
          {"of none", {}, R"({"shown":{}})"},
      },
      parse_versions);
}

TEST(StoredLiveness, IsWritten) {
  EXPECT_EQ(dump(alive_value()), R"({"up":true,"version":2})");
}

TEST(StoredLiveness, TellsTheVersionOfItsWriter) {
  struct Case {
    const char* stored;
    std::uint32_t version;
  };
  for (const auto& c : {Case{R"({"up":true})", 0}, Case{R"({"up":true,"version":1})", 1},
                        Case{R"({"up":true,"version":2})", 2}})
    EXPECT_EQ(parse_alive(parse_json(c.stored)), c.version) << c.stored;
}

}  // namespace
}  // namespace beaconsill::state_store
