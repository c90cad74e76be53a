// What the tests of the leader share: a leader whose parts answer what a test says. Times are seconds from an
// arbitrary start.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lead/lead.h"

namespace beaconsill::lead {

using store::End;

inline Instant at(double s) {
  return Instant{} + from_seconds(1000 + s);
}

inline config::TeamSettings team(const char* name, double cpus, double max = 0) {
  return {Team(name), cpus, max, 0, 0};
}

constexpr Duration kLongest = std::chrono::seconds(100);

// A leader whose parts answer what the test says.
struct Bench {
  explicit Bench(double cpus_max = 0)
      : lead({std::chrono::seconds(2), std::chrono::seconds(1), kLongest, {}, 8}, {team("blue", 0, cpus_max)},
             {{"finished", "night", 0.9, 60, 1}}) {}

  store::Job& job(const char* id, std::uint32_t tasks, std::function<void(wire::JobSpec&)> change = {}) {
    wire::JobSpec s;
    s.id = JobId(id);
    s.team = Team("blue");
    s.tasks = tasks;
    s.each = {1, 0, 1};
    if (change) change(s);
    auto& j = jobs[id];
    j.record = {std::make_shared<const wire::JobSpec>(s), WallMs(0)};
    j.created = Revision(1);
    show(id, 0);
    return j;
  }
  void show(const char* id, double t, std::optional<End> end = std::nullopt) {
    lead.on_job(JobId(id), &jobs[id], end, at(t));
  }
  // One round in which part p answers rooms[p] for every shape; parts without an entry stay silent.
  std::vector<Lead::Grant> round(double t, std::map<std::uint32_t, wire::ShapeRoom> rooms, bool wait = false,
                                 double wall_s = 0) {
    auto ask =
        lead.begin_round(at(t), WallMs(static_cast<std::int64_t>(wall_s * 1000)), {PartId(0), PartId(1)});
    if (!ask) return {};
    for (auto& [p, room] : rooms)
      lead.on_answer(
          {ask->round, PartId(p), Term(1), Revision(revision), std::vector(ask->shapes.size(), room)}, at(t));
    auto g = lead.decide(at(wait ? t + 2.1 : t), {{PartId(0), Term(1)}, {PartId(1), Term(1)}});
    return g.value_or(std::vector<Lead::Grant>{});
  }
  void record(const std::vector<Lead::Grant>& grants, double t) {
    ++revision;
    lead.on_granted(grants, Revision(revision), at(t));
    for (auto& g : grants) {
      auto& j = jobs[g.job.value()];
      j.grants = {g.grants, Revision(revision)};
      show(g.job.value().c_str(), t);
    }
  }
  static std::map<std::uint32_t, std::uint32_t> by_part(const Lead::Grant& g) {
    std::map<std::uint32_t, std::uint32_t> n;
    for (auto& c : g.grants.chunks) n[c.part.value()] += c.tasks.count();
    return n;
  }

  Lead lead;
  std::map<std::string, store::Job> jobs;
  std::uint64_t revision = 10;
};

inline wire::ShapeRoom room(std::uint32_t free, std::uint32_t warm = 0, std::uint32_t pre = 0,
                            std::uint32_t warm_pre = 0, const char* zone = "a") {
  return {{Zone(zone), free, warm, pre, warm_pre}};
}

}  // namespace beaconsill::lead
