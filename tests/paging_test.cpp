// Tests of paging: summaries and progress reports of any size must be sent in frames that receivers accept,
// and a summary must be reassembled completely or dropped.
#include "protocol/paging.h"

#include <gtest/gtest.h>

namespace beaconsill::protocol {
namespace {

constexpr std::size_t kMaxFrameBytes =
    std::size_t{1024} * 1024;  // bytes that receivers of all versions accept

Summary make_summary(std::size_t machines, std::size_t jobs) {
  Summary summary{ShardId(1), Term(7), Revision(30), {}, {}};
  for (std::size_t i = 0; i < machines; ++i)
    summary.machines.push_back({MachineName("host-" + std::to_string(1000000 + i)),
                                MachineType("a-type-of-thirty-characters-xx"),
                                Zone("a-zone-of-thirty-characters-xx"),
                                true,
                                {4, 0, 16},
                                3.5,
                                true});
  for (std::size_t i = 0; i < jobs; ++i)
    summary.running.push_back({JobId("run-" + std::to_string(10000000 + i)), 3});
  return summary;
}

TEST(Paging, SummaryOfAnySizeIsReassembledFromItsPages) {
  struct Case {
    std::size_t machines, jobs, pages;
  };
  for (const auto& test_case : {Case{0, 0, 1}, Case{1, 1, 1}, Case{700, 4000, 1}, Case{6000, 60000, 7}}) {
    SummaryAssembler assembler;
    std::optional<Summary> whole;
    auto pages = split_into_pages(make_summary(test_case.machines, test_case.jobs));
    EXPECT_EQ(pages.size(), test_case.pages);
    for (const auto& page : pages) {
      EXPECT_FALSE(whole);
      auto bytes = encode_peer({ControllerName("a"), page});
      EXPECT_LT(bytes.size(), kMaxFrameBytes);
      auto message = decode_peer(bytes);
      ASSERT_TRUE(message);
      whole = assembler.add(std::get<Summary>(message->payload));
    }
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->machines.size(), test_case.machines);
    EXPECT_EQ(whole->running.size(), test_case.jobs);
    EXPECT_EQ(whole->term, Term(7));
    EXPECT_EQ(whole->seen, Revision(30));
  }
}

TEST(Paging, SummaryWithAMissingPageIsDropped) {
  auto pages = split_into_pages(make_summary(0, 60), 800);
  ASSERT_GE(pages.size(), 3u);
  SummaryAssembler assembler;
  for (std::size_t i = 0; i < pages.size(); ++i) {
    if (i == 1) continue;
    EXPECT_FALSE(assembler.add(pages[i])) << i;
  }
  // The first page of a new summary replaces an incomplete one, and a later summary with all pages is
  // complete.
  EXPECT_FALSE(assembler.add(pages[0]));
  std::optional<Summary> whole;
  for (const auto& page : pages) whole = assembler.add(page);
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole->running.size(), 60u);
  // A page of another term does not belong to the incomplete summary.
  assembler.add(pages[0]);
  auto page_of_another_term = pages[1];
  page_of_another_term.term = Term(8);
  EXPECT_FALSE(assembler.add(page_of_another_term));
  // Versions without pages send a single message.
  EXPECT_TRUE(assembler.add(make_summary(2, 2)));
}

TEST(Paging, PagesOfAProgressReportOfAnySizeFitIntoFrames) {
  ProgressReport report{ShardId(0), Term(2), {}};
  Ranges alternate_tasks;
  for (std::uint32_t i = 0; i < 300; i += 2) alternate_tasks.add(i);
  for (std::size_t i = 0; i < 6000; ++i)
    report.jobs.push_back(
        {JobId("run-" + std::to_string(i)), alternate_tasks, {{Generation(2), alternate_tasks}}});
  auto pages = split_into_pages(report);
  EXPECT_GT(pages.size(), 1u);
  std::size_t jobs = 0;
  for (const auto& page : pages) {
    EXPECT_LT(encode_peer({ControllerName("a"), page}).size(), kMaxFrameBytes);
    EXPECT_EQ(page.term, Term(2));
    jobs += page.jobs.size();
  }
  EXPECT_EQ(jobs, report.jobs.size());
  EXPECT_EQ(split_into_pages(ProgressReport{ShardId(0), Term(2), {}}).size(), 1u);
}

}  // namespace
}  // namespace beaconsill::protocol
