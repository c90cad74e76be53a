#include <gtest/gtest.h>

#include "base/ranges.h"
#include "base/types.h"

namespace beaconsill {
namespace {

TEST(Ranges, ParsesRangesAndFormatsThemInShortestForm) {
  struct Case {
    const char* text;
    std::optional<std::uint32_t> count;  // std::nullopt if the text is rejected
    const char* shortest;                // the text that str() returns
  };
  const Case cases[] = {
      {"", 0, ""},
      {"0", 1, "0"},
      {"0-47,50", 49, "0-47,50"},
      {"5,4,3", 3, "3-5"},
      {"1-3,2-8", 8, "1-8"},
      {"7-3", std::nullopt, ""},
      {"x", std::nullopt, ""},
      {"1-", std::nullopt, ""},
      {"1 2", std::nullopt, ""},
      {"-3", std::nullopt, ""},
      {"1-2-3", std::nullopt, ""},
      {"1,,2", std::nullopt, ""},
      {"1,", 1, "1"},
      {"4294967295", std::nullopt, ""},
      {"99999999999", std::nullopt, ""},
  };
  for (const auto& test_case : cases) {
    auto ranges = Ranges::parse(test_case.text);
    ASSERT_EQ(ranges.has_value(), test_case.count.has_value()) << test_case.text;
    if (!ranges) continue;
    EXPECT_EQ(ranges->count(), *test_case.count) << test_case.text;
    EXPECT_EQ(ranges->str(), test_case.shortest) << test_case.text;
  }
}

TEST(Ranges, AddRemoveAndTakeChangeTheSet) {
  struct Case {
    const char* start;
    const char* add;
    const char* remove;
    std::uint32_t take;
    const char* taken;
    const char* remaining;
  };
  const Case cases[] = {
      {"0-9", "10-19", "", 0, "", "0-19"}, {"0-9", "", "3-5", 4, "0-2,6", "7-9"},
      {"0-9", "", "0-20", 3, "", ""},      {"2-3,8-9", "4-7", "5", 100, "2-4,6-9", ""},
      {"0-2,4-6", "3", "", 1, "0", "1-6"}, {"5", "", "5", 1, "", ""},
  };
  for (const auto& test_case : cases) {
    auto ranges = *Ranges::parse(test_case.start);
    ranges.add(*Ranges::parse(test_case.add));
    ranges.remove(*Ranges::parse(test_case.remove));
    EXPECT_EQ(ranges.take(test_case.take).str(), test_case.taken) << test_case.start;
    EXPECT_EQ(ranges.str(), test_case.remaining) << test_case.start;
  }
}

TEST(FencingToken, TokenOfHigherTermExceedsAnyRaisedTokenOfLowerTerm) {
  auto earlier = FencingToken::first_of(Term(3));
  for (int i = 0; i < 1000; ++i) earlier = earlier.raised();
  EXPECT_LT(earlier, FencingToken::first_of(Term(4)));
  EXPECT_EQ(earlier.term(), Term(3));
}

TEST(StableHash, ValuesNeverChange) {
  // Machines are assigned to shards by this hash. If its values changed, controllers of two versions that run
  // at the same time would assign machines to different shards.
  EXPECT_EQ(stable_hash("host-000231"), stable_hash(std::string("host-") + "000231"));
  EXPECT_EQ(stable_hash("a"), 17114084158190756429ull);
}

}  // namespace
}  // namespace beaconsill
