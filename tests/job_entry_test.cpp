// Tests what JobEntry derives from a job's keys in the state store and from the shard leaders' reports, and
// the indexes of JobTable.
#include "scheduler/job_entry.h"

#include <gtest/gtest.h>

#include "scheduler/job_table.h"

namespace beaconsill::scheduler {
namespace {

using state_store::TerminalState;

// Returns a job of ten tasks, of which tasks 0 to 7 are granted to shard 0 with generation 1.
state_store::Job job_with_grant(JobKind kind = JobKind::kArray) {
  protocol::JobSpec spec;
  spec.id = JobId("run-1");
  spec.kind = kind;
  spec.tasks = 10;
  spec.each = {1, 0, 1};
  state_store::Job job;
  job.record.spec = std::make_shared<const protocol::JobSpec>(spec);
  job.grants.value.chunks.push_back(
      {Generation(1), ShardId(0), Term(1), Ranges::span(0, 8), std::nullopt, false, {}});
  job.grants.value.last = Generation(1);
  job.grants.revision = Revision(5);
  return job;
}

state_store::Progress progress(const Ranges& done, const Ranges& released) {
  state_store::Progress progress;
  progress.done = done;
  if (!released.empty()) progress.released.push_back({Generation(1), released});
  return progress;
}

TEST(JobEntry, CountsTasksAccordingToRecordsAndReports) {
  struct Case {
    const char* description;
    Ranges recorded_done, recorded_released, reported_done, reported_released;
    std::optional<TerminalState> terminal_state;
    std::uint32_t pending, outstanding, released_by_message, charged;
  };
  const auto span = &Ranges::span;
  const Case cases[] = {
      {"no progress", {}, {}, {}, {}, std::nullopt, 2, 8, 0, 8},
      {"recorded as done", span(0, 3), {}, {}, {}, std::nullopt, 2, 5, 0, 5},
      {"reported as done", {}, {}, span(0, 3), {}, std::nullopt, 2, 5, 0, 5},
      {"recorded as released", {}, span(0, 3), {}, {}, std::nullopt, 5, 5, 0, 5},
      {"reported as released, still charged", {}, {}, {}, span(0, 3), std::nullopt, 5, 5, 3, 8},
      {"both reported and recorded as released", {}, span(0, 3), {}, span(0, 3), std::nullopt, 5, 5, 0, 5},
      {"reported as done, and as released by the next shard leader",
       {},
       {},
       span(0, 2),
       span(0, 3),
       std::nullopt,
       3,
       5,
       1,
       6},
      {"terminal state: no pending tasks", {}, {}, {}, {}, TerminalState::kCancelled, 0, 8, 0, 8},
      {"terminal state: releases reported by message aren't charged",
       {},
       {},
       {},
       span(0, 8),
       TerminalState::kCancelled,
       0,
       0,
       8,
       0},
  };
  for (const auto& test_case : cases) {
    auto job = job_with_grant();
    job.progress[ShardId(0)] = {progress(test_case.recorded_done, test_case.recorded_released), Revision(6)};
    ProgressByShard reported;
    reported[ShardId(0)] = {Term(1), progress(test_case.reported_done, test_case.reported_released)};
    JobEntry entry;
    entry.update(job, test_case.terminal_state, &reported);
    EXPECT_EQ(entry.pending.count(), test_case.pending) << test_case.description;
    EXPECT_EQ(entry.outstanding_tasks, test_case.outstanding) << test_case.description;
    EXPECT_EQ(entry.released_by_message_tasks, test_case.released_by_message) << test_case.description;
    EXPECT_EQ(entry.charged_tasks, test_case.charged) << test_case.description;
  }
}

// A task that is reported as done must stay in the grants until its shard has recorded it as done.
TEST(JobEntry, RetainsReportedTasksUntilTheyAreRecorded) {
  auto job = job_with_grant();
  ProgressByShard reported;
  reported[ShardId(0)] = {Term(1), progress(Ranges::span(0, 8), {})};
  JobEntry entry;
  entry.update(job, std::nullopt, &reported);
  EXPECT_EQ(entry.outstanding_tasks, 0u);
  ASSERT_EQ(entry.retained_chunks.size(), 1u);
  EXPECT_EQ(entry.retained_chunks[0].unreleased_tasks, 8u);
  EXPECT_EQ(entry.grants_size(), 2u);  // one chunk with one range
  job.progress[ShardId(0)] = {progress(Ranges::span(0, 8), {}), Revision(6)};
  entry.update(job, std::nullopt, &reported);
  EXPECT_TRUE(entry.retained_chunks.empty());
}

TEST(JobTable, IndexesJobsBySchedulingState) {
  struct Case {
    const char* description;
    JobKind kind;
    Ranges done, released;
    std::optional<TerminalState> terminal_state;
    bool waiting, batch, open, completed, collectable;
  };
  const auto span = &Ranges::span;
  const Case cases[] = {
      {"some tasks pending", JobKind::kArray, {}, {}, std::nullopt, true, true, true, false, false},
      {"all tasks done", JobKind::kArray, span(0, 10), {}, std::nullopt, false, true, true, true, false},
      {"a service is never complete",
       JobKind::kService,
       span(0, 10),
       {},
       std::nullopt,
       false,
       false,
       true,
       false,
       false},
      {"terminal state, tasks outstanding",
       JobKind::kGang,
       {},
       {},
       TerminalState::kCancelled,
       false,
       false,
       false,
       false,
       false},
      {"terminal state, all tasks released",
       JobKind::kGang,
       {},
       span(0, 8),
       TerminalState::kCancelled,
       false,
       false,
       false,
       false,
       true},
  };
  for (const auto& test_case : cases) {
    auto job = job_with_grant(test_case.kind);
    job.progress[ShardId(0)] = {progress(test_case.done, test_case.released), Revision(6)};
    JobTable table;
    const JobId id("run-1");
    auto& entry = table.find_or_insert(id);
    entry.update(job, test_case.terminal_state, nullptr);
    table.index(id, entry);
    EXPECT_EQ(table.waiting().contains(id), test_case.waiting) << test_case.description;
    EXPECT_EQ(table.batch().contains(id), test_case.batch) << test_case.description;
    EXPECT_EQ(table.open().contains(id), test_case.open) << test_case.description;
    EXPECT_EQ(table.completed().contains(id), test_case.completed) << test_case.description;
    EXPECT_EQ(table.collectable().contains(id), test_case.collectable) << test_case.description;
    table.unindex(id);
    for (const auto* index :
         {&table.waiting(), &table.batch(), &table.open(), &table.completed(), &table.collectable()})
      EXPECT_TRUE(index->empty()) << test_case.description;
    EXPECT_EQ(table.find(id), &entry);
    table.erase(id);
    EXPECT_EQ(table.find(id), nullptr);
  }
}

}  // namespace
}  // namespace beaconsill::scheduler
