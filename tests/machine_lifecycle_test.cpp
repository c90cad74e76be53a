// Tests the conclusions that a shard leader draws from heartbeats that arrive in time, late, through other
// controllers or not at all.
#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

// Guards against suspecting healthy machines: with a heartbeat period of 3 s a pause of more than 4 s is
// normal.
TEST(Reachability, APauseWithinTheNormalVariationOfHeartbeatsKeepsAMachineUsable) {
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

// Heartbeats of a machine can arrive while answers and commands don't reach it: a heartbeat doesn't prove
// that the machine receives anything.
TEST(Reachability, AMachineThatPossiblyReceivesNothingIsNotUsable) {
  struct Case {
    const char* what;
    double pause;               // seconds before the next heartbeat
    std::uint64_t incarnation;  // of the next heartbeat
    bool usable;
  };
  const Case cases[] = {
      {"regular heartbeats", 1, 1, true},
      {"a pause that suggests a missed answer", 5, 1, false},
      {"its lease expired although it was answered", 1, 2, false},
  };
  for (const auto& entry : cases) {
    ShardFixture fixture;
    fixture.add_ready_workers({"m1"});
    fixture.worker("m1").incarnation = Incarnation(entry.incarnation);
    fixture.heartbeat("m1", entry.pause);
    EXPECT_EQ(fixture.shard.machines().at(MachineName("m1")).usable(at(entry.pause)), entry.usable)
        << entry.what;
    if (entry.usable) continue;
    // The machine is probed. It becomes usable again only when a heartbeat contains the raised token.
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
  // The four tasks are sent to m1 first, and to other machines once m1 is terminated.
  EXPECT_EQ(starts, 8u);
}

// Copies of heartbeats can arrive late, by half a second to well over a lease, before and after a failover.
TEST(LateHeartbeatCopies, ChangeNeitherContactNorRegistryNorReconciliation) {
  ShardFixture old(4);
  old.worker("m1");
  old.register_all(0);
  old.heartbeat("m1", 0);
  auto early = old.worker("m1");
  for (int time_s = 1; time_s < 5; ++time_s) old.heartbeat("m1", time_s);
  for (double late : {0.5, 3.0, 12.0, 60.0}) {
    // For the leader that has newer heartbeats, the copy doesn't count as contact.
    old.shard.on_worker_heartbeat(early, at(4 + late));
    EXPECT_EQ(old.shard.machines().at(MachineName("m1")).last_contact, at(4)) << late;
    // A successor that doesn't know the machine doesn't register it, so the next failover doesn't wait for
    // it.
    ShardFixture next(5);
    next.register_all(5);
    next.shard.on_worker_heartbeat(early, at(5 + late));
    EXPECT_TRUE(next.shard.registry_buckets_to_write().empty()) << late;
    EXPECT_TRUE(next.shard.is_reconciled()) << late;
    // For a successor that knows the machine, the copy is no heartbeat under its own term.
    ShardFixture known(5);
    known.worker("m1");
    known.register_all(5);
    known.shard.on_worker_heartbeat(early, at(5 + late));
    EXPECT_FALSE(known.shard.is_reconciled()) << late;
    // A copy doesn't add a terminated machine again.
    known.shard.on_machine_terminated(MachineName("m1"), at(6 + late));
    EXPECT_EQ(known.shard.on_worker_heartbeat(old.worker("m1"), at(7 + late)), HeartbeatResult::kDropped)
        << late;
    EXPECT_TRUE(known.shard.machines().empty()) << late;
  }
}

// The lease is counted from the newest heartbeat. If it were counted from answers to late copies of older
// ones, the tasks of a terminated machine would not be restarted.
TEST(LateHeartbeatCopies, DoNotExtendALease) {
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

// Guards against a failure found on a recorded day of operation: a shard leader lost contact with its workers
// only, and their leases expired while the other controllers kept redirecting them to it.
TEST(RelayedHeartbeat, AWorkerWithTasksIsRedirectedOnlyAfterItAnsweredCommandsRecently) {
  ShardFixture fixture;
  fixture.worker("m1");
  fixture.register_all(0);
  auto& worker = fixture.worker("m1");
  EXPECT_TRUE(fixture.shard.should_redirect_here(worker, at(0)));  // it has no tasks to lose
  fixture.heartbeat("m1", 0);
  fixture.grant("run-1", 1, 5, 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  // The worker answered commands a moment ago, so it is redirected once.
  EXPECT_TRUE(fixture.shard.should_redirect_here(worker, at(1)));
  EXPECT_FALSE(fixture.shard.should_redirect_here(worker, at(3)));
  // While its probes are not answered, it is not redirected again.
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
  EXPECT_TRUE(fixture.execute_commands(100.2).empty());  // a probe is answered, no commands are sent
  EXPECT_TRUE(fixture.shard.should_redirect_here(worker, at(101)));
  // At most one redirect in 20 s.
  EXPECT_FALSE(fixture.shard.should_redirect_here(worker, at(102)));
}

// Guards against a failure found on recorded days of both operators' deployments: in a controller's
// second partition from its workers, all machines that had been redirected in the first one were redirected
// again at once, and their leases expired.
TEST(RelayedHeartbeat, WorkersAreAnsweredAtOnceInASecondPartitionAsWell) {
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
    bool without_recent_answer = (time_s > 14 && time_s < 40) || time_s > 74;
    if (without_recent_answer) {
      EXPECT_FALSE(fixture.shard.should_redirect_here(worker, at(time_s))) << time_s;
    }
    fixture.heartbeat("m1", time_s);
    if (!partitioned) fixture.shard.on_direct_contact(worker.machine);
    commands(time_s, partitioned);
  }
}

TEST(RelayedHeartbeat, StopsAreSentInHeartbeatAnswersWhileCommandsGetNoAnswer) {
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

// One machine without contact has failed; a whole zone without contact is more likely partitioned.
TEST(ContactLoss, ASingleMachineIsDeletedButNotAWholeZone) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1", "m2", "m3", "m4"});
  for (const char* name : {"m2", "m3", "m4"}) fixture.heartbeat(name, 5.5);
  EXPECT_EQ(fixture.shard.take_machines_to_delete(at(6)), std::vector{MachineName("m1")});
  // Without contact to any machine, it is more likely that this controller is partitioned than that four
  // machines failed.
  EXPECT_TRUE(fixture.shard.take_machines_to_delete(at(30)).empty());
}

// After a partition or a pause of this controller, heartbeats arrive one after the other. Machines whose
// heartbeat hasn't arrived yet must not be deleted before they had the full time to send one.
TEST(ContactLoss, TimeWithoutContactCountsFromTheEndOfAPartitionOrPause) {
  struct Case {
    const char* what;
    bool paused;
    double resumed_at;  // m1 to m4 send heartbeats from this time on, m5 and m6 don't
    double deleted_at;
  };
  const Case cases[] = {
      {"two machines have failed", false, 1, 5.5},
      {"the zone was partitioned until 20 s", false, 20, 25},
      {"this controller was paused until 20 s", true, 20, 25.5},
  };
  for (const auto& entry : cases) {
    ShardFixture fixture;
    for (const char* name : {"m1", "m2", "m3", "m4", "m5", "m6"}) fixture.worker(name);
    fixture.register_all(0);
    for (auto& [name, worker] : fixture.workers) fixture.heartbeat(name.c_str(), 0.1);
    std::optional<double> first;
    for (double time_s = 0.5; time_s < 40 && !first; time_s += 0.5) {
      if (entry.paused && time_s < entry.resumed_at) continue;
      if (entry.paused && time_s == entry.resumed_at) fixture.shard.on_process_pause(at(time_s));
      if (time_s >= entry.resumed_at)
        for (const char* name : {"m1", "m2", "m3", "m4"}) {
          fixture.worker(name).token =
              fixture.shard.machines().at(MachineName(name)).token;  // it also receives messages again
          fixture.heartbeat(name, time_s);
        }
      if (!fixture.shard.take_machines_to_delete(at(time_s)).empty()) first = time_s;
    }
    ASSERT_TRUE(first) << entry.what;
    EXPECT_DOUBLE_EQ(*first, entry.deleted_at) << entry.what;
  }
}

// A shard leader that is partitioned from its workers gets their heartbeats only through other controllers,
// if at all. Late heartbeats and lost commands then don't prove that machines have failed.
TEST(ContactLoss, NoMachineIsDeletedWhileHeartbeatsArriveThroughOtherControllersOnly) {
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

TEST(ContactLoss, TasksAreDroppedOnlyIfTheStateStoreWasReadAfterTheLeaseExpired) {
  struct Case {
    double now, up_to_date_at;
    bool expired;
  };
  for (const auto& entry : {Case{9, 9, false}, Case{12, 5, false}, Case{12, 12, true}}) {
    ShardFixture fixture;
    fixture.add_ready_workers({"m1"});
    fixture.grant("run-1", 1, 5, 0);
    fixture.tick(0);
    fixture.execute_commands(0);
    fixture.shard.tick(at(entry.now), at(entry.now), at(entry.up_to_date_at));
    EXPECT_EQ(fixture.shard.machines().at(MachineName("m1")).tasks.empty(), entry.expired)
        << entry.now << ' ' << entry.up_to_date_at;
  }
}

TEST(SpotReclaim, TasksThatCannotFinishInTimeAreStopped) {
  struct Case {
    double notice, ran;  // in seconds
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
