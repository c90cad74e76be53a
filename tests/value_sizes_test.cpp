// Values that fit the limits to come, also on top of what was written under higher ones.
#include "state_store/value_sizes.h"

#include <gtest/gtest.h>

namespace beaconsill::state_store {
namespace {

// Every other of the first `n` tasks from `first` on.
Ranges scattered(std::uint32_t n, std::uint32_t first = 0) {
  Ranges r;
  for (std::uint32_t i = first; i < n; i += 2) r.add(i);
  return r;
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
  for (const auto& c : cases) {
    auto p = fit_progress(c.recorded, c.wanted, kMax);
    EXPECT_EQ(p == c.wanted, c.whole) << c.what;
    EXPECT_EQ(p != c.recorded, c.changed) << c.what;
    EXPECT_TRUE(holds(p.done, c.recorded.done)) << c.what;
    EXPECT_TRUE(holds(c.wanted.done, p.done)) << c.what;
    for (const auto& r : p.released) {
      auto wanted = std::find_if(c.wanted.released.begin(), c.wanted.released.end(),
                                 [&](const auto& w) { return w.generation == r.generation; });
      ASSERT_NE(wanted, c.wanted.released.end()) << c.what;
      EXPECT_TRUE(holds(wanted->tasks, r.tasks)) << c.what;
    }
    if (c.changed) {
      EXPECT_LE(value_bytes(to_json(p)), kMax) << c.what;
    }
  }
  // Filled up as far as it goes: not much less than the limit.
  EXPECT_GT(value_bytes(to_json(fit_progress({}, {scattered(2000), {}}, kMax))), kMax * 9 / 10);
}

TEST(ValueSizes, GrantsAreShortenedNeverThoseRecorded) {
  auto chunk = [](std::uint64_t g, Ranges r, std::uint64_t attempt = 0) {
    return Chunk{Generation(g), ShardId(0), Term(1), std::move(r), std::nullopt, false, Attempt(attempt)};
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
  for (const auto& c : cases) {
    Grants g{c.chunks, c.chunks.back().generation};
    auto before = g.chunks;
    EXPECT_EQ(fit_grants(g, Generation(1), 1800), c.fits) << c.what;
    if (!c.fits) continue;
    EXPECT_LE(value_bytes(to_json(g)), 1800u) << c.what;
    EXPECT_EQ(g.chunks.size(), c.left) << c.what;
    EXPECT_EQ(g.chunks[0], before[0]) << c.what;
    EXPECT_TRUE(holds(before[1].tasks, g.chunks[1].tasks)) << c.what;
    EXPECT_FALSE(g.chunks[1].tasks.empty()) << c.what;
  }
}

}  // namespace
}  // namespace beaconsill::state_store
