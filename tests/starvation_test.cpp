// Tests that a job for which there is capacity is granted tasks within a bounded time, even if jobs ahead of
// it in the queue find no capacity.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

// The maximum time that a job may wait while there is capacity for it.
constexpr double kMaxWaitS = 90;

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

// A scheduler with one shard that has no capacity in the zone "full" and some capacity elsewhere.
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

  // Runs one round. All tasks that it grants complete before the next round.
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
      first_granted_s.try_emplace(grant.job, time);
      auto& job = jobs[grant.job];
      job.grants = {grant.grants, Revision(revision)};
      for (const auto& chunk : grant.grants.chunks) job.progress[ShardId(0)].value.done.add(chunk.tasks);
      job.progress[ShardId(0)].revision = Revision(++revision);
      scheduler.on_job(grant.job, &job, std::nullopt, at(time));
    }
  }

  Scheduler scheduler;
  std::map<JobId, state_store::Job> jobs;
  std::map<JobId, double> first_granted_s;  // when each job was first granted tasks
  std::uint64_t revision = 10;
};

TEST(Starvation, JobWithCapacityIsGrantedTasksDespiteBlockedJobsAheadOfIt) {
  struct Case {
    const char* description;
    JobKind kind;               // kind of the blocked jobs, which find no capacity
    int blocked_jobs;           // number of blocked jobs ahead of the job
    bool different_requests;    // whether all blocked jobs have different resource requests
    double service_interval_s;  // interval at which services are submitted; 0 for no services
  };
  const Case cases[] = {
      {"a few jobs", JobKind::kArray, 5, false, 0},
      {"more jobs than the maximum per round", JobKind::kArray, 60, false, 0},
      {"more resource requests than the maximum per round", JobKind::kArray, 30, true, 0},
      {"services of higher priority", JobKind::kService, 60, false, 0},
      {"services, while further services are submitted continuously", JobKind::kService, 2, false, 0.5},
      {"a gang that never finds capacity", JobKind::kGang, 1, false, 0},
  };
  for (const auto& test_case : cases) {
    StarvationFixture fixture;
    for (int i = 0; i < test_case.blocked_jobs; ++i)
      fixture.submit(i, test_case.kind, Zone("full"), test_case.kind == JobKind::kGang ? 100 : 1,
                     test_case.different_requests ? 1 + i : 1, 0);
    int next_service_number = 500;
    double next_service_s = test_case.service_interval_s;
    const JobId waiting("run-1400");
    const double submitted_s = 200;
    for (double time = 1; time < 400; time += 0.1) {
      if (test_case.service_interval_s > 0 && time >= next_service_s) {
        fixture.submit(next_service_number++, JobKind::kService, std::nullopt, 1, 1, time);
        next_service_s += test_case.service_interval_s;
      }
      if (time >= submitted_s && !fixture.jobs.contains(waiting))
        fixture.submit(400, JobKind::kArray, std::nullopt, 2, 1, time);
      fixture.run_round(time);
    }
    ASSERT_TRUE(fixture.first_granted_s.contains(waiting)) << test_case.description;
    EXPECT_LT(fixture.first_granted_s.at(waiting) - submitted_s, kMaxWaitS) << test_case.description;
  }
}

}  // namespace
}  // namespace beaconsill::scheduler
