// Tests which instances the autoscaler rents, deletes and returns.
#include "scheduler/autoscaler.h"

#include "scheduler/boot_timeouts.h"
#include "scheduler_fixture.h"

namespace beaconsill::scheduler {
namespace {

std::shared_ptr<const protocol::Catalogue> catalogue() {
  auto types = std::make_shared<protocol::Catalogue>();
  (*types)[MachineType("big")] = {MachineType("big"), {32, 0, 64}, 10, 0.1, 4, 1, 30, {Zone("a")}};
  (*types)[MachineType("small")] = {MachineType("small"),  {4, 0, 16}, 10, 0.1, 0.4, 0.2, 20,
                                    {Zone("a"), Zone("b")}};
  return types;
}

std::vector<Demand> demand(std::uint32_t tasks, bool spot = false) {
  protocol::ResourceRequest request;
  request.each = {1, 0, 1};
  request.spot = spot;
  request.wanted = tasks;
  return {{request, std::chrono::seconds(5)}};
}

Autoscaler autoscaler_with_catalogue() {
  Autoscaler autoscaler({std::chrono::seconds(60), std::chrono::seconds(20), std::chrono::seconds(3), 64},
                        "t7-");
  autoscaler.set_catalogue(catalogue());
  return autoscaler;
}

using State = protocol::MachineState;

protocol::ListedMachine listed(const std::string& name, State state, double age_s, const char* type = "small",
                               const char* zone = "a") {
  return {MachineName(name), "", MachineType(type), Zone(zone), false, state, age_s};
}

TEST(Autoscaler, RentsMissingCapacityOnceWithANewIdempotencyKeyForEachRequest) {
  auto autoscaler = autoscaler_with_catalogue();
  auto request = autoscaler.rent(demand(10), at(0));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->type, MachineType("small"));
  EXPECT_EQ(request->count, 3u);
  EXPECT_FALSE(autoscaler.rent(demand(10), at(0.1)));  // only one request is open at a time
  // Without an answer the same request is repeated. Its idempotency key makes this safe.
  autoscaler.on_rent_unanswered(at(1));
  auto again = autoscaler.rent(demand(10), at(2.5));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->request, request->request);
  autoscaler.on_instances_rented(*again, {MachineName("h1"), MachineName("h2"), MachineName("h3")}, at(3));
  EXPECT_FALSE(autoscaler.rent(demand(10), at(4)));  // the pending instances are enough
  auto more = autoscaler.rent(demand(14), at(5));
  ASSERT_TRUE(more);
  EXPECT_NE(more->request, request->request);
}

// In a simulated day of growing load, with a separate request for each job, it took 60 s until all instances
// were rented.
TEST(Autoscaler, RentsForAllWaitingJobsInOneRequest) {
  auto autoscaler = autoscaler_with_catalogue();
  auto waiting = demand(10);
  for (int i = 0; i < 4; ++i) waiting.push_back(waiting[0]);
  waiting.back().waited = Duration(0);  // may still find capacity on the existing machines
  auto request = autoscaler.rent(waiting, at(0));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->count, 10u);
}

TEST(Autoscaler, DoesNotRequestARefusedKindAgainImmediately) {
  auto autoscaler = autoscaler_with_catalogue();
  auto request = autoscaler.rent(demand(4), at(0));
  autoscaler.on_rent_refused(*request, at(0));
  auto second = autoscaler.rent(demand(4), at(1));
  ASSERT_TRUE(second);
  EXPECT_NE(std::tie(second->type, second->zone), std::tie(request->type, request->zone));
}

