// Which machines are rented and returned.
#include "lead/capacity.h"
#include "lead_bench.h"

namespace beaconsill::lead {
namespace {

std::shared_ptr<const wire::Catalogue> catalogue() {
  auto c = std::make_shared<wire::Catalogue>();
  (*c)[MachineType("big")] = {MachineType("big"), {32, 0, 64}, 10, 0.1, 4, 1, 30, {Zone("a")}};
  (*c)[MachineType("small")] = {MachineType("small"),  {4, 0, 16}, 10, 0.1, 0.4, 0.2, 20,
                                {Zone("a"), Zone("b")}};
  return c;
}

std::vector<Demand> demand(std::uint32_t tasks, bool spot = false) {
  wire::Shape s;
  s.each = {1, 0, 1};
  s.spot = spot;
  s.wanted = tasks;
  return {{s, std::chrono::seconds(5)}};
}

TEST(Capacity, RentsWhatIsMissingOnceAndUnderAnEverNewName) {
  Capacity c({std::chrono::seconds(60), std::chrono::seconds(20), std::chrono::seconds(3), 64}, "t7-");
  c.set_catalogue(catalogue());
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
TEST(Capacity, RentsForAllThatWaitsAtOnce) {
  Capacity c({std::chrono::seconds(60), std::chrono::seconds(20), std::chrono::seconds(3), 64}, "t7-");
  c.set_catalogue(catalogue());
  auto waiting = demand(10);
  for (int i = 0; i < 4; ++i) waiting.push_back(waiting[0]);
  waiting.back().waited = Duration(0);  // may yet fit where it was sent
  auto r = c.rent(waiting, at(0));
  ASSERT_TRUE(r);
  EXPECT_EQ(r->count, 10u);
}

TEST(Capacity, RefusedKindsAreLeftAloneForAWhile) {
  Capacity c({std::chrono::seconds(60), std::chrono::seconds(20), std::chrono::seconds(3), 64}, "t7-");
  c.set_catalogue(catalogue());
  auto r = c.rent(demand(4), at(0));
  c.on_refused(*r, at(0));
  auto second = c.rent(demand(4), at(1));
  ASSERT_TRUE(second);
  EXPECT_NE(std::tie(second->type, second->zone), std::tie(r->type, r->zone));
}

TEST(Capacity, IdleMachinesAreReturnedLaterWhileThereAreJobs) {
  struct Case {
    double idle;
    bool demand, jobs, returned;
  };
  for (const auto& c :
       {Case{10, false, false, false}, Case{30, false, false, true}, Case{30, false, true, false},
        Case{70, false, true, true}, Case{70, true, true, false}}) {
    Capacity cap({std::chrono::seconds(60), std::chrono::seconds(20), std::chrono::seconds(3), 64}, "t7-");
    std::map<PartId, wire::Summary> s;
    s[PartId(0)].machines = {{MachineName("m"), MachineType("t"), Zone("a"), false, {4, 0, 8}, c.idle, true}};
    EXPECT_EQ(!cap.surplus(s, c.demand, c.jobs).empty(), c.returned) << c.idle << c.demand << c.jobs;
  }
}

TEST(Capacity, MachinesThatNeverBootOrFailedAreDeletedOnce) {
  Capacity c({std::chrono::seconds(60), std::chrono::seconds(20), std::chrono::seconds(3), 64}, "t7-");
  c.set_catalogue(catalogue());
  using S = wire::MachineState;
  auto listed = [](const char* n, S s, double age) {
    return wire::ListedMachine{MachineName(n), "", MachineType("small"), Zone("a"), false, s, age};
  };
  c.on_list({listed("slow", S::kBooting, 60), listed("never", S::kBooting, 500),
             listed("failed", S::kFailed, 9), listed("up", S::kRunning, 900)},
            at(0));
  EXPECT_EQ(c.dead(at(0)), (std::vector{MachineName("failed"), MachineName("never")}));
  EXPECT_TRUE(c.dead(at(1)).empty());
}

}  // namespace
}  // namespace beaconsill::lead
