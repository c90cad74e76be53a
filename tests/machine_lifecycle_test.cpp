// What the owner concludes from reports that come, come late or fail to come, and how it deals with a
// machine.
#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

// With reports every 3 s a pause of over 4 s is nothing unusual: a sound machine must not be doubted for it.
TEST(Hearing, APauseWithinWhatReportsVaryByIsNoDoubt) {
  struct Case {
    double period, pause;
    bool usable;
  };
  const Case cases[] = {{1, 3, true}, {1, 4, false}, {3, 4.5, true}, {3, 5, false}};
  for (const auto& c : cases) {
    auto p = params();
    p.heartbeat_period = from_seconds(c.period);
    Bench b;
    b.shard = ShardManager(ShardId(0), Term(5), p, at(0));
    b.shard.set_catalogue(catalogue());
    b.add_ready_workers({"m1"});
    b.heartbeat("m1", c.pause);
    EXPECT_EQ(b.shard.machines().at(MachineName("m1")).usable(at(c.pause)), c.usable)
        << c.period << ' ' << c.pause;
  }
}

// A machine's reports arrive, answers and commands don't reach it: word from it isn't proof that it hears.
TEST(Hearing, NothingIsStartedWhereItIsInDoubt) {
  struct Case {
    const char* what;
    double pause;               // before the next report
    std::uint64_t incarnation;  // that it is of
    bool usable;
  };
  const Case cases[] = {
      {"reports as usual", 1, 1, true},
      {"a pause as of one that waited in vain for an answer", 5, 1, false},
      {"its lease ran out though it was answered", 1, 2, false},
  };
  for (const auto& c : cases) {
    Bench b;
    b.add_ready_workers({"m1"});
    b.worker("m1").incarnation = Incarnation(c.incarnation);
    b.heartbeat("m1", c.pause);
    EXPECT_EQ(b.shard.machines().at(MachineName("m1")).usable(at(c.pause)), c.usable) << c.what;
    if (c.usable) continue;
    // It's called on; whatever it reports, it's in use again only once it shows the raised token.
    auto calls = b.shard.take_command_batches(at(c.pause));
    ASSERT_EQ(calls.size(), 1u) << c.what;
    EXPECT_TRUE(calls[0].commands.empty());
    b.shard.on_commands(calls[0], ShardManager::CommandResult::kNoAnswer, std::nullopt, at(c.pause + 1));
    b.heartbeat("m1", c.pause + 1);
    EXPECT_FALSE(b.shard.machines().at(MachineName("m1")).usable(at(c.pause + 1))) << c.what;
    b.worker("m1").token = calls[0].token;
    b.heartbeat("m1", c.pause + 2);
    EXPECT_TRUE(b.shard.machines().at(MachineName("m1")).usable(at(c.pause + 2))) << c.what;
  }
}

TEST(Hearing, AMachineThatReportsButDoesNotHearIsDeleted) {
  Bench b;
  b.add_ready_workers({"m1", "m2", "m3", "m4"});
  b.grant("run-1", 4, 5, 0, Priority::kHigh);
  b.tick(0);
  std::size_t starts = 0;
  std::vector<MachineName> deleted;
  for (double t = 0.1; t < 12; t += 0.5) {
    for (auto* n : {"m1", "m2", "m3", "m4"}) b.heartbeat(n, t);
    b.tick(t);
    for (auto& batch : b.shard.take_command_batches(at(t))) {
      for (auto& x : batch.commands) starts += x.op == protocol::Command::Op::kStart;
      if (batch.machine == MachineName("m1")) {
        b.shard.on_commands(batch, ShardManager::CommandResult::kNoAnswer, std::nullopt, at(t + 0.2));
      } else {
        auto& w = b.worker(batch.machine.value().c_str());
        b.apply(w, batch);
        b.shard.on_commands(batch, ShardManager::CommandResult::kExecuted, w, at(t + 0.2));
      }
    }
    for (auto& m : b.shard.take_machines_to_delete(at(t))) {
      deleted.push_back(m);
      b.shard.on_deleted(m, at(t));
    }
  }
  EXPECT_EQ(deleted, std::vector<MachineName>{MachineName("m1")});
  EXPECT_EQ(starts, 8u);  // all four there once, then elsewhere once it's gone
}

// Copies of reports that come late: from half a second to well over a lease, before and after a takeover.
TEST(LateCopies, ProveNothing) {
  Bench old(4);
  old.worker("m1");
  old.register_all(0);
  old.heartbeat("m1", 0);
  auto early = old.worker("m1");
  for (int t = 1; t < 5; ++t) old.heartbeat("m1", t);
  for (double late : {0.5, 3.0, 12.0, 60.0}) {
    // To the owner that has newer word, neither life nor absence.
    old.shard.on_worker_heartbeat(early, at(4 + late));
    EXPECT_EQ(old.shard.machines().at(MachineName("m1")).last_contact, at(4)) << late;
    // To a successor that doesn't know the machine: no ghost that the next takeover would wait for.
    Bench next(5);
    next.register_all(5);
    next.shard.on_worker_heartbeat(early, at(5 + late));
    EXPECT_TRUE(next.shard.unregistered_machines().empty()) << late;
    EXPECT_TRUE(next.shard.is_reconciled()) << late;
    // To one that knows it, it isn't word under its own term.
    Bench known(5);
    known.worker("m1");
    known.register_all(5);
    known.shard.on_worker_heartbeat(early, at(5 + late));
    EXPECT_FALSE(known.shard.is_reconciled()) << late;
    // Once deleted it stays so.
    known.shard.on_deleted(MachineName("m1"), at(6 + late));
    EXPECT_FALSE(known.shard.on_worker_heartbeat(old.worker("m1"), at(7 + late))) << late;
    EXPECT_TRUE(known.shard.machines().empty()) << late;
  }
}

