// Tests a real controller while its state store applies transactions late or loses the responses to them.
// docs/fault-scenarios.md lists these faults.
#include <thread>

#include "controller/controller.h"
#include "controller_fixture.h"

namespace beaconsill {
namespace {

using fakes::Json;
using RequestFault = fakes::StateStore::RequestFault;

constexpr double kTeamQuotaCpus = 4;

std::string job(const std::string& id, const char* priority) {
  return job_json(id, "batch", 4, priority);
}

// A controller with two workers, each of which has capacity for the team's whole quota.
struct OneController : EventLoopFixture {
  OneController() {
    auto settings = controller_settings(state, cloud, 0);
    settings.zone = Zone("east");
    settings.zones = {Zone("east")};
    settings.teams = {{Team("blue"), 0, kTeamQuotaCpus, 0, 0}};
    settings.listen_address = fakes::to_string(endpoint);
    settings.peer_listen_address = fakes::to_string(peer_port.endpoint());
    controller = std::make_unique<controller::Controller>(io, clock, settings,
                                                          config::parse_policy("", "test", settings));
    controller->start();
    for (const char* name : {"host-0", "host-1"}) {
      workers.push_back(std::make_unique<fakes::Worker>(io, name, "east", std::vector{endpoint},
                                                        std::vector<std::string>{"n0"}));
      workers.back()->heartbeats_until_done = 1000000;
    }
  }
  ~OneController() {
    for (auto& worker : workers) worker->stop();
    controller->stop();
    io.poll();
  }
  int call(const char* method, const std::string& path, const std::string& body = "") {
    return request(endpoint, method, path, body).status;
  }
  bool wait_until_healthy() {
    return run_until([&] { return call("GET", "/up") == 200; });
  }
  // The number of tasks started so far on both workers.
  int started_tasks() const {
    int count = 0;
    for (const auto& worker : workers) count += worker->started;
    return count;
  }

  fakes::ReservedPort port{io};
  fakes::ReservedPort peer_port{io};
  net::Tcp::endpoint endpoint = port.endpoint();
  std::unique_ptr<controller::Controller> controller;
  std::vector<std::unique_ptr<fakes::Worker>> workers;
};

// The transaction with the grants of one job gets no response, and the next round grants the team's remaining
// quota to another job. If the first transaction were applied after that, the team would exceed its quota.
TEST(ConcurrentFaults, GrantsAppliedLateDoNotExceedTheQuota) {
  OneController cluster;
  ASSERT_TRUE(cluster.wait_until_healthy());
  cluster.state.fault = [&](const fakes::Request& request) {
    return is_txn_that_sets(request, "beaconsill/grants/run-000001") && cluster.state.delayed_requests() == 0
               ? RequestFault::kExecutionDelayed
               : RequestFault::kNone;
  };
  ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000001", "standard")), 201);
  ASSERT_TRUE(cluster.run_until([&] { return cluster.state.delayed_requests() == 1; }));
  ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000002", "production")), 201);
  ASSERT_TRUE(cluster.run_until([&] { return cluster.state.keys.contains("beaconsill/grants/run-000002"); }));
  ASSERT_TRUE(cluster.run_until([&] { return cluster.started_tasks() == 4; }));
  cluster.state.fault = nullptr;
  for (int status : cluster.state.execute_delayed_requests()) EXPECT_EQ(status, 409);
  cluster.run_for(std::chrono::milliseconds(1500));
  auto superseded = cluster.state.keys.find("beaconsill/grants/run-000001");
  if (superseded != cluster.state.keys.end()) {
    EXPECT_TRUE(state_store::parse_grants(superseded->second.first).chunks.empty());
  }
  EXPECT_EQ(cluster.started_tasks(), 4);
}

// Only the response to the transaction with the grants is lost. The leader finds the grants when it reads the
// state, and continues with them.
TEST(ConcurrentFaults, GrantsWhoseResponseIsLostTakeEffect) {
  OneController cluster;
  ASSERT_TRUE(cluster.wait_until_healthy());
  int lost_responses = 0;
  cluster.state.fault = [&](const fakes::Request& request) {
    if (!is_txn_that_sets(request, "beaconsill/grants/") || lost_responses > 0) return RequestFault::kNone;
    ++lost_responses;
    return RequestFault::kResponseDelayed;
  };
  ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000001", "standard")), 201);
  EXPECT_TRUE(cluster.run_until([&] { return cluster.started_tasks() == 4; }));
  ASSERT_EQ(cluster.call("POST", "/v1/jobs/run-000001/withdraw"), 200);
  ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000002", "standard")), 201);
  EXPECT_TRUE(cluster.run_until([&] { return cluster.started_tasks() == 8; }));
  EXPECT_EQ(lost_responses, 1);
}

// The transaction that supersedes delayed grants gets no response either, and may or may not have been
// applied. The next transaction supersedes them, and the delayed transactions are rejected when they arrive.
TEST(ConcurrentFaults, SupersedingOfDelayedGrantsIsRepeatedIfItGetsNoResponse) {
  for (bool applied : {false, true}) {
    OneController cluster;
    ASSERT_TRUE(cluster.wait_until_healthy());
    int first_job_writes = 0;
    cluster.state.fault = [&](const fakes::Request& request) {
      if (!is_txn_that_sets(request, "beaconsill/grants/run-000001") || ++first_job_writes > 2)
        return RequestFault::kNone;
      return first_job_writes == 2 && applied ? RequestFault::kResponseDelayed
                                              : RequestFault::kExecutionDelayed;
    };
    ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000001", "standard")), 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.state.delayed_requests() >= 1; }));
    ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000002", "production")), 201);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.started_tasks() == 4; })) << "applied: " << applied;
    EXPECT_GE(first_job_writes, applied ? 2 : 3);
    for (int status : cluster.state.execute_delayed_requests())
      EXPECT_EQ(status, 409) << "applied: " << applied;
    cluster.run_for(std::chrono::milliseconds(1500));
    EXPECT_EQ(cluster.started_tasks(), 4) << "applied: " << applied;
  }
}

// An earlier process of the controller wrote the liveness key by a transaction that is applied late. It
// attaches the key to the lease of that process, and the key is deleted when that lease expires. The
// controller has to write the key again, since it could never acquire a role without it.
TEST(ConcurrentFaults, ControllerWritesItsLivenessKeyAgainIfItIsDeleted) {
  OneController cluster;
  ASSERT_TRUE(cluster.wait_until_healthy());
  ASSERT_TRUE(cluster.run_until([&] { return cluster.state.keys.contains("beaconsill/alive/n0"); }));
  cluster.state.remove("beaconsill/alive/n0");
  EXPECT_TRUE(cluster.run_until([&] { return cluster.state.keys.contains("beaconsill/alive/n0"); },
                                std::chrono::seconds(5)));
}

// Guards against a use after free (found by ASan): handlers of timers were already queued, so that they could
// not be cancelled, and ran after the fakes that they use had been freed.
TEST(ConcurrentFaults, ControllerCanBeDestroyedWhileTimerHandlersAreQueued) {
  for (int i = 0; i < 30; ++i) {
    OneController cluster;
    ASSERT_TRUE(cluster.wait_until_healthy());
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    // Queues the handlers of all timers that are due, and runs one of them.
    cluster.io.run_one();
  }
}

}  // namespace
}  // namespace beaconsill
