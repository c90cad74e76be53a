// The failure detector of a shard: which machines are late with a heartbeat, hung, unreachable or to be
// deleted, and which zones this controller is partitioned from.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "shard/machine.h"
#include "shard/shard_params.h"

namespace beaconsill::shard {

enum class DeletionReason {
  kQuarantined,             // its tasks failed, and it is empty now
  kReleased,                // the leader needs it no longer
  kHung,                    // neither heartbeats nor answers, while other machines of its zone answer
  kReceivesNothing,         // sends heartbeats, but shows no token that would prove it receives anything
  kNoContact,               // no heartbeat and no answer
  kAnswersWithoutHeartbeat  // answers probes, but sends no heartbeat of its own accord
};
// The reason in snake_case, as logged.
const char* to_string(DeletionReason reason);

// Keeps per-zone times; the per-machine ones are in Machine. All times are those of this controller's steady
// clock. It decides only: the caller sends probes and deletes machines.
class FailureDetector {
 public:
  using Machines = std::map<MachineName, Machine>;

  explicit FailureDetector(const ShardParams& params);

  // Time without a heartbeat after which a machine is suspected.
  Duration suspicion_timeout() const;
  // Sets the times after which a machine gets no new tasks.
  void set_timeouts(Machine& machine) const;

  // The controller has not run for a while and received nothing: time without contact counts from here.
  void on_process_pause(Machines& machines, Instant now);
  // A machine of the zone answered commands or a probe.
  void on_commands_answered(const Zone& zone, Instant now) { commands_answered_[zone] = now; }

  // Suspected machines, and for each zone with such one that is not suspected: that a machine doesn't answer
  // says something only while others of its zone do. While a large share of a zone is suspected nobody of it
  // is probed, and its unanswered commands are forgotten.
  std::vector<Machine*> machines_to_probe(Machines& machines, Instant now) const;

  // No heartbeat for that long, or not known for that long to receive anything. A machine that has not yet
  // sent a heartbeat under this leader's term is not known to.
  static bool is_unreachable(const Machine& machine, Duration timeout, Instant now);
  // Zones of which more machines are unreachable than single failures explain. Recorded for reason_to_delete.
  std::set<Zone> update_partitioned_zones(const Machines& machines, Instant now);
  // None: the machine is kept. `partitioned`: its zone is partitioned from this controller.
  std::optional<DeletionReason> reason_to_delete(const Machine& machine, bool partitioned, Instant now) const;

 private:
  bool is_suspected(const Machine& machine, Instant now) const;
  bool is_hung(const Machine& machine, Instant now) const;
  std::optional<DeletionReason> reason_if_no_contact(const Machine& machine, Duration timeout,
                                                     std::optional<Instant> observing_since,
                                                     Instant now) const;
  // Since when this controller could receive heartbeats from the zone; none: all the time.
  std::optional<Instant> reachable_since(const Zone& zone) const;
  std::optional<Instant> commands_answered(const Zone& zone) const;

  ShardParams params_;
  std::optional<Instant> observing_since_;     // the end of the last pause of this process
  std::map<Zone, Instant> commands_answered_;  // the last time, by any machine of the zone
  std::map<Zone, Instant> partitioned_;        // the last time that the zone was found partitioned
};

}  // namespace beaconsill::shard
