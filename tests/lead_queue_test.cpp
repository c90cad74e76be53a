// The split among shards, and in which order jobs are served.
#include "lead_bench.h"

namespace beaconsill::scheduler {
namespace {

TEST(Split, ByProportionsNeverMoreThanTheRoom) {
  struct Case {
    std::uint32_t tasks;
    std::vector<std::uint32_t> rooms, shares;
  };
  const Case cases[] = {
      {10, {10, 10}, {5, 5}},
      {10, {30, 10}, {8, 2}},
      {100, {3, 4}, {3, 4}},
      {1, {5, 9, 9}, {0, 1, 0}},
      {0, {5}, {0}},
      {7, {0, 0}, {0, 0}},
      {3, {1, 1, 1, 1}, {1, 1, 1, 0}},
      {100000, {100000, 100000, 100000}, {33334, 33333, 33333}},
      {5, {0, 7, 0}, {0, 5, 0}},
  };
  for (const auto& c : cases) {
    std::vector<ShardCapacity> rooms;
    for (std::size_t i = 0; i < c.rooms.size(); ++i)
      rooms.push_back({ShardId(static_cast<std::uint32_t>(i)), std::nullopt, c.rooms[i]});
    std::vector<std::uint32_t> got(c.rooms.size());
    for (const auto& s : apportion(c.tasks, rooms)) got[s.shard.value()] = s.tasks;
    EXPECT_EQ(got, c.shares) << c.tasks;
  }
}

TEST(Queue, PriorityThenGuaranteeThenShareThenDue) {
  struct Case {
    const char* what;
    std::vector<QueuedJob> jobs;
    std::map<Team, Resources> usage;
    std::vector<const char*> order;
  };
  auto job = [](const char* id, const char* t, Priority p, std::int64_t due, double cpus) {
    return QueuedJob{JobId(id), Team(t), p, due, due, {cpus, 0, 0}, 0};
  };
  const Case cases[] = {
      {"priority",
       {job("a", "x", Priority::kNormal, 1, 1), job("b", "y", Priority::kHigh, 9, 1)},
       {},
       {"b", "a"}},
      {"due within a team",
       {job("a", "x", Priority::kNormal, 9, 1), job("b", "x", Priority::kNormal, 1, 1)},
       {},
       {"b", "a"}},
      {"guarantee before borrowing",
       {job("a", "x", Priority::kNormal, 1, 1), job("b", "y", Priority::kNormal, 9, 1)},
       {{Team("x"), {10, 0, 0}}, {Team("y"), {9, 0, 0}}},
       {"b", "a"}},
      {"teams take turns by shares",
       {job("a", "x", Priority::kNormal, 1, 4), job("b", "x", Priority::kNormal, 2, 4),
        job("c", "y", Priority::kNormal, 3, 4), job("d", "y", Priority::kNormal, 4, 4)},
       {},
       {"a", "c", "b", "d"}},
  };
  for (const auto& c : cases) {
    std::vector<JobId> want;
    for (auto* id : c.order) want.emplace_back(id);
    std::vector<JobId> got;
    for (auto& q : serve_order(c.jobs, {team("x", 10), team("y", 10)}, c.usage)) got.push_back(q.id);
    EXPECT_EQ(got, want) << c.what;
  }
}

TEST(Queue, PutsTheLargestOffWhenNotAllCanBeInTime) {
  struct Case {
    const char* what;
    std::vector<TimedJob> jobs;
    std::vector<double> start;  // 0: none
    double begun = 0;
  };
  auto job = [](const char* id, double work, std::vector<double> due, double least = 0) {
    return TimedJob{JobId(id), work, least, std::move(due)};
  };
  const Case cases[] = {
      {"all in time", {job("a", 50, {10, 20}), job("b", 50, {10, 20})}, {10, 10}},
      {"one too many: the large one waits",
       {job("a", 90, {10, 20}), job("b", 20, {10, 20}), job("c", 20, {10, 20})},
       {20, 10, 10}},
      {"too late for the first, not for the second",
       {job("a", 10, {-1, 5}), job("b", 10, {10, 20})},
       {5, 10}},
      {"no time that it could keep", {job("a", 10, {-9, -1}), job("b", 10, {})}, {0, 0}},
      {"its tasks alone take too long", {job("a", 10, {10, 20}, 15)}, {12.5}},
      {"the last of it ends half a run time later", {job("a", 90, {10, 20}, 4)}, {18}},
      {"what runs already comes first", {job("a", 50, {10, 20})}, {20}, 60},
      {"what runs already takes longer than all times", {job("a", 50, {10, 20})}, {0}, 300},
      {"longer than the first times", {job("a", 5, {10, 40}), job("b", 5, {20, 40})}, {40, 40}, 300},
      {"hopeless: the others don't make way", {job("a", 100, {10, 30}), job("b", 500, {10, 20})}, {10, 0}},
      // Found on days with bursts: the largest, put off to their last time, missed that for the sake of small
      // jobs that came later, and waited for up to ten minutes.
      {"at its last time the large one goes first, small ones are put off",
       {job("a", 90, {10}), job("b", 20, {5, 20}), job("c", 20, {9, 20}), job("d", 5, {9, 20})},
       {10, 20, 20, 9}},
  };
  for (const auto& c : cases) {
    auto planned = plan_starts(c.jobs, 10, c.begun);
    std::vector<double> got;
    for (const auto& j : c.jobs) got.push_back(planned.contains(j.id) ? planned.at(j.id) : 0);
    EXPECT_EQ(got, c.start) << c.what;
  }
}

// Nobody starves. A job of which nothing has begun goes first after the longest wait, the oldest first, and
// some time later before work of higher priority.
TEST(Queue, OverdueJobsGoFirst) {
  struct Case {
    const char* what;
    int large, small, high;  // how overdue
    std::vector<const char*> order;
  };
  const Case cases[] = {
      {"by priority and due time", 0, 0, 0, {"high", "small", "large"}},
      {"the large one waited too long", 1, 0, 0, {"high", "large", "small"}},
      {"both did: the older first, whatever the team has", 1, 1, 0, {"high", "large", "small"}},
      {"long overdue goes before any priority", 2, 1, 0, {"large", "high", "small"}},
      {"unless that is as overdue and older", 2, 0, 2, {"large", "high", "small"}},
  };
  for (const auto& c : cases) {
    std::vector<QueuedJob> jobs{
        {JobId("large"), Team("x"), Priority::kNormal, 9, 1, {900, 0, 0}, c.large},
        {JobId("small"), Team("y"), Priority::kNormal, 5, 2, {1, 0, 0}, c.small},
        {JobId("high"), Team("y"), Priority::kHigh, 7, 3, {1, 0, 0}, c.high},
    };
    std::vector<std::string> got, want(c.order.begin(), c.order.end());
    for (auto& q : serve_order(jobs, {team("x", 10), team("y", 10)}, {{Team("x"), {50, 0, 0}}}))
      got.push_back(q.id.value());
    EXPECT_EQ(got, want) << c.what;
  }
}

// Steady overload: twice what the machines can do, small jobs always in time, a large one put off by every
// plan.
TEST(Queue, TheLargestBeginUnderSteadyOverload) {
  Bench b;
  auto timed = [](double deadline) {
    return [deadline](protocol::JobSpec& s) {
      s.job_class = "day";
      s.estimate_s = 1;
      s.deadline_s = deadline;
    };
  };
  std::optional<double> begun;
  int n = 0;
  for (double t = 1; t < 240 && !begun; t += 1) {
    for (int k = 0; k < 2; ++k) {
      auto id = "run-" + std::to_string(++n);
      b.job(id.c_str(), 6, timed(5));
      b.jobs[id].record.submitted = WallMs(static_cast<std::int64_t>(t * 1000));
      b.publish(id.c_str(), t);
    }
    if (t == 20) {
      b.job("run-999", 4000, timed(400));
      b.jobs["run-999"].record.submitted = WallMs(20000);
      b.publish("run-999", t);
    }
    auto g = b.round(t, {{0, room(10)}, {1, {}}}, false, t);
    b.record(g, t);
    for (auto& x : g)
      if (x.job == JobId("run-999")) begun = t;
    // What was granted is done by the next round.
    for (auto& x : g) {
      auto& j = b.jobs[x.job.value()];
      for (auto& chunk : j.grants.value.chunks) j.progress[ShardId(0)].value.done.add(chunk.tasks);
      j.progress[ShardId(0)].version = Revision(++b.revision);
      b.publish(x.job.value().c_str(), t);
    }
  }
  ASSERT_TRUE(begun);
  EXPECT_GE(*begun, 120);  // put off, but not for longer than that
  EXPECT_LT(*begun, 130);
}

// A gang needs its room all at once; arrays that take whatever becomes free give way to it once it's overdue.
TEST(Queue, ArraysGiveWayToAnOverdueGang) {
  for (double wall : {50.0, 150.0, 400.0}) {
    Bench b;
    b.job("run-1", 8, [](protocol::JobSpec& s) { s.kind = JobKind::kGang; });
    b.job("run-2", 100);
    b.jobs["run-2"].record.submitted = WallMs(static_cast<std::int64_t>(wall * 1000));
    b.publish("run-2", 0);
    auto g = b.round(1, {{0, room(4)}, {1, {}}}, false, wall);
    EXPECT_EQ(g.empty(), wall == 150.0) << wall;
  }
}

}  // namespace
}  // namespace beaconsill::scheduler
