#include "state_store/txn_draft.h"

namespace beaconsill::state_store {

bool TxnDraft::add(const std::vector<protocol::Condition>& conditions,
                   const std::vector<protocol::Write>& writes) {
  const auto bytes = protocol::render_txn({conditions, writes}).size();
  if (txn_.writes.size() + writes.size() > max_writes_) return false;
  if (txn_.conditions.size() + conditions.size() > max_writes_ * kConditionsPerWrite) return false;
  if (bytes_ + bytes > kMaxTxnBytes) return false;
  txn_.conditions.insert(txn_.conditions.end(), conditions.begin(), conditions.end());
  txn_.writes.insert(txn_.writes.end(), writes.begin(), writes.end());
  bytes_ += bytes;
  return true;
}

}  // namespace beaconsill::state_store
