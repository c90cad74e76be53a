// The state store's content as this controller knows it, in typed form. Changes may arrive in any order and
// more than once: for each key the one with the highest version stands.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "protocol/state_store.h"
#include "state_store/dependencies.h"
#include "state_store/records.h"

namespace beaconsill::state_store {

template <class T>
struct Versioned {
  T value{};
  Revision version;  // 0: the key doesn't exist
  bool exists() const { return version.value() != 0; }
};

struct Job {
  JobRecord record;
  Revision created;
  bool whole = false;  // all keys with the jobs that it awaits have been read
  Versioned<Grants> grants;
  std::map<ShardId, Versioned<Progress>> progress;

  // Tasks that a shard has recorded as done.
  Ranges done() const;
  // Tasks granted to a shard, neither done nor given back: they may be on one of its machines.
  Ranges outstanding(ShardId shard) const;
  Ranges outstanding() const;
};

// Whether the shard has given back these tasks of a chunk.
Ranges released_tasks(const Progress& p, Generation g);

class StateView {
 public:
  struct ChangeSet {
    std::set<JobId> jobs;
    bool roles = false;  // roles or liveness
    std::set<ShardId> machines;
    bool any() const { return roles || !jobs.empty() || !machines.empty(); }
  };

  void apply(const protocol::Change& c);
  // Changes read together, in whatever order they are listed.
  void apply_all(std::vector<protocol::Change> changes);
  // All changes up to this revision were applied.
  void complete_to(Revision r) { complete_to_ = std::max(complete_to_, r); }
  // Forgets everything, for a new load. All that was known counts as touched: it may not come back.
  void clear();
  // What has changed since the last call.
  ChangeSet take_changes();

  const std::map<JobId, Job>& jobs() const { return jobs_; }
  const Job* job(const JobId& id) const;
  // The keys that hold jobs which this one awaits, by their number.
  using DependencyKeys = std::map<std::uint32_t, Versioned<DependencyPiece>>;
  const DependencyKeys& dependency_keys(const JobId& id) const;
  // All jobs that have such keys, also those whose record is gone or was never written.
  const std::map<JobId, DependencyKeys>& all_dependency_keys() const { return dependency_keys_; }
  // How the job ended, by its own record or since a job that it awaits was cancelled. Final.
  std::optional<TerminalState> end(const JobId& id) const;
  // Which jobs wait for which, and what follows from that.
  const Dependencies& dependencies() const { return dependencies_; }
  // The revision of the record that ended the job: its own, or that of the job through which it's cancelled.
  Revision terminal_revision(const JobId& id) const;
  const Versioned<TerminalRecord>& terminal_record(const JobId& id) const;
  // All jobs that ended by being cancelled, the oldest first.
  const std::set<protocol::CancelledJob>& cancelled() const { return cancelled_; }
  const Versioned<Role>& leader() const { return leader_; }
  const Versioned<Role>& shard_role(ShardId shard) const;
  bool alive(const ControllerName& controller) const;
  Revision alive_version(const ControllerName& controller) const;
  // The version that the controller's running process shows; none: it isn't alive.
  std::optional<std::uint32_t> advertised_version(const ControllerName& controller) const;
  // The highest versions ever shown, as recorded.
  const Versioned<Versions>& versions() const { return versions_; }
  // Whether all these controllers have shown this version, and none that is alive shows a lower one.
  bool all_support(std::uint32_t version, const std::vector<ControllerName>& controllers) const;
  // One key of a shard's registry.
  const Versioned<std::vector<MachineRecord>>& machines(ShardId shard, std::uint32_t key) const;
  // All keys of a shard's registry that exist.
  using Registry = std::map<std::uint32_t, Versioned<std::vector<MachineRecord>>>;
  const Registry& registry(ShardId shard) const;

 private:
  void apply_job(const JobId& id, const protocol::Change& c);
  void apply_record(const JobId& id, Job& job, const protocol::Change& c);
  void apply_dependencies(const JobId& id, std::uint32_t piece, const protocol::Change& c);
  // Puts the record together once all its keys are there.
  void complete(const JobId& id, Job& job);
  void apply_end(const JobId& id, const protocol::Change& c);

  std::map<JobId, Job>
      jobs_;  // also those known only by a grant or progress, until their job comes: see job()
  std::map<JobId, DependencyKeys> dependency_keys_;
  std::unordered_map<JobId, Versioned<TerminalRecord>> ends_;
  std::set<protocol::CancelledJob> cancelled_;  // of ends_
  Dependencies dependencies_;
  std::map<ShardId, Versioned<Role>> shards_;
  Versioned<Role> leader_;
  struct Alive {
    Revision revision;
    std::uint32_t shows = 0;
  };
  std::map<ControllerName, Alive> alive_;
  Versioned<Versions> versions_;
  std::map<ShardId, Registry> machines_;
  Revision complete_to_;
  ChangeSet dispatch_queue_;
};

}  // namespace beaconsill::state_store
