// Whole meetings of troubles in the scripted form of the simulation: the rules are checked all the time, and
// in the end every job is served. See docs/meetings.md.
#include <gtest/gtest.h>

#include "base/log.h"
#include "sim/world.h"

namespace beaconsill::sim {
namespace {

constexpr std::uint64_t kSeeds = 10;
constexpr double kLong_s = 45;  // run time of tasks that are out when the troubles come

struct Meeting {
  const char* name;
  std::function<void(World&)> script;
};

protocol::JobSpec zone_array(const char* id, std::uint32_t tasks, const char* zone) {
  auto s = array_job(id, tasks);
  s.zone = Zone(zone);
  return s;
}
// As users do, who repeat what wasn't answered: a scripted request is sent once.
void submit(World& w, double at_s, const protocol::JobSpec& job, int controller,
            std::optional<double> run_s = {}) {
  for (double d : {0.0, 1.0, 2.5, 4.0}) w.submit(at_s + d, job, controller++ % kControllers, run_s);
}
// Controllers end and come back; 0.4 s is within the hold of their presence.
void end_node(World& w, double at_s, Who who, double for_s) {
  w.trouble({.at_s = at_s, .kind = TroubleKind::kNodeEnds, .for_s = for_s, .who = who});
}
void look_closely(World& w, double at_s, const JobId& id) {
  for (double d : {0.002, 0.01, 0.05, 0.2, 1.0}) w.poll_all(at_s + d, id);
}

const Meeting kMeetings[] = {
    {"jobs bound to one zone lose machines",
     [](World& w) {
       auto bound = array_job("run-1", 6);
       bound.one_zone = true;
       submit(w, 2, bound, 0, kLong_s);
       submit(w, 2, zone_array("run-2", 6, "east"), 1, kLong_s);
       w.trouble({.at_s = 12, .kind = TroubleKind::kMachineEnds, .which = Which::of_job(JobId("run-1"), 2)});
       w.trouble({.at_s = 13,
                  .kind = TroubleKind::kMachineHangs,
                  .for_s = 15,
                  .which = Which::of_job(JobId("run-2"), 2)});
       end_node(w, 14, Who::leader(), 5);
     }},
    {"users look, repeat and cancel at all nodes right after each answer",
     [](World& w) {
       for (int i = 0; i < 6; ++i) {
         auto job = array_job("run-" + std::to_string(i + 1), 2);
         double t = 3 + i;
         submit(w, t, job, i % kControllers, 4);
         look_closely(w, t, job.id);
         submit(w, t + 0.03, job, (i + 1) % kControllers, 4);
         if (i % 2 == 0) w.cancel(t + 0.06, job.id, (i + 2) % kControllers);
         look_closely(w, t + 0.06, job.id);
         submit(w, t + 0.5, job, (i + 1) % kControllers, 4);
       }
     }},
    {"one-task jobs four a second, a quarter cancelled",
     [](World& w) {
       for (int i = 0; i < 120; ++i) {
         auto job = array_job("run-" + std::to_string(i + 1), 1, i % 2 ? "blue" : "green");
         double t = 3 + i * 0.25;
         submit(w, t, job, i % kControllers, 3);
         if (i % 4 == 0) w.cancel(t + (i % 8 ? 0.4 : 2.5), job.id, (i + 1) % kControllers);
       }
       end_node(w, 15, Who::leader(), 3);
     }},
    {"the team at its limit, the leader ends, machines are deaf, jobs are cancelled",
     [](World& w) {
       submit(w, 2, array_job("run-1", 30), 0, kLong_s);
       submit(w, 3, array_job("run-2", 30), 1, 5);
       w.trouble({.at_s = 12,
                  .kind = TroubleKind::kMachineDeaf,
                  .for_s = 12,
                  .which = Which::of_job(JobId("run-1"), 3)});
       end_node(w, 12.2, Who::leader(), 4);
       w.cancel(12.6, JobId("run-1"), 1);
       w.cancel(12.7, JobId("run-1"), 2);
       w.cancel(14, JobId("run-1"), 0);
     }},
    {"all controllers are away for longer than a lease",
     [](World& w) {
       submit(w, 2, array_job("run-1", 10), 0, kLong_s);
       submit(w, 2, service_job("run-2", 4), 1);
       w.cancel(11.9, JobId("run-1"), 2);
       end_node(w, 12, Who::all(), kLease + 4);
       look_closely(w, 27, JobId("run-1"));
       look_closely(w, 27, JobId("run-2"));
     }},
    {"the state service refuses the leader, then everybody for longer than a cancellation has",
     [](World& w) {
       submit(w, 2, array_job("run-1", 10), 0, 80);
       submit(w, 2, service_job("run-2", 4), 1);
       w.trouble({.at_s = 12, .kind = TroubleKind::kStateRefusesNode, .for_s = 14, .who = Who::leader()});
       for (int n = 0; n < kControllers; ++n) w.cancel(13, JobId("run-1"), n);
       w.trouble({.at_s = 14, .kind = TroubleKind::kStateOutage, .for_s = kCancelLimit + 8});
       look_closely(w, 14, JobId("run-1"));
       look_closely(w, 30, JobId("run-2"));
     }},
    {"controllers hand over and back, all end, one returns within a second",
     [](World& w) {
       submit(w, 2, array_job("run-1", 12), 0, kLong_s);
       submit(w, 2, service_job("run-2", 6, "green"), 1);
       for (int i = 0; i < 6; ++i)
         end_node(w, 10 + 3.0 * i, Who::controller(i % kControllers), i % 2 ? 0.4 : 4);
       end_node(w, 32, Who::controller(0), 0.5);
       end_node(w, 32.2, Who::controller(1), 12);
       end_node(w, 32.4, Who::controller(2), 14);
       w.cancel(33.5, JobId("run-1"), 0);
       look_closely(w, 33.5, JobId("run-1"));
     }},
    {"jobs are cancelled in the seconds in which a controller's work changes hands",
     [](World& w) {
       for (int i = 0; i < 8; ++i) submit(w, 2, array_job("run-" + std::to_string(i + 1), 3), i % 3, kLong_s);
       end_node(w, 12, Who::leader(), 5);
       for (int i = 0; i < 8; ++i)
         for (int n = 0; n < kControllers; ++n)
           w.cancel(12.1 + 0.9 * i, JobId("run-" + std::to_string(i + 1)), n);
       w.trouble({.at_s = 13,
                  .kind = TroubleKind::kMachineHangs,
                  .for_s = 6,
                  .which = Which::of_job(JobId("run-4"), 2)});
     }},
};

TEST(Meetings, KeepEveryRule) {
  spdlog::set_level(spdlog::level::off);
  for (const auto& m : kMeetings)
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      World w(Options::scripted(seed));
      m.script(w);
      auto r = w.run();
      EXPECT_TRUE(r.broken.empty()) << m.name << ", seed " << seed << ": " << r.first;
      EXPECT_GT(r.started, 0) << m.name;
    }
}

// The same with messages that are lost, late or come twice, late copies of reports and lost answers to
// transactions.
TEST(Meetings, KeepEveryRuleAmongLostMessages) {
  spdlog::set_level(spdlog::level::off);
  for (const auto& m : kMeetings)
    for (std::uint64_t seed = 101; seed < 101 + kSeeds; ++seed) {
      auto o = Options::scripted(seed);
      o.noise = true;
      World w(o);
      m.script(w);
      auto r = w.run();
      EXPECT_TRUE(r.broken.empty()) << m.name << ", seed " << seed << ": " << r.first;
    }
}

// A table that can't fail shows nothing: each of these mistakes is found by some of the meetings above.
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
      {Mistake::kZoneIgnored, "wrong_place"},
      {Mistake::kRegistryNotRead, "ran_twice"},
  };
  for (const auto& c : cases) {
    int found = 0;
    for (const auto& m : kMeetings)
      for (std::uint64_t seed = 1; seed <= kSeeds && found == 0; ++seed) {
        auto o = Options::scripted(seed);
        o.noise = true;
        o.mistake = c.mistake;
        World w(o);
        m.script(w);
        // What users are told is what counts; the tasks of this job end one after the other.
        submit(w, 3, array_job("run-9", 20), 1);
        for (double t = 5; t < 60; t += 0.4) w.poll(t, JobId("run-9"), 0);
        found += w.run().broken[c.rule];
      }
    EXPECT_GT(found, 0) << c.rule;
  }
}

}  // namespace
}  // namespace beaconsill::sim
