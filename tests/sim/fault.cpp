#include "sim/fault.h"

#include <iterator>

namespace beaconsill::sim {

const char* to_string(FaultKind kind) {
  static const char* const kNames[] = {"controller_crash",
                                       "controller_pause",
                                       "repeated_failover",
                                       "controller_cut_from_state",
                                       "controller_cut_from_peers",
                                       "controller_cut_from_state_and_peers",
                                       "controller_cut",
                                       "state_refuses_controller",
                                       "state_outage",
                                       "state_slow",
                                       "lost_responses",
                                       "late_writes",
                                       "zone_cut",
                                       "lost_peer_messages",
                                       "late_peer_messages",
                                       "late_heartbeats",
                                       "heartbeats_for_next_leader",
                                       "late_commands",
                                       "machine_hangs",
                                       "machine_inbound_cut",
                                       "machine_outbound_cut",
                                       "machine_crash",
                                       "fast_boot",
                                       "cancel_running",
                                       "cancel_at_completion",
                                       "query_bursts",
                                       "invalid_requests",
                                       "single_task_jobs",
                                       "quotas_filled",
                                       "failing_jobs",
                                       "poll_storm",
                                       "machine_faulty",
                                       "slow_boot",
                                       "long_controller_pause"};
  static_assert(std::size(kNames) == kFaultKinds);
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace beaconsill::sim
