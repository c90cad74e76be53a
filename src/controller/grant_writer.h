// Writes the grants of a scheduling round to the state store in one transaction.
#pragma once

#include <functional>
#include <vector>

#include "controller/leadership.h"
#include "controller/peer_messenger.h"

namespace beaconsill::controller {

// Part of the SchedulerService. Reports the outcome to the scheduler's state machine (on_granted). A
// transaction that isn't confirmed is not repeated, since the next round decides again. Doesn't throw; runs
// on the event loop's single thread.
class GrantWriter {
 public:
  using Grants = std::vector<scheduler::Scheduler::Grant>;

  // `on_written` is called after grants were written, when the next round may begin.
  GrantWriter(ControllerContext& ctx, PeerMessenger& messenger, Leadership& leadership,
              std::function<void()> on_written);

  // Writes as many of `grants` as one transaction can contain. `leader` is the condition on the leader's
  // role, see Leadership::leader_role_condition.
  void write(Grants grants, const protocol::Condition& leader, state_store::Urgency urgency);

 private:
  void drop_grants_over_limits(Grants& grants) const;
  bool trim_to_value_limit(scheduler::Scheduler::Grant& grant, Generation recorded,
                           std::size_t max_bytes) const;
  void trim_to_txn_limit(Grants& grants) const;
  protocol::Txn build_txn(const Grants& grants, const protocol::Condition& leader) const;
  void on_written(const Grants& grants, const protocol::Txn& txn, Revision revision);

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  Leadership& leadership_;
  std::function<void()> on_written_;
};

}  // namespace beaconsill::controller
