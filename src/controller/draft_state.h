// Tells whether more changes can be added to a transaction that is being built.
#pragma once

#include "state_store/txn_draft.h"

namespace beaconsill::controller {

enum class DraftState {
  kOpen,
  kFull,  // the last changes exceeded the transaction's limits and were not added
};

// Adds all of the changes to the draft, or none of them if they exceed the transaction's limits.
inline DraftState add_changes(state_store::TxnDraft& draft,
                              const std::vector<protocol::Condition>& conditions,
                              const std::vector<protocol::Write>& writes) {
  return draft.add(conditions, writes) ? DraftState::kOpen : DraftState::kFull;
}

}  // namespace beaconsill::controller
