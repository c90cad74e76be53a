// Pipelines in the simulation: chains, fans and diamonds, together with troubles of all kinds.
#include <gtest/gtest.h>

#include "base/log.h"
#include "sim/world.h"

namespace beaconsill::sim {
namespace {

class Pipelined : public testing::Test {
 protected:
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
};

Options drawn(std::uint64_t seed, Mistake mistake = Mistake::kNone) {
  Options o;
  o.seed = seed;
  o.jobs = 14;
  o.pipelines = 10;
  o.mistake = mistake;
  return o;
}

TEST_F(Pipelined, TheRulesHoldAndEveryJobIsServed) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    auto r = World(drawn(seed)).run();
    EXPECT_TRUE(r.broken.empty()) << "seed " << seed << ": " << r.first;
    EXPECT_GT(r.started, 30) << "seed " << seed;
  }
}

// A checker that can't fail shows nothing.
TEST_F(Pipelined, TheCheckersFindSeededMistakes) {
  struct Case {
    Mistake mistake;
    const char* rule;
    const char* text;
  };
  for (const auto& c : {Case{Mistake::kAwaitsLost, "too_early", "before"},
                        Case{Mistake::kStartsUnready, "too_early", "before"},
                        Case{Mistake::kAwaitedUnknown, "forgotten", "a job that it awaits"}}) {
    bool found = false;
    std::string seen;
    for (std::uint64_t seed = 1; seed <= 20 && !found; ++seed) {
      auto r = World(drawn(seed, c.mistake)).run();
      found = r.broken.contains(c.rule) && r.first.find(c.text) != std::string::npos;
      if (!r.first.empty()) seen = r.first;
    }
    EXPECT_TRUE(found) << "mistake " << static_cast<int>(c.mistake) << ": no " << c.rule << ", but " << seen;
  }
}

// The head of a chain is cancelled while its last job can't start anyway, since another has all of the team's
// limit. Nobody cancels the last one itself: it has to be called cancelled in time all the same.
Outcome cancelled_head(Mistake mistake, std::optional<protocol::JobState>* last = nullptr) {
  auto options = Options::scripted();
  options.mistake = mistake;
  World w(options);
  auto head = array_job("run-1", 2);
  auto middle = array_job("run-2", 1);
  auto end = array_job("run-3", 1);
  middle.depends_on = {head.id};
  end.depends_on = {middle.id};
  w.submit(2, head, 0, 200);
  w.submit(4, array_job("run-9", static_cast<std::uint32_t>(kTeamCpus)), 0, 100);
  w.submit(10, middle, 1);
  w.submit(11, end, 2);
  for (double d : {12.0, 13.5}) w.cancel(d, head.id, 0);
  for (double t = 14; t < 60; t += 2) w.poll_all(t, end.id);
  auto r = w.run();
  if (auto a = w.last_answer(end.id, EstimateRequest::kStatus); a && last) *last = a->state;
  return r;
}

TEST_F(Pipelined, ACancellationReachesTheEndOfTheChainInTime) {
  std::optional<protocol::JobState> last;
  auto r = cancelled_head(Mistake::kNone, &last);
  EXPECT_TRUE(r.broken.empty()) << r.first;
  EXPECT_EQ(last, protocol::JobState::kCancelled);
  r = cancelled_head(Mistake::kAwaitsLost);
  EXPECT_TRUE(r.broken.contains("orphaned")) << r.first;
}

}  // namespace
}  // namespace beaconsill::sim
