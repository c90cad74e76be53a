// Tests the failure detector in isolation: reasons to delete a machine, partitioned zones and probes.
#include <gtest/gtest.h>

#include "shard/failure_detector.h"
#include "shard_test_data.h"

namespace beaconsill::shard {
namespace {

using fixture::at;
using fixture::params;
using Machines = FailureDetector::Machines;

// Returns a machine of zone "a" whose last heartbeat arrived at this time, in seconds.
Machine make_machine(const std::string& name, double last_heartbeat) {
  Machine out;
  out.name = MachineName(name);
  out.zone = Zone("a");
  out.address = "127.0.0.1:1";
  out.confirmed = out.registered = true;
  out.first_seen = at(0);
  out.last_contact = out.last_unsolicited_heartbeat = at(last_heartbeat);
  return out;
}

// Returns `all` machines m0, m1 and so on, of which the first `late` have a late heartbeat at 10 s.
Machines machines_with_late(int all, int late) {
  Machines out;
  for (int i = 0; i < all; ++i) {
    auto added = make_machine("m" + std::to_string(i), i < late ? 2 : 10);
    out.emplace(added.name, added);
  }
  return out;
}

TEST(DeletionReason, DependsOnContactAndStateOfTheMachine) {
  struct Case {
    const char* what;
    double now;
    void (*change)(Machine&);
    bool partitioned;
    std::optional<DeletionReason> reason;
  };
  const auto unchanged = [](Machine&) {};
  const Case cases[] = {
      {"in contact", 4, unchanged, false, {}},
      {"no contact beyond the grace period", 5.1, unchanged, false, DeletionReason::kNoContact},
      {"no contact in a partitioned zone", 100, unchanged, true, {}},
      {"quarantined and empty", 1, [](Machine& machine) { machine.quarantined = true; }, false,
       DeletionReason::kQuarantined},
      {"quarantined with a task",
       1,
       [](Machine& machine) {
         machine.quarantined = true;
         machine.tasks[{}];
       },
       false,
       {}},
      {"quarantined with a batch in flight",
       1,
       [](Machine& machine) {
         machine.quarantined = true;
         machine.channel = Machine::Channel::kBusy;
       },
       false,
       {}},
      {"released", 1, [](Machine& machine) { machine.draining = true; }, false, DeletionReason::kReleased},
      {"receives nothing", 6,
       [](Machine& machine) {
         machine.suspected_since = at(0);
         machine.last_contact = machine.last_unsolicited_heartbeat = at(6);
       },
       false, DeletionReason::kReceivesNothing},
      {"not confirmed, within the longer timeout after a failover",
       7,
       [](Machine& machine) { machine.confirmed = false; },
       false,
       {}},
      {"not confirmed beyond that timeout", 7.1, [](Machine& machine) { machine.confirmed = false; }, false,
       DeletionReason::kReceivesNothing},
      {"not confirmed in a partitioned zone, within the time limit for cancellations",
       40,
       [](Machine& machine) { machine.confirmed = false; },
       true,
       {}},
      {"not confirmed in a partitioned zone, beyond the time limit for cancellations", 40.1,
       [](Machine& machine) { machine.confirmed = false; }, true, DeletionReason::kReceivesNothing},
      {"answers only probes, within its lease",
       10,
       [](Machine& machine) { machine.last_contact = at(10); },
       false,
       {}},
      {"answers only probes, beyond its lease", 10.1, [](Machine& machine) { machine.last_contact = at(10); },
       false, DeletionReason::kAnswersWithoutHeartbeat},
  };
  for (const auto& entry : cases) {
    FailureDetector detector(params());
    auto machine = make_machine("m1", 0);
    entry.change(machine);
    EXPECT_EQ(detector.reason_to_delete(machine, entry.partitioned, at(entry.now)), entry.reason)
        << entry.what;
  }
}

TEST(DeletionReason, AMachineCountsAsHungOnlyIfOthersOfItsZoneAnswer) {
  struct Case {
    const char* what;
    std::size_t unanswered;
    std::optional<double> zone_answered;
    std::optional<DeletionReason> reason;
  };
  const Case cases[] = {
      {"one command may have been lost", 1, 3, {}},
      {"no machine of the zone has answered", 2, {}, {}},
      {"others answered only before the first unanswered command", 2, 0.4, {}},
      {"others have answered since then", 2, 3, DeletionReason::kHung},
  };
  for (const auto& entry : cases) {
    auto settings = params();
    settings.grace = std::chrono::seconds(12);
    FailureDetector detector(settings);
    auto machine = make_machine("m1", 0);
    machine.unanswered_since = at(0.5);
    machine.unanswered = entry.unanswered;
    if (entry.zone_answered) detector.on_commands_answered(Zone("a"), at(*entry.zone_answered));
    EXPECT_EQ(detector.reason_to_delete(machine, false, at(6)), entry.reason) << entry.what;
  }
}

TEST(DeletionReason, TimeWithoutContactCountsFromTheEndOfAPauseOrPartition) {
  for (bool pause : {true, false}) {
    FailureDetector detector(params());
    auto machines = machines_with_late(4, 4);
    if (pause) {
      detector.on_process_pause(machines, at(20));
    } else {
      EXPECT_EQ(detector.update_partitioned_zones(machines, at(20)), std::set{Zone("a")});
    }
    const auto& machine = machines.begin()->second;
    EXPECT_FALSE(detector.reason_to_delete(machine, false, at(25))) << pause;
    EXPECT_EQ(detector.reason_to_delete(machine, false, at(25.1)), DeletionReason::kNoContact) << pause;
  }
}

TEST(PartitionedZones, AreZonesWithMostMachinesUnreachable) {
  struct Case {
    int all, late;
    bool partitioned;
  };
  for (const auto& entry : {Case{3, 3, true}, Case{2, 2, false}, Case{6, 3, false}, Case{5, 3, true}}) {
    FailureDetector detector(params());
    auto machines = machines_with_late(entry.all, entry.late);
    EXPECT_EQ(!detector.update_partitioned_zones(machines, at(10)).empty(), entry.partitioned)
        << entry.all << ' ' << entry.late;
    // Machines whose heartbeats arrive only through other controllers count as unreachable as well.
    auto relayed = machines_with_late(entry.all, 0);
    for (int i = 0; i < entry.late; ++i)
      relayed.at(MachineName("m" + std::to_string(i))).relayed_since = at(2);
    EXPECT_EQ(!detector.update_partitioned_zones(relayed, at(10)).empty(), entry.partitioned)
        << entry.all << ' ' << entry.late;
  }
}

TEST(Probes, AreSentToLateMachinesAndOneHealthyMachineUnlessManyAreLate) {
  struct Case {
    const char* what;
    int all, late;
    std::optional<double> zone_answered;
    std::vector<const char*> probed;
  };
  const Case cases[] = {
      {"no machine is late", 4, 0, {}, {}},
      {"one is late, one healthy machine is probed for comparison", 4, 1, {}, {"m0", "m1"}},
      {"one is late, another has just answered", 4, 1, 9.5, {"m0"}},
      {"so many are late that the network is the likelier cause", 8, 3, {}, {}},
      {"three of a larger zone are late", 12, 3, 9.5, {"m0", "m1", "m2"}},
  };
  for (const auto& entry : cases) {
    FailureDetector detector(params());
    if (entry.zone_answered) detector.on_commands_answered(Zone("a"), at(*entry.zone_answered));
    auto machines = machines_with_late(entry.all, entry.late);
    for (auto& [name, machine] : machines) machine.unanswered = 1;
    std::vector<MachineName> expected;
    for (const auto* name : entry.probed) expected.emplace_back(name);
    std::vector<MachineName> probed;
    for (const auto* machine : detector.machines_to_probe(machines, at(10))) probed.push_back(machine->name);
    EXPECT_EQ(probed, expected) << entry.what;
    // Commands that were not answered while many machines are late prove nothing.
    bool is_reset = entry.late > 0 && entry.probed.empty();
    EXPECT_EQ(machines.at(MachineName("m0")).unanswered, is_reset ? 0u : 1u) << entry.what;
  }
}

TEST(FailureDetector, TimeoutsAreDerivedFromTheHeartbeatPeriodAndLease) {
  struct Case {
    double period, contact, unsolicited_heartbeat;
  };
  for (const auto& entry : {Case{1, 3, 5}, Case{3, 9, 9}}) {
    auto settings = params();
    settings.heartbeat_period = from_seconds(entry.period);
    FailureDetector detector(settings);
    Machine machine;
    detector.set_timeouts(machine);
    EXPECT_EQ(machine.contact_timeout, from_seconds(entry.contact));
    EXPECT_EQ(machine.unsolicited_heartbeat_timeout, from_seconds(entry.unsolicited_heartbeat));
    EXPECT_EQ(detector.suspicion_timeout(), from_seconds(1.6 * entry.period));
  }
}

}  // namespace
}  // namespace beaconsill::shard
