// How many machines of which kind: rented when work waits, returned when idle for long.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/cloud.h"
#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {

struct AutoscalerParams {
  Duration idle_return{};
  Duration quiet_return{};
  Duration list_lag{};
  std::uint32_t task_cap = 64;
};

class Autoscaler {
 public:
  // `prefix` makes the names of rental requests unique: it holds the leader's term, and no term is ever held
  // by two processes.
  Autoscaler(AutoscalerParams params, std::string prefix);

  void set_catalogue(std::shared_ptr<const protocol::Catalogue> c) { catalogue_ = std::move(c); }
  // An earlier leader may have ordered machines: nothing is rented before a list shows them, or shows that
  // there are none.
  void on_takeover(Instant now);
  void on_list(std::vector<protocol::ListedMachine> machines, Instant now);

  // The next request to send, if any. One is under way at a time; it is repeated under its name until it's
  // answered.
  std::optional<protocol::RentRequest> rent(const std::vector<Demand>& demand, Instant now);
  void on_rented(const protocol::RentRequest& r, const std::vector<MachineName>& names, Instant now);
  void on_refused(const protocol::RentRequest& r, Instant now);
  // No answer: the request may have been, or may yet be, carried out.
  void on_unanswered(Instant now);

  // Machines to delete that no owner knows: failed, or never up.
  std::vector<MachineName> failed_instances(Instant now);
  // Idle machines that their owners may return: later while there are jobs, whose next tasks may need them.
  std::vector<MachineName> idle_instances(const std::map<ShardId, protocol::Summary>& summaries, bool demand,
                                          bool jobs) const;

 private:
  struct Kind {
    MachineType type;
    Zone zone;
    bool spot;
    auto operator<=>(const Kind&) const = default;
  };
  struct PendingInstance {
    Kind kind;
    Instant rented;
  };
  // Room on machines that are starting.
  struct PendingCapacity {
    double on_time = 0;
    double late = 0;  // they take far longer than is usual
  };
  PendingCapacity pending_capacity(const protocol::ResourceRequest& s, Instant now) const;
  // How many of the shape's tasks no room is coming for. `ahead`: CPUs of it that others need.
  double missing_capacity(const protocol::ResourceRequest& s, double ahead, Instant now) const;
  // Its usual time to start, in seconds.
  double typical_boot_s(const MachineType& type) const;
  bool is_boot_late(const PendingInstance& c, Instant now) const;
  // It has been starting for longer than any machine of its type lately; it's taken never to come up.
  bool boot_timed_out(const protocol::ListedMachine& m);
  void on_instance_running(const protocol::ListedMachine& m);
  void on_boot_timeout(const protocol::ListedMachine& m, Instant now);
  // For how many usual times a machine of the type is waited for, by what was seen lately.
  double& patience(const MachineType& type);

  AutoscalerParams params_;
  std::string prefix_;
  std::shared_ptr<const protocol::Catalogue> catalogue_;
  std::map<MachineName, protocol::ListedMachine> listed_;
  std::map<MachineName, PendingInstance> pending_instances_;  // rented, not yet up
  std::map<MachineType, double> patience_;
  // Until then, and until there was a list since, machines of an earlier leader may be missing in it.
  Instant list_complete_at_{};
  bool list_complete_ = true;
  std::map<Kind, Instant> refused_;
  std::map<MachineName, Instant> deleted_;
  std::optional<protocol::RentRequest> under_way_;
  Instant again_{};
  bool request_sent_ = false;
  std::uint64_t next_ = 1;
};

}  // namespace beaconsill::scheduler
