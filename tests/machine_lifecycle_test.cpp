// What the shard leader concludes from heartbeats that come, come late or fail to come.
#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

// With heartbeats every 3 s a pause of over 4 s is nothing unusual: a healthy machine must not be suspected.
TEST(Reachability, APauseWithinHeartbeatVariationIsNotSuspected) {
  struct Case {
    double period, pause;
    bool usable;
  };
  const Case cases[] = {{1, 3, true}, {1, 4, false}, {3, 4.5, true}, {3, 5, false}};
  for (const auto& entry : cases) {
    auto varied = params();
    varied.heartbeat_period = from_seconds(entry.period);
    ShardFixture fixture;
    fixture.shard = ShardManager(ShardId(0), Term(5), varied, at(0));
    fixture.shard.set_catalogue(catalogue());
    fixture.add_ready_workers({"m1"});
    fixture.heartbeat("m1", entry.pause);
    EXPECT_EQ(fixture.shard.machines().at(MachineName("m1")).usable(at(entry.pause)), entry.usable)
        << entry.period << ' ' << entry.pause;
  }
}

// A machine's heartbeats arrive, answers and commands don't reach it: a heartbeat doesn't prove that it
// receives anything.
TEST(Reachability, NothingIsStartedOnASuspectedMachine) {
  struct Case {
    const char* what;
    double pause;               // before the next heartbeat
    std::uint64_t incarnation;  // that it is of
    bool usable;
  };
  const Case cases[] = {
      {"heartbeats as usual", 1, 1, true},
      {"a pause as of one that waited in vain for an answer", 5, 1, false},
      {"its lease expired though it was answered", 1, 2, false},
  };
  for (const auto& entry : cases) {
    ShardFixture fixture;
    fixture.add_ready_workers({"m1"});
    fixture.worker("m1").incarnation = Incarnation(entry.incarnation);
    fixture.heartbeat("m1", entry.pause);
    EXPECT_EQ(fixture.shard.machines().at(MachineName("m1")).usable(at(entry.pause)), entry.usable)
        << entry.what;
    if (entry.usable) continue;
    // It is probed; whatever its heartbeats list, it is usable again only once it shows the raised token.
    auto probes = fixture.shard.take_command_batches(at(entry.pause));
    ASSERT_EQ(probes.size(), 1u) << entry.what;
    EXPECT_TRUE(probes[0].commands.empty());
    fixture.shard.on_command_result(probes[0], ShardManager::CommandResult::kNoAnswer, std::nullopt,
                                    at(entry.pause + 1));
    fixture.heartbeat("m1", entry.pause + 1);
    EXPECT_FALSE(fixture.shard.machines().at(MachineName("m1")).usable(at(entry.pause + 1))) << entry.what;
    fixture.worker("m1").token = probes[0].token;
    fixture.heartbeat("m1", entry.pause + 2);
    EXPECT_TRUE(fixture.shard.machines().at(MachineName("m1")).usable(at(entry.pause + 2))) << entry.what;
  }
}

TEST(Reachability, AMachineThatReceivesNothingIsDeleted) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1", "m2", "m3", "m4"});
  fixture.grant("run-1", 4, 5, 0, Priority::kHigh);
  fixture.tick(0);
  std::size_t starts = 0;
  std::vector<MachineName> deleted;
  for (double time_s = 0.1; time_s < 12; time_s += 0.5) {
    for (auto* name : {"m1", "m2", "m3", "m4"}) fixture.heartbeat(name, time_s);
    fixture.tick(time_s);
    for (auto& batch : fixture.shard.take_command_batches(at(time_s))) {
      for (auto& command : batch.commands) starts += command.op == protocol::Command::Op::kStart;
      if (batch.machine == MachineName("m1")) {
        fixture.shard.on_command_result(batch, ShardManager::CommandResult::kNoAnswer, std::nullopt,
                                        at(time_s + 0.2));
      } else {
        auto& worker = fixture.worker(batch.machine.value().c_str());
        fixture.apply(worker, batch);
        fixture.shard.on_command_result(batch, ShardManager::CommandResult::kExecuted, worker,
                                        at(time_s + 0.2));
      }
    }
    for (auto& name : fixture.shard.take_machines_to_delete(at(time_s))) {
      deleted.push_back(name);
      fixture.shard.on_machine_terminated(name, at(time_s));
    }
  }
  EXPECT_EQ(deleted, std::vector<MachineName>{MachineName("m1")});
  EXPECT_EQ(starts, 8u);  // all four there once, then elsewhere once it is terminated
}

