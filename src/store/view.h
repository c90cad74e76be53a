// The state service's content as this node knows it, in typed form. Changes may arrive in any order and more
// than once: for each key the one with the highest version stands.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "store/dependencies.h"
#include "store/records.h"
#include "wire/store.h"

namespace beaconsill::store {

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
  std::map<PartId, Versioned<Progress>> progress;

  // Tasks that a part has recorded as done.
  Ranges done() const;
  // Tasks granted to a part, neither done nor given back: they may be on one of its machines.
  Ranges outstanding(PartId part) const;
  Ranges outstanding() const;
};

// Whether the part has given back these tasks of a chunk.
Ranges given_back(const Progress& p, Generation g);

class View {
 public:
  struct Touched {
    std::set<JobId> jobs;
    bool roles = false;  // roles or liveness
    std::set<PartId> machines;
    bool any() const { return roles || !jobs.empty() || !machines.empty(); }
  };

  void apply(const wire::Change& c);
  // Changes read together, in whatever order they are listed.
  void apply_all(std::vector<wire::Change> changes);
  // All changes up to this revision were applied.
  void complete_to(Revision r) { complete_to_ = std::max(complete_to_, r); }
  // Forgets everything, for a new load. All that was known counts as touched: it may not come back.
  void clear();
  // What has changed since the last call.
  Touched take_touched();

  const std::map<JobId, Job>& jobs() const { return jobs_; }
  const Job* job(const JobId& id) const;
  // The keys that hold jobs which this one awaits, by their number.
  using AwaitsKeys = std::map<std::uint32_t, Versioned<AwaitsPiece>>;
  const AwaitsKeys& awaits_keys(const JobId& id) const;
  // All jobs that have such keys, also those whose record is gone or was never written.
  const std::map<JobId, AwaitsKeys>& all_awaits_keys() const { return awaits_; }
  // How the job ended, by its own record or since a job that it awaits was cancelled. Final.
  std::optional<End> end(const JobId& id) const;
  // Which jobs wait for which, and what follows from that.
  const Dependencies& dependencies() const { return dependencies_; }
  // The revision of the record that ended the job: its own, or that of the job through which it's cancelled.
  Revision ended_by(const JobId& id) const;
  const Versioned<Ending>& ending(const JobId& id) const;
  // All jobs that ended by being cancelled, the oldest first.
  const std::set<wire::CancelledJob>& cancelled() const { return cancelled_; }
  const Versioned<Role>& leader() const { return leader_; }
  const Versioned<Role>& part_role(PartId part) const;
  bool alive(const NodeName& node) const;
  Revision alive_version(const NodeName& node) const;
  // The version that the node's running process shows; none: it isn't alive.
  std::optional<std::uint32_t> alive_shows(const NodeName& node) const;
  // The highest versions ever shown, as recorded.
  const Versioned<Versions>& versions() const { return versions_; }
  // Whether all these nodes have shown this version, and none that is alive shows a lower one.
  bool all_know(std::uint32_t version, const std::vector<NodeName>& nodes) const;
  // One key of a part's registry.
  const Versioned<std::vector<MachineRecord>>& machines(PartId part, std::uint32_t key) const;
  // All keys of a part's registry that exist.
  using Registry = std::map<std::uint32_t, Versioned<std::vector<MachineRecord>>>;
  const Registry& registry(PartId part) const;

 private:
  void apply_job(const JobId& id, const wire::Change& c);
  void apply_record(const JobId& id, Job& job, const wire::Change& c);
  void apply_awaits(const JobId& id, std::uint32_t piece, const wire::Change& c);
  // Puts the record together once all its keys are there.
  void complete(const JobId& id, Job& job);
  void apply_end(const JobId& id, const wire::Change& c);

  std::map<JobId, Job>
      jobs_;  // also those known only by a grant or progress, until their job comes: see job()
  std::map<JobId, AwaitsKeys> awaits_;
  std::unordered_map<JobId, Versioned<Ending>> ends_;
  std::set<wire::CancelledJob> cancelled_;  // of ends_
  Dependencies dependencies_;
  std::map<PartId, Versioned<Role>> parts_;
  Versioned<Role> leader_;
  struct Alive {
    Revision revision;
    std::uint32_t shows = 0;
  };
  std::map<NodeName, Alive> alive_;
  Versioned<Versions> versions_;
  std::map<PartId, Registry> machines_;
  Revision complete_to_;
  Touched touched_;
};

}  // namespace beaconsill::store
