#include <gtest/gtest.h>

#include "base/ranges.h"
#include "base/types.h"

namespace beaconsill {
namespace {

TEST(Ranges, TextForms) {
  struct Case {
    const char* text;
    std::optional<std::uint32_t> count;  // none: refused
    const char* again;
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
      {"4294967295", std::nullopt, ""},
      {"99999999999", std::nullopt, ""},
  };
  for (const auto& c : cases) {
    auto r = Ranges::parse(c.text);
    ASSERT_EQ(r.has_value(), c.count.has_value()) << c.text;
    if (!r) continue;
    EXPECT_EQ(r->count(), *c.count) << c.text;
    EXPECT_EQ(r->str(), c.again) << c.text;
  }
}

TEST(Ranges, AddRemoveTake) {
  struct Case {
    const char* start;
    const char* add;
    const char* remove;
    std::uint32_t take;
    const char* taken;
    const char* left;
  };
  const Case cases[] = {
      {"0-9", "10-19", "", 0, "", "0-19"}, {"0-9", "", "3-5", 4, "0-2,6", "7-9"},
      {"0-9", "", "0-20", 3, "", ""},      {"2-3,8-9", "4-7", "5", 100, "2-4,6-9", ""},
      {"0-2,4-6", "3", "", 1, "0", "1-6"}, {"5", "", "5", 1, "", ""},
  };
  for (const auto& c : cases) {
    auto r = *Ranges::parse(c.start);
    r.add(*Ranges::parse(c.add));
    r.remove(*Ranges::parse(c.remove));
    EXPECT_EQ(r.take(c.take).str(), c.taken) << c.start;
    EXPECT_EQ(r.str(), c.left) << c.start;
  }
}

TEST(FencingToken, HigherTermOutranksEveryFence) {
  auto old = FencingToken::first_of(Term(3));
  for (int i = 0; i < 1000; ++i) old = old.raised();
  EXPECT_LT(old, FencingToken::first_of(Term(4)));
  EXPECT_EQ(old.term(), Term(3));
}

TEST(Hash, IsTheSameEverywhere) {
  // A change of this number would move machines between shards while two versions run side by side.
  EXPECT_EQ(stable_hash("host-000231"), stable_hash(std::string("host-") + "000231"));
  EXPECT_EQ(stable_hash("a"), 17114084158190756429ull);
}

}  // namespace
}  // namespace beaconsill
