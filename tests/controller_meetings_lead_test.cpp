// Meetings of troubles as the leader's ledger sees them: changes of owners and leaders, lost answers, teams
// at their limit. docs/meetings-controllers.md lists the meetings.
#include <gtest/gtest.h>

#include "lead/lead.h"

namespace beaconsill::lead {
namespace {

using store::End;

constexpr double kLimit_cpus = 10;

Instant at(double s) {
  return Instant{} + from_seconds(1000 + s);
}

std::map<PartId, Term> terms(std::uint64_t of_part_0) {
  return {{PartId(0), Term(of_part_0)}, {PartId(1), Term(1)}};
}

// Jobs of one team that is limited to 10 CPUs, each task taking one.
struct Ledger {
  Ledger()
      : lead({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
             {{Team("blue"), 0, kLimit_cpus, 0, 0}}, {}) {
    lead.on_terms(terms(1));
  }
  store::Job& job(const char* id, std::uint32_t tasks) {
    wire::JobSpec s;
    s.id = JobId(id);
    s.team = Team("blue");
    s.tasks = tasks;
    s.each = {1, 0, 1};
    auto& j = jobs[id];
    j.record = {std::make_shared<const wire::JobSpec>(s), WallMs(0)};
    j.created = Revision(1);
    return j;
  }
  void show(const char* id, double t, std::optional<End> end = std::nullopt) {
    lead.on_job(JobId(id), &jobs[id], end, at(t));
  }
  // What waits, as far as the team's limit leaves room for it.
  std::uint32_t wanted(double t) const {
    std::uint32_t n = 0;
    for (const auto& d : lead.demand(at(t))) n += d.shape.wanted;
    return n;
  }
  std::vector<Lead::Grant> round(double t) {
    auto ask = lead.begin_round(at(t), WallMs(0), {PartId(0)});
    if (!ask) return {};
    wire::ShapeRoom room{{Zone("a"), 100, 0, 0, 0}};
    lead.on_answer({ask->round, PartId(0), Term(1), Revision(9), std::vector(ask->shapes.size(), room)},
                   at(t));
    return lead.decide(at(t), terms(1)).value_or(std::vector<Lead::Grant>{});
  }

  Lead lead;
  std::map<std::string, store::Job> jobs;
};

store::Chunk chunk(std::uint64_t generation, std::uint32_t first, std::uint32_t last) {
  return {Generation(generation), PartId(0), Term(1), Ranges::span(first, last), {}, false, {}};
}

// A team is at its limit, jobs are cancelled whose machines can't be asked, and the leader changes: what the
// new one reads is the whole of the ledger, and nothing leaves it by a word that isn't the present owner's.
TEST(Meetings, ANewLeaderChargesCancelledTasksUntilTheirOwnerReturnsThem) {
  struct Case {
    const char* what;
    std::optional<std::uint64_t> told_under;  // term of the part's owner that says so
    bool recorded;
    std::uint32_t left;
  };
  const Case cases[] = {
      {"its machine can't be asked", std::nullopt, false, 6},
      {"an earlier owner says that it's off", 1, false, 6},
      {"a later owner than is known says so", 3, false, 6},
      {"the present owner says so", 2, false, 10},
      {"it is recorded", std::nullopt, true, 10},
  };
  for (const auto& c : cases) {
    Ledger l;
    l.lead.on_terms(terms(2));
    auto& cancelled = l.job("run-1", 4);
    cancelled.grants = {{{chunk(1, 0, 4)}, Generation(1)}, Revision(2)};
    if (c.recorded)
      cancelled.progress[PartId(0)] = {{{}, {{Generation(1), Ranges::span(0, 4)}}}, Revision(3)};
    l.show("run-1", 1, End::kCancelled);
    l.job("run-2", 20);
    l.show("run-2", 1);
    if (c.told_under) {
      l.lead.on_outcomes(
          {PartId(0), Term(*c.told_under), {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 4)}}}}},
          at(2));
      l.show("run-1", 2, End::kCancelled);
    }
    EXPECT_EQ(l.wanted(2), c.left) << c.what;
  }
}

// Owners and leaders change ten times: what any of them told to be done stays done, and what one told to be
// returned counts under its own term only.
TEST(Meetings, TenOwnersTellOfOneJob) {
  Ledger l;
  auto& j = l.job("run-1", 10);
  j.grants = {{{chunk(1, 0, 10)}, Generation(1)}, Revision(2)};
  l.show("run-1", 0);
  for (std::uint32_t n = 0; n < 10; ++n) {
    std::uint64_t term = n + 1;
    l.lead.on_terms(terms(term));
    l.show("run-1", n);
    EXPECT_EQ(l.wanted(n), 0u) << "an earlier owner's return still counts under term " << term;
    l.lead.on_outcomes({PartId(0),
                        Term(term),
                        {{JobId("run-1"), Ranges::span(n, n + 1), {{Generation(1), Ranges::span(9, 10)}}}}},
                       at(n));
    l.show("run-1", n);
    EXPECT_EQ(l.wanted(n), n < 9 ? 1u : 0u) << n;
    EXPECT_EQ(l.lead.finished().size(), n == 9 ? 1u : 0u) << n;
  }
}

// A copy of an earlier owner's word comes late, after the part has its next owner, or the task its next
// generation: the task counts as out.
TEST(Meetings, LateWordOfAReturnDoesNotFreeWhatWasGrantedAnew) {
  Ledger l;
  auto& j = l.job("run-1", 4);
  j.grants = {{{chunk(2, 0, 4)}, Generation(2)}, Revision(2)};
  l.show("run-1", 0);
  l.lead.on_outcomes({PartId(0), Term(1), {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 4)}}}}},
                     at(1));
  l.show("run-1", 1);
  EXPECT_EQ(l.wanted(1), 0u);
  EXPECT_TRUE(l.lead.drained().empty());
}

// Grants without an answer: until it's known that they can't be applied any more, no other round begins.
TEST(Meetings, NoRoundBeginsWhileGrantsHaveNoAnswer) {
  Ledger l;
  l.job("run-1", 10);
  l.show("run-1", 0);
  auto grants = l.round(1);
  ASSERT_EQ(grants.size(), 1u);
  l.job("run-2", 10);
  l.show("run-2", 2);
  EXPECT_TRUE(l.round(5).empty());
  EXPECT_TRUE(l.round(60).empty());
  l.lead.on_granted(grants, std::nullopt, at(61));
  EXPECT_FALSE(l.round(62).empty());
}

}  // namespace
}  // namespace beaconsill::lead
