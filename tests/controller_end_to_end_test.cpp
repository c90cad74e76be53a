// Tests two real controllers end to end on the loopback interface, with a fake state store, cloud and
// workers.
#include "two_controllers_fixture.h"

namespace beaconsill {
namespace {

TEST(EndToEnd, ArrayRunsOnBothShardsAndStaysDoneAfterGarbageCollection) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  auto response = cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-000001", "batch", 14));
  EXPECT_EQ(response.status, 201);
  EXPECT_EQ(response.body["bearing"], "queued");
  // The other controller knows the job immediately.
  EXPECT_EQ(cluster.call(1, "GET", "/v1/jobs/run-000001").status, 200);
  cluster.run_until([&] { return cluster.job_state(1, "run-000001") == "done"; }, "the array is done");
  EXPECT_EQ(cluster.started_tasks(), 14);
  EXPECT_GT(cluster.workers[0]->started, 0);
  EXPECT_GT(cluster.workers[1]->started, 0);
  // The job remains done after all its keys except the terminal record have been deleted.
  cluster.run_until([&] { return !cluster.state.keys.contains("beaconsill/jobs/run-000001"); },
                    "garbage-collected");
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_EQ(cluster.job_state(i, "run-000001"), "done");
    EXPECT_EQ(cluster.call(i, "POST", "/v1/jobs", TwoControllers::job("run-000001", "batch", 14)).status,
              200);
    EXPECT_EQ(cluster.call(i, "POST", "/v1/jobs/run-000001/withdraw").body["bearing"], "done");
  }
}

TEST(EndToEnd, ServicesRunUntilTheyAreCancelled) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  for (auto& worker : cluster.workers) worker->services.insert("run-7");
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-7", "daemon", 3)).status, 201);
  cluster.run_until([&] { return cluster.running_tasks() == 3; }, "three replicas run");
  auto response = cluster.cancel(1, "run-7");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body["bearing"], "withdrawn");
  // The other controller doesn't return an older state. It returns the cancellation as soon as all
  // controllers have acknowledged the cancellation to it as well.
  std::string state;
  cluster.run_until([&] { return !(state = cluster.job_state(0, "run-7")).empty(); },
                    "the other controller answers");
  EXPECT_EQ(state, "withdrawn");
  cluster.run_until([&] { return cluster.running_tasks() == 0; }, "no replica runs");
}

TEST(EndToEnd, InvalidRequestsGetTheirErrorStatus) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  struct Case {
    const char* method;
    std::string path, body;
    int status;
  };
  auto negative_tasks = TwoControllers::job("run-5", "batch", 1);
  negative_tasks.replace(negative_tasks.find("\"lamps\":1"), 9, "\"lamps\":-1");
  auto unknown_team = TwoControllers::job("run-5", "batch", 1);
  unknown_team.replace(unknown_team.find("\"blue\""), 6, "\"grey\"");
  auto too_many_cpus = TwoControllers::job("run-5", "batch", 1);
  too_many_cpus.replace(too_many_cpus.find("\"vcpus\":1.0"), 11, "\"vcpus\":5.0");
  const Case cases[] = {
      {"POST", "/v1/jobs", "", 400},
      {"POST", "/v1/jobs", "[1]", 400},
      {"POST", "/v1/jobs", negative_tasks, 400},
      {"POST", "/v1/jobs", unknown_team, 422},
      {"POST", "/v1/jobs", too_many_cpus, 422},
      {"POST", "/v1/jobs", std::string(70000, '{'), 413},
      {"GET", "/v1/jobs", "", 405},
      {"GET", "/v1/jobs/run-999", "", 404},
      {"GET", "/v1/jobs/nonsense", "", 404},
      {"POST", "/v1/jobs/run-999/withdraw", "", 404},
      {"GET", "/elsewhere", "", 404},
      {"POST", "/hello", "{}", 400},
  };
  for (const auto& c : cases)
    EXPECT_EQ(cluster.call(0, c.method, c.path, c.body).status, c.status) << c.method << ' ' << c.path;
}

// Fetching a list of thousands of machines takes longer than the period at which lists are requested.
// review/6: users keep their connections open between two polls. More of them than the controller has
// connections for are all answered, while its worker's heartbeats are, and `/up` says that it takes requests.
TEST(EndToEnd, MoreUsersThanConnectionsAreAllAnswered) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  ASSERT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "daemon", 1)).status, 201);
  constexpr int kUsers = 250;
  std::vector<std::shared_ptr<net::HttpClient>> users;
  for (int i = 0; i < kUsers; ++i)
    users.push_back(std::make_shared<net::HttpClient>(cluster.io, cluster.ports[0], 1));
  const auto heartbeats_before = cluster.workers[0]->answered;
  for (int round = 0; round < 2; ++round) {
    for (const auto& user : users) {
      int status = 0;
      user->request("GET", "/v1/jobs/run-1", "", std::chrono::seconds(5),
                    [&](const net::Result& result) { status = result ? result->status : -1; });
      cluster.run_until([&] { return status != 0; }, "the poll ends");
      ASSERT_EQ(status, 200);
    }
    EXPECT_EQ(cluster.call(0, "GET", "/up").status, 200);
  }
  cluster.run_until([&] { return cluster.workers[0]->answered > heartbeats_before + 2; },
                    "the worker's heartbeats are answered");
  for (const auto& user : users) user->stop();
}

