// Tests that parse_key reads the keys which record_keys builds and rejects all others.
#include "state_store/record_keys.h"

#include <gtest/gtest.h>

namespace beaconsill::state_store {
namespace {

TEST(RecordKeys, ParseKeyReturnsTheComponentsOfEachKindOfKey) {
  const JobId job("run-7");
  struct Case {
    std::string key;
    RecordKind kind;
    std::string name;
    std::uint32_t shard, number;
  };
  const Case cases[] = {
      {job_key(job), RecordKind::kJob, "run-7", 0, 0},
      {terminal_key(job), RecordKind::kTerminal, "run-7", 0, 0},
      {dependency_key(job, 12), RecordKind::kDependencies, "run-7", 0, 12},
      {grants_key(job), RecordKind::kGrants, "run-7", 0, 0},
      {progress_key(ShardId(3), job), RecordKind::kProgress, "run-7", 3, 0},
      {machines_key(ShardId(3), 17), RecordKind::kMachines, "", 3, 17},
      {shard_role_key(ShardId(4)), RecordKind::kShardRole, "", 4, 0},
      {leader_role_key(), RecordKind::kLeaderRole, "", 0, 0},
      {alive_key(ControllerName("a")), RecordKind::kAlive, "a", 0, 0},
      {versions_key(), RecordKind::kVersions, "", 0, 0},
  };
  for (const auto& test_case : cases) {
    const auto key = parse_key(test_case.key);
    ASSERT_TRUE(key) << test_case.key;
    EXPECT_EQ(key->kind, test_case.kind) << test_case.key;
    EXPECT_EQ(key->name, test_case.name) << test_case.key;
    EXPECT_EQ(key->shard, ShardId(test_case.shard)) << test_case.key;
    EXPECT_EQ(key->number, test_case.number) << test_case.key;
  }
}

TEST(RecordKeys, ParseKeyReturnsNulloptForKeysOfUnknownForm) {
  for (const char* key : {"", "beaconsill", "beaconsill/", "elsewhere/jobs/run-7", "beaconsill/novel/thing",
                          "beaconsill/progress/x/run-7", "beaconsill/awaits/run-7",
                          "beaconsill/awaits/run-7/x", "beaconsill/machines/x/1", "beaconsill/machines/1",
                          "beaconsill/machines/1/-2", "beaconsill/roles/part", "beaconsill/roles/part/x",
                          "beaconsill/roles/other", "beaconsill/roles/part/99999999999"})
    EXPECT_FALSE(parse_key(key)) << key;
}

}  // namespace
}  // namespace beaconsill::state_store
