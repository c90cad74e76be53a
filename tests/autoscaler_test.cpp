// Which instances are rented, deleted and returned.
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

Autoscaler with_catalogue() {
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

TEST(Autoscaler, RentsWhatIsMissingOnceUnderANewNameEachTime) {
  auto autoscaler = with_catalogue();
  auto request = autoscaler.rent(demand(10), at(0));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->type, MachineType("small"));
  EXPECT_EQ(request->count, 3u);
  EXPECT_FALSE(autoscaler.rent(demand(10), at(0.1)));  // one at a time
  // Without an answer the very same request is repeated: its name makes that safe.
  autoscaler.on_unanswered(at(1));
  auto again = autoscaler.rent(demand(10), at(2.5));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->request, request->request);
  autoscaler.on_scale_out_result(*again, {MachineName("h1"), MachineName("h2"), MachineName("h3")}, at(3));
  EXPECT_FALSE(autoscaler.rent(demand(10), at(4)));  // what is coming is enough
  auto more = autoscaler.rent(demand(14), at(5));
  ASSERT_TRUE(more);
  EXPECT_NE(more->request, request->request);
}

// Found in a simulated day of growing load: with a request for each job, it took 60 s until all machines were
// rented.
TEST(Autoscaler, RentsForAllThatWaitsAtOnce) {
  auto autoscaler = with_catalogue();
  auto waiting = demand(10);
  for (int i = 0; i < 4; ++i) waiting.push_back(waiting[0]);
  waiting.back().waited = Duration(0);  // may yet fit where it was granted
  auto request = autoscaler.rent(waiting, at(0));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->count, 10u);
}

TEST(Autoscaler, RefusedKindsAreNotRequestedForAWhile) {
  auto autoscaler = with_catalogue();
  auto request = autoscaler.rent(demand(4), at(0));
  autoscaler.on_refused(*request, at(0));
  auto second = autoscaler.rent(demand(4), at(1));
  ASSERT_TRUE(second);
  EXPECT_NE(std::tie(second->type, second->zone), std::tie(request->type, request->zone));
}

TEST(Autoscaler, IdleInstancesAreReturnedLaterWhileThereAreJobs) {
  struct Case {
    double idle;
    bool demand, jobs, released;
  };
  for (const auto& test_case :
       {Case{10, false, false, false}, Case{30, false, false, true}, Case{30, false, true, false},
        Case{70, false, true, true}, Case{70, true, true, false}}) {
    Autoscaler autoscaler({std::chrono::seconds(60), std::chrono::seconds(20), std::chrono::seconds(3), 64},
                          "t7-");
    protocol::Summary summary;
    summary.machines = {
        {MachineName("m"), MachineType("t"), Zone("a"), false, {4, 0, 8}, test_case.idle, true}};
    ShardSummaries summaries;
    summaries.update(summary);
    EXPECT_EQ(!autoscaler.idle_instances(summaries, test_case.demand, test_case.jobs).empty(),
              test_case.released)
        << test_case.idle << test_case.demand << test_case.jobs;
  }
}

TEST(Autoscaler, InstancesThatNeverBootOrFailedAreDeletedOnce) {
  auto autoscaler = with_catalogue();
  autoscaler.on_list({listed("slow", State::kBooting, 60), listed("never", State::kBooting, 500),
                      listed("failed", State::kFailed, 9), listed("up", State::kRunning, 900)},
                     at(0));
  EXPECT_EQ(autoscaler.failed_instances(at(0)), (std::vector{MachineName("failed"), MachineName("never")}));
  EXPECT_TRUE(autoscaler.failed_instances(at(1)).empty());
}

// Carries out all requests, and returns how many instances were rented.
std::uint32_t rent_all(Autoscaler& autoscaler, std::uint32_t tasks, double time) {
  static int names = 0;
  std::uint32_t rented = 0;
  while (auto request = autoscaler.rent(demand(tasks), at(time))) {
    std::vector<MachineName> machines;
    for (std::uint32_t i = 0; i < request->count; ++i)
      machines.emplace_back("new-" + std::to_string(++names));
    autoscaler.on_scale_out_result(*request, machines, at(time));
    rented += request->count;
  }
  return rented;
}

// A new leader knows pending instances from a list alone, and the list lags.
TEST(Autoscaler, ANewLeaderRentsNothingThatIsPending) {
  auto autoscaler = with_catalogue();
  autoscaler.on_takeover(at(0));
  EXPECT_EQ(rent_all(autoscaler, 8, 0), 0u);
  autoscaler.on_list({}, at(2));  // as it was before the last rental
  EXPECT_EQ(rent_all(autoscaler, 8, 2), 0u);
  EXPECT_EQ(rent_all(autoscaler, 8, 20), 0u);  // no list since then
  autoscaler.on_list({listed("h1", State::kBooting, 9)}, at(20));
  EXPECT_EQ(rent_all(autoscaler, 8, 20), 1u);  // four of the eight fit on what is coming
  EXPECT_EQ(rent_all(autoscaler, 8, 21), 0u);
}

