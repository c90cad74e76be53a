// Whether a transaction that is being drafted takes more changes.
#pragma once

#include "state_store/txn_draft.h"

namespace beaconsill::controller {

enum class DraftState {
  kOpen,
  kFull,  // the last changes didn't fit any more
};

// Adds the changes to the draft, or none of them if they don't fit.
inline DraftState add_changes(state_store::TxnDraft& draft,
                              const std::vector<protocol::Condition>& conditions,
                              const std::vector<protocol::Write>& writes) {
  return draft.add(conditions, writes) ? DraftState::kOpen : DraftState::kFull;
}

}  // namespace beaconsill::controller
