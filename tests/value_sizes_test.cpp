// Tests that records are reduced to the value size limit, also if they extend records that were written under
// a higher limit.
#include "state_store/value_sizes.h"

#include <gtest/gtest.h>

namespace beaconsill::state_store {
namespace {

// Every second task from `first` up to but excluding `end`. Each task is a range of its own.
Ranges every_second_task(std::uint32_t end, std::uint32_t first = 0) {
  Ranges tasks;
  for (std::uint32_t i = first; i < end; i += 2) tasks.add(i);
  return tasks;
}

bool contains_all(const Ranges& all, const Ranges& some) {
  Ranges missing = some;
  missing.remove(all);
  return missing.empty();
}

TEST(ValueSizes, TruncatedProgressKeepsAllThatIsRecordedAndStillWanted) {
  struct Case {
    const char* description;
    Progress recorded, wanted;
    bool complete;  // the result is all that is wanted
    bool changed;   // the result differs from what is recorded
  };
  const Case cases[] = {
      {"below the limit: unchanged", {}, {Ranges::span(0, 9), {}}, true, true},
      {"too many spans: only some are included", {}, {every_second_task(2000), {}}, false, true},
      {"spans are added to the recorded ones",
       {every_second_task(300), {}},
       {every_second_task(2000), {}},
       false,
       true},
      {"released tasks are included before done ones",
       {},
       {every_second_task(2000), {{Generation(3), every_second_task(100, 1)}}},
       false,
       true},
      {"recorded under a higher limit: nothing is added",
       {every_second_task(1500), {}},
       {every_second_task(2000), {}},
       false,
       false},
      {"all tasks done: one short span",
       {every_second_task(1500), {}},
       {Ranges::span(0, 2000), {}},
       true,
       true},
      {"released tasks of removed chunks are dropped",
       {every_second_task(100), {{Generation(1), every_second_task(300, 1)}}},
       {every_second_task(900), {}},
       true,
       true},
  };
  constexpr std::size_t kMaxBytes = 2048;
  for (const auto& test_case : cases) {
    auto truncated = truncate_progress(test_case.recorded, test_case.wanted, kMaxBytes);
    EXPECT_EQ(truncated == test_case.wanted, test_case.complete) << test_case.description;
    EXPECT_EQ(truncated != test_case.recorded, test_case.changed) << test_case.description;
    EXPECT_TRUE(contains_all(truncated.done, test_case.recorded.done)) << test_case.description;
    EXPECT_TRUE(contains_all(test_case.wanted.done, truncated.done)) << test_case.description;
    for (const auto& released : truncated.released) {
      auto wanted = std::find_if(test_case.wanted.released.begin(), test_case.wanted.released.end(),
                                 [&](const auto& entry) { return entry.generation == released.generation; });
      ASSERT_NE(wanted, test_case.wanted.released.end()) << test_case.description;
      EXPECT_TRUE(contains_all(wanted->tasks, released.tasks)) << test_case.description;
    }
    if (test_case.changed) {
      EXPECT_LE(value_bytes(to_json(truncated)), kMaxBytes) << test_case.description;
    }
  }
  // As many spans as possible are included: the value uses more than 90 % of the limit.
  EXPECT_GT(value_bytes(to_json(truncate_progress({}, {every_second_task(2000), {}}, kMaxBytes))),
            kMaxBytes * 9 / 10);
}

TEST(ValueSizes, TruncatesNewChunksOfGrantsButNeverRecordedOnes) {
  auto chunk = [](std::uint64_t generation, Ranges tasks, std::uint64_t attempt = 0) {
    return Chunk{Generation(generation), ShardId(0), Term(1),         std::move(tasks),
                 std::nullopt,           false,      Attempt(attempt)};
  };
  struct Case {
    const char* description;
    std::vector<Chunk> chunks;
    bool new_chunk_remains;
    std::size_t remaining_chunks;
  };
  const Case cases[] = {
      {"below the limit", {chunk(1, every_second_task(20)), chunk(2, every_second_task(20, 1))}, true, 2},
      {"the new chunk is truncated",
       {chunk(1, every_second_task(300)), chunk(2, every_second_task(2000, 1))},
       true,
       2},
      {"recorded chunk exceeds the limit, two new chunks",
       {chunk(1, every_second_task(1000)), chunk(2, every_second_task(60, 1)),
        chunk(3, every_second_task(2000, 1001))},
       false,
       0},
      {"recorded chunk exceeds the limit, one small new chunk",
       {chunk(1, every_second_task(2000)), chunk(2, every_second_task(20, 1))},
       false,
       0},
      {"a gang is not truncated", {chunk(2, every_second_task(2000), 1)}, false, 0},
  };
  for (const auto& test_case : cases) {
    Grants grants{test_case.chunks, test_case.chunks.back().generation};
    auto before = grants.chunks;
    EXPECT_EQ(truncate_grants(grants, Generation(1), 1800), test_case.new_chunk_remains)
        << test_case.description;
    if (!test_case.new_chunk_remains) continue;
    EXPECT_LE(value_bytes(to_json(grants)), 1800u) << test_case.description;
    EXPECT_EQ(grants.chunks.size(), test_case.remaining_chunks) << test_case.description;
    EXPECT_EQ(grants.chunks[0], before[0]) << test_case.description;
    EXPECT_TRUE(contains_all(before[1].tasks, grants.chunks[1].tasks)) << test_case.description;
    EXPECT_FALSE(grants.chunks[1].tasks.empty()) << test_case.description;
  }
}

}  // namespace
}  // namespace beaconsill::state_store
