// Values that fit the limits to come, also on top of what was written under higher ones.
#include "state_store/value_sizes.h"

#include <gtest/gtest.h>

namespace beaconsill::state_store {
namespace {

// Every other of the first `n` tasks from `first` on.
Ranges scattered(std::uint32_t count, std::uint32_t first = 0) {
  Ranges tasks;
  for (std::uint32_t i = first; i < count; i += 2) tasks.add(i);
  return tasks;
}

bool holds(const Ranges& all, const Ranges& some) {
  Ranges missing = some;
  missing.remove(all);
  return missing.empty();
}

TEST(ValueSizes, ProgressFitsAndLosesNothingRecorded) {
  struct Case {
    const char* what;
    Progress recorded, wanted;
    bool whole, changed;
  };
  const Case cases[] = {
      {"small: as it is", {}, {Ranges::span(0, 9), {}}, true, true},
      {"too many spans: some of them", {}, {scattered(2000), {}}, false, true},
      {"on top of what is recorded", {scattered(300), {}}, {scattered(2000), {}}, false, true},
      {"released before done", {}, {scattered(2000), {{Generation(3), scattered(100, 1)}}}, false, true},
      {"recorded under a higher limit", {scattered(1500), {}}, {scattered(2000), {}}, false, false},
      {"all done: short again", {scattered(1500), {}}, {Ranges::span(0, 2000), {}}, true, true},
      {"released tasks of chunks that were removed go",
       {scattered(100), {{Generation(1), scattered(300, 1)}}},
       {scattered(900), {}},
       true,
       true},
  };
  constexpr std::size_t kMax = 2048;
  for (const auto& test_case : cases) {
    auto fitted = fit_progress(test_case.recorded, test_case.wanted, kMax);
    EXPECT_EQ(fitted == test_case.wanted, test_case.whole) << test_case.what;
    EXPECT_EQ(fitted != test_case.recorded, test_case.changed) << test_case.what;
    EXPECT_TRUE(holds(fitted.done, test_case.recorded.done)) << test_case.what;
    EXPECT_TRUE(holds(test_case.wanted.done, fitted.done)) << test_case.what;
    for (const auto& released : fitted.released) {
      auto wanted = std::find_if(test_case.wanted.released.begin(), test_case.wanted.released.end(),
                                 [&](const auto& entry) { return entry.generation == released.generation; });
      ASSERT_NE(wanted, test_case.wanted.released.end()) << test_case.what;
      EXPECT_TRUE(holds(wanted->tasks, released.tasks)) << test_case.what;
    }
    if (test_case.changed) {
      EXPECT_LE(value_bytes(to_json(fitted)), kMax) << test_case.what;
    }
  }
  // Filled up as far as it goes: not much less than the limit.
  EXPECT_GT(value_bytes(to_json(fit_progress({}, {scattered(2000), {}}, kMax))), kMax * 9 / 10);
}

TEST(ValueSizes, GrantsAreShortenedNeverThoseRecorded) {
  auto chunk = [](std::uint64_t grants, Ranges tasks, std::uint64_t attempt = 0) {
    return Chunk{Generation(grants), ShardId(0), Term(1),         std::move(tasks),
                 std::nullopt,       false,      Attempt(attempt)};
  };
  struct Case {
    const char* what;
    std::vector<Chunk> chunks;
    bool fits;
    std::size_t left;
  };
  const Case cases[] = {
      {"small", {chunk(1, scattered(20)), chunk(2, scattered(20, 1))}, true, 2},
      {"the new one is shortened", {chunk(1, scattered(300)), chunk(2, scattered(2000, 1))}, true, 2},
      {"one of two new ones goes",
       {chunk(1, scattered(1000)), chunk(2, scattered(60, 1)), chunk(3, scattered(2000, 1001))},
       false,
       0},
      {"what is recorded alone is too much",
       {chunk(1, scattered(2000)), chunk(2, scattered(20, 1))},
       false,
       0},
      {"a gang isn't shortened", {chunk(2, scattered(2000), 1)}, false, 0},
  };
  for (const auto& test_case : cases) {
    Grants grants{test_case.chunks, test_case.chunks.back().generation};
    auto before = grants.chunks;
    EXPECT_EQ(fit_grants(grants, Generation(1), 1800), test_case.fits) << test_case.what;
    if (!test_case.fits) continue;
    EXPECT_LE(value_bytes(to_json(grants)), 1800u) << test_case.what;
    EXPECT_EQ(grants.chunks.size(), test_case.left) << test_case.what;
    EXPECT_EQ(grants.chunks[0], before[0]) << test_case.what;
    EXPECT_TRUE(holds(before[1].tasks, grants.chunks[1].tasks)) << test_case.what;
    EXPECT_FALSE(grants.chunks[1].tasks.empty()) << test_case.what;
  }
}

}  // namespace
}  // namespace beaconsill::state_store