TEST(Autoscaler, ReturnsIdleInstancesLaterWhileJobsAreOpen) {
  struct Case {
    double idle_s;
    bool has_demand, has_open_jobs, returned;
  };
  for (const auto& test_case :
       {Case{10, false, false, false}, Case{30, false, false, true}, Case{30, false, true, false},
        Case{70, false, true, true}, Case{70, true, true, false}}) {
    Autoscaler autoscaler({std::chrono::seconds(60), std::chrono::seconds(20), std::chrono::seconds(3), 64},
                          "t7-");
    protocol::Summary summary;
    summary.machines = {
        {MachineName("m"), MachineType("t"), Zone("a"), false, {4, 0, 8}, test_case.idle_s, true}};
    ShardSummaries summaries;
    summaries.update(summary);
    EXPECT_EQ(!autoscaler.idle_instances(summaries, test_case.has_demand, test_case.has_open_jobs).empty(),
              test_case.returned)
        << test_case.idle_s << test_case.has_demand << test_case.has_open_jobs;
  }
}

TEST(Autoscaler, DeletesInstancesThatFailedOrDidNotBootOnlyOnce) {
  auto autoscaler = autoscaler_with_catalogue();
  autoscaler.on_instance_list({listed("slow", State::kBooting, 60), listed("never", State::kBooting, 500),
                               listed("failed", State::kFailed, 9), listed("up", State::kRunning, 900)},
                              at(0));
  EXPECT_EQ(autoscaler.failed_instances(at(0)), (std::vector{MachineName("failed"), MachineName("never")}));
  EXPECT_TRUE(autoscaler.failed_instances(at(1)).empty());
}

// Carries out all rental requests and returns how many instances were rented.
std::uint32_t rent_all(Autoscaler& autoscaler, std::uint32_t tasks, double time) {
  static int last_number = 0;
  std::uint32_t rented = 0;
  while (auto request = autoscaler.rent(demand(tasks), at(time))) {
    std::vector<MachineName> machines;
    for (std::uint32_t i = 0; i < request->count; ++i)
      machines.emplace_back("new-" + std::to_string(++last_number));
    autoscaler.on_instances_rented(*request, machines, at(time));
    rented += request->count;
  }
  return rented;
}

// A new leader learns of pending instances only from the cloud's list, which lags behind.
TEST(Autoscaler, NewLeaderDoesNotRentCapacityThatIsAlreadyPending) {
  auto autoscaler = autoscaler_with_catalogue();
  autoscaler.on_takeover(at(0));
  EXPECT_EQ(rent_all(autoscaler, 8, 0), 0u);
  autoscaler.on_instance_list({}, at(2));  // the list doesn't contain the last rental yet
  EXPECT_EQ(rent_all(autoscaler, 8, 2), 0u);
  EXPECT_EQ(rent_all(autoscaler, 8, 20), 0u);  // no newer list was received
  autoscaler.on_instance_list({listed("h1", State::kBooting, 9)}, at(20));
  EXPECT_EQ(rent_all(autoscaler, 8, 20), 1u);  // four of the eight tasks fit on the pending instance
  EXPECT_EQ(rent_all(autoscaler, 8, 21), 0u);
}

// While no instance finishes its boot, late capacity is rented again, but never more than twice the needed
// capacity is pending.
TEST(Autoscaler, PendingInstancesStayBoundedWhileNoInstanceBoots) {
  auto autoscaler = autoscaler_with_catalogue();
  std::map<std::string, std::pair<double, protocol::ListedMachine>> cloud;
  int last_number = 0;
  std::size_t max_instances = 0;
  for (double time = 0; time < 1200; time += 1) {
    while (auto request = autoscaler.rent(demand(40), at(time))) {
      std::vector<MachineName> machines;
      for (std::uint32_t i = 0; i < request->count; ++i) {
        auto name = "h" + std::to_string(++last_number);
        machines.emplace_back(name);
        cloud[name] = {time, listed(name, State::kBooting, 0, request->type.value().c_str(),
                                    request->zone.value().c_str())};
        cloud[name].second.spot = request->spot;
      }
      autoscaler.on_instances_rented(*request, machines, at(time));
    }
    std::vector<protocol::ListedMachine> list;
    for (auto& [name, instance] : cloud) {
      instance.second.age_s = time - instance.first;
      list.push_back(instance.second);
    }
    autoscaler.on_instance_list(list, at(time));
    for (auto& name : autoscaler.failed_instances(at(time))) cloud.erase(name.value());
    max_instances = std::max(max_instances, cloud.size());
  }
  EXPECT_GE(max_instances, 10u);
  EXPECT_LE(max_instances, 20u);
  EXPECT_FALSE(cloud.empty());
}