// Copies of heartbeats that come late: from half a second to well over a lease, before and after a failover.
TEST(LateCopies, ProveNothing) {
  ShardFixture old(4);
  old.worker("m1");
  old.register_all(0);
  old.heartbeat("m1", 0);
  auto early = old.worker("m1");
  for (int time_s = 1; time_s < 5; ++time_s) old.heartbeat("m1", time_s);
  for (double late : {0.5, 3.0, 12.0, 60.0}) {
    // To the leader that has newer heartbeats, neither life nor absence.
    old.shard.on_worker_heartbeat(early, at(4 + late));
    EXPECT_EQ(old.shard.machines().at(MachineName("m1")).last_contact, at(4)) << late;
    // To a successor that doesn't know the machine: nothing that the next failover would wait for.
    ShardFixture next(5);
    next.register_all(5);
    next.shard.on_worker_heartbeat(early, at(5 + late));
    EXPECT_TRUE(next.shard.registry_buckets_to_write().empty()) << late;
    EXPECT_TRUE(next.shard.is_reconciled()) << late;
    // To one that knows it, it isn't a heartbeat under its own term.
    ShardFixture known(5);
    known.worker("m1");
    known.register_all(5);
    known.shard.on_worker_heartbeat(early, at(5 + late));
    EXPECT_FALSE(known.shard.is_reconciled()) << late;
    // Once deleted it stays so.
    known.shard.on_machine_terminated(MachineName("m1"), at(6 + late));
    EXPECT_EQ(known.shard.on_worker_heartbeat(old.worker("m1"), at(7 + late)), HeartbeatResult::kDropped)
        << late;
    EXPECT_TRUE(known.shard.machines().empty()) << late;
  }
}

// The lease is counted from the newest heartbeat, not from answers to late copies of older ones, which would
// keep the tasks of a terminated machine from being restarted.
TEST(LateCopies, DoNotLengthenALease) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 1, 5, 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  auto early = fixture.worker("m1");
  fixture.heartbeat("m1", 1);
  for (double time_s = 2; time_s < 13; time_s += 1) {
    fixture.shard.on_worker_heartbeat(early, at(time_s));
    fixture.shard.heartbeat_response(MachineName("m1"), at(time_s));
    fixture.tick(time_s);
  }
  EXPECT_TRUE(fixture.shard.machines().at(MachineName("m1")).tasks.empty());
}

