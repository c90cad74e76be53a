// Concurrent faults at a controller and its state store: transactions that are carried out late or whose
// answer is lost. docs/fault-scenarios.md lists them.
#include <thread>

#include "controller/controller.h"
#include "controller_fixture.h"

namespace beaconsill {
namespace {

using fakes::Json;
using RequestFault = fakes::StateStore::RequestFault;

constexpr double kQuotaCpus = 4;  // of the team

std::string job(const std::string& id, const char* priority) {
  return job_json(id, "batch", 4, priority);
}

// One controller with two workers, each of which has capacity for the team's whole quota.
struct OneController : EventLoopFixture {
  OneController() {
    auto settings = controller_settings(state, cloud, 0);
    settings.zone = Zone("east");
    settings.zones = {Zone("east")};
    settings.teams = {{Team("blue"), 0, kQuotaCpus, 0, 0}};
    settings.listen_address = fakes::text(endpoint);
    settings.peer_listen_address = fakes::text(peer_port.endpoint());
    controller = std::make_unique<controller::Controller>(io, clock, settings,
                                                          config::parse_policy("", "test", settings));
    controller->start();
    for (const char* name : {"host-0", "host-1"}) {
      workers.push_back(std::make_unique<fakes::Worker>(io, name, "east", std::vector{endpoint},
                                                        std::vector<std::string>{"n0"}));
      workers.back()->run_reports = 1000000;
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
  // Tasks started so far, on both workers.
  int started() const {
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

// Grants get no answer, and the next round gives what is left of the team's quota to another job. Carried out
// after that, the first would put the team over its quota.
TEST(ConcurrentFaults, GrantsThatAreCarriedOutLateDoNotExceedTheQuota) {
  OneController cluster;
  ASSERT_TRUE(cluster.wait_until_healthy());
  cluster.state.fault = [&](const fakes::Request& request) {
    return is_txn_that_sets(request, "beaconsill/grants/run-000001") && cluster.state.late() == 0
               ? RequestFault::kLate
               : RequestFault::kNone;
  };
  ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000001", "standard")), 201);
  ASSERT_TRUE(cluster.run_until([&] { return cluster.state.late() == 1; }));
  ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000002", "production")), 201);
  ASSERT_TRUE(cluster.run_until([&] { return cluster.state.keys.contains("beaconsill/grants/run-000002"); }));
  ASSERT_TRUE(cluster.run_until([&] { return cluster.started() == 4; }));
  cluster.state.fault = nullptr;
  for (int status : cluster.state.carry_out_late()) EXPECT_EQ(status, 409);
  cluster.run_for(std::chrono::milliseconds(1500));
  auto superseded = cluster.state.keys.find("beaconsill/grants/run-000001");
  if (superseded != cluster.state.keys.end()) {
    EXPECT_TRUE(state_store::parse_grants(superseded->second.first).chunks.empty());
  }
  EXPECT_EQ(cluster.started(), 4);
}

// Only the answer to the grants is lost: the leader finds them when it reads, and goes on.
TEST(ConcurrentFaults, GrantsWhoseAnswerIsLostAreInForce) {
  OneController cluster;
  ASSERT_TRUE(cluster.wait_until_healthy());
  int lost = 0;
  cluster.state.fault = [&](const fakes::Request& request) {
    if (!is_txn_that_sets(request, "beaconsill/grants/") || lost > 0) return RequestFault::kNone;
    ++lost;
    return RequestFault::kAnswerKept;
  };
  ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000001", "standard")), 201);
  EXPECT_TRUE(cluster.run_until([&] { return cluster.started() == 4; }));
  ASSERT_EQ(cluster.call("POST", "/v1/jobs/run-000001/withdraw"), 200);
  ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000002", "standard")), 201);
  EXPECT_TRUE(cluster.run_until([&] { return cluster.started() == 8; }));
  EXPECT_EQ(lost, 1);
}

// The transaction that supersedes late grants has no answer itself, whether it was carried out or not: the
// next one does it, and none of those that come late is carried out beside it.
TEST(ConcurrentFaults, SupersedingLateGrantsIsRepeated) {
  for (bool carried_out : {false, true}) {
    OneController cluster;
    ASSERT_TRUE(cluster.wait_until_healthy());
    int writes_of_first = 0;
    cluster.state.fault = [&](const fakes::Request& request) {
      if (!is_txn_that_sets(request, "beaconsill/grants/run-000001") || ++writes_of_first > 2)
        return RequestFault::kNone;
      return writes_of_first == 2 && carried_out ? RequestFault::kAnswerKept : RequestFault::kLate;
    };
    ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000001", "standard")), 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.state.late() >= 1; }));
    ASSERT_EQ(cluster.call("POST", "/v1/jobs", job("run-000002", "production")), 201);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.started() == 4; })) << carried_out;
    EXPECT_GE(writes_of_first, carried_out ? 2 : 3);
    for (int status : cluster.state.carry_out_late()) EXPECT_EQ(status, 409) << carried_out;
    cluster.run_for(std::chrono::milliseconds(1500));
    EXPECT_EQ(cluster.started(), 4) << carried_out;
  }
}

// An earlier process of a controller had written that it's alive; carried out late, that attaches the key
// to a lease that expires. The controller has to write it anew, or it could never acquire a role again.
TEST(ConcurrentFaults, AControllerWhoseLivenessKeyWentWritesItAgain) {
  OneController cluster;
  ASSERT_TRUE(cluster.wait_until_healthy());
  ASSERT_TRUE(cluster.run_until([&] { return cluster.state.keys.contains("beaconsill/alive/n0"); }));
  cluster.state.remove("beaconsill/alive/n0");
  EXPECT_TRUE(cluster.run_until([&] { return cluster.state.keys.contains("beaconsill/alive/n0"); },
                                std::chrono::seconds(5)));
}

// Found by ASan in a run of .ci/run: the fakes were freed before the handlers of their timers, which were
// queued already and so not cancelled any more, had run.
TEST(ConcurrentFaults, AControllerIsDestroyedWhileTimersAreDue) {
  for (int i = 0; i < 30; ++i) {
    OneController cluster;
    ASSERT_TRUE(cluster.wait_until_healthy());
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    // Queues the handlers of all that is due, and runs one of them.
    cluster.io.run_one();
  }
}

}  // namespace
}  // namespace beaconsill
