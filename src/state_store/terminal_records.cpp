#include "state_store/terminal_records.h"

namespace beaconsill::state_store {
namespace {

protocol::CancelledJob cancelled_job(const JobId& id, const Versioned<TerminalRecord>& record) {
  return {record.revision, id, record.value.done};
}

}  // namespace

const TerminalRecord* TerminalRecords::apply(const JobId& id, const protocol::Change& change) {
  auto& record = records_[id];
  const auto before = cancelled_job(id, record);
  const bool updated = update(record, change, parse_terminal_record);
  if (updated) cancelled_.erase(before);
  if (!record.exists()) {
    records_.erase(id);
    return nullptr;
  }
  if (record.value.state == TerminalState::kCancelled) cancelled_.insert(cancelled_job(id, record));
  return updated ? &record.value : nullptr;
}

void TerminalRecords::clear() {
  records_.clear();
  cancelled_.clear();
}

const Versioned<TerminalRecord>& TerminalRecords::find(const JobId& id) const {
  static const Versioned<TerminalRecord> kNone;
  auto it = records_.find(id);
  return it == records_.end() ? kNone : it->second;
}

}  // namespace beaconsill::state_store