// The lease is counted from the newest report, not from answers to late copies of older ones, which would
// keep the tasks of a machine that is gone from being restarted.
TEST(LateCopies, DoNotLengthenALease) {
  Bench b;
  b.add_ready_workers({"m1"});
  b.grant("run-1", 1, 5, 0);
  b.tick(0);
  b.carry_out(0);
  auto early = b.worker("m1");
  b.heartbeat("m1", 1);
  for (double t = 2; t < 13; t += 1) {
    b.shard.on_worker_heartbeat(early, at(t));
    b.shard.answer(MachineName("m1"), at(t));
    b.tick(t);
  }
  EXPECT_TRUE(b.shard.machines().at(MachineName("m1")).tasks.empty());
}

// Found on a recorded day: an owner lost its workers only, and their leases ran out while the others kept
// sending them back to it.
TEST(RelayedHeartbeat, AWorkerWithTasksIsAnsweredFirstAndPointedHereLater) {
  Bench b;
  b.worker("m1");
  b.register_all(0);
  auto& m = b.worker("m1");
  EXPECT_TRUE(b.shard.should_redirect_here(m, at(0)));  // nothing to lose
  b.heartbeat("m1", 0);
  b.grant("run-1", 1, 5, 0);
  b.tick(0);
  b.carry_out(0);
  // It was in reach a moment ago: sent here once.
  EXPECT_TRUE(b.shard.should_redirect_here(m, at(1)));
  EXPECT_FALSE(b.shard.should_redirect_here(m, at(3)));
  // Then as often as it has answered a probe, and no more than every 20 s.
  for (double t = 5; t < 100; t += 1) {
    EXPECT_FALSE(b.shard.should_redirect_here(m, at(t))) << t;
    b.tick(t);
    for (auto& x : b.shard.take_command_batches(at(t)))
      b.shard.on_commands(x, ShardManager::CommandResult::kNoAnswer, std::nullopt, at(t + 0.5));
    b.heartbeat("m1", t);
  }
  EXPECT_FALSE(b.shard.should_redirect_here(m, at(100)));
  b.tick(100.1);
  EXPECT_TRUE(b.carry_out(100.2).empty());  // the probe, answered
  EXPECT_TRUE(b.shard.should_redirect_here(m, at(101)));
  EXPECT_FALSE(b.shard.should_redirect_here(m, at(102)));
}

// Found on the recorded days of both operators' deployments: in a second cut of a controller from its workers
// all machines that had been sent back in the first one were sent there at once, and their leases ran out.
TEST(RelayedHeartbeat, ASecondCutIsAnsweredAtOnceAsWell) {
  Bench b;
  b.add_ready_workers({"m1"});
  b.grant("run-1", 1, 5, 0);
  b.tick(0);
  b.carry_out(0);
  auto& w = b.worker("m1");
  auto commands = [&](double t, bool cut) {
    b.tick(t);
    if (!cut) return b.carry_out(t);
    for (auto& x : b.shard.take_command_batches(at(t)))
      b.shard.on_commands(x, ShardManager::CommandResult::kNoAnswer, std::nullopt, at(t + 0.5));
    return std::vector<protocol::Command>{};
  };
  for (double t = 1; t < 120; t += 1) {
    bool cut = (t > 10 && t < 40) || t > 70;
    bool beyond_the_last_answer = (t > 14 && t < 40) || t > 74;
    if (beyond_the_last_answer) {
      EXPECT_FALSE(b.shard.should_redirect_here(w, at(t))) << t;
    }
    b.heartbeat("m1", t);
    if (!cut) b.shard.on_direct_contact(w.machine);
    commands(t, cut);
  }
}

TEST(RelayedHeartbeat, WhileCommandsDoNotGetThroughStopsGoWithTheAnswers) {
  Bench b;
  b.add_ready_workers({"m1"});
  b.grant("run-1", 2, 5, 0);
  b.tick(0);
  b.carry_out(0);
  b.publish("run-1", 1, TerminalState::kCancelled);
  b.tick(1);
  for (auto& x : b.shard.take_command_batches(at(1)))
    b.shard.on_commands(x, ShardManager::CommandResult::kNoAnswer, std::nullopt, at(3));
  auto a = b.shard.answer(MachineName("m1"), at(3.5));
  ASSERT_EQ(a.commands.size(), 2u);
  for (auto& c : a.commands) EXPECT_EQ(c.op, protocol::Command::Op::kStop);
}

