// Tests of scripted simulations: scripted requests and faults take effect at their times, and no other faults
// occur.
#include <gtest/gtest.h>

#include "base/log.h"
#include "sim/world.h"

namespace beaconsill::sim {
namespace {

class Script : public testing::Test {
 protected:
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
};

TEST_F(Script, JobIsAcceptedAndCompletesWithoutFaults) {
  World world(Options::scripted());
  auto job = array_job("run-1", 8);
  world.submit(2, job, 1);
  world.poll_all(30, job.id);
  // Each controller soon leads its own shard, and the shards' terms do not change afterwards.
  auto terms = [&] {
    std::vector<std::uint64_t> out;
    for (int controller = 0; controller < kControllers; ++controller) {
      auto owned = world.controller(controller).led_shards();
      EXPECT_EQ(owned.size(), 1u) << "n" << controller;
      for (const auto& led : owned) out.push_back(led.term.value());
    }
    return out;
  };
  std::vector<std::uint64_t> early;
  world.at(15, [&] { early = terms(); });
  auto outcome = world.run();
  EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
  EXPECT_EQ(outcome.started, 8);
  EXPECT_EQ(terms(), early);
  EXPECT_EQ(world.last_response(job.id, UserRequest::kSubmit)->status, 201);
  int done_responses = 0;
  for (const auto& response : world.responses())
    done_responses += response.request == UserRequest::kStatus && response.state == protocol::JobState::kDone;
  EXPECT_EQ(done_responses, kControllers);
}

TEST_F(Script, CancelledJobStopsAndRepeatedSubmissionReportsTheCancellation) {
  World world(Options::scripted());
  auto job = array_job("run-1", 8);
  world.submit(2, job, 1, 60);
  // The cancellation is refused until the other controllers have acknowledged it, so the user repeats it.
  world.cancel(11, job.id, 2);
  world.cancel(12.1, job.id, 2);
  world.submit(12.2, job, 0);
  std::size_t running_before = 0;
  world.at(10.9, [&] { running_before = world.running_on(job.id).size(); });
  auto outcome = world.run();
  EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
  EXPECT_GT(running_before, 0u);
  EXPECT_EQ(world.last_response(job.id, UserRequest::kCancel)->state, protocol::JobState::kCancelled);
  EXPECT_EQ(world.last_response(job.id, UserRequest::kSubmit)->status, 200);
  EXPECT_EQ(world.last_response(job.id, UserRequest::kSubmit)->state, protocol::JobState::kCancelled);
  EXPECT_TRUE(world.running_on(job.id).empty());
}

TEST_F(Script, FaultsBeginAtTheirScheduledTimes) {
  World world(Options::scripted());
  auto job = service_job("run-1", 4);
  world.submit(2, job, 1);
  world.inject({.at_s = 10,
                .kind = FaultKind::kControllerCrash,
                .duration_s = 3,
                .controllers = ControllerSelector::leader()});
  world.inject({.at_s = 20, .kind = FaultKind::kStateOutage, .duration_s = 5});
  world.inject({.at_s = 30, .kind = FaultKind::kMachineCrash, .machines = MachineSelector::of_job(job.id)});
  int leader = -1;
  world.at(9.9, [&] { leader = world.leader().value_or(-1); });
  world.at(10.1, [&] { EXPECT_FALSE(world.network().is_up(leader)); });
  world.at(22, [&] {
    for (int controller = 0; controller < kControllers; ++controller)
      EXPECT_FALSE(world.state().serves(controller));
  });
  world.poll_all(22, job.id);
  world.at(29.9, [&] { EXPECT_FALSE(world.running_on(job.id).empty()); });
  world.at(30.1, [&] { EXPECT_TRUE(world.running_on(job.id).empty()); });
  auto outcome = world.run();
  EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
  EXPECT_EQ(world.last_response(job.id, UserRequest::kStatus)->status, 503);
  EXPECT_GT(outcome.shard_acquisitions, kControllers);
  EXPECT_FALSE(world.running_on(job.id).empty());
}

TEST_F(Script, ProbeResultIsReportedAsAViolation) {
  World world(Options::scripted());
  world.submit(2, array_job("run-1", 8), 1, 60);
  world.probe("too_many", [](World& probed) -> std::optional<std::string> {
    if (probed.running_on(JobId("run-1")).empty()) return std::nullopt;
    return "run-1 is running";
  });
  auto outcome = world.run();
  EXPECT_EQ(outcome.violations["too_many"], 1) << outcome.first_violation;
}

}  // namespace
}  // namespace beaconsill::sim
