// Maintains this controller's local copy of the state store's records in typed form.
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

// An index of all records that also collects which of them have changed. Changes may arrive in any order and
// more than once; for each key the change with the highest revision wins. Not thread-safe; WatchCache owns
// it.
class StateView {
 public:
  // The jobs, roles and registries affected by a series of changes.
  struct ChangeSet {
    std::set<JobId> jobs;
    bool roles = false;          // whether a role, a liveness record or the record of versions changed
    std::set<ShardId> machines;  // shards whose registry changed
    bool any() const { return roles || !jobs.empty() || !machines.empty(); }
  };

  // Applies one change. A malformed value is logged and ignored.
  void apply(const protocol::Change& change);
  // Applies changes that were read together, in the order of their revisions and not as listed.
  void apply_all(std::vector<protocol::Change> changes);
  // Records that all changes up to this revision were applied. Later calls of `apply` ignore these revisions.
  void mark_complete_up_to(Revision revision) { complete_to_ = std::max(complete_to_, revision); }
  // Erases all records before a full reload. Reports all of them as changed, because the reload may not
  // restore them.
  void clear();
  // Returns what has changed since the last call.
  ChangeSet take_changes();

  const std::map<JobId, Job>& jobs() const { return jobs_.jobs(); }
  // Returns null if the job is unknown or not all of its keys have been read.
  const Job* job(const JobId& id) const { return jobs_.find(id); }
  using DependencyKeys = state_store::DependencyKeys;
  const DependencyKeys& dependency_keys(const JobId& id) const { return jobs_.dependency_keys(id); }
  // Returns all additional dependency keys, including those of jobs whose record was deleted or never
  // written.
  const std::map<JobId, DependencyKeys>& all_dependency_keys() const { return jobs_.all_dependency_keys(); }

  // Returns the terminal state from the job's own record, or kCancelled if a direct or transitive dependency
  // was cancelled. Returns std::nullopt if the job hasn't ended. A terminal state never changes.
  std::optional<TerminalState> terminal_state(const JobId& id) const;
  const Dependencies& dependencies() const { return dependencies_; }
  // Returns the revision of the terminal record that determines the job's terminal state: its own, or that of
  // the dependency whose cancellation cancelled it. Returns revision 0 if the job hasn't ended.
  Revision terminal_revision(const JobId& id) const;
  const Versioned<TerminalRecord>& terminal_record(const JobId& id) const {
    return terminal_records_.find(id);
  }
  // Returns all jobs with a recorded cancellation, ordered by the revision of the record.
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

  // Returns the machines in one key of a shard's registry.
  const Versioned<std::vector<MachineRecord>>& machines(ShardId shard, std::uint32_t key) const;
  // The values of a shard's registry keys by key number. Deleted keys have no machines.
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