TEST(EndToEnd, MachineListIsNotRequestedWhileAnotherRequestIsPending) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  cluster.run_until([&] { return cluster.cloud.list_requests > 0; }, "machines were listed");
  cluster.cloud.list_requests = 0;
  cluster.cloud.ignore_list_requests = true;
  cluster.io.run_for(std::chrono::seconds(9));
  EXPECT_GE(cluster.cloud.list_requests, 1);
  EXPECT_LE(cluster.cloud.list_requests, 2);
}

TEST(EndToEnd, JobLookupReturns503Not404WhileTheStateStoreIsDown) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "batch", 1)).status, 201);
  cluster.run_until([&] { return cluster.job_state(0, "run-1") == "done"; }, "done");
  cluster.state.down = true;
  EXPECT_EQ(cluster.call(0, "GET", "/v1/jobs/run-2").status, 503);
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-3", "batch", 1)).status, 503);
  EXPECT_EQ(cluster.call(0, "GET", "/v1/jobs/run-1").status, 200);  // terminal states need no read
  cluster.state.down = false;
}

// Guards against a shard leader that lets the leases of all its workers expire. It loses the state store,
// another controller confirms a cancellation, and then the state store fails for all controllers. The shard
// leader knows that jobs were cancelled and must also learn which.
TEST(EndToEnd, ShardLeaderWithoutTheStateStoreStopsOnlyCancelledJobs) {
  TwoControllers cluster({.lease_s = 2, .cancel_s = 6});
  cluster.wait_until_healthy();
  for (auto& worker : cluster.workers) worker->services = {"run-7", "run-8"};
  cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-7", "daemon", 4));
  cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-8", "daemon", 4));
  cluster.run_until(
      [&] { return cluster.running_tasks("run-7/") == 4 && cluster.running_tasks("run-8/") == 4; },
      "both services run");
  cluster.state.server_unavailable[0] = true;
  EXPECT_EQ(cluster.cancel(1, "run-7").status, 200);
  cluster.state.down = true;
  cluster.run_until([&] { return cluster.running_tasks("run-7/") == 0; }, "the cancelled service is stopped");
  // For longer than `cancel_s`, every worker gets a heartbeat response at least once a second.
  for (int s = 0; s < 7; ++s) {
    auto first_answered = cluster.workers[0]->answered, second_answered = cluster.workers[1]->answered;
    cluster.io.run_for(std::chrono::seconds(1));
    EXPECT_GT(cluster.workers[0]->answered, first_answered) << s;
    EXPECT_GT(cluster.workers[1]->answered, second_answered) << s;
  }
  EXPECT_EQ(cluster.running_tasks("run-8/"), 4);
}

// Guards against requests of users that wait in the queue for the state store during an outage until the
// users time out.
TEST(EndToEnd, RequestsAreRefusedWithoutSendingThemToAnUnreachableStateStore) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "daemon", 1)).status, 201);
  cluster.state.down = true;
  cluster.io.run_for(std::chrono::milliseconds(1500));
  auto refused_before = cluster.state.refused["/txn"];
  for (int n = 0; n < 20; ++n) {
    EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-2", "batch", 1)).status, 503);
    EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs/run-1/withdraw").status, 503);
    EXPECT_EQ(cluster.call(0, "GET", "/v1/jobs/run-1").retry_after_s, 1);
  }
  EXPECT_LT(cluster.state.refused["/txn"] - refused_before, 20);
  cluster.state.down = false;
  cluster.run_until([&] { return cluster.call(0, "GET", "/v1/jobs/run-1").status == 200; },
                    "the state store is read again");
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-2", "batch", 1)).status, 201);
}

// Guards against a shard leader that stops responding to workers before its shard's fail-back is applied. If
// the state store fails at that moment, the leases of all the shard's workers expire.
TEST(EndToEnd, WorkersGetResponsesWhileAnOutageDelaysTheirShardsFailBack) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  cluster.end_first_controller();
  auto shard_leader = [&](const char* shard) {
    auto it = cluster.state.keys.find(std::string("beaconsill/roles/part/") + shard);
    return it == cluster.state.keys.end() ? std::string() : it->second.first["node"].get<std::string>();
  };
  cluster.run_until([&] { return shard_leader("0") == "n1"; }, "n1 leads both shards");
  cluster.start(0);
  cluster.run_until([&] { return cluster.state.lease_of("beaconsill/alive/n0").has_value(); }, "n0 is back");
  cluster.state.down = true;
  cluster.io.run_for(std::chrono::milliseconds(800));
  auto answered_before = cluster.workers[0]->answered;
  cluster.run_until([&] { return cluster.workers[0]->answered > answered_before + 10; },
                    "its worker is answered during the outage");
  cluster.state.down = false;
  cluster.run_until([&] { return shard_leader("0") == "n0"; }, "the shard fails back");
}

