// The failure detector by itself: why a machine is deleted, which zones are partitioned, who is probed.
#include <gtest/gtest.h>

#include "shard/failure_detector.h"
#include "shard_test_data.h"

namespace beaconsill::shard {
namespace {

using fixture::at;
using fixture::params;
using Machines = FailureDetector::Machines;

// A machine of zone "a" whose last heartbeat came at that time.
Machine make_machine(const std::string& name, double last_heartbeat) {
  Machine out;
  out.name = MachineName(name);
  out.zone = Zone("a");
  out.address = "127.0.0.1:1";
  out.confirmed = out.registered = true;
  out.first_seen = at(0);
  out.last_contact = out.last_own_heartbeat = at(last_heartbeat);
  return out;
}

// Machines m0, m1 and so on, some of which are late at 10 s.
Machines machines_with_late(int all, int late) {
  Machines out;
  for (int i = 0; i < all; ++i) {
    auto added = make_machine("m" + std::to_string(i), i < late ? 2 : 10);
    out.emplace(added.name, added);
  }
  return out;
}

TEST(DeletionReason, FollowsFromContactAndState) {
  struct Case {
    const char* what;
    double now;
    void (*change)(Machine&);
    bool partitioned;
    std::optional<DeletionReason> reason;
  };
  const auto none = [](Machine&) {};
  const Case cases[] = {
      {"in contact", 4, none, false, {}},
      {"no contact beyond the grace period", 5.1, none, false, DeletionReason::kNoContact},
      {"the same in a partitioned zone", 100, none, true, {}},
      {"empty and quarantined", 1, [](Machine& machine) { machine.quarantined = true; }, false,
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
         machine.last_contact = machine.last_own_heartbeat = at(6);
       },
       false, DeletionReason::kReceivesNothing},
      {"not confirmed: has longer", 7, [](Machine& machine) { machine.confirmed = false; }, false, {}},
      {"not confirmed", 7.1, [](Machine& machine) { machine.confirmed = false; }, false,
       DeletionReason::kReceivesNothing},
      {"not confirmed in a partitioned zone",
       40,
       [](Machine& machine) { machine.confirmed = false; },
       true,
       {}},
      {"the same beyond the limit for cancellations", 40.1,
       [](Machine& machine) { machine.confirmed = false; }, true, DeletionReason::kReceivesNothing},
      {"answers probes, its lease may not have expired",
       10,
       [](Machine& machine) { machine.last_contact = at(10); },
       false,
       {}},
      {"answers probes only", 10.1, [](Machine& machine) { machine.last_contact = at(10); }, false,
       DeletionReason::kAnswersWithoutHeartbeat},
  };
  for (const auto& entry : cases) {
    FailureDetector detector(params());
    auto judged = make_machine("m1", 0);
    entry.change(judged);
    EXPECT_EQ(detector.reason_to_delete(judged, entry.partitioned, at(entry.now)), entry.reason)
        << entry.what;
  }
}

TEST(DeletionReason, AMachineHangsOnlyWhileOthersOfItsZoneAnswer) {
  struct Case {
    const char* what;
    std::size_t unanswered;
    std::optional<double> zone_answered;
    std::optional<DeletionReason> reason;
  };
  const Case cases[] = {
      {"one command may have been lost", 1, 3, {}},
      {"nobody of its zone has answered", 2, {}, {}},
      {"others answered before it was asked only", 2, 0.4, {}},
      {"others have answered since", 2, 3, DeletionReason::kHung},
  };
  for (const auto& entry : cases) {
    auto patient = params();
    patient.grace = std::chrono::seconds(12);
    FailureDetector detector(patient);
    auto judged = make_machine("m1", 0);
    judged.unanswered_since = at(0.5);
    judged.unanswered = entry.unanswered;
    if (entry.zone_answered) detector.on_commands_answered(Zone("a"), at(*entry.zone_answered));
    EXPECT_EQ(detector.reason_to_delete(judged, false, at(6)), entry.reason) << entry.what;
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
    const auto& judged = machines.begin()->second;
    EXPECT_FALSE(detector.reason_to_delete(judged, false, at(25))) << pause;
    EXPECT_EQ(detector.reason_to_delete(judged, false, at(25.1)), DeletionReason::kNoContact) << pause;
  }
}

TEST(PartitionedZones, AreThoseOfWhichMostMachinesAreUnreachable) {
  struct Case {
    int all, late;
    bool partitioned;
  };
  for (const auto& entry : {Case{3, 3, true}, Case{2, 2, false}, Case{6, 3, false}, Case{5, 3, true}}) {
    FailureDetector detector(params());
    auto machines = machines_with_late(entry.all, entry.late);
    EXPECT_EQ(!detector.update_partitioned_zones(machines, at(10)).empty(), entry.partitioned)
        << entry.all << ' ' << entry.late;
    // So are those whose heartbeats come by way of other controllers only.
    auto relayed = machines_with_late(entry.all, 0);
    for (int i = 0; i < entry.late; ++i)
      relayed.at(MachineName("m" + std::to_string(i))).relayed_since = at(2);
    EXPECT_EQ(!detector.update_partitioned_zones(relayed, at(10)).empty(), entry.partitioned)
        << entry.all << ' ' << entry.late;
  }
}

TEST(Probes, GoToLateMachinesAndOneWitnessUnlessManyAreLate) {
  struct Case {
    const char* what;
    int all, late;
    std::optional<double> zone_answered;
    std::vector<const char*> probed;
  };
  const Case cases[] = {
      {"nobody is late", 4, 0, {}, {}},
      {"one is, and one that isn't shows that others answer", 4, 1, {}, {"m0", "m1"}},
      {"another has answered just now", 4, 1, 9.5, {"m0"}},
      {"so many that it is rather the network", 8, 3, {}, {}},
      {"three of a larger zone", 12, 3, 9.5, {"m0", "m1", "m2"}},
  };
  for (const auto& entry : cases) {
    FailureDetector detector(params());
    if (entry.zone_answered) detector.on_commands_answered(Zone("a"), at(*entry.zone_answered));
    auto machines = machines_with_late(entry.all, entry.late);
    for (auto& [name, known] : machines) known.unanswered = 1;
    std::vector<MachineName> expected;
    for (const auto* name : entry.probed) expected.emplace_back(name);
    std::vector<MachineName> probed;
    for (const auto* known : detector.machines_to_probe(machines, at(10))) probed.push_back(known->name);
    EXPECT_EQ(probed, expected) << entry.what;
    // What had no answer while many are late proves nothing.
    bool forgotten = entry.late > 0 && entry.probed.empty();
    EXPECT_EQ(machines.at(MachineName("m0")).unanswered, forgotten ? 0u : 1u) << entry.what;
  }
}

TEST(FailureDetector, TimeoutsFollowFromTheHeartbeatPeriodAndLease) {
  struct Case {
    double period, contact, own_heartbeat;
  };
  for (const auto& entry : {Case{1, 3, 5}, Case{3, 9, 9}}) {
    auto settings = params();
    settings.heartbeat_period = from_seconds(entry.period);
    FailureDetector detector(settings);
    Machine judged;
    detector.set_timeouts(judged);
    EXPECT_EQ(judged.contact_timeout, from_seconds(entry.contact));
    EXPECT_EQ(judged.own_heartbeat_timeout, from_seconds(entry.own_heartbeat));
    EXPECT_EQ(detector.suspicion_timeout(), from_seconds(1.6 * entry.period));
  }
}

}  // namespace
}  // namespace beaconsill::shard