// Nothing comes up: late capacity is rented anew, but never more than twice of what is needed is pending, but
// never more than twice of what is needed is on order.
TEST(Autoscaler, PendingInstancesStayBoundedWhileNothingComesUp) {
  auto autoscaler = with_catalogue();
  std::map<std::string, std::pair<double, protocol::ListedMachine>> cloud;
  int names = 0;
  std::size_t most = 0;
  for (double time = 0; time < 1200; time += 1) {
    while (auto request = autoscaler.rent(demand(40), at(time))) {
      std::vector<MachineName> machines;
      for (std::uint32_t i = 0; i < request->count; ++i) {
        auto name = "h" + std::to_string(++names);
        machines.emplace_back(name);
        cloud[name] = {time, listed(name, State::kBooting, 0, request->type.value().c_str(),
                                    request->zone.value().c_str())};
        cloud[name].second.spot = request->spot;
      }
      autoscaler.on_scale_out_result(*request, machines, at(time));
    }
    std::vector<protocol::ListedMachine> list;
    for (auto& [name, instance] : cloud) {
      instance.second.age_s = time - instance.first;
      list.push_back(instance.second);
    }
    autoscaler.on_list(list, at(time));
    for (auto& name : autoscaler.failed_instances(at(time))) cloud.erase(name.value());
    most = std::max(most, cloud.size());
  }
  EXPECT_GE(most, 10u);
  EXPECT_LE(most, 20u);
  EXPECT_FALSE(cloud.empty());
}

// How long a machine is waited for follows what was seen lately, or none would come up while all are slow.
TEST(Autoscaler, InstancesAreWaitedForByWhatWasSeenLately) {
  struct Case {
    double booted_s;  // that others took lately; 0: none did
    int timed_out;    // before
    double age_s;
    bool waited_for;
  };
  for (const auto& test_case :
       {Case{0, 0, 55, true}, Case{0, 0, 65, false}, Case{60, 0, 115, true}, Case{60, 0, 125, false},
        Case{2, 0, 65, false}, Case{0, 1, 85, true}, Case{0, 10, 235, true}, Case{0, 10, 245, false}}) {
    auto autoscaler = with_catalogue();
    double time = 0;
    if (test_case.booted_s > 0) {
      autoscaler.on_list({listed("h0", State::kBooting, 1)}, at(0));
      autoscaler.on_list({listed("h0", State::kRunning, test_case.booted_s)}, at(test_case.booted_s));
      time = test_case.booted_s;
    }
    for (int i = 0; i < test_case.timed_out; ++i) {
      autoscaler.on_list({listed("lost" + std::to_string(i), State::kBooting, 1000)}, at(time));
      EXPECT_EQ(autoscaler.failed_instances(at(time)).size(), 1u);
    }
    autoscaler.on_list({listed("h1", State::kBooting, test_case.age_s)}, at(time));
    EXPECT_EQ(autoscaler.failed_instances(at(time)).empty(), test_case.waited_for)
        << test_case.booted_s << ' ' << test_case.timed_out << ' ' << test_case.age_s;
  }
}

TEST(Autoscaler, DemandGoesElsewhereThanWhereInstancesNeverCameUp) {
  auto autoscaler = with_catalogue();
  auto first = autoscaler.rent(demand(4), at(0));
  ASSERT_TRUE(first);
  autoscaler.on_scale_out_result(*first, {MachineName("h1")}, at(0));
  autoscaler.on_list(
      {listed("h1", State::kBooting, 70, first->type.value().c_str(), first->zone.value().c_str())}, at(70));
  EXPECT_EQ(autoscaler.failed_instances(at(70)).size(), 1u);
  auto next = autoscaler.rent(demand(4), at(71));
  ASSERT_TRUE(next);
  EXPECT_NE(std::tie(next->type, next->zone), std::tie(first->type, first->zone));
}

TEST(BootTimeouts, FollowWhatWasSeenLately) {
  const MachineType small("small");
  struct Case {
    const char* what;
    std::vector<double> boot_times;  // of the instances before, in typical ones; negative: it timed out
    double timeout;
  };
  const Case cases[] = {
      {"nothing seen", {}, 3},
      {"quick ones", {1, 1}, 3},
      {"a slow one: twice its time", {4}, 8},
      {"quick ones after a slow one", {4, 1}, 6.4},
      {"a timeout", {-1}, 4.5},
      {"timeouts end at the maximum", {-1, -1, -1, -1, -1}, 12},
      {"so does a very slow one", {100}, 12},
  };
  for (const auto& test_case : cases) {
    BootTimeouts timeouts;
    for (double boot_time : test_case.boot_times) {
      if (boot_time < 0) {
        timeouts.on_timeout(small);
      } else {
        timeouts.on_running(small, boot_time);
      }
    }
    EXPECT_DOUBLE_EQ(timeouts.of(small), test_case.timeout) << test_case.what;
    EXPECT_DOUBLE_EQ(timeouts.of(MachineType("big")), 3) << test_case.what;
  }
}
}  // namespace
}  // namespace beaconsill::scheduler