// An accepted job is not lost: once all faults are over, requests for it succeed again and its tasks run.
TEST(EndToEnd, AcceptedJobsRunAfterAllControllersRestartedDuringAnOutage) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  EXPECT_EQ(cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-1", "batch", 6)).status, 201);
  EXPECT_EQ(cluster.call(1, "POST", "/v1/jobs", TwoControllers::job("run-2", "batch", 6)).status, 201);
  cluster.state.down = true;
  for (auto& controller : cluster.controllers) {
    controller->stop();
    controller.reset();
  }
  for (std::size_t i = 0; i < 2; ++i) cluster.start(i);
  // The controllers haven't read the state yet, so they must not report a job as unknown.
  EXPECT_EQ(cluster.call(0, "GET", "/v1/jobs/run-1").status, 503);
  cluster.state.down = false;
  for (const char* id : {"run-1", "run-2"})
    for (std::size_t i = 0; i < 2; ++i)
      cluster.run_until([&] { return cluster.job_state(i, id) == "done"; }, id);
}

// A shard leader loses the state store but still reaches its peers and workers, and its role is acquired by
// another controller. Guards against workers that stay with the old shard leader because it keeps responding
// to them, while the new one never receives their heartbeats.
TEST(EndToEnd, ReplacedShardLeaderWithoutTheStateStoreRedirectsItsWorkers) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  for (auto& worker : cluster.workers) worker->services.insert("run-7");
  cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-7", "daemon", 8));
  cluster.run_until([&] { return cluster.started_tasks() == 8; }, "eight replicas run");
  cluster.run_until([&] { return cluster.state.lease_of("beaconsill/alive/n0").has_value(); }, "n0 is alive");
  cluster.state.server_unavailable[0] = true;
  cluster.state.expire(*cluster.state.lease_of("beaconsill/alive/n0"));
  cluster.run_until([&] { return (cluster.workers[0]->token >> 20) >= 2; },
                    "the worker of n0 has seen the term of the new shard leader");
  EXPECT_EQ(cluster.started_tasks(), 8);
}

// Commands to a worker with an invalid address count as unanswered, so that the worker is suspected.
// Otherwise its tasks would wait for a response forever.
TEST(EndToEnd, CommandsToAnInvalidWorkerAddressCountAsUnanswered) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  cluster.workers[0]->stop();
  std::uint64_t sequence = 0, first_token = 0, seen_token = 0;
  auto heartbeat = [&] {
    Json r{{"beacon", "host-9"},    {"address", "nowhere"}, {"hull", "t4"},
           {"harbour", "east"},     {"driftwood", false},   {"watch", 1},
           {"tally", ++sequence},   {"helm", seen_token},   {"recallS", nullptr},
           {"lamps", Json::array()}};
    auto response = cluster.call(0, "POST", "/hello", r.dump());
    if (response.status != 200) return;
    seen_token = response.body["helm"].get<std::uint64_t>();
    if (first_token == 0) first_token = seen_token;
    cluster.io.run_for(std::chrono::milliseconds(20));
  };
  for (int n = 0; n < 500 && first_token == 0; ++n) heartbeat();
  ASSERT_GT(first_token, 0u);
  cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-9", "daemon", 64));
  // The worker's fencing token is raised once for the commands, and once more because they were unanswered.
  for (int n = 0; n < 500 && seen_token < first_token + 2; ++n) heartbeat();
  EXPECT_GE(seen_token, first_token + 2);
}

TEST(EndToEnd, NewShardLeaderTakesOverWithoutRestartingRunningTasks) {
  TwoControllers cluster;
  cluster.wait_until_healthy();
  for (auto& worker : cluster.workers) worker->services.insert("run-7");
  cluster.call(0, "POST", "/v1/jobs", TwoControllers::job("run-7", "daemon", 8));
  cluster.run_until([&] { return cluster.started_tasks() == 8; }, "eight replicas run");
  cluster.end_first_controller();
  cluster.run_until(
      [&] {
        auto it = cluster.state.keys.find("beaconsill/roles/part/0");
        return it != cluster.state.keys.end() && it->second.first["node"] == "n1" &&
               (cluster.workers[0]->token >> 20) >= 2;
      },
      "n1 leads the shard and its worker has seen the new term");
  EXPECT_EQ(cluster.call(1, "POST", "/v1/jobs", TwoControllers::job("run-8", "batch", 1)).status, 201);
  EXPECT_EQ(cluster.started_tasks(), 8);
  EXPECT_EQ(cluster.cancel(1, "run-7").status, 200);
  cluster.run_until(
      [&] { return cluster.workers[0]->tasks.empty() || cluster.workers[0]->tasks[0].id != "run-7/0"; },
      "the first task of the cancelled service is stopped");
  cluster.run_until([&] { return cluster.job_state(1, "run-8") == "done"; }, "the new job is done");
}

}  // namespace
}  // namespace beaconsill
