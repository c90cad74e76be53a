// Which machines are rented and returned.
#include "lead_bench.h"
#include "scheduler/autoscaler.h"

namespace beaconsill::scheduler {
namespace {

std::shared_ptr<const protocol::Catalogue> catalogue() {
  auto c = std::make_shared<protocol::Catalogue>();
  (*c)[MachineType("big")] = {MachineType("big"), {32, 0, 64}, 10, 0.1, 4, 1, 30, {Zone("a")}};
  (*c)[MachineType("small")] = {MachineType("small"),  {4, 0, 16}, 10, 0.1, 0.4, 0.2, 20,
                                {Zone("a"), Zone("b")}};
  return c;
}

std::vector<Demand> demand(std::uint32_t tasks, bool spot = false) {
  protocol::ResourceRequest s;
  s.each = {1, 0, 1};
  s.spot = spot;
  s.wanted = tasks;
  return {{s, std::chrono::seconds(5)}};
}

Autoscaler capacity() {
  Autoscaler c({std::chrono::seconds(60), std::chrono::seconds(20), std::chrono::seconds(3), 64}, "t7-");
  c.set_catalogue(catalogue());
  return c;
}

using S = protocol::MachineState;

protocol::ListedMachine listed(const std::string& name, S state, double age_s, const char* type = "small",
                               const char* zone = "a") {
  return {MachineName(name), "", MachineType(type), Zone(zone), false, state, age_s};
}

TEST(Autoscaler, RentsWhatIsMissingOnceAndUnderAnEverNewName) {
  auto c = capacity();
  auto r = c.rent(demand(10), at(0));
  ASSERT_TRUE(r);
  EXPECT_EQ(r->type, MachineType("small"));
  EXPECT_EQ(r->count, 3u);
  EXPECT_FALSE(c.rent(demand(10), at(0.1)));  // one at a time
  // Without an answer the very same request is repeated: its name makes that safe.
  c.on_unanswered(at(1));
  auto again = c.rent(demand(10), at(2.5));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->request, r->request);
  c.on_rented(*again, {MachineName("h1"), MachineName("h2"), MachineName("h3")}, at(3));
  EXPECT_FALSE(c.rent(demand(10), at(4)));  // what is coming is enough
  auto more = c.rent(demand(14), at(5));
  ASSERT_TRUE(more);
  EXPECT_NE(more->request, r->request);
}

// Found on a grown day: at a request for each job, it took 60 s until all machines were rented.
TEST(Autoscaler, RentsForAllThatWaitsAtOnce) {
  auto c = capacity();
  auto waiting = demand(10);
  for (int i = 0; i < 4; ++i) waiting.push_back(waiting[0]);
  waiting.back().waited = Duration(0);  // may yet fit where it was sent
  auto r = c.rent(waiting, at(0));
  ASSERT_TRUE(r);
  EXPECT_EQ(r->count, 10u);
}

TEST(Autoscaler, RefusedKindsAreLeftAloneForAWhile) {
  auto c = capacity();
  auto r = c.rent(demand(4), at(0));
  c.on_refused(*r, at(0));
  auto second = c.rent(demand(4), at(1));
  ASSERT_TRUE(second);
  EXPECT_NE(std::tie(second->type, second->zone), std::tie(r->type, r->zone));
}

TEST(Autoscaler, IdleMachinesAreReturnedLaterWhileThereAreJobs) {
  struct Case {
    double idle;
    bool demand, jobs, released;
  };
  for (const auto& c :
       {Case{10, false, false, false}, Case{30, false, false, true}, Case{30, false, true, false},
        Case{70, false, true, true}, Case{70, true, true, false}}) {
    Autoscaler cap({std::chrono::seconds(60), std::chrono::seconds(20), std::chrono::seconds(3), 64}, "t7-");
    std::map<ShardId, protocol::Summary> s;
    s[ShardId(0)].machines = {
        {MachineName("m"), MachineType("t"), Zone("a"), false, {4, 0, 8}, c.idle, true}};
    EXPECT_EQ(!cap.idle_instances(s, c.demand, c.jobs).empty(), c.released) << c.idle << c.demand << c.jobs;
  }
}

TEST(Autoscaler, MachinesThatNeverBootOrFailedAreDeletedOnce) {
  auto c = capacity();
  c.on_list({listed("slow", S::kBooting, 60), listed("never", S::kBooting, 500),
             listed("failed", S::kFailed, 9), listed("up", S::kRunning, 900)},
            at(0));
  EXPECT_EQ(c.failed_instances(at(0)), (std::vector{MachineName("failed"), MachineName("never")}));
  EXPECT_TRUE(c.failed_instances(at(1)).empty());
}

// Orders what is asked for, and says how many machines were ordered.
std::uint32_t order(Autoscaler& c, std::uint32_t tasks, double t) {
  static int names = 0;
  std::uint32_t ordered = 0;
  while (auto r = c.rent(demand(tasks), at(t))) {
    std::vector<MachineName> machines;
    for (std::uint32_t i = 0; i < r->count; ++i) machines.emplace_back("new-" + std::to_string(++names));
    c.on_rented(*r, machines, at(t));
    ordered += r->count;
  }
  return ordered;
}

// A new leader knows what is on order from a list alone, and the list lags.
TEST(Autoscaler, ANewLeaderOrdersNothingAnewThatIsOnOrder) {
  auto c = capacity();
  c.on_takeover(at(0));
  EXPECT_EQ(order(c, 8, 0), 0u);
  c.on_list({}, at(2));  // as it was before the last order
  EXPECT_EQ(order(c, 8, 2), 0u);
  EXPECT_EQ(order(c, 8, 20), 0u);  // no list since then
  c.on_list({listed("h1", S::kBooting, 9)}, at(20));
  EXPECT_EQ(order(c, 8, 20), 1u);  // four of the eight fit on what is coming
  EXPECT_EQ(order(c, 8, 21), 0u);
}

// Nothing comes up: what is late is ordered anew, but never more than twice of what is needed is on order.
TEST(Autoscaler, OrdersStayBoundedWhileNothingComesUp) {
  auto c = capacity();
  std::map<std::string, std::pair<double, protocol::ListedMachine>> cloud;
  int names = 0;
  std::size_t most = 0;
  for (double t = 0; t < 1200; t += 1) {
    while (auto r = c.rent(demand(40), at(t))) {
      std::vector<MachineName> machines;
      for (std::uint32_t i = 0; i < r->count; ++i) {
        auto name = "h" + std::to_string(++names);
        machines.emplace_back(name);
        cloud[name] = {t, listed(name, S::kBooting, 0, r->type.value().c_str(), r->zone.value().c_str())};
        cloud[name].second.spot = r->spot;
      }
      c.on_rented(*r, machines, at(t));
    }
    std::vector<protocol::ListedMachine> list;
    for (auto& [name, m] : cloud) {
      m.second.age_s = t - m.first;
      list.push_back(m.second);
    }
    c.on_list(list, at(t));
    for (auto& name : c.failed_instances(at(t))) cloud.erase(name.value());
    most = std::max(most, cloud.size());
  }
  EXPECT_GE(most, 10u);
  EXPECT_LE(most, 20u);
  EXPECT_FALSE(cloud.empty());
}

// How long a machine is waited for follows what was seen lately, or none would come up while all are slow.
TEST(Autoscaler, MachinesAreWaitedForByWhatWasSeenLately) {
  struct Case {
    double booted_s;  // that others took lately; 0: none did
    int given_up;     // before
    double age_s;
    bool waited_for;
  };
  for (const auto& x :
       {Case{0, 0, 55, true}, Case{0, 0, 65, false}, Case{60, 0, 115, true}, Case{60, 0, 125, false},
        Case{2, 0, 65, false}, Case{0, 1, 85, true}, Case{0, 10, 235, true}, Case{0, 10, 245, false}}) {
    auto c = capacity();
    double t = 0;
    if (x.booted_s > 0) {
      c.on_list({listed("h0", S::kBooting, 1)}, at(0));
      c.on_list({listed("h0", S::kRunning, x.booted_s)}, at(x.booted_s));
      t = x.booted_s;
    }
    for (int i = 0; i < x.given_up; ++i) {
      c.on_list({listed("lost" + std::to_string(i), S::kBooting, 1000)}, at(t));
      EXPECT_EQ(c.failed_instances(at(t)).size(), 1u);
    }
    c.on_list({listed("h1", S::kBooting, x.age_s)}, at(t));
    EXPECT_EQ(c.failed_instances(at(t)).empty(), x.waited_for)
        << x.booted_s << ' ' << x.given_up << ' ' << x.age_s;
  }
}

TEST(Autoscaler, TheNeedGoesElsewhereThanWhereMachinesNeverCameUp) {
  auto c = capacity();
  auto first = c.rent(demand(4), at(0));
  ASSERT_TRUE(first);
  c.on_rented(*first, {MachineName("h1")}, at(0));
  c.on_list({listed("h1", S::kBooting, 70, first->type.value().c_str(), first->zone.value().c_str())},
            at(70));
  EXPECT_EQ(c.failed_instances(at(70)).size(), 1u);
  auto next = c.rent(demand(4), at(71));
  ASSERT_TRUE(next);
  EXPECT_NE(std::tie(next->type, next->zone), std::tie(first->type, first->zone));
}

}  // namespace
}  // namespace beaconsill::scheduler
