// What the tests of the leader share: a leader whose shards answer what a test says. Times are seconds from
// an arbitrary start.
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

inline Instant at(double s) {
  return Instant{} + from_seconds(1000 + s);
}

inline config::TeamSettings team(const char* name, double cpus, double max = 0) {
  return {Team(name), cpus, max, 0, 0};
}

constexpr Duration kLongest = std::chrono::seconds(100);

// A leader whose shards answer what the test says.
struct Bench {
  explicit Bench(double cpus_max = 0)
      : scheduler({std::chrono::seconds(2), std::chrono::seconds(1), kLongest, {}, 8},
                  {team("blue", 0, cpus_max)}, {{"finished", "night", 0.9, 60, 1}}) {}

  state_store::Job& job(const char* id, std::uint32_t tasks,
                        std::function<void(protocol::JobSpec&)> change = {}) {
    protocol::JobSpec s;
    s.id = JobId(id);
    s.team = Team("blue");
    s.tasks = tasks;
    s.each = {1, 0, 1};
    if (change) change(s);
    auto& j = jobs[id];
    j.record = {std::make_shared<const protocol::JobSpec>(s), WallMs(0)};
    j.created = Revision(1);
    publish(id, 0);
    return j;
  }
  void publish(const char* id, double t, std::optional<TerminalState> end = std::nullopt) {
    scheduler.on_job(JobId(id), &jobs[id], end, at(t));
  }
  // One round in which part p answers rooms[p] for every shape; shards without an entry stay silent.
  std::vector<Scheduler::Grant> round(double t, std::map<std::uint32_t, protocol::CapacityByZone> rooms,
                                      bool wait = false, double wall_s = 0) {
    auto estimate_request = scheduler.begin_round(at(t), WallMs(static_cast<std::int64_t>(wall_s * 1000)),
                                                  {ShardId(0), ShardId(1)});
    if (!estimate_request) return {};
    for (auto& [p, room] : rooms)
      scheduler.on_estimate_response({estimate_request->round, ShardId(p), Term(1), Revision(revision),
                                      std::vector(estimate_request->resource_requests.size(), room)},
                                     at(t));
    auto g = scheduler.decide(at(wait ? t + 2.1 : t), {{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
    return g.value_or(std::vector<Scheduler::Grant>{});
  }
  void record(const std::vector<Scheduler::Grant>& grants, double t) {
    ++revision;
    scheduler.on_granted(grants, Revision(revision), at(t));
    for (auto& g : grants) {
      auto& j = jobs[g.job.value()];
      j.grants = {g.grants, Revision(revision)};
      publish(g.job.value().c_str(), t);
    }
  }
  static std::map<std::uint32_t, std::uint32_t> by_shard(const Scheduler::Grant& g) {
    std::map<std::uint32_t, std::uint32_t> n;
    for (auto& c : g.grants.chunks) n[c.shard.value()] += c.tasks.count();
    return n;
  }

  Scheduler scheduler;
  std::map<std::string, state_store::Job> jobs;
  std::uint64_t revision = 10;
};

inline protocol::CapacityByZone room(std::uint32_t free, std::uint32_t warm = 0, std::uint32_t pre = 0,
                                     std::uint32_t warm_pre = 0, const char* zone = "a") {
  return {{Zone(zone), free, warm, pre, warm_pre}};
}

}  // namespace beaconsill::scheduler
