// Provides a scheduler for tests that choose the responses of its shards. Times are in seconds from an
// arbitrary start.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {

using state_store::TerminalState;

inline Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

inline config::TeamSettings team(const char* name, double cpus, double cpus_max = 0) {
  return {Team(name), cpus, cpus_max, 0, 0};
}

constexpr Duration kLongestWait = std::chrono::seconds(100);

struct SchedulerFixture {
  explicit SchedulerFixture(double cpus_max = 0)
      : scheduler({std::chrono::seconds(2), std::chrono::seconds(1), kLongestWait, {}, 8},
                  {team("blue", 0, cpus_max)}, {{"finished", "night", 0.9, 60, 1}}) {}

  state_store::Job& job(const char* id, std::uint32_t tasks,
                        std::function<void(protocol::JobSpec&)> change = {}) {
    protocol::JobSpec spec;
    spec.id = JobId(id);
    spec.team = Team("blue");
    spec.tasks = tasks;
    spec.each = {1, 0, 1};
    if (change) change(spec);
    auto& job = jobs[id];
    job.record = {std::make_shared<const protocol::JobSpec>(spec), WallMs(0)};
    job.created = Revision(1);
    publish(id, 0);
    return job;
  }
  // Passes the current state of the job to the scheduler.
  void publish(const char* id, double time, std::optional<TerminalState> terminal_state = std::nullopt) {
    scheduler.on_job(JobId(id), &jobs[id], terminal_state, at(time));
  }
  // Runs a round in which each shard responds with its entry of `capacities` to every resource request.
  // Shards without an entry don't respond. `wait`: decides on the grants only after the reply wait.
  std::vector<Scheduler::Grant> run_round(double time,
                                          std::map<std::uint32_t, protocol::CapacityByZone> capacities,
                                          bool wait = false, double wall_s = 0) {
    auto estimate_request = scheduler.begin_round(at(time), WallMs(static_cast<std::int64_t>(wall_s * 1000)),
                                                  {ShardId(0), ShardId(1)});
    if (!estimate_request) return {};
    for (auto& [shard, capacity] : capacities)
      scheduler.on_estimate_response({estimate_request->round, ShardId(shard), Term(1), Revision(revision),
                                      std::vector(estimate_request->resource_requests.size(), capacity)});
    auto grants =
        scheduler.decide_grants(at(wait ? time + 2.1 : time), {{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
    return grants.value_or(std::vector<Scheduler::Grant>{});
  }
  void commit(const std::vector<Scheduler::Grant>& grants, double time) {
    ++revision;
    scheduler.on_granted(grants, Revision(revision), at(time));
    for (auto& grant : grants) {
      auto& job = jobs[grant.job.value()];
      job.grants = {grant.grants, Revision(revision)};
      publish(grant.job.value().c_str(), time);
    }
  }
  static std::map<std::uint32_t, std::uint32_t> by_shard(const Scheduler::Grant& grant) {
    std::map<std::uint32_t, std::uint32_t> tasks;
    for (auto& chunk : grant.grants.chunks) tasks[chunk.shard.value()] += chunk.tasks.count();
    return tasks;
  }

  Scheduler scheduler;
  std::map<std::string, state_store::Job> jobs;
  std::uint64_t revision = 10;
};

// The capacity of one zone, in numbers of tasks.
inline protocol::CapacityByZone capacity(std::uint32_t free, std::uint32_t image_cached = 0,
                                         std::uint32_t preemptible = 0,
                                         std::uint32_t image_cached_preemptible = 0, const char* zone = "a") {
  return {{Zone(zone), free, image_cached, preemptible, image_cached_preemptible}};
}

}  // namespace beaconsill::scheduler
