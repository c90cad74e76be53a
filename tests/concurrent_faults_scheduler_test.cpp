// Concurrent faults at the scheduler: limits, cancellations and messages of shard leaders during failovers.
// See docs/concurrent-faults.md.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

using state_store::TerminalState;

Instant at(double s) {
  return Instant{} + from_seconds(1000 + s);
}

constexpr double kLimit = 10;

// A leader of two shards under term 1, with one team at a limit of ten CPUs and one without a limit.
struct Leader {
  Leader()
      : scheduler({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
                  {{Team("blue"), 0, kLimit, 0, 0}, {Team("free"), 0, 0, 0, 0}}, {}) {
    terms(1, 1);
  }
  void terms(std::uint64_t first, std::uint64_t second) {
    now_terms = {{ShardId(0), Term(first)}, {ShardId(1), Term(second)}};
    for (const auto& id : scheduler.on_terms(now_terms)) publish(id.value().c_str());
  }
  void job(const char* id, std::uint32_t tasks, const char* team = "blue", bool one_zone = false) {
    protocol::JobSpec s;
    s.id = JobId(id);
    s.team = Team(team);
    s.tasks = tasks;
    s.each = {1, 0, 1};
    s.one_zone = one_zone;
    jobs[id].record = {std::make_shared<const protocol::JobSpec>(s), WallMs(0)};
    jobs[id].created = Revision(1);
    publish(id);
  }
  void publish(const char* id) {
    auto e = ends.find(id);
    scheduler.on_job(JobId(id), &jobs[id], e == ends.end() ? std::nullopt : std::optional(e->second), at(t));
  }
  void end(const char* id, TerminalState e) {
    ends[id] = e;
    publish(id);
  }
  // The shard leader reports that the tasks of the job's chunk were returned.
  void released(const char* id, std::uint32_t shard, std::uint64_t term, Ranges tasks) {
    for (const auto& c : jobs[id].grants.value.chunks)
      if (c.shard == ShardId(shard))
        scheduler.on_progress_report({ShardId(shard), Term(term), {{JobId(id), {}, {{c.generation, tasks}}}}},
                                     at(t));
    publish(id);
  }
  // A round in which each shard has so much room in these zones.
  std::vector<Scheduler::Grant> round(std::map<std::uint32_t, protocol::CapacityByZone> capacities) {
    t += 5;
    auto estimate_request = scheduler.begin_round(at(t), WallMs(0), {ShardId(0), ShardId(1)});
    if (!estimate_request) return {};
    for (auto& [p, room] : capacities)
      scheduler.on_estimate_response(
          {estimate_request->round, ShardId(p), now_terms.at(ShardId(p)), Revision(revision),
           std::vector(estimate_request->resource_requests.size(), room)},
          at(t));
    return scheduler.decide(at(t + 3), now_terms).value_or(std::vector<Scheduler::Grant>{});
  }
  void applied(const std::vector<Scheduler::Grant>& grants) {
    ++revision;
    scheduler.on_granted(grants, Revision(revision), at(t));
    for (const auto& g : grants) {
      jobs[g.job.value()].grants = {g.grants, Revision(revision)};
      publish(g.job.value().c_str());
    }
  }

  Scheduler scheduler;
  ShardTerms now_terms;
  std::map<std::string, state_store::Job> jobs;
  std::map<std::string, TerminalState> ends;
  std::uint64_t revision = 10;
  double t = 0;
};

protocol::CapacityByZone room(std::uint32_t free, const char* zone = "east") {
  return {{Zone(zone), free, 0, 0, 0}};
}

// "A team is at its limit when the leader changes, some of its machines can't be asked, and a cancellation
// falls into that spell": what a cancelled job leaves may go to another job only while no successor of the
// shard leader that reported it can exist. Found by reading the code.
TEST(QuotaExhausted, ReleasedCapacityOfACancelledJobDependsOnTheTermOfItsShard) {
  struct Case {
    const char* what;
    const char* team;    // of the next job
    bool recorded;       // the release is in the state store
    std::uint64_t term;  // under which it was reported
    std::set<ShardId> depends_on_shards;
    std::uint32_t granted;
  };
  const Case cases[] = {
      {"reported only", "blue", false, 1, {ShardId(0)}, 10},
      {"recorded as well", "blue", true, 1, {}, 10},
      {"reported under a term that isn't the shard's", "blue", false, 2, {}, 0},
      {"another team's job", "free", false, 1, {}, 10},
  };
  for (const auto& c : cases) {
    Leader l;
    l.job("run-1", 10);
    l.applied(l.round({{0, room(10)}, {1, {}}}));
    l.end("run-1", TerminalState::kCancelled);
    l.job("run-2", 10, c.team);
    l.released("run-1", 0, c.term, Ranges::span(0, 10));
    if (c.recorded) {
      auto g = l.jobs["run-1"].grants.value.last;
      l.jobs["run-1"].progress[ShardId(0)] = {{{}, {{g, Ranges::span(0, 10)}}}, Revision(20)};
      l.publish("run-1");
    }
    auto g = l.round({{0, room(10)}, {1, room(10)}});
    std::uint32_t granted = 0;
    for (const auto& x : g)
      for (const auto& chunk : x.grants.chunks) granted += chunk.tasks.count();
    EXPECT_EQ(granted, c.granted) << c.what;
    if (!g.empty()) {
      EXPECT_EQ(g[0].depends_on_shards, c.depends_on_shards) << c.what;
    }
  }
}

// The same of the job's keys: a successor that hasn't read the end yet may start what they grant.
TEST(QuotaExhausted, KeysAreCollectedUnderTheTermThatReportedTheRelease) {
  Leader l;
  l.job("run-1", 4);
  l.applied(l.round({{0, room(4)}, {1, {}}}));
  l.end("run-1", TerminalState::kCancelled);
  EXPECT_TRUE(l.scheduler.collectable().empty());
  l.released("run-1", 0, 1, Ranges::span(0, 4));
  EXPECT_EQ(l.scheduler.collectable(), std::vector{JobId("run-1")});
  EXPECT_EQ(l.scheduler.released_by_message(JobId("run-1")), std::set{ShardId(0)});
  // The shard changes hands: its next leader has to report anew.
  l.terms(2, 1);
  EXPECT_TRUE(l.scheduler.collectable().empty());
  EXPECT_TRUE(l.scheduler.released_by_message(JobId("run-1")).empty());
  l.released("run-1", 0, 2, Ranges::span(0, 4));
  EXPECT_EQ(l.scheduler.collectable(), std::vector{JobId("run-1")});
}

// The ledger adds up again whatever comes in between: a deleted job depends on nobody's message.
TEST(QuotaExhausted, NothingIsLeftOfADeletedJob) {
  Leader l;
  for (int n = 0; n < 3; ++n) {
    l.job("run-1", 10);
    l.applied(l.round({{0, room(10)}, {1, {}}}));
    l.end("run-1", TerminalState::kCancelled);
    l.released("run-1", 0, 1, Ranges::span(0, 6));
    l.released("run-1", 0, 1, Ranges::span(0, 10));
    l.publish("run-1");
    l.scheduler.on_job(JobId("run-1"), nullptr, TerminalState::kCancelled, at(l.t));
    l.jobs.erase("run-1");
    l.ends.erase("run-1");
    l.job("run-2", 10);
    auto g = l.round({{0, room(10)}, {1, {}}});
    ASSERT_EQ(g.size(), 1u);
    EXPECT_TRUE(g[0].depends_on_shards.empty());
    l.scheduler.on_granted(g, std::nullopt, at(l.t));
    l.scheduler.on_job(JobId("run-2"), nullptr, std::nullopt, at(l.t));
    l.jobs.erase("run-2");
  }
}

// "Controllers hand over and back": messages of an owner that was replaced, in any order and repeated, free
// nothing, whether they come before or after the leader knows of the new term.
TEST(RepeatedFailover, MessagesOfAPreviousShardLeaderFreeNothing) {
  struct Case {
    const char* what;
    std::vector<std::uint64_t> reported;  // terms, in the order in which the messages come
    std::uint64_t term;                   // the shard's, as the leader knows it at the end
    bool free;
  };
  const Case cases[] = {
      {"before the change", {1}, 3, false},       {"after it", {}, 3, false},
      {"by the present owner", {3}, 3, true},     {"a late copy after the present owner's", {3, 1}, 3, true},
      {"before and late", {1, 1}, 3, false},      {"by one that the leader doesn't know yet", {3}, 1, false},
      {"both, the older one last", {1}, 1, true},
  };
  for (const auto& c : cases) {
    Leader l;
    l.job("run-1", 10);
    l.applied(l.round({{0, room(10)}, {1, {}}}));
    bool first = true;
    for (auto term : c.reported) {
      if (!first || term == c.term) l.terms(c.term, 1);
      first = false;
      l.released("run-1", 0, term, Ranges::span(0, 10));
    }
    l.terms(c.term, 1);
    auto g = l.round({{0, {}}, {1, room(10)}});
    EXPECT_EQ(!g.empty(), c.free) << c.what;
    if (!g.empty()) {
      EXPECT_EQ(g[0].depends_on_shards, std::set{ShardId(0)}) << c.what;
    }
  }
}

// "Jobs bound to one zone, arrays too, lose machines": what is left out binds the rest to its zone, and
// nothing else does.
TEST(OneZone, LostTasksFollowTheRemainingOnes) {
  struct Case {
    const char* what;
    Ranges released;  // of the four tasks in zone "east"
    const char* zone;
    std::uint32_t granted;
  };
  const Case cases[] = {
      {"some are left, room elsewhere only", Ranges::span(0, 2), "west", 0},
      {"some are left, room there", Ranges::span(0, 2), "east", 2},
      {"none is left", Ranges::span(0, 4), "west", 4},
  };
  for (const auto& c : cases) {
    Leader l;
    l.job("run-1", 4, "free", true);
    l.applied(l.round({{0, room(8)}, {1, {}}}));
    l.released("run-1", 0, 1, c.released);
    auto g = l.round({{0, {}}, {1, room(8, c.zone)}});
    std::uint32_t granted = 0;
    for (const auto& x : g) {
      EXPECT_EQ(x.depends_on_shards, std::set{ShardId(0)}) << c.what;
      for (const auto& chunk : x.grants.chunks)
        if (chunk.shard == ShardId(1)) {
          granted += chunk.tasks.count();
          EXPECT_EQ(chunk.zone, Zone(c.zone)) << c.what;
        }
    }
    EXPECT_EQ(granted, c.granted) << c.what;
  }
}

}  // namespace
}  // namespace beaconsill::scheduler
