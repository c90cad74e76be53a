// Tests which jobs are selected for an estimation round, and when its responses are complete.
#include "scheduler/estimation_round.h"

#include "scheduler_fixture.h"

namespace beaconsill::scheduler {
namespace {

protocol::EstimateResponse response(std::uint64_t round, std::uint32_t shard, std::size_t requests) {
  return {round, ShardId(shard), Term(1), Revision(1), std::vector<protocol::CapacityByZone>(requests)};
}

TEST(EstimationRound, IgnoresUnexpectedResponses) {
  RoundSelection selection{{{JobId("run-1"), 0, false}, {JobId("run-2"), 1, false}}, {{}, {}}};
  struct Case {
    const char* what;
    protocol::EstimateResponse response;
    bool accepted;
  };
  const Case cases[] = {
      {"from a shard of the round", response(7, 0, 2), true},
      {"for another round", response(6, 0, 2), false},
      {"from a shard that the round doesn't wait for", response(7, 2, 2), false},
      {"with the wrong number of capacities", response(7, 0, 1), false},
  };
  for (const auto& test_case : cases) {
    EstimationRound round(7, at(0), {ShardId(0), ShardId(1)}, selection);
    EXPECT_EQ(round.on_response(test_case.response), test_case.accepted) << test_case.what;
    EXPECT_EQ(round.capacity(ShardId(0), round.candidates()[1]) != nullptr, test_case.accepted)
        << test_case.what;
  }
}

TEST(EstimationRound, IsCompleteWithAllResponsesOrAfterTheReplyWait) {
  EstimationRound round(7, at(0), {ShardId(0), ShardId(1)}, {{{JobId("run-1"), 0, false}}, {{}}});
  const Duration reply_wait = std::chrono::seconds(2);
  EXPECT_FALSE(round.responses_complete(at(1), reply_wait));
  EXPECT_TRUE(round.responses_complete(at(2), reply_wait));
  EXPECT_TRUE(round.on_response(response(7, 0, 1)));
  EXPECT_FALSE(round.responses_complete(at(1), reply_wait));
  EXPECT_TRUE(round.on_response(response(7, 1, 1)));
  EXPECT_TRUE(round.responses_complete(at(1), reply_wait));
}

// Most places of a round go to the head of the queue, the others to the jobs that were not in a round for the
// longest time.
TEST(RoundSelection, SelectsTheHeadOfTheQueueAndTheJobsLeastRecentlyConsidered) {
  struct Case {
    const char* what;
    int jobs;
    bool different_requests;
    std::size_t candidates, requests;
    int last_of_head;  // index of the last job that is selected as part of the head
  };
  const Case cases[] = {
      {"a place for each job", 10, false, 10, 1, 9},
      {"more jobs than places", 40, false, 24, 1, 17},
      {"more requests than places", 40, true, 16, 16, 11},
  };
  for (const auto& test_case : cases) {
    JobTable jobs;
    QuotaLedger quota({});
    CrashLoopBackoff crash_loops;
    DeadlinePlanner deadlines({}, Duration(0));
    std::vector<QueuedJob> queue;
    for (int i = 0; i < test_case.jobs; ++i) {
      protocol::JobSpec spec;
      spec.id = JobId("run-" + std::to_string(100 + i));
      spec.each = {1, 0, test_case.different_requests ? 1.0 + i : 1.0};
      auto& entry = jobs.find_or_insert(spec.id);
      entry.record.spec = std::make_shared<const protocol::JobSpec>(spec);
      entry.last_considered = at(-i);  // the last job of the queue was considered least recently
      queue.push_back({});
      queue.back().id = spec.id;
    }
    WaitingJobs waiting(jobs, quota, crash_loops, deadlines);
    auto selection = select_for_round(queue, jobs, waiting, at(1), WallMs(0));
    ASSERT_EQ(selection.candidates.size(), test_case.candidates) << test_case.what;
    EXPECT_EQ(selection.resource_requests.size(), test_case.requests) << test_case.what;
    auto head = static_cast<std::size_t>(test_case.last_of_head);
    EXPECT_EQ(selection.candidates[head].job, queue[head].id) << test_case.what;
    EXPECT_EQ(selection.candidates.back().job, queue.back().id) << test_case.what;
    for (const auto& candidate : selection.candidates)
      EXPECT_EQ(jobs.at(candidate.job).last_considered, at(1)) << test_case.what;
  }
}

}  // namespace
}  // namespace beaconsill::scheduler
