// How many machines of which kind: rented when work waits, returned when idle for long.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lead/lead.h"
#include "wire/cloud.h"

namespace beaconsill::lead {

struct CapacityParams {
  Duration idle_return{};
  Duration quiet_return{};
  Duration list_lag{};
  std::uint32_t task_cap = 64;
};

class Capacity {
 public:
  // `prefix` makes the names of rental requests unique: it holds the leader's term, and no term is ever held
  // by two processes.
  Capacity(CapacityParams params, std::string prefix);

  void set_catalogue(std::shared_ptr<const wire::Catalogue> c) { catalogue_ = std::move(c); }
  // An earlier leader may have ordered machines: nothing is rented before a list shows them, or shows that
  // there are none.
  void on_takeover(Instant now);
  void on_list(std::vector<wire::ListedMachine> machines, Instant now);

  // The next request to send, if any. One is under way at a time; it is repeated under its name until it's
  // answered.
  std::optional<wire::RentRequest> rent(const std::vector<Demand>& demand, Instant now);
  void on_rented(const wire::RentRequest& r, const std::vector<MachineName>& names, Instant now);
  void on_refused(const wire::RentRequest& r, Instant now);
  // No answer: the request may have been, or may yet be, carried out.
  void on_unanswered(Instant now);

  // Machines to delete that no owner knows: failed, or never up.
  std::vector<MachineName> dead(Instant now);
  // Idle machines that their owners may return: later while there are jobs, whose next tasks may need them.
  std::vector<MachineName> surplus(const std::map<PartId, wire::Summary>& summaries, bool demand,
                                   bool jobs) const;

 private:
  struct Kind {
    MachineType type;
    Zone zone;
    bool spot;
    auto operator<=>(const Kind&) const = default;
  };
  struct Coming {
    Kind kind;
    Instant rented;
  };
  // Room on machines that are starting.
  struct ComingRoom {
    double on_time = 0;
    double late = 0;  // they take far longer than is usual
  };
  ComingRoom coming_room(const wire::Shape& s, Instant now) const;
  // How many of the shape's tasks no room is coming for. `ahead`: CPUs of it that others need.
  double lack_of_room(const wire::Shape& s, double ahead, Instant now) const;
  // Its usual time to start, in seconds.
  double usual_boot_s(const MachineType& type) const;
  bool is_late(const Coming& c, Instant now) const;
  // It has been starting for longer than any machine of its type lately; it's taken never to come up.
  bool is_given_up(const wire::ListedMachine& m);
  void on_up(const wire::ListedMachine& m);
  void on_given_up(const wire::ListedMachine& m, Instant now);
  // For how many usual times a machine of the type is waited for, by what was seen lately.
  double& patience(const MachineType& type);

  CapacityParams params_;
  std::string prefix_;
  std::shared_ptr<const wire::Catalogue> catalogue_;
  std::map<MachineName, wire::ListedMachine> listed_;
  std::map<MachineName, Coming> coming_;  // rented, not yet up
  std::map<MachineType, double> patience_;
  // Until then, and until there was a list since, machines of an earlier leader may be missing in it.
  Instant list_complete_at_{};
  bool list_complete_ = true;
  std::map<Kind, Instant> refused_;
  std::map<MachineName, Instant> deleted_;
  std::optional<wire::RentRequest> under_way_;
  Instant again_{};
  bool sent_ = false;
  std::uint64_t next_ = 1;
};

}  // namespace beaconsill::lead
