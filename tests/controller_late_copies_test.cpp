// Tests real controllers that are back within a second, or replaced, while late copies of all commands that
// were executed and answered before reach the workers once more (late_copies_test has the orders of events).
#include "two_controllers_fixture.h"

namespace beaconsill {
namespace {

struct LateCopiesWithControllers : testing::Test, TwoControllers {
  using CommandsByWorker = std::vector<std::vector<std::string>>;

  CommandsByWorker executed_so_far() const {
    CommandsByWorker executed;
    for (const auto& worker : workers) executed.push_back(worker->executed_commands);
    return executed;
  }
  // Delivers copies of the commands to the workers that executed them. Expects that no task starts.
  void expect_copies_start_nothing(const CommandsByWorker& executed, const char* when) {
    for (std::size_t i = 0; i < executed.size(); ++i)
      for (const auto& commands : executed[i]) {
        const int started_before = workers[i]->started;
        request(workers[i]->server->local(), "POST", "/do", commands);
        // A controller may start a task at the same time, but under a later token.
        if (workers[i]->started == started_before) continue;
        EXPECT_NE(workers[i]->executed_commands.back(), commands) << when;
      }
  }
  // Runs an array to its end and a service until it is cancelled, and starts another service.
  void run_jobs() {
    for (auto& worker : workers) worker->services = {"run-2", "run-3"};
    EXPECT_EQ(call(0, "POST", "/v1/jobs", job("run-1", "batch", 6)).status, 201);
    EXPECT_EQ(call(0, "POST", "/v1/jobs", job("run-2", "daemon", 2)).status, 201);
    EXPECT_EQ(call(0, "POST", "/v1/jobs", job("run-3", "daemon", 2)).status, 201);
    run_until([&] { return job_state(0, "run-1") == "done"; }, "the array is done");
    run_until([&] { return running_tasks("run-2") == 2 && running_tasks("run-3") == 2; }, "replicas run");
    EXPECT_EQ(cancel(0, "run-2").status, 200);
    run_until([&] { return running_tasks("run-2") == 0; }, "the replicas of the cancelled service end");
  }
  void expect_only_the_last_service_runs(const char* when) {
    EXPECT_EQ(running_tasks("run-1"), 0u) << when;
    EXPECT_EQ(running_tasks("run-2"), 0u) << when;
    EXPECT_EQ(running_tasks("run-3"), 2u) << when;
  }
};

TEST_F(LateCopiesWithControllers, StartNothingWhenControllersAreBackAtOnceUnderTheSameRoles) {
  wait_until_healthy();
  run_jobs();
  const auto executed = executed_so_far();
  for (int round = 0; round < 3; ++round) {
    for (std::size_t i = 0; i < 2; ++i) {
      controllers[i]->stop();
      controllers[i].reset();
      expect_copies_start_nothing(executed, "while the controller is away");
      start(i);
    }
    expect_copies_start_nothing(executed, "before the controllers have read the state store");
    wait_until_healthy();
    expect_copies_start_nothing(executed, "after the controllers have read the state store");
    run_for(std::chrono::milliseconds(500));
    expect_copies_start_nothing(executed, "after the workers have seen the new terms");
    expect_only_the_last_service_runs("after the controllers are back");
  }
}

TEST_F(LateCopiesWithControllers, StartNothingAfterAFailover) {
  wait_until_healthy();
  run_jobs();
  const auto executed = executed_so_far();
  end_first_controller();
  expect_copies_start_nothing(executed, "before the failover");
  run_until([&] { return (workers[0]->token >> FencingToken::kFenceBits) >= 2; },
            "the first worker has seen the new term");
  expect_copies_start_nothing(executed, "after the failover");
  run_for(std::chrono::milliseconds(500));
  expect_only_the_last_service_runs("after the failover");
}

}  // namespace
}  // namespace beaconsill
