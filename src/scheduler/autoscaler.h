// How many instances of which kind there should be: scale-out when work waits, scale-in when instances are
// idle for long.
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
  Duration idle_return{};       // an instance idle for longer is returned while there are jobs
  Duration quiet_return{};      // the same while there are none
  Duration list_lag{};          // usual age of what the cloud's list of instances shows
  std::uint32_t task_cap = 64;  // tasks on one instance
};

// A state machine without sockets: the controller sends its requests to the cloud and reports what became of
// them. Not thread-safe.
class Autoscaler {
 public:
  // `prefix` makes the idempotency names of rental requests unique: it holds the leader's term, and no term
  // is ever held by two processes.
  Autoscaler(AutoscalerParams params, std::string prefix);

  // Nothing is rented or deleted without a catalogue.
  void set_catalogue(std::shared_ptr<const protocol::Catalogue> catalogue) {
    catalogue_ = std::move(catalogue);
  }
  // After a failover: an earlier leader may have rented instances, so nothing is rented before a list has to
  // show them.
  void on_takeover(Instant now);
  // All instances as the cloud lists them.
  void on_list(std::vector<protocol::ListedMachine> machines, Instant now);

  // The next rental request to send, if any. One is open at a time; it's retried under its name until it's
  // answered, which makes it idempotent.
  std::optional<protocol::RentRequest> rent(const std::vector<Demand>& demand, Instant now);
  // The request was carried out; fewer instances than requested mean that the cloud has no more of the kind.
  void on_scale_out_result(const protocol::RentRequest& request, const std::vector<MachineName>& names,
                           Instant now);
  // The cloud has no instance of the kind.
  void on_refused(const protocol::RentRequest& request, Instant now);
  // No answer: the request may have been, or may yet be, carried out.
  void on_unanswered(Instant now);

  // Instances to delete that no shard leader knows: failed, or not up within the boot timeout. Each is
  // returned once, and again if it's still listed some time later.
  std::vector<MachineName> failed_instances(Instant now);
  // Idle instances that their shard leaders may return: none while there is demand; later while there are
  // jobs, whose next tasks may need them.
  std::vector<MachineName> idle_instances(const ShardSummaries& summaries, bool demand, bool jobs) const;

 private:
  struct InstanceKind {
    MachineType type;
    Zone zone;
    bool spot = false;
    auto operator<=>(const InstanceKind&) const = default;
  };
  struct PendingInstance {
    InstanceKind kind;
    Instant rented;
  };
  // Tasks of a resource request that fit on pending instances.
  struct PendingCapacity {
    double on_time = 0;
    double late = 0;  // on instances that take far longer than is typical
  };
  // A kind of instance that could be rented for a resource request.
  struct RentalOption {
    double price_per_task = 0;
    std::size_t owned = 0;  // instances of the kind that there are already
    InstanceKind kind;
    std::uint32_t tasks_per_instance = 0;
  };
  PendingCapacity pending_capacity(const protocol::ResourceRequest& request, Instant now) const;
  // How many of the requested tasks no pending capacity is left for, if other requests need `reserved_cpus`
  // of it.
  double missing_tasks(const protocol::ResourceRequest& request, double reserved_cpus, Instant now) const;
  // The cheapest per task; among equals the kind of which there are fewest.
  std::optional<RentalOption> cheapest_option(const protocol::ResourceRequest& request, Instant now) const;
  bool is_refused(const InstanceKind& kind, Instant now) const;
  std::size_t count_owned(const InstanceKind& kind) const;
  // Opens a request for `tasks` of the demand at `index` and for all that comes after it and may run there.
  protocol::RentRequest open_request(const std::vector<Demand>& demand, std::size_t index,
                                     const RentalOption& option, double tasks);
  double typical_boot_s(const MachineType& type) const;
  bool is_boot_late(const PendingInstance& instance, Instant now) const;
  bool boot_timed_out(const protocol::ListedMachine& machine) const;
  void on_boot_timeout(const protocol::ListedMachine& machine, Instant now);
  // Pending instances that were rented long ago and still aren't listed don't exist any more.
  void drop_unlisted_pending(Instant now);

  AutoscalerParams params_;
  std::string prefix_;
  std::shared_ptr<const protocol::Catalogue> catalogue_;
  std::map<MachineName, protocol::ListedMachine> listed_;
  std::map<MachineName, PendingInstance> pending_instances_;  // rented, not yet up
  BootTimeouts boot_timeouts_;
  // Until then, and until there was a list since, instances of an earlier leader may be missing in it.
  Instant list_complete_at_{};
  bool list_complete_ = true;
  std::map<InstanceKind, Instant> refused_;
  std::map<MachineName, Instant> deleted_;
  std::optional<protocol::RentRequest> open_request_;
  bool request_sent_ = false;
  Instant retry_at_{};
  std::uint64_t next_request_number_ = 1;
};

}  // namespace beaconsill::scheduler
