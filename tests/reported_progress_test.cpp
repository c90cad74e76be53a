// Tests the handling of task progress that shard leaders report before they record it.
#include "scheduler/reported_progress.h"

#include <gtest/gtest.h>

namespace beaconsill::scheduler {
namespace {

const JobId kJob("run-1");

protocol::ProgressReport report(std::uint64_t term, const Ranges& done, const Ranges& released,
                                std::uint64_t generation = 1) {
  protocol::JobProgress job{kJob, done, {}};
  if (!released.empty()) job.released.push_back({Generation(generation), released});
  return {ShardId(0), Term(term), {job}};
}

Ranges all_released_tasks(const ReportedProgress& reported) {
  const auto* shards = reported.find(kJob);
  Ranges tasks;
  if (shards)
    for (const auto& entry : shards->at(ShardId(0)).progress.released) tasks.add(entry.tasks);
  return tasks;
}

TEST(ReportedProgress, AcceptsReleasesOnlyUnderTheCurrentTerm) {
  struct Case {
    const char* description;
    std::vector<protocol::ProgressReport> reports;
    std::uint32_t expected_done, expected_released;
  };
  const auto span = &Ranges::span;
  const Case cases[] = {
      {"current term", {report(2, span(0, 1), span(5, 8))}, 1, 3},
      {"earlier term", {report(1, span(0, 1), span(5, 8))}, 1, 0},
      {"later term", {report(3, span(0, 1), span(5, 8))}, 1, 0},
      {"duplicate report", {report(2, {}, span(5, 8)), report(2, {}, span(5, 8))}, 0, 3},
      {"an older report arrives later", {report(2, {}, span(5, 8)), report(2, {}, span(5, 6))}, 0, 3},
      {"two generations", {report(2, {}, span(5, 8), 1), report(2, {}, span(1, 2), 2)}, 0, 4},
  };
  for (const auto& test_case : cases) {
    ReportedProgress reported;
    reported.on_terms({{ShardId(0), Term(2)}});
    for (const auto& message : test_case.reports) reported.on_report(message);
    ASSERT_NE(reported.find(kJob), nullptr) << test_case.description;
    EXPECT_EQ(reported.find(kJob)->at(ShardId(0)).progress.done.count(), test_case.expected_done)
        << test_case.description;
    EXPECT_EQ(all_released_tasks(reported).count(), test_case.expected_released) << test_case.description;
  }
}

TEST(ReportedProgress, NewTermDiscardsReleasesButNotCompletions) {
  ReportedProgress reported;
  reported.on_terms({{ShardId(0), Term(1)}});
  reported.on_report(report(1, Ranges::span(0, 2), Ranges::span(5, 8)));
  EXPECT_TRUE(reported.on_terms({{ShardId(0), Term(1)}}).empty());
  EXPECT_EQ(reported.on_terms({{ShardId(0), Term(2)}}), std::vector{kJob});
  EXPECT_TRUE(all_released_tasks(reported).empty());
  EXPECT_EQ(reported.find(kJob)->at(ShardId(0)).progress.done, Ranges::span(0, 2));
  // There are no releases left to discard.
  EXPECT_TRUE(reported.on_terms({{ShardId(0), Term(3)}}).empty());
  reported.erase(kJob);
  EXPECT_EQ(reported.find(kJob), nullptr);
}

}  // namespace
}  // namespace beaconsill::scheduler
