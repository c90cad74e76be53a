// Decides how many instances to rent from the cloud and of which kind: scales out when tasks wait for
// capacity, and scales in when instances have been idle for long.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "protocol/cloud.h"
#include "scheduler/boot_timeouts.h"
#include "scheduler/shard_summaries.h"
#include "scheduler/waiting_jobs.h"

namespace beaconsill::scheduler {

struct AutoscalerParams {
  Duration idle_timeout{};               // an instance idle for longer is returned while jobs are open
  Duration idle_timeout_without_jobs{};  // the same while no job is open
  Duration list_lag{};                   // usual age of the data in the cloud's list of instances
  std::uint32_t task_cap = 64;           // maximum number of tasks on one instance
};

// A state machine without sockets: the controller sends its requests to the cloud and reports their results
// to it. Not thread-safe.
class Autoscaler {
 public:
  // `prefix` makes the idempotency keys of rental requests unique: it contains the leader's term, and no two
  // processes ever have the same term.
  Autoscaler(AutoscalerParams params, std::string prefix);

  // Sets the machine types that the cloud offers. No instance is rented or deleted before the first call.
  void set_catalogue(std::shared_ptr<const protocol::Catalogue> catalogue) {
    catalogue_ = std::move(catalogue);
  }
  // To be called after a failover. An earlier leader may have rented instances shortly before, so none is
  // rented until a list has been received that is recent enough to contain them.
  void on_takeover(Instant now);
  // The cloud's list of all instances was received.
  void on_instance_list(std::vector<protocol::ListedMachine> machines, Instant now);

  // Returns the next rental request to send, or std::nullopt if there is none. Only one request is open at a
  // time. Until it's answered, it's repeated with the same idempotency key, so that it's carried out once.
  std::optional<protocol::RentRequest> rent(const std::vector<Demand>& demand, Instant now);
  // The cloud carried out the request. Fewer `names` than requested instances mean that the cloud has no more
  // instances of this kind.
  void on_instances_rented(const protocol::RentRequest& request, const std::vector<MachineName>& names,
                           Instant now);
  // The cloud refused the request because it has no instance of this kind.
  void on_rent_refused(const protocol::RentRequest& request, Instant now);
  // The request got no answer: the cloud may have carried it out, or may still do so.
  void on_rent_unanswered(Instant now);

  // Returns the instances to delete that have failed or haven't booted within the boot timeout. No shard
  // leader manages these. Each instance is returned once, and again if it's still listed after a retry delay.
  std::vector<MachineName> failed_instances(Instant now);
  // Returns idle instances that their shard leaders may return to the cloud. There are none while there is
  // demand. While jobs are open, instances are returned later, because the next tasks may need them.
  std::vector<MachineName> idle_instances(const ShardSummaries& summaries, bool has_demand,
                                          bool has_open_jobs) const;

 private:
  struct InstanceKind {
    MachineType type;
    Zone zone;
    bool spot = false;
    auto operator<=>(const InstanceKind&) const = default;
  };
  struct PendingInstance {
    InstanceKind kind;
    Instant rented_at;
  };
  // Number of tasks of a resource request for which pending instances have capacity.
  struct PendingCapacity {
    double on_time = 0;
    double late = 0;  // on instances that take far longer to boot than their type typically does
  };
  // A kind of instance that can be rented for a resource request.
  struct RentalOption {
    double price_per_task = 0;
    std::size_t owned = 0;  // number of instances of this kind in the latest list
    InstanceKind kind;
    std::uint32_t tasks_per_instance = 0;
  };
  PendingCapacity pending_capacity(const protocol::ResourceRequest& request, Instant now) const;
  // Returns how many of the requested tasks don't fit into the pending capacity if `reserved_cpus` CPUs of it
  // are needed for other requests. The result isn't positive if all tasks fit.
  double missing_tasks(const protocol::ResourceRequest& request, double reserved_cpus, Instant now) const;
  // Returns the kind with the lowest price per task, and among equal prices the one with the fewest owned
  // instances. Returns std::nullopt if no kind can be rented for the request.
  std::optional<RentalOption> cheapest_option(const protocol::ResourceRequest& request, Instant now) const;
  bool is_refused(const InstanceKind& kind, Instant now) const;
  std::size_t count_owned(const InstanceKind& kind) const;
  // Opens a rental request for `tasks` tasks of the demand at `index` and for all later entries of `demand`
  // that may run on the same kind of instance.
  protocol::RentRequest open_request(const std::vector<Demand>& demand, std::size_t index,
                                     const RentalOption& option, double tasks);
  double typical_boot_s(const MachineType& type) const;
  bool is_boot_late(const PendingInstance& instance, Instant now) const;
  bool boot_timed_out(const protocol::ListedMachine& machine) const;
  void on_boot_timeout(const protocol::ListedMachine& machine, Instant now);
  // Drops pending instances that were rented long ago and aren't listed: they are assumed to be gone.
  void drop_unlisted_pending(Instant now);

  AutoscalerParams params_;
  std::string request_prefix_;
  std::shared_ptr<const protocol::Catalogue> catalogue_;
  std::map<MachineName, protocol::ListedMachine> listed_;
  std::map<MachineName, PendingInstance> pending_instances_;  // rented, but not yet running
  BootTimeouts boot_timeouts_;
  // Before this time the list may lack instances that an earlier leader rented. `list_complete_` is set by
  // the first list that is received from then on.
  Instant list_complete_at_{};
  bool list_complete_ = true;
  std::map<InstanceKind, Instant> refused_at_;  // latest refusal, incomplete rental or boot timeout
  std::map<MachineName, Instant> deletion_requested_at_;
  std::optional<protocol::RentRequest> open_request_;
  bool request_sent_ = false;  // `open_request_` is under way to the cloud
  Instant retry_at_{};         // earliest time of the next attempt after a request without an answer
  std::uint64_t next_request_number_ = 1;
};

}  // namespace beaconsill::scheduler
