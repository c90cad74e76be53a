// Writes the grants of a round to the state store, in one transaction.
#pragma once

#include <functional>
#include <vector>

#include "controller/leadership.h"
#include "controller/peer_messenger.h"

namespace beaconsill::controller {

// Part of the SchedulerService. Reports the outcome to the scheduler's state machine (on_granted); a
// transaction without a good answer is not repeated: the next round decides anew. Throws nothing; one thread.
class GrantWriter {
 public:
  using Grants = std::vector<scheduler::Scheduler::Grant>;

  // `on_written` is called after grants were written: the next round may begin.
  GrantWriter(ControllerContext& ctx, PeerMessenger& messenger, Leadership& leadership,
              std::function<void()> on_written);

  // Writes those of `grants` that fit into one transaction. `leader`: see Leadership::still_leader.
  void write(Grants grants, const protocol::Condition& leader, state_store::Urgency urgency);

 private:
  void drop_oversized(Grants& grants) const;
  bool fits_value(scheduler::Scheduler::Grant& grant, Generation recorded, std::size_t max_bytes) const;
  void fit_transaction(Grants& grants) const;
  protocol::Txn build_txn(const Grants& grants, const protocol::Condition& leader) const;
  void on_written(const Grants& grants, const protocol::Txn& txn, Revision revision);

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  Leadership& leadership_;
  std::function<void()> on_written_;
};

}  // namespace beaconsill::controller
