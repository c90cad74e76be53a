// The state store's content as this controller knows it, in typed form.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "protocol/state_store.h"
#include "state_store/controller_liveness.h"
#include "state_store/dependencies.h"
#include "state_store/job.h"
#include "state_store/job_index.h"
#include "state_store/records.h"
#include "state_store/terminal_records.h"
#include "state_store/versioned.h"

namespace beaconsill::state_store {

// An index of all records, and a log of what has changed in it. Changes may arrive in any order and more than
// once: for each key the one with the highest version stands. Not thread-safe; WatchCache owns it.
class StateView {
 public:
  // What a number of changes touched.
  struct ChangeSet {
    std::set<JobId> jobs;
    bool roles = false;  // roles, liveness or versions
    std::set<ShardId> machines;
    bool any() const { return roles || !jobs.empty() || !machines.empty(); }
  };

  // A value that isn't understood is logged and left out.
  void apply(const protocol::Change& change);
  // Changes read together, in whatever order they are listed.
  void apply_all(std::vector<protocol::Change> changes);
  // All changes up to this revision were applied.
  void complete_to(Revision revision) { complete_to_ = std::max(complete_to_, revision); }
  // Forgets everything, for a new load. All that was known counts as touched: it may not come back.
  void clear();
  // What has changed since the last call.
  ChangeSet take_changes();

  const std::map<JobId, Job>& jobs() const { return jobs_.jobs(); }
  // Null: not known, or not all of its keys have been read.
  const Job* job(const JobId& id) const { return jobs_.find(id); }
  using DependencyKeys = state_store::DependencyKeys;
  const DependencyKeys& dependency_keys(const JobId& id) const { return jobs_.dependency_keys(id); }
  // All jobs that have such keys, also those whose record was deleted or never written.
  const std::map<JobId, DependencyKeys>& all_dependency_keys() const { return jobs_.all_dependency_keys(); }

  // How the job ended, by its own record or since a dependency was cancelled. Final.
  std::optional<TerminalState> terminal_state(const JobId& id) const;
  // Which jobs wait for which, and what follows from that.
  const Dependencies& dependencies() const { return dependencies_; }
  // The revision of the record that ended the job: its own, or that of the job through which it's cancelled.
  Revision terminal_revision(const JobId& id) const;
  const Versioned<TerminalRecord>& terminal_record(const JobId& id) const {
    return terminal_records_.find(id);
  }
  // All jobs with the record of a cancellation, the oldest first.
  const std::set<protocol::CancelledJob>& cancelled() const { return terminal_records_.cancelled(); }

  const Versioned<Role>& leader() const { return leader_; }
  const Versioned<Role>& shard_role(ShardId shard) const;

  // See ControllerLiveness.
  bool alive(const ControllerName& controller) const { return controllers_.alive(controller); }
  std::optional<std::uint32_t> advertised_version(const ControllerName& controller) const {
    return controllers_.advertised_version(controller);
  }
  const Versioned<Versions>& versions() const { return controllers_.versions(); }
  bool all_support(std::uint32_t version, const std::vector<ControllerName>& controllers) const {
    return controllers_.all_support(version, controllers);
  }

  // One key of a shard's registry.
  const Versioned<std::vector<MachineRecord>>& machines(ShardId shard, std::uint32_t key) const;
  // All keys of a shard's registry that exist, by their number.
  using Registry = std::map<std::uint32_t, Versioned<std::vector<MachineRecord>>>;
  const Registry& registry(ShardId shard) const;

 private:
  void apply_value(const RecordKey& key, const protocol::Change& change);
  void apply_job_value(const RecordKey& key, const protocol::Change& change);
  void apply_terminal(const JobId& id, const protocol::Change& change);
  void update_dependencies(const JobId& id, JobIndex::RecordChange change);

  JobIndex jobs_;
  TerminalRecords terminal_records_;
  Dependencies dependencies_;
  std::map<ShardId, Versioned<Role>> shard_roles_;
  Versioned<Role> leader_;
  ControllerLiveness controllers_;
  std::map<ShardId, Registry> registries_;
  Revision complete_to_;
  ChangeSet changes_;
};

}  // namespace beaconsill::state_store
