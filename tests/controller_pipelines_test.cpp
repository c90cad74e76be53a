// Tests pipelines, jobs that depend on each other, end to end with two real controllers.
#include "two_controllers_fixture.h"

namespace beaconsill {
namespace {

TEST(Pipelines, JobsRunAfterTheirDependenciesAndAreCancelledWithThem) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  auto step = [](const std::string& id, std::vector<std::string> depends_on, const char* kind = "batch") {
    auto job = Json::parse(TwoControllers::job(id, kind, 2));
    job["awaits"] = std::move(depends_on);
    return job.dump();
  };
  auto submit = [&](std::size_t controller, const std::string& body) {
    return cluster.call(controller, "POST", "/v1/jobs", body);
  };
  cluster.wait_until_pipelines_accepted();
  EXPECT_EQ(submit(0, TwoControllers::job("run-1", "batch", 2)).status, 201);
  // The dependency has just been accepted by the other controller.
  auto response = submit(1, step("run-2", {"run-1"}));
  EXPECT_EQ(response.status, 201);
  EXPECT_EQ(response.body["bearing"], "queued");
  EXPECT_EQ(submit(0, step("run-9", {"run-1", "run-404"})).status, 422);
  EXPECT_EQ(submit(0, step("run-9", {"run-9"})).status, 400);
  EXPECT_EQ(cluster.call(0, "GET", "/v1/jobs/run-9").status, 404);
  cluster.state.down = true;
  EXPECT_EQ(submit(0, step("run-9", {"run-404"})).status, 503);
  cluster.state.down = false;
  auto has_started_tasks = [&](const std::string& job) {
    for (auto& worker : cluster.workers)
      for (auto& task : worker->tasks)
        if (task.id.starts_with(job + "/")) return true;
    return false;
  };
  bool started_too_early = false;
  auto second_is_done = [&] {
    bool second_started = has_started_tasks("run-2");
    started_too_early |= second_started && cluster.job_state(0, "run-1") != "done";
    return cluster.job_state(0, "run-2") == "done";
  };
  cluster.run_until(second_is_done, "both jobs are done");
  EXPECT_FALSE(started_too_early);
  // Jobs that depend on a service stay queued, and both controllers show them as cancelled as soon as the
  // service is.
  EXPECT_EQ(submit(0, TwoControllers::job("run-10", "daemon", 1)).status, 201);
  std::string previous = "run-10";
  for (auto id : {"run-11", "run-12", "run-13"}) {
    EXPECT_EQ(submit(0, step(id, {previous})).status, 201);
    previous = id;
  }
  EXPECT_EQ(cluster.job_state(1, "run-13"), "queued");
  EXPECT_EQ(cluster.cancel(1, "run-10").body["bearing"], "withdrawn");
  for (std::size_t controller : {1, 0})
    for (auto id : {"run-11", "run-12", "run-13"})
      EXPECT_EQ(cluster.job_state(controller, id), "withdrawn") << id;
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs/run-12/withdraw").body["bearing"], "withdrawn");
  // A job submitted with a cancelled dependency is accepted, and is cancelled immediately.
  response = submit(0, step("run-14", {"run-13"}));
  EXPECT_EQ(response.status, 201);
  EXPECT_EQ(response.body["bearing"], "withdrawn");
  // The dependents get terminal records of their own and their other keys are deleted. They remain cancelled.
  auto garbage_collected = [&] {
    for (auto id : {"run-11", "run-12", "run-13", "run-14"})
      if (cluster.state.keys.contains(std::string("beaconsill/jobs/") + id)) return false;
    return true;
  };
  cluster.run_until(garbage_collected, "garbage-collected");
  for (auto id : {"run-11", "run-12", "run-13", "run-14"})
    EXPECT_EQ(cluster.job_state(1, id), "withdrawn") << id;
  EXPECT_EQ(cluster.job_state(1, "run-2"), "done");
}

// A list of dependencies that exceeds the value size limit is stored in keys of its own. These are deleted
// after the job's record.
TEST(Pipelines, DependencyKeysAreGarbageCollectedWithTheirJob) {
  TwoControllers cluster({.value_kb = 0.5});
  cluster.state.max_value_bytes = 512;
  cluster.wait_until_healthy();
  cluster.wait_until_pipelines_accepted();
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "daemon", 1)).status, 201);
  std::vector<std::string> dependencies{"run-1"};
  for (int i = 0; i < 60; ++i) {
    dependencies.push_back("run-00000" + std::to_string(100 + i));
    cluster.state.put("beaconsill/ends/" + dependencies.back(), Json{{"end", "done"}, {"done", 1}});
  }
  auto dependent = Json::parse(TwoControllers::job("run-2", "batch", 1));
  dependent["awaits"] = dependencies;
  cluster.run_until([&] { return cluster.call(1, "POST", "/v1/jobs", dependent.dump()).status / 100 == 2; },
                    "accepted");
  EXPECT_EQ(cluster.job_state(0, "run-2"), "queued");
  auto key_count = [&] {
    return std::count_if(cluster.state.keys.begin(), cluster.state.keys.end(), [](const auto& k) {
      return k.first.starts_with("beaconsill/awaits/") || k.first.starts_with("beaconsill/jobs/");
    });
  };
  EXPECT_GE(key_count(), 4);
  cluster.cancel(0, "run-1");
  cluster.run_until([&] { return key_count() == 0; }, "garbage-collected");
  EXPECT_EQ(cluster.job_state(1, "run-2"), "withdrawn");
}

// A controller of an earlier version ignores dependencies and might start such a job too early.
TEST(Pipelines, SubmissionIsRefusedWith503WhileAControllerDoesNotSupportPipelines) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  cluster.wait_until_pipelines_accepted();
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "daemon", 1)).status, 201);
  auto job = Json::parse(TwoControllers::job("run-2", "batch", 1));
  job["awaits"] = {"run-1"};
  // The leader's role is recorded in a form that an earlier version can't acquire.
  const auto& role = cluster.state.keys.at("beaconsill/roles/leader").first;
  EXPECT_EQ(state_store::parse_role(role).min_reader_version, state_store::kFormatVersion);
  EXPECT_FALSE(role.contains("node"));    // read by version 0
  EXPECT_FALSE(role.contains("holder"));  // read by version 1
  // The second controller is downgraded to an earlier version.
  auto downgrade_second = [&] { cluster.state.put("beaconsill/alive/n1", Json{{"up", true}}); };
  downgrade_second();
  cluster.io.run_for(std::chrono::milliseconds(600));
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", job.dump()).status, 503);
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-3", "batch", 1)).status, 201);
}

}  // namespace
}  // namespace beaconsill
