// Nobody waits for long while there is room for it: what stands before it in the queue may need other room.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

constexpr double kLongest = 90;  // that a job may be left waiting while there is room for it

Instant at(double s) {
  return Instant{} + from_seconds(1000 + s);
}

// A leader of one shard. What is bound to the zone "full" finds no room; all else finds some.
struct Queue {
  Queue() : scheduler(params(), {}, {}) { scheduler.on_terms({{ShardId(0), Term(1)}}); }

  static SchedulerParams params() {
    SchedulerParams p;
    p.reply_wait = std::chrono::seconds(2);
    p.heartbeat_period = std::chrono::seconds(3);
    p.longest_wait = std::chrono::seconds(150);
    return p;
  }

  void submit(int n, JobKind kind, std::optional<Zone> zone, std::uint32_t tasks, double memory_gb,
              double t) {
    protocol::JobSpec s;
    s.id = JobId("run-" + std::to_string(1000 + n));
    s.kind = kind;
    s.tasks = tasks;
    s.each = {1, 0, memory_gb};
    s.zone = std::move(zone);
    s.priority = kind == JobKind::kService ? Priority::kHigh : Priority::kNormal;
    s.estimate_s = 20;
    auto& job = jobs[s.id];
    job.record = {std::make_shared<const protocol::JobSpec>(s), WallMs(static_cast<std::int64_t>(t * 1000))};
    job.created = Revision(1);
    scheduler.on_job(s.id, &job, std::nullopt, at(t));
  }

  void step(double t) {
    auto estimate_request =
        scheduler.begin_round(at(t), WallMs(static_cast<std::int64_t>(t * 1000)), {ShardId(0)});
    if (!estimate_request) return;
    std::vector<protocol::CapacityByZone> capacities;
    for (const auto& s : estimate_request->resource_requests)
      capacities.push_back(s.zone == Zone("full") ? protocol::CapacityByZone{}
                                                  : protocol::CapacityByZone{{Zone("a"), 4, 0, 0, 0}});
    scheduler.on_estimate_response(
        {estimate_request->round, ShardId(0), Term(1), Revision(revision), capacities}, at(t));
    auto grants = scheduler.decide(at(t), {{ShardId(0), Term(1)}});
    if (!grants || grants->empty()) return;
    scheduler.on_granted(*grants, Revision(++revision), at(t));
    for (const auto& g : *grants) {
      granted.try_emplace(g.job, t);
      auto& job = jobs[g.job];
      job.grants = {g.grants, Revision(revision)};
      // What was granted is done by the next round.
      for (const auto& c : g.grants.chunks) job.progress[ShardId(0)].value.done.add(c.tasks);
      job.progress[ShardId(0)].revision = Revision(++revision);
      scheduler.on_job(g.job, &job, std::nullopt, at(t));
    }
  }

  Scheduler scheduler;
  std::map<JobId, state_store::Job> jobs;
  std::map<JobId, double> granted;
  std::uint64_t revision = 10;
};

TEST(LongestWait, NobodyWaitsBehindWhatNeedsOtherRoom) {
  struct Case {
    const char* what;
    JobKind kind;  // of those that stand before it and find no room
    int before;
    bool resource_requests;  // each of them has a shape of its own
    double every_s;          // a service comes so often; 0: none do
  };
  const Case cases[] = {
      {"a few", JobKind::kArray, 5, false, 0},
      {"more than a round holds", JobKind::kArray, 60, false, 0},
      {"more shapes than a round holds", JobKind::kArray, 30, true, 0},
      {"services of higher priority", JobKind::kService, 60, false, 0},
      {"services, and others come all the time", JobKind::kService, 2, false, 0.5},
      {"a gang that never fits", JobKind::kGang, 1, false, 0},
  };
  for (const auto& c : cases) {
    Queue q;
    for (int i = 0; i < c.before; ++i)
      q.submit(i, c.kind, Zone("full"), c.kind == JobKind::kGang ? 100 : 1, c.resource_requests ? 1 + i : 1,
               0);
    int n = 500;
    double next = c.every_s;
    JobId waits("run-1400");
    double submitted = 200;
    for (double t = 1; t < 400; t += 0.1) {
      if (c.every_s > 0 && t >= next) {
        q.submit(n++, JobKind::kService, std::nullopt, 1, 1, t);
        next += c.every_s;
      }
      if (t >= submitted && !q.jobs.contains(waits)) q.submit(400, JobKind::kArray, std::nullopt, 2, 1, t);
      q.step(t);
    }
    ASSERT_TRUE(q.granted.contains(waits)) << c.what;
    EXPECT_LT(q.granted.at(waits) - submitted, kLongest) << c.what;
  }
}

}  // namespace
}  // namespace beaconsill::scheduler
