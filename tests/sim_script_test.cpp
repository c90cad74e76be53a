// The scripted form of the simulation: what a test sets comes about, at its time, and nothing else does.
#include <gtest/gtest.h>

#include "base/log.h"
#include "sim/world.h"

namespace beaconsill::sim {
namespace {

class Script : public testing::Test {
 protected:
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
};

TEST_F(Script, WithoutTroublesAJobIsAcceptedRunsAndIsDone) {
  World w(Options::scripted());
  auto job = array_job("run-1", 8);
  w.submit(2, job, 1);
  w.poll_all(30, job.id);
  // Every shard is at its home soon, and stays there.
  auto terms = [&] {
    std::vector<std::uint64_t> out;
    for (int n = 0; n < kControllers; ++n) {
      auto owned = w.controller(n).owned();
      EXPECT_EQ(owned.size(), 1u) << "n" << n;
      for (const auto& o : owned) out.push_back(o.term.value());
    }
    return out;
  };
  std::vector<std::uint64_t> early;
  w.at(15, [&] { early = terms(); });
  auto r = w.run();
  EXPECT_TRUE(r.broken.empty()) << r.first;
  EXPECT_EQ(r.started, 8);
  EXPECT_EQ(terms(), early);
  EXPECT_EQ(w.last_answer(job.id, EstimateRequest::kSubmit)->status, 201);
  int told_done = 0;
  for (const auto& a : w.is_responsive())
    told_done += a.estimate_request == EstimateRequest::kStatus && a.state == protocol::JobState::kDone;
  EXPECT_EQ(told_done, kControllers);
}

TEST_F(Script, ACancelledJobIsGoneAndARepeatIsTold) {
  World w(Options::scripted());
  auto job = array_job("run-1", 8);
  w.submit(2, job, 1, 60);
  // Until the other controllers have acknowledged it the user is refused, and repeats the request.
  w.cancel(11, job.id, 2);
  w.cancel(12.1, job.id, 2);
  w.submit(12.2, job, 0);
  std::size_t ran = 0;
  w.at(10.9, [&] { ran = w.running_on(job.id).size(); });
  auto r = w.run();
  EXPECT_TRUE(r.broken.empty()) << r.first;
  EXPECT_GT(ran, 0u);
  EXPECT_EQ(w.last_answer(job.id, EstimateRequest::kCancel)->state, protocol::JobState::kCancelled);
  EXPECT_EQ(w.last_answer(job.id, EstimateRequest::kSubmit)->status, 200);
  EXPECT_EQ(w.last_answer(job.id, EstimateRequest::kSubmit)->state, protocol::JobState::kCancelled);
  EXPECT_TRUE(w.running_on(job.id).empty());
}

TEST_F(Script, TroublesComeAtTheirTime) {
  World w(Options::scripted());
  auto job = service_job("run-1", 4);
  w.submit(2, job, 1);
  w.trouble({.at_s = 10, .kind = TroubleKind::kNodeEnds, .for_s = 3, .who = Who::leader()});
  w.trouble({.at_s = 20, .kind = TroubleKind::kStateOutage, .for_s = 5});
  w.trouble({.at_s = 30, .kind = TroubleKind::kMachineEnds, .which = Which::of_job(job.id)});
  int leader = -1;
  w.at(9.9, [&] { leader = w.leader().value_or(-1); });
  w.at(10.1, [&] { EXPECT_FALSE(w.network().up(leader)); });
  w.at(22, [&] {
    for (int n = 0; n < kControllers; ++n) EXPECT_FALSE(w.state().answers(n));
  });
  w.poll_all(22, job.id);
  w.at(29.9, [&] { EXPECT_FALSE(w.running_on(job.id).empty()); });
  w.at(30.1, [&] { EXPECT_TRUE(w.running_on(job.id).empty()); });
  auto r = w.run();
  EXPECT_TRUE(r.broken.empty()) << r.first;
  EXPECT_EQ(w.last_answer(job.id, EstimateRequest::kStatus)->status, 503);
  EXPECT_GT(r.takeovers, kControllers);
  EXPECT_FALSE(w.running_on(job.id).empty());
}

TEST_F(Script, AProbeThatSpeaksUpBreaksItsRule) {
  World w(Options::scripted());
  w.submit(2, array_job("run-1", 8), 1, 60);
  w.probe("too_many", [](World& x) -> std::optional<std::string> {
    if (x.running_on(JobId("run-1")).empty()) return std::nullopt;
    return "it runs";
  });
  auto r = w.run();
  EXPECT_EQ(r.broken["too_many"], 1) << r.first;
}

}  // namespace
}  // namespace beaconsill::sim
