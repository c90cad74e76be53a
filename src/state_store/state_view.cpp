#include "state_store/state_view.h"

#include <utility>

#include "base/log.h"
#include "state_store/record_keys.h"

namespace beaconsill::state_store {

std::optional<TerminalState> StateView::terminal_state(const JobId& id) const {
  const auto& record = terminal_record(id);
  if (record.exists()) return record.value.state;
  if (dependencies_.cancelled_by(id)) return TerminalState::kCancelled;
  return std::nullopt;
}

Revision StateView::terminal_revision(const JobId& id) const {
  const auto& own = terminal_record(id);
  if (own.exists()) return own.revision;
  const auto* root = dependencies_.cancelled_by(id);
  return root ? terminal_record(*root).revision : Revision();
}

const Versioned<Role>& StateView::shard_role(ShardId shard) const {
  static const Versioned<Role> kNone;
  auto it = shard_roles_.find(shard);
  return it == shard_roles_.end() ? kNone : it->second;
}

const StateView::Registry& StateView::registry(ShardId shard) const {
  static const Registry kNone;
  auto it = registries_.find(shard);
  return it == registries_.end() ? kNone : it->second;
}

const Versioned<std::vector<MachineRecord>>& StateView::machines(ShardId shard, std::uint32_t key) const {
  static const Versioned<std::vector<MachineRecord>> kNone;
  const auto& keys = registry(shard);
  auto it = keys.find(key);
  return it == keys.end() ? kNone : it->second;
}

// Everything must be erased: a leader that retained jobs which were deleted while it couldn't read would
// grant their tasks repeatedly, and each such transaction would fail with all the other grants in it.
void StateView::clear() {
  for (const auto& [id, job] : jobs_.jobs()) changes_.jobs.insert(id);
  for (const auto& [id, record] : terminal_records_.all()) changes_.jobs.insert(id);
  for (const auto& [shard, registry] : registries_) changes_.machines.insert(shard);
  changes_.roles = true;
  complete_to_ = {};
  jobs_.clear();
  terminal_records_.clear();
  dependencies_.clear();
  shard_roles_.clear();
  leader_ = {};
  controllers_.clear();
  registries_.clear();
}

StateView::ChangeSet StateView::take_changes() {
  return std::exchange(changes_, {});
}

// The protocol guarantees no order of the changes in a response; its own example lists a deletion after a
// change of a later revision.
void StateView::apply_all(std::vector<protocol::Change> changes) {
  std::stable_sort(changes.begin(), changes.end(),
                   [](const auto& left, const auto& right) { return left.revision < right.revision; });
  for (const auto& change : changes) apply(change);
}

void StateView::apply(const protocol::Change& change) {
  // A deleted key has no entry whose revision could reject an older change. Without this check the late
  // response to this controller's own transaction would permanently restore a key that a read has already
  // seen deleted.
  if (change.revision <= complete_to_) return;
  const auto key = parse_key(change.key);
  if (!key) return;
  try {
    apply_value(*key, change);
  } catch (const protocol::ProtocolError& error) {
    spdlog::error("state_store_value_malformed key={} reason=\"{}\"", change.key, error.what());
  }
  for (auto& id : dependencies_.take_changed()) changes_.jobs.insert(std::move(id));
}

void StateView::apply_value(const RecordKey& key, const protocol::Change& change) {
  switch (key.kind) {
    case RecordKind::kJob:
    case RecordKind::kDependencies:
    case RecordKind::kGrants:
    case RecordKind::kProgress:
      return apply_job_value(key, change);
    case RecordKind::kTerminal:
      return apply_terminal(JobId(key.name), change);
    case RecordKind::kLeaderRole:
      changes_.roles |= update(leader_, change, parse_role);
      return;
    case RecordKind::kShardRole:
      changes_.roles |= update(shard_roles_[key.shard], change, parse_role);
      return;
    case RecordKind::kAlive:
      changes_.roles |= controllers_.apply_alive(ControllerName(key.name), change);
      return;
    case RecordKind::kVersions:
      changes_.roles |= controllers_.apply_versions(change);
      return;
    case RecordKind::kMachines:
      if (update(registries_[key.shard][key.number], change, parse_machines))
        changes_.machines.insert(key.shard);
      return;
  }
}

void StateView::apply_job_value(const RecordKey& key, const protocol::Change& change) {
  const JobId id(key.name);
  if (key.kind == RecordKind::kJob) {
    update_dependencies(id, jobs_.apply_record(id, change));
  } else if (key.kind == RecordKind::kDependencies) {
    update_dependencies(id, jobs_.apply_dependencies(id, key.number, change));
  } else if (key.kind == RecordKind::kGrants) {
    jobs_.apply_grants(id, change);
  } else {
    jobs_.apply_progress(id, key.shard, change);
  }
  changes_.jobs.insert(id);
}

void StateView::apply_terminal(const JobId& id, const protocol::Change& change) {
  if (const auto* record = terminal_records_.apply(id, change)) dependencies_.on_terminal_record(id, *record);
  changes_.jobs.insert(id);
}

void StateView::update_dependencies(const JobId& id, JobIndex::RecordChange change) {
  if (change == JobIndex::RecordChange::kDeleted) return dependencies_.on_job_record_deleted(id);
  if (change != JobIndex::RecordChange::kCompleted) return;
  dependencies_.on_job_record(id, job(id)->record.spec->depends_on, [this](const JobId& dependency) {
    const auto& record = terminal_record(dependency);
    return record.exists() ? &record.value : nullptr;
  });
}

}  // namespace beaconsill::state_store