// Found on a recorded day: a shard leader lost its workers only, and their leases expired while the others
// kept redirecting them to it.
TEST(RelayedHeartbeat, AWorkerWithTasksIsAnsweredFirstAndRedirectedLater) {
  ShardFixture fixture;
  fixture.worker("m1");
  fixture.register_all(0);
  auto& worker = fixture.worker("m1");
  EXPECT_TRUE(fixture.shard.should_redirect_here(worker, at(0)));  // nothing to lose
  fixture.heartbeat("m1", 0);
  fixture.grant("run-1", 1, 5, 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  // It was reachable a moment ago: redirected once.
  EXPECT_TRUE(fixture.shard.should_redirect_here(worker, at(1)));
  EXPECT_FALSE(fixture.shard.should_redirect_here(worker, at(3)));
  // Then as often as it has answered a probe, and no more than every 20 s.
  for (double time_s = 5; time_s < 100; time_s += 1) {
    EXPECT_FALSE(fixture.shard.should_redirect_here(worker, at(time_s))) << time_s;
    fixture.tick(time_s);
    for (auto& batch : fixture.shard.take_command_batches(at(time_s)))
      fixture.shard.on_command_result(batch, ShardManager::CommandResult::kNoAnswer, std::nullopt,
                                      at(time_s + 0.5));
    fixture.heartbeat("m1", time_s);
  }
  EXPECT_FALSE(fixture.shard.should_redirect_here(worker, at(100)));
  fixture.tick(100.1);
  EXPECT_TRUE(fixture.execute_commands(100.2).empty());  // the probe, answered
  EXPECT_TRUE(fixture.shard.should_redirect_here(worker, at(101)));
  EXPECT_FALSE(fixture.shard.should_redirect_here(worker, at(102)));
}

// Found on the recorded days of both operators' deployments: in a controller's second partition from its
// workers all machines that had been redirected in the first one were redirected at once, and their leases
// expired.
TEST(RelayedHeartbeat, ASecondPartitionIsAnsweredAtOnceAsWell) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 1, 5, 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  auto& worker = fixture.worker("m1");
  auto commands = [&](double time_s, bool partitioned) {
    fixture.tick(time_s);
    if (!partitioned) return fixture.execute_commands(time_s);
    for (auto& batch : fixture.shard.take_command_batches(at(time_s)))
      fixture.shard.on_command_result(batch, ShardManager::CommandResult::kNoAnswer, std::nullopt,
                                      at(time_s + 0.5));
    return std::vector<protocol::Command>{};
  };
  for (double time_s = 1; time_s < 120; time_s += 1) {
    bool partitioned = (time_s > 10 && time_s < 40) || time_s > 70;
    bool beyond_the_last_answer = (time_s > 14 && time_s < 40) || time_s > 74;
    if (beyond_the_last_answer) {
      EXPECT_FALSE(fixture.shard.should_redirect_here(worker, at(time_s))) << time_s;
    }
    fixture.heartbeat("m1", time_s);
    if (!partitioned) fixture.shard.on_direct_contact(worker.machine);
    commands(time_s, partitioned);
  }
}

TEST(RelayedHeartbeat, WhileCommandsDoNotGetThroughStopsGoWithTheAnswers) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 2, 5, 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  fixture.publish("run-1", 1, TerminalState::kCancelled);
  fixture.tick(1);
  for (auto& batch : fixture.shard.take_command_batches(at(1)))
    fixture.shard.on_command_result(batch, ShardManager::CommandResult::kNoAnswer, std::nullopt, at(3));
  auto response = fixture.shard.heartbeat_response(MachineName("m1"), at(3.5));
  ASSERT_EQ(response.commands.size(), 2u);
  for (auto& command : response.commands) EXPECT_EQ(command.op, protocol::Command::Op::kStop);
}

// Loss of contact, and what the shard leader concludes from it.
TEST(ContactLoss, DeletesOneMachineButNotMany) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1", "m2", "m3", "m4"});
  for (const char* name : {"m2", "m3", "m4"}) fixture.heartbeat(name, 5.5);
  EXPECT_EQ(fixture.shard.take_machines_to_delete(at(6)), std::vector{MachineName("m1")});
  // No contact with any: this controller is partitioned, rather than four machines failed.
  EXPECT_TRUE(fixture.shard.take_machines_to_delete(at(30)).empty());
}

// After a partition, or a pause of this controller, heartbeats come one after the other: the machines whose
// heartbeat hasn't come yet are no more suspect than the others were.
TEST(ContactLoss, CountsFromWhenHeartbeatsCouldArriveAgain) {
  struct Case {
    const char* what;
    bool paused;
    double again;  // m1 to m4 send heartbeats from then on, m5 and m6 don't
    double deleted;
  };
  const Case cases[] = {
      {"two have failed", false, 1, 5.5},
      {"the zone was partitioned until 20 s", false, 20, 25},
      {"this controller paused until 20 s", true, 20, 25.5},
  };
  for (const auto& entry : cases) {
    ShardFixture fixture;
    for (const char* name : {"m1", "m2", "m3", "m4", "m5", "m6"}) fixture.worker(name);
    fixture.register_all(0);
    for (auto& [name, worker] : fixture.workers) fixture.heartbeat(name.c_str(), 0.1);
    std::optional<double> first;
    for (double time_s = 0.5; time_s < 40 && !first; time_s += 0.5) {
      if (entry.paused && time_s < entry.again) continue;
      if (entry.paused && time_s == entry.again) fixture.shard.on_process_pause(at(time_s));
      if (time_s >= entry.again)
        for (const char* name : {"m1", "m2", "m3", "m4"}) {
          fixture.worker(name).token =
              fixture.shard.machines().at(MachineName(name)).token;  // it receives again, too
          fixture.heartbeat(name, time_s);
        }
      if (!fixture.shard.take_machines_to_delete(at(time_s)).empty()) first = time_s;
    }
    ASSERT_TRUE(first) << entry.what;
    EXPECT_DOUBLE_EQ(*first, entry.deleted) << entry.what;
  }
}

