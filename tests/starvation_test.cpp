// Starvation: no job waits for long while there is capacity for it, even if jobs before it in the queue find
// none.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

// Seconds that a job may wait while there is capacity for it.
constexpr double kMaxWait = 90;

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

// A scheduler with one shard. Jobs bound to the zone "full" find no capacity; all others find some.
struct StarvationFixture {
  StarvationFixture() : scheduler(params(), {}, {}) { scheduler.on_terms({{ShardId(0), Term(1)}}); }

  static SchedulerParams params() {
    SchedulerParams params;
    params.reply_wait = std::chrono::seconds(2);
    params.heartbeat_period = std::chrono::seconds(3);
    params.longest_wait = std::chrono::seconds(150);
    return params;
  }

  void submit(int number, JobKind kind, std::optional<Zone> zone, std::uint32_t tasks, double memory_gb,
              double time) {
    protocol::JobSpec spec;
    spec.id = JobId("run-" + std::to_string(1000 + number));
    spec.kind = kind;
    spec.tasks = tasks;
    spec.each = {1, 0, memory_gb};
    spec.zone = std::move(zone);
    spec.priority = kind == JobKind::kService ? Priority::kHigh : Priority::kNormal;
    spec.estimate_s = 20;
    auto& job = jobs[spec.id];
    job.record = {std::make_shared<const protocol::JobSpec>(spec),
                  WallMs(static_cast<std::int64_t>(time * 1000))};
    job.created = Revision(1);
    scheduler.on_job(spec.id, &job, std::nullopt, at(time));
  }

  // A round; what it grants is done by the next one.
  void run_round(double time) {
    auto estimate_request =
        scheduler.begin_round(at(time), WallMs(static_cast<std::int64_t>(time * 1000)), {ShardId(0)});
    if (!estimate_request) return;
    std::vector<protocol::CapacityByZone> capacities;
    for (const auto& request : estimate_request->resource_requests)
      capacities.push_back(request.zone == Zone("full") ? protocol::CapacityByZone{}
                                                        : protocol::CapacityByZone{{Zone("a"), 4, 0, 0, 0}});
    scheduler.on_estimate_response(
        {estimate_request->round, ShardId(0), Term(1), Revision(revision), capacities});
    auto grants = scheduler.decide_grants(at(time), {{ShardId(0), Term(1)}});
    if (!grants || grants->empty()) return;
    scheduler.on_granted(*grants, Revision(++revision), at(time));
    for (const auto& grant : *grants) {
      granted.try_emplace(grant.job, time);
      auto& job = jobs[grant.job];
      job.grants = {grant.grants, Revision(revision)};
      for (const auto& chunk : grant.grants.chunks) job.progress[ShardId(0)].value.done.add(chunk.tasks);
      job.progress[ShardId(0)].revision = Revision(++revision);
      scheduler.on_job(grant.job, &job, std::nullopt, at(time));
    }
  }

  Scheduler scheduler;
  std::map<JobId, state_store::Job> jobs;
  std::map<JobId, double> granted;  // when it was first granted tasks
  std::uint64_t revision = 10;
};

TEST(Starvation, AJobWithCapacityIsServedWhateverIsBeforeItInTheQueue) {
  struct Case {
    const char* what;
    JobKind kind;  // of those that stand before it and find no capacity
    int before;
    bool different_requests;    // each of them has a resource request of its own
    double service_interval_s;  // a service is submitted so often; 0: none is
  };
  const Case cases[] = {
      {"a few", JobKind::kArray, 5, false, 0},
      {"more jobs than a round holds", JobKind::kArray, 60, false, 0},
      {"more resource requests than a round holds", JobKind::kArray, 30, true, 0},
      {"services of higher priority", JobKind::kService, 60, false, 0},
      {"services, and others come all the time", JobKind::kService, 2, false, 0.5},
      {"a gang that never fits", JobKind::kGang, 1, false, 0},
  };
  for (const auto& test_case : cases) {
    StarvationFixture fixture;
    for (int i = 0; i < test_case.before; ++i)
      fixture.submit(i, test_case.kind, Zone("full"), test_case.kind == JobKind::kGang ? 100 : 1,
                     test_case.different_requests ? 1 + i : 1, 0);
    int next_service_number = 500;
    double next_service = test_case.service_interval_s;
    const JobId waiting("run-1400");
    const double submitted = 200;
    for (double time = 1; time < 400; time += 0.1) {
      if (test_case.service_interval_s > 0 && time >= next_service) {
        fixture.submit(next_service_number++, JobKind::kService, std::nullopt, 1, 1, time);
        next_service += test_case.service_interval_s;
      }
      if (time >= submitted && !fixture.jobs.contains(waiting))
        fixture.submit(400, JobKind::kArray, std::nullopt, 2, 1, time);
      fixture.run_round(time);
    }
    ASSERT_TRUE(fixture.granted.contains(waiting)) << test_case.what;
    EXPECT_LT(fixture.granted.at(waiting) - submitted, kMaxWait) << test_case.what;
  }
}

}  // namespace
}  // namespace beaconsill::scheduler
