// Whole meetings of troubles, in the scripted form of the simulation: every rule is checked at all times, and
// in the end all jobs are served. docs/meetings-controllers.md lists the meetings.
#include <gtest/gtest.h>

#include "base/log.h"
#include "sim/world.h"

namespace beaconsill::sim {
namespace {

constexpr std::uint64_t kSeeds = 12;
constexpr double kLongRun_s = 60;

struct Meeting {
  const char* name;
  std::function<void(World&)> script;
};

// Arrays and services of both teams, some of them as large as their team's limit.
void jobs(World& w) {
  w.submit(2, array_job("run-1", 30, "blue"), 0, kLongRun_s);
  w.submit(2.1, service_job("run-2", 4, "green"), 1);
  w.submit(2.2, array_job("run-3", 20, "green"), 2);
  w.submit(2.3, array_job("run-4", 10, "blue"), 0);
}

// Users repeat a cancellation that is refused: until the other controllers have acknowledged it, or the state
// service is there again.
void cancel_and_ask(World& w, double at_s, const char* id, int controller) {
  for (double d : {0.0, 1.5, 4.0, 15.0, 30.0, 50.0}) w.cancel(at_s + d, JobId(id), controller);
  w.poll_all(at_s + 0.01, JobId(id));
  w.poll_all(at_s + 0.5, JobId(id));
  w.poll_all(at_s + 3, JobId(id));
}

const Meeting kMeetings[] = {
    {"the leader is refused as jobs are cancelled, then the state service is out beyond cancel_s",
     [](World& w) {
       w.trouble({.at_s = 15, .kind = TroubleKind::kStateRefusesNode, .for_s = 20, .who = Who::leader()});
       cancel_and_ask(w, 15, "run-1", 1);
       cancel_and_ask(w, 15, "run-1", 2);
       w.trouble({.at_s = 16, .kind = TroubleKind::kStateOutage, .for_s = kCancelLimit + 5});
     }},
    {"tasks end far apart across changes of leader",
     [](World& w) {
       w.submit(3, array_job("run-5", 2, "green"), 0, 8);
       w.submit(3, array_job("run-6", 3, "green"), 1, 45);
       for (double t : {12.0, 25.0, 40.0})
         w.trouble({.at_s = t, .kind = TroubleKind::kNodeEnds, .for_s = 4, .who = Who::leader()});
     }},
    {"the leader ends while machines with long tasks don't hear its successor",
     [](World& w) {
       w.trouble({.at_s = 15,
                  .kind = TroubleKind::kMachineDeaf,
                  .for_s = 25,
                  .which = Which::of_job(JobId("run-1"), 2)});
       w.trouble({.at_s = 15, .kind = TroubleKind::kMachineHangs, .for_s = 8, .which = Which::drawn(2)});
       w.trouble({.at_s = 15.5, .kind = TroubleKind::kNodeEnds, .for_s = 6, .who = Who::leader()});
     }},
    {"the leader is cut off with its workers and users, jobs are cancelled through the new one",
     [](World& w) {
       w.trouble(
           {.at_s = 15, .kind = TroubleKind::kNodeCutFromStateAndPeers, .for_s = 30, .who = Who::leader()});
       for (int n = 0; n < kControllers; ++n) cancel_and_ask(w, 21, "run-1", n);
     }},
    {"leaders change ten times, also inside an outage",
     [](World& w) {
       for (int i = 0; i < 10; ++i)
         w.trouble({.at_s = 12.0 + 11 * i, .kind = TroubleKind::kNodeEnds, .for_s = 1, .who = Who::leader()});
       w.trouble({.at_s = 50, .kind = TroubleKind::kStateOutage, .for_s = 18});
       cancel_and_ask(w, 57, "run-2", 0);
     }},
    {"teams at their limit, cancelled jobs on machines that hang, the leader changes",
     [](World& w) {
       w.submit(10, array_job("run-5", 30, "blue"), 0, 10);
       w.trouble({.at_s = 15,
                  .kind = TroubleKind::kMachineHangs,
                  .for_s = 25,
                  .which = Which::of_job(JobId("run-1"), 3)});
       w.trouble({.at_s = 15,
                  .kind = TroubleKind::kMachineDeaf,
                  .for_s = 20,
                  .which = Which::of_job(JobId("run-1"), 2)});
       cancel_and_ask(w, 15.2, "run-1", 1);
       w.trouble({.at_s = 15.4, .kind = TroubleKind::kNodeEnds, .for_s = 3, .who = Who::leader()});
     }},
    {"a cancellation, questions and a repeated submission meet the end of the last task",
     [](World& w) {
       auto job = array_job("run-5", 1, "green");
       w.submit(3, job, 0, 10);
       for (double t = 12; t < 18; t += 0.15) {
         w.poll_all(t, job.id);
         w.submit(t + 0.05, job, static_cast<int>(t) % kControllers);
       }
       w.cancel(14.5, job.id, 1);
       w.cancel(15.1, job.id, 2);
     }},
};

TEST(Meetings, KeepEveryRule) {
  spdlog::set_level(spdlog::level::off);
  for (const auto& m : kMeetings)
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      World w(Options::scripted(seed));
      jobs(w);
      m.script(w);
      auto r = w.run();
      EXPECT_TRUE(r.broken.empty()) << m.name << ", seed " << seed << ": " << r.first;
      EXPECT_GT(r.started, 0) << m.name;
    }
}

// What these meetings find when the service makes the mistake.
TEST(Meetings, FindSeededMistakes) {
  spdlog::set_level(spdlog::level::off);
  struct Case {
    Mistake mistake;
    const char* rule;
  };
  const Case cases[] = {
      {Mistake::kCancellationUnseen, "ran_cancelled"},
      {Mistake::kLimitIgnored, "quota"},
      {Mistake::kDoneTooSoon, "not_done"},
      {Mistake::kReturnsUntold, "starved"},
  };
  for (const auto& c : cases) {
    int found = 0;
    for (const auto& m : kMeetings)
      for (std::uint64_t seed = 1; seed <= kSeeds && found == 0; ++seed) {
        auto o = Options::scripted(seed);
        o.mistake = c.mistake;
        World w(o);
        jobs(w);
        m.script(w);
        found += w.run().broken[c.rule];
      }
    EXPECT_GT(found, 0) << c.rule;
  }
}

}  // namespace
}  // namespace beaconsill::sim
