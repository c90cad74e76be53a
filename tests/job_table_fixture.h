// Provides a job table together with the objects that WaitingJobs reads, for tests that don't need a
// Scheduler. Times are in seconds from an arbitrary start.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "scheduler/waiting_jobs.h"

namespace beaconsill::scheduler {

struct JobTableFixture {
  static Instant at(double seconds) { return Instant{} + from_seconds(1000 + seconds); }

  explicit JobTableFixture(std::vector<config::TeamSettings> teams = {}) : quota(std::move(teams)) {}

  // Adds a job of team "blue" whose tasks, of one CPU each, are all pending. `change_spec` and
  // `change_entry` are applied before the table indexes the job.
  JobEntry& add(const char* id, std::uint32_t tasks,
                const std::function<void(protocol::JobSpec&)>& change_spec = {},
                const std::function<void(JobEntry&)>& change_entry = {}) {
    protocol::JobSpec spec;
    spec.id = JobId(id);
    spec.team = Team("blue");
    spec.tasks = tasks;
    spec.each = {1, 0, 1};
    if (change_spec) change_spec(spec);
    auto& entry = jobs.find_or_insert(spec.id);
    entry.record = {std::make_shared<const protocol::JobSpec>(spec), WallMs(0)};
    entry.pending = Ranges::span(0, tasks);
    entry.requirement.priority = spec.priority;
    entry.waiting_since = at(0);
    if (change_entry) change_entry(entry);
    jobs.index(spec.id, entry);
    return entry;
  }
  // Puts the job into crash-loop back-off.
  void report_failure(const char* id, Instant now) {
    crash_loops.on_job_health(JobId(id), protocol::JobHealth::kFailing, std::nullopt, now);
  }
  WaitingJobs waiting() const { return {jobs, quota, crash_loops, deadlines}; }

  JobTable jobs;
  QuotaLedger quota;
  CrashLoopBackoff crash_loops;
  DeadlinePlanner deadlines{{}, std::chrono::seconds(100)};
};

// Functions that can be passed to JobTableFixture::add as `change_spec`.
inline void make_gang(protocol::JobSpec& spec) {
  spec.kind = JobKind::kGang;
}
inline void make_service(protocol::JobSpec& spec) {
  spec.kind = JobKind::kService;
}

}  // namespace beaconsill::scheduler
