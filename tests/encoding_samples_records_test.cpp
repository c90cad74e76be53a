// Compares the keys and values that this program stores in the state store with byte-exact samples, and
// parses samples of the values that the version in production (commit 60b8ce84) stores. Any change of an
// encoding fails these tests.
#include <gtest/gtest.h>

#include "state_store/records.h"

namespace beaconsill::state_store {
namespace {

using protocol::dump;
using protocol::Json;
using protocol::parse_json;

// A value and its stored encoding.
template <class Value>
struct Sample {
  const char* name;
  Value value;
  const char* stored;
};

// Checks that each value is encoded as its sample, and that parsing the sample and encoding the result gives
// the same bytes again.
template <class Value>
void expect_samples(const std::vector<Sample<Value>>& samples, Value (*parse)(const Json&)) {
  for (const auto& sample : samples) {
    EXPECT_EQ(dump(to_json(sample.value)), sample.stored) << sample.name;
    EXPECT_EQ(dump(to_json(parse(parse_json(sample.stored)))), sample.stored) << sample.name;
  }
}

TEST(StoredKeys, MatchSamples) {
  struct Case {
    const char* name;
    std::string key;
    const char* expected;
  };
  const JobId job("run-7");
  for (const auto& c : {
           Case{"job", job_key(job), "beaconsill/jobs/run-7"},
           Case{"terminal record", terminal_key(job), "beaconsill/ends/run-7"},
           Case{"dependencies", dependency_key(job, 3), "beaconsill/awaits/run-7/3"},
           Case{"grants", grants_key(job), "beaconsill/grants/run-7"},
           Case{"progress", progress_key(ShardId(2), job), "beaconsill/progress/2/run-7"},
           Case{"registry", machines_key(ShardId(2), 33), "beaconsill/machines/2/33"},
           Case{"role of a shard", shard_role_key(ShardId(2)), "beaconsill/roles/part/2"},
           Case{"role of the leader", leader_role_key(), "beaconsill/roles/leader"},
           Case{"liveness", alive_key(ControllerName("n1")), "beaconsill/alive/n1"},
           Case{"versions", versions_key(), "beaconsill/versions"},
           Case{"prefix of all keys", std::string(kKeyPrefix), "beaconsill/"},
       })
    EXPECT_EQ(c.key, c.expected) << c.name;
}

TEST(StoredKeys, MachineBucketsOfNamesAreStable) {
  struct Case {
    const char* machine;
    std::uint32_t bucket;
  };
  for (const auto& c : {Case{"host-1", 10}, Case{"host-2", 13}, Case{"host-100000", 15}, Case{"", 2}})
    EXPECT_EQ(machine_bucket(MachineName(c.machine)), c.bucket) << c.machine;
  EXPECT_EQ(kMachineBuckets, 16u);
}

TEST(StoredKeys, RegistryKeyNumbersHaveTheExpectedMinVersion) {
  struct Case {
    std::uint32_t number;
    std::uint32_t min_version;
  };
  for (const auto& c : {Case{0, 0}, Case{15, 0}, Case{16, 1}, Case{63, 1}, Case{64, 2}, Case{100000, 2}})
    EXPECT_EQ(registry_key_min_version(c.number), c.min_version) << c.number;
}

std::shared_ptr<const protocol::JobSpec> job_with_dependencies(std::vector<JobId> depends_on) {
  protocol::JobSpec job;
  job.id = JobId("run-7");
  job.job_class = "serve";
  job.team = Team("speech");
  job.tasks = 1;
  job.image = ImageName("img-01");
  job.depends_on = std::move(depends_on);
  return std::make_shared<const protocol::JobSpec>(std::move(job));
}

TEST(StoredJobRecord, MatchesSamples) {
  expect_samples<JobRecord>(
      {
          {"without dependencies",
           {job_with_dependencies({}), WallMs(1700000000123)},
           R"({"at":1700000000123,"job":{"berth":"serve","cards":0.0,"cargo":"img-01","crew":"speech",)"
           R"("driftwood":false,"lamps":1,"markS":0.0,"memoryGb":0.0,"precedence":"standard","reckonS":0.0,)"
           R"("ref":"run-7","scatter":false,"shape":"batch","sizeGb":0.0,"stowS":0.0,"together":false,)"
           R"("vcpus":0.0}})"},
          {"dependencies in the record",
           {job_with_dependencies({JobId("run-1"), JobId("run-2")}), WallMs(1700000000123)},
           R"({"at":1700000000123,"job":{"awaits":["run-1","run-2"],"berth":"serve","cards":0.0,)"
           R"("cargo":"img-01","crew":"speech","driftwood":false,"lamps":1,"markS":0.0,"memoryGb":0.0,)"
           R"("precedence":"standard","reckonS":0.0,"ref":"run-7","scatter":false,"shape":"batch",)"
           R"("sizeGb":0.0,"stowS":0.0,"together":false,"vcpus":0.0}})"},
          {"dependencies in additional keys",
           {job_with_dependencies({JobId("run-1"), JobId("run-2")}), WallMs(1700000000123), 2},
           R"({"at":1700000000123,"awaitsKeys":2,"job":{"berth":"serve","cards":0.0,"cargo":"img-01",)"
           R"("crew":"speech","driftwood":false,"lamps":1,"markS":0.0,"memoryGb":0.0,)"
           R"("precedence":"standard","reckonS":0.0,"ref":"run-7","scatter":false,"shape":"batch",)"
           R"("sizeGb":0.0,"stowS":0.0,"together":false,"vcpus":0.0}})"},
      },
      parse_job_record);
}

TEST(StoredJobRecord, OfTheVersionInProductionParsesWithoutAdditionalKeys) {
  const auto record = parse_job_record(parse_json(
      R"({"at":1700000000123,"job":{"awaits":["run-1"],"berth":"serve","cards":0.0,"cargo":"img-01",)"
      R"("crew":"speech","driftwood":false,"lamps":1,"markS":0.0,"memoryGb":0.0,"precedence":"standard",)"
      R"("reckonS":0.0,"ref":"run-7","scatter":false,"shape":"batch","sizeGb":0.0,"stowS":0.0,)"
      R"("together":false,"vcpus":0.0}})"));
  EXPECT_EQ(record.dependency_keys, 0u);
  EXPECT_EQ(record.spec->depends_on, std::vector{JobId("run-1")});
  EXPECT_EQ(record.submitted, WallMs(1700000000123));
}

TEST(StoredDependencySegment, MatchesSamples) {
  expect_samples<DependencySegment>(
      {
          {"two jobs",
           {{JobId("run-1"), JobId("run-2")}, WallMs(1700000000123)},
           R"({"at":1700000000123,"awaits":["run-1","run-2"]})"},
          {"none", {{}, WallMs(5)}, R"({"at":5,"awaits":[]})"},
      },
      parse_dependency_segment);
}

TEST(StoredTerminalRecord, MatchesSamples) {
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

TEST(StoredGrants, MatchSamples) {
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

TEST(StoredGrants, EncodeEachPriorityAsItsNumber) {
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

TEST(StoredGrants, OfTheVersionInProductionParseWithoutPriority) {
  const auto grants = parse_grants(
      parse_json(R"({"chunks":[{"a":6,"g":9,"p":2,"r":"0-47,50","t":41,"x":true,"z":"a"}],"last":9})"));
  auto expected = chunk_with_all_fields(Priority::kHigh);
  expected.priority.reset();
  EXPECT_EQ(grants.chunks, std::vector{expected});
  EXPECT_EQ(grants.last, Generation(9));
  EXPECT_FALSE(grants.revoke);
}

TEST(StoredProgress, MatchesSamples) {
  expect_samples<Progress>(
      {
          {"done and released",
           {tasks("0-9,12"), {{Generation(3), tasks("13-15")}, {Generation(4), tasks("20")}}},
           R"({"done":"0-9,12","returned":[{"g":3,"r":"13-15"},{"g":4,"r":"20"}]})"},
          {"nothing", {}, R"({"done":"","returned":[]})"},
      },
      parse_progress);
}

TEST(StoredRole, MatchesSamples) {
  expect_samples<Role>(
      {
          {"readable from version 0 on", {ControllerName("n1"), Term(41), 0}, R"({"node":"n1","term":41})"},
          {"readable from version 1 on", {ControllerName("n1"), Term(41), 1}, R"({"holder":"n1","term":41})"},
          {"readable from version 2 on", {ControllerName("n1"), Term(41), 2}, R"({"owner":"n1","term":41})"},
      },
      parse_role);
}

TEST(StoredRole, OfTheVersionInProductionParsesWithItsMinReaderVersion) {
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

TEST(StoredMachines, MatchSamples) {
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

TEST(StoredVersions, MatchSamples) {
  expect_samples<Versions>(
      {
          {"two controllers",
           {{ControllerName("n1"), 2}, {ControllerName("n2"), 0}},
           R"({"shown":{"n1":2,"n2":0}})"},
          {"no controllers", {}, R"({"shown":{}})"},
      },
      parse_versions);
}

TEST(StoredLiveness, MatchesSample) {
  EXPECT_EQ(dump(alive_value()), R"({"up":true,"version":2})");
}

TEST(StoredLiveness, ParsesToTheVersionOfItsWriter) {
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
