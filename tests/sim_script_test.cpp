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

TEST_F(Script, WithoutFaultsAJobIsAcceptedRunsAndCompletes) {
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
  EXPECT_TRUE(r.violations.empty()) << r.first_violation;
  EXPECT_EQ(r.started, 8);
  EXPECT_EQ(terms(), early);
  EXPECT_EQ(w.last_response(job.id, UserRequest::kSubmit)->status, 201);
  int done_responses = 0;
  for (const auto& a : w.responses())
    done_responses += a.request == UserRequest::kStatus && a.state == protocol::JobState::kDone;
  EXPECT_EQ(done_responses, kControllers);
}

TEST_F(Script, ACancelledJobStopsAndARepeatedSubmissionReportsIt) {
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
  EXPECT_TRUE(r.violations.empty()) << r.first_violation;
  EXPECT_GT(ran, 0u);
  EXPECT_EQ(w.last_response(job.id, UserRequest::kCancel)->state, protocol::JobState::kCancelled);
  EXPECT_EQ(w.last_response(job.id, UserRequest::kSubmit)->status, 200);
  EXPECT_EQ(w.last_response(job.id, UserRequest::kSubmit)->state, protocol::JobState::kCancelled);
  EXPECT_TRUE(w.running_on(job.id).empty());
}

TEST_F(Script, FaultsBeginAtTheirTime) {
  World w(Options::scripted());
  auto job = service_job("run-1", 4);
  w.submit(2, job, 1);
  w.inject({.at_s = 10,
            .kind = FaultKind::kControllerCrash,
            .duration_s = 3,
            .controllers = ControllerSelector::leader()});
  w.inject({.at_s = 20, .kind = FaultKind::kStateOutage, .duration_s = 5});
  w.inject({.at_s = 30, .kind = FaultKind::kMachineCrash, .machines = MachineSelector::of_job(job.id)});
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
  EXPECT_TRUE(r.violations.empty()) << r.first_violation;
  EXPECT_EQ(w.last_response(job.id, UserRequest::kStatus)->status, 503);
  EXPECT_GT(r.shard_acquisitions, kControllers);
  EXPECT_FALSE(w.running_on(job.id).empty());
}

TEST_F(Script, AProbeThatReportsAViolationFails) {
  World w(Options::scripted());
  w.submit(2, array_job("run-1", 8), 1, 60);
  w.probe("too_many", [](World& x) -> std::optional<std::string> {
    if (x.running_on(JobId("run-1")).empty()) return std::nullopt;
    return "it runs";
  });
  auto r = w.run();
  EXPECT_EQ(r.violations["too_many"], 1) << r.first_violation;
}

}  // namespace
}  // namespace beaconsill::sim
