// Three controllers, the state store and the links between them as a seeded model: messages are lost, held,
// repeated and reordered, controllers are partitioned, end, pause and come back, their clocks drift. The
// checker knows the true time of each acknowledgement to a user and what each controller knows.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "shard/cancellation_barrier.h"

namespace beaconsill::model {

using shard::CancellationBarrier;
constexpr std::size_t kControllers = 3;
// True times are milliseconds since the start.
using Ms = std::int64_t;

enum class Mistake {
  kNone,
  kAcknowledgedAtOnce,      // a cancellation is acknowledged to users at once
  kReadLeaseForgotten,      // a restarted process doesn't keep the read leases of the one before
  kCountedFromReceipt,      // a read lease counts from when it's received
  kNotReadyCountedAsReady,  // a controller that hasn't read everything says that it lists all
  kAcknowledgedUnread,      // what a heartbeat lists is acknowledged and not applied
  kAlwaysComplete,          // a heartbeat with a part of what is cancelled says that it has all
};

struct Options {
  std::uint64_t seed = 1;
  Mistake mistake = Mistake::kNone;
  bool state_only = false;  // controllers stay up and connected with each other; the state store does not
};

struct Result {
  std::string broken;  // the first rule broken, empty if none
  int acknowledged = 0;
  int refused = 0;
  int acknowledged_unknown = 0;  // while a controller didn't know
  int restarts = 0;
  Ms oldest_knowledge = 0;  // of cancellations at any controller, after the first seconds
  Ms slowest_acknowledgement =
      0;  // from when any controller knew of it until the first acknowledgement to a user
};

class Model {
 public:
  explicit Model(Options options) : options_(options), random_(options.seed) {
    for (std::size_t index = 0; index < kControllers; ++index) {
      controllers_[index].rate = 1 + 0.00025 * (uniform() * 2 - 1);
      controllers_[index].offset = static_cast<Ms>(uniform() * 1e9);
      start_process(index);
    }
    plan_faults();
  }

  Result run();

 private:
  struct Controller {
    double rate = 1;
    Ms offset = 0;
    std::unique_ptr<CancellationBarrier> barrier;
    std::uint64_t sequence = 0;
    std::set<protocol::CancelledJob> view;
    std::vector<bool> stopped;  // by revision: the tasks of these jobs are stopped
    bool ready = false;
    Revision read_until;
    Instant up_to_date_at{};
    Ms down_until = 0, frozen_until = 0, next_heartbeat = 0, next_read = 0;
    std::array<bool, kControllers> heartbeat_due{};
    struct Read {
      Ms snapshot = 0, answer = 0;
      Instant begun;
      std::size_t seen = 0;
      bool taken = false, refused = false;
    };
    std::optional<Read> read;
    std::map<std::uint64_t, Instant> sent;
  };
  struct Message {
    std::size_t from, to;
    Ms at;
    protocol::Heartbeat heartbeat;
  };
  enum class Kind { kOutage, kStateCut, kLinkDrop, kLinkHold, kEnd, kFreeze, kReload };
  struct Fault {
    Kind kind;
    Ms from, until;
    std::size_t controller = 0, other = 0;
  };
  struct Asked {
    protocol::CancelledJob job;
    Ms written;
    Ms next;
    int acknowledgements = 0;
  };
  struct Acknowledged {
    std::size_t revision;
    Ms at;
  };

  double uniform() { return std::uniform_real_distribution<double>()(random_); }
  Ms between(Ms low, Ms high) { return std::uniform_int_distribution<Ms>(low, high)(random_); }
  bool chance(double probability) { return uniform() < probability; }
  std::size_t any_controller() { return static_cast<std::size_t>(between(0, kControllers - 1)); }
  static ControllerName name(std::size_t index) {
    return ControllerName(std::string(1, static_cast<char>('a' + index)));
  }
  Instant clock(const Controller& controller) const {
    auto ms = static_cast<double>(now_) * controller.rate + static_cast<double>(controller.offset);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)));
  }
  CancellationBarrier::Known known(const Controller& controller) const {
    return {controller.ready, controller.read_until, controller.view};
  }

  // A new process of the controller, which knows nothing yet.
  void start_process(std::size_t index);
  void plan_faults();
  void add(Kind kind, Ms from, Ms length, std::size_t controller = 0, std::size_t other = 0) {
    faults_.push_back({kind, from, from + length, controller, other});
  }
  bool is_active(const Fault& fault) const { return fault.from <= now_ && now_ < fault.until; }
  bool state_answers(std::size_t index) const;
  // Until when messages are held; none: they pass. A lost one is held for ever.
  std::optional<Ms> held_until(std::size_t from, std::size_t to) const;
  void step(std::size_t index);
  void end_process(std::size_t index, Ms until);
  void learn(Controller& controller, const protocol::CancelledJob& job);
  static void stop(Controller& controller, const protocol::CancelledJob& job) {
    if (controller.stopped.size() <= job.revision.value())
      controller.stopped.resize(job.revision.value() + 64);
    controller.stopped[job.revision.value()] = true;
  }

  void read(Controller& controller);
  void receive(std::size_t index);
  void send_heartbeats(std::size_t index);
  void send_heartbeat(std::size_t from, std::size_t to);

  // Users cancel jobs, and ask about them again and again, each time at any controller.
  void let_users_act();
  bool is_serving(std::size_t index) const {
    const auto& controller = controllers_[index];
    return controller.barrier && now_ >= controller.down_until && now_ >= controller.frozen_until;
  }

  void cancel(std::size_t index);
  void ask(std::size_t index, Asked& asked);
  void on_acknowledged(const Acknowledged& acknowledged);
  static bool has_stopped(const Controller& controller, std::size_t revision) {
    return revision < controller.stopped.size() && controller.stopped[revision];
  }

  void check_rules();

  Options options_;
  std::mt19937_64 random_;
  Ms now_ = 0;
  std::array<Controller, kControllers> controllers_;
  std::vector<protocol::CancelledJob> ends_;  // the state store: revision k is at k - 1
  std::vector<Message> messages_;
  std::vector<Fault> faults_;
  std::vector<Asked> asked_;
  std::vector<std::pair<std::size_t, Acknowledged>> writing_;
  std::vector<Acknowledged> acknowledged_;
  std::vector<bool> is_acknowledged_;
  std::map<Revision, Ms> known_since_;  // by any controller
  Result result_;
};

}  // namespace beaconsill::model