// A shard leader that is partitioned from its workers gets their heartbeats by way of other controllers, if
// at all: late heartbeats and lost commands don't prove that the machines are terminated.
TEST(ContactLoss, ALeaderWithRelayedHeartbeatsOnlyDeletesNone) {
  for (bool directly : {true, false}) {
    ShardFixture fixture;
    for (const char* name : {"m1", "m2", "m3", "m4", "m5", "m6"}) fixture.worker(name);
    fixture.register_all(0);
    std::size_t deleted = 0;
    for (double time_s = 0; time_s < 30; time_s += 1) {
      for (const char* name : {"m1", "m2", "m3", "m4", "m5", "m6"}) {
        if (time_s > 10 && (name == std::string("m5") || name == std::string("m6"))) continue;
        auto& worker = fixture.worker(name);
        if (time_s == 0)
          worker.tasks.push_back(
              {{JobId("run-1"), 0}, Attempt(1), TaskState::kRunning, EndCause::kDone, false});
        if (!directly && time_s > 0) fixture.shard.should_redirect_here(worker, at(time_s));
        fixture.heartbeat(name, time_s);
        if (directly) fixture.shard.on_direct_contact(worker.machine);
      }
      deleted += fixture.shard.take_machines_to_delete(at(time_s)).size();
    }
    EXPECT_EQ(deleted, directly ? 2u : 0u) << directly;
  }
}

TEST(ContactLoss, AnExpiredLeaseCountsOnlyWithALaterReadOfTheRole) {
  struct Case {
    double now, read;
    bool expired;
  };
  for (const auto& entry : {Case{9, 9, false}, Case{12, 5, false}, Case{12, 12, true}}) {
    ShardFixture fixture;
    fixture.add_ready_workers({"m1"});
    fixture.grant("run-1", 1, 5, 0);
    fixture.tick(0);
    fixture.execute_commands(0);
    fixture.shard.tick(at(entry.now), at(entry.now), at(entry.read));
    EXPECT_EQ(fixture.shard.machines().at(MachineName("m1")).tasks.empty(), entry.expired)
        << entry.now << ' ' << entry.read;
  }
}

TEST(SpotReclaim, TasksThatCannotFinishInTimeAreStopped) {
  struct Case {
    double notice, ran;
    bool stopped;
  };
  for (const auto& entry : {Case{8, 1, true}, Case{8, 15, false}, Case{30, 0, false}}) {
    ShardFixture fixture;
    fixture.add_ready_workers({"m1"});
    fixture.grant("run-1", 1, 5, 0);
    fixture.tick(0);
    fixture.execute_commands(0);
    fixture.heartbeat("m1", 0.1);
    for (double time_s = 1; time_s < entry.ran; ++time_s) fixture.heartbeat("m1", time_s);
    fixture.worker("m1").termination_notice_s = entry.notice;
    fixture.heartbeat("m1", 0.1 + entry.ran);
    fixture.tick(0.1 + entry.ran);
    bool stopped = false;
    for (auto& command : fixture.execute_commands(0.1 + entry.ran))
      stopped |= command.op == protocol::Command::Op::kStop;
    EXPECT_EQ(stopped, entry.stopped) << entry.notice << ' ' << entry.ran;
  }
}

}  // namespace
}  // namespace beaconsill::shard
