// The failure detector of a shard: determines which machines are late with a heartbeat, hung, unreachable or
// to be deleted, and which zones this controller is partitioned from.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "shard/machine.h"
#include "shard/shard_params.h"

namespace beaconsill::shard {

enum class DeletionReason {
  kQuarantined,             // tasks failed on the machine, and it is empty now
  kReleased,                // the cluster no longer needs the machine
  kHung,                    // neither heartbeats nor answers, while other machines of its zone answer
  kReceivesNothing,         // no heartbeat with the token that would prove that it receives messages
  kNoContact,               // no heartbeat and no answer
  kAnswersWithoutHeartbeat  // answers probes, but sends no unsolicited heartbeats
};
// Returns the reason in snake_case, as it is logged.
const char* to_string(DeletionReason reason);

// Stores when each zone last answered and when it was last partitioned; the state of a single machine is in
// Machine. All times are those of this controller's steady clock. This class only makes decisions: the caller
// sends probes and deletes machines.
class FailureDetector {
 public:
  using Machines = std::map<MachineName, Machine>;

  explicit FailureDetector(const ShardParams& params);

  // Time without a heartbeat after which a machine is suspected to have failed.
  Duration suspicion_timeout() const;
  // Sets the machine's contact_timeout and unsolicited_heartbeat_timeout.
  void set_timeouts(Machine& machine) const;

  // To be called after a pause of this process, in which it received nothing. Time without contact counts
  // from `now`.
  void on_process_pause(Machines& machines, Instant now);
  // Records that a machine of the zone answered commands or a probe.
  void on_commands_answered(const Zone& zone, Instant now) { commands_answered_[zone] = now; }

  // Returns the machines that are late with a heartbeat, and for each zone that has any, one machine that is
  // not late: a missing answer is evidence against a machine only while other machines of its zone answer.
  // While a large share of a zone is suspected to have failed, returns none of its machines and disregards
  // the unanswered commands of the late ones.
  std::vector<Machine*> machines_to_probe(Machines& machines, Instant now) const;

  // Returns whether for longer than `timeout` the machine has sent no unsolicited heartbeat, or it has been
  // unconfirmed that it receives messages from this leader (see Machine::unconfirmed_since).
  static bool is_unreachable(const Machine& machine, Duration timeout, Instant now);
  // Returns the zones in which more machines are unreachable than independent failures of machines explain,
  // and records them for reason_to_delete.
  std::set<Zone> update_partitioned_zones(const Machines& machines, Instant now);
  // Returns std::nullopt if the machine should not be deleted. `partitioned`: whether its zone is partitioned
  // from this controller.
  std::optional<DeletionReason> reason_to_delete(const Machine& machine, bool partitioned, Instant now) const;

 private:
  bool is_suspected(const Machine& machine, Instant now) const;
  bool is_hung(const Machine& machine, Instant now) const;
  std::optional<DeletionReason> reason_if_no_contact(const Machine& machine, Duration timeout,
                                                     std::optional<Instant> observing_since,
                                                     Instant now) const;
  // Returns since when this controller has been able to receive heartbeats from the zone, or std::nullopt if
  // it always has been.
  std::optional<Instant> reachable_since(const Zone& zone) const;
  std::optional<Instant> commands_answered(const Zone& zone) const;

  ShardParams params_;
  std::optional<Instant> observing_since_;     // the end of the last pause of this process
  std::map<Zone, Instant> commands_answered_;  // when a machine of the zone last answered
  std::map<Zone, Instant> partitioned_;        // when the zone was last found to be partitioned
};

}  // namespace beaconsill::shard