// With a fixed boot timeout, no instance would ever finish its boot while all of them are slow.
TEST(Autoscaler, BootTimeoutFollowsRecentBootTimes) {
  struct Case {
    double recent_boot_s;  // boot time of another instance; 0: none has booted
    int timed_out;         // number of instances that have timed out before
    double age_s;
    bool still_pending;
  };
  for (const auto& test_case :
       {Case{0, 0, 55, true}, Case{0, 0, 65, false}, Case{60, 0, 115, true}, Case{60, 0, 125, false},
        Case{2, 0, 65, false}, Case{0, 1, 85, true}, Case{0, 10, 235, true}, Case{0, 10, 245, false}}) {
    auto autoscaler = autoscaler_with_catalogue();
    double time = 0;
    if (test_case.recent_boot_s > 0) {
      autoscaler.on_instance_list({listed("h0", State::kBooting, 1)}, at(0));
      autoscaler.on_instance_list({listed("h0", State::kRunning, test_case.recent_boot_s)},
                                  at(test_case.recent_boot_s));
      time = test_case.recent_boot_s;
    }
    for (int i = 0; i < test_case.timed_out; ++i) {
      autoscaler.on_instance_list({listed("lost" + std::to_string(i), State::kBooting, 1000)}, at(time));
      EXPECT_EQ(autoscaler.failed_instances(at(time)).size(), 1u);
    }
    autoscaler.on_instance_list({listed("h1", State::kBooting, test_case.age_s)}, at(time));
    EXPECT_EQ(autoscaler.failed_instances(at(time)).empty(), test_case.still_pending)
        << test_case.recent_boot_s << ' ' << test_case.timed_out << ' ' << test_case.age_s;
  }
}

TEST(Autoscaler, RentsAnotherKindAfterABootTimeout) {
  auto autoscaler = autoscaler_with_catalogue();
  auto first = autoscaler.rent(demand(4), at(0));
  ASSERT_TRUE(first);
  autoscaler.on_instances_rented(*first, {MachineName("h1")}, at(0));
  autoscaler.on_instance_list(
      {listed("h1", State::kBooting, 70, first->type.value().c_str(), first->zone.value().c_str())}, at(70));
  EXPECT_EQ(autoscaler.failed_instances(at(70)).size(), 1u);
  auto next = autoscaler.rent(demand(4), at(71));
  ASSERT_TRUE(next);
  EXPECT_NE(std::tie(next->type, next->zone), std::tie(first->type, first->zone));
}

TEST(BootTimeouts, GrowWithTimeoutsAndSlowBootsAndShrinkWithQuickBoots) {
  const MachineType small("small");
  struct Case {
    const char* what;
    // Earlier boots, in multiples of the typical boot time; negative: the instance timed out.
    std::vector<double> boot_factors;
    double timeout_factor;
  };
  const Case cases[] = {
      {"no boot yet", {}, 3},
      {"quick boots: the minimum", {1, 1}, 3},
      {"a slow boot: twice its time", {4}, 8},
      {"a quick boot after a slow one", {4, 1}, 6.4},
      {"one timeout", {-1}, 4.5},
      {"many timeouts: the maximum", {-1, -1, -1, -1, -1}, 12},
      {"a very slow boot: the maximum", {100}, 12},
  };
  for (const auto& test_case : cases) {
    BootTimeouts timeouts;
    for (double boot_factor : test_case.boot_factors) {
      if (boot_factor < 0) {
        timeouts.on_timeout(small);
      } else {
        timeouts.on_running(small, boot_factor);
      }
    }
    EXPECT_DOUBLE_EQ(timeouts.timeout_factor(small), test_case.timeout_factor) << test_case.what;
    EXPECT_DOUBLE_EQ(timeouts.timeout_factor(MachineType("big")), 3) << test_case.what;
  }
}
}  // namespace
}  // namespace beaconsill::scheduler