// Silence: what the owner concludes from it.
TEST(Silence, DeletesOneMachineButNotMany) {
  Bench b;
  b.add_ready_workers({"m1", "m2", "m3", "m4"});
  for (const char* n : {"m2", "m3", "m4"}) b.heartbeat(n, 5.5);
  EXPECT_EQ(b.shard.take_machines_to_delete(at(6)), std::vector{MachineName("m1")});
  // All of them silent: this controller is cut off, rather than four machines dead.
  EXPECT_TRUE(b.shard.take_machines_to_delete(at(30)).empty());
}

// When a zone comes back, or this controller has stood still, the machines report one after the other: those
// that haven't yet are no more silent than the others were.
TEST(Silence, CountsFromWhenTheyCouldBeHeardAgain) {
  struct Case {
    const char* what;
    bool stood_still;
    double again;  // m1 to m4 report from then on, m5 and m6 don't
    double deleted;
  };
  const Case cases[] = {
      {"two are silent", false, 1, 5.5},
      {"the zone was cut off until 20 s", false, 20, 25},
      {"this node stood still until 20 s", true, 20, 25.5},
  };
  for (const auto& c : cases) {
    Bench b;
    for (const char* n : {"m1", "m2", "m3", "m4", "m5", "m6"}) b.worker(n);
    b.register_all(0);
    for (auto& [n, w] : b.workers) b.heartbeat(n.c_str(), 0.1);
    std::optional<double> first;
    for (double t = 0.5; t < 40 && !first; t += 0.5) {
      if (c.stood_still && t < c.again) continue;
      if (c.stood_still && t == c.again) b.shard.on_process_pause(at(t));
      if (t >= c.again)
        for (const char* n : {"m1", "m2", "m3", "m4"}) {
          b.worker(n).token = b.shard.machines().at(MachineName(n)).token;  // it hears again, too
          b.heartbeat(n, t);
        }
      if (!b.shard.take_machines_to_delete(at(t)).empty()) first = t;
    }
    ASSERT_TRUE(first) << c.what;
    EXPECT_DOUBLE_EQ(*first, c.deleted) << c.what;
  }
}

// An owner that has lost its workers hears them by way of the other controllers, if at all: what it can't
// command, and whom it hears late, is no proof that they are gone.
TEST(Silence, AnOwnerThatHearsItsWorkersThroughOthersOnlyDeletesNone) {
  for (bool directly : {true, false}) {
    Bench b;
    for (const char* n : {"m1", "m2", "m3", "m4", "m5", "m6"}) b.worker(n);
    b.register_all(0);
    std::size_t deleted = 0;
    for (double t = 0; t < 30; t += 1) {
      for (const char* n : {"m1", "m2", "m3", "m4", "m5", "m6"}) {
        if (t > 10 && (n == std::string("m5") || n == std::string("m6"))) continue;
        auto& w = b.worker(n);
        if (t == 0)
          w.tasks.push_back({{JobId("run-1"), 0}, Attempt(1), TaskState::kRunning, EndCause::kDone, false});
        if (!directly && t > 0) b.shard.should_redirect_here(w, at(t));
        b.heartbeat(n, t);
        if (directly) b.shard.on_direct_contact(w.machine);
      }
      deleted += b.shard.take_machines_to_delete(at(t)).size();
    }
    EXPECT_EQ(deleted, directly ? 2u : 0u) << directly;
  }
}

TEST(Silence, TheLeaseProvesOnlyWithALaterReadOfTheRole) {
  struct Case {
    double now, read;
    bool gone;
  };
  for (const auto& c : {Case{9, 9, false}, Case{12, 5, false}, Case{12, 12, true}}) {
    Bench b;
    b.add_ready_workers({"m1"});
    b.grant("run-1", 1, 5, 0);
    b.tick(0);
    b.carry_out(0);
    b.shard.tick(at(c.now), at(c.now), at(c.read));
    EXPECT_EQ(b.shard.machines().at(MachineName("m1")).tasks.empty(), c.gone) << c.now << ' ' << c.read;
  }
}

TEST(Notice, TasksThatCannotFinishInTimeAreStopped) {
  struct Case {
    double notice, ran;
    bool stopped;
  };
  for (const auto& c : {Case{8, 1, true}, Case{8, 15, false}, Case{30, 0, false}}) {
    Bench b;
    b.add_ready_workers({"m1"});
    b.grant("run-1", 1, 5, 0);
    b.tick(0);
    b.carry_out(0);
    b.heartbeat("m1", 0.1);
    for (double t = 1; t < c.ran; ++t) b.heartbeat("m1", t);
    b.worker("m1").notice_s = c.notice;
    b.heartbeat("m1", 0.1 + c.ran);
    b.tick(0.1 + c.ran);
    bool stopped = false;
    for (auto& x : b.carry_out(0.1 + c.ran)) stopped |= x.op == protocol::Command::Op::kStop;
    EXPECT_EQ(stopped, c.stopped) << c.notice << ' ' << c.ran;
  }
}

}  // namespace
}  // namespace beaconsill::shard
