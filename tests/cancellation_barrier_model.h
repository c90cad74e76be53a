// A seeded simulation of three controllers, the state store and the links between them, for tests of the
// cancellation barrier. Messages are lost, delayed, duplicated and reordered; controllers are partitioned,
// crash, pause and restart; their clocks drift. The checker knows the true time of each acknowledgement to a
// user and what each controller knows.
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
// Simulated true times and durations are in milliseconds; times count from the start of the simulation.
using Ms = std::int64_t;

enum class SeededBug {
  kNone,
  kAcknowledgesImmediately,      // acknowledges a cancellation to users without consulting the barrier
  kForgetsReadLeasesOnRestart,   // a restarted process ignores read leases granted by its predecessor
  kCountsReadLeaseFromReceipt,   // counts a read lease from when it is received
  kClaimsCompleteBeforeReady,    // claims a complete list before it has read all records
  kAcknowledgesWithoutApplying,  // acknowledges the cancellations of a heartbeat but does not apply them
  kClaimsPartialListComplete,    // claims that a partial list of cancellations is complete
};

struct Options {
  std::uint64_t seed = 1;
  SeededBug seeded_bug = SeededBug::kNone;
  bool only_state_store_faults = false;  // only the state store fails; controllers stay up and connected
};

struct Result {
  std::string violation;  // the first violated invariant; empty if none
  int acknowledged = 0;
  int refused = 0;
  int acknowledged_while_unknown = 0;  // acknowledgements while some controller did not know the cancellation
  int restarts = 0;
  // The highest age of any controller's knowledge of cancellations after the first 5 s.
  Ms max_knowledge_age = 0;
  // The longest time from when the first controller knew of a cancellation until its first acknowledgement to
  // a user.
  Ms max_acknowledgement_delay = 0;
};

class Model {
 public:
  explicit Model(Options options) : options_(options), random_(options.seed) {
    for (std::size_t index = 0; index < kControllers; ++index) {
      controllers_[index].clock_rate = 1 + 0.00025 * (uniform() * 2 - 1);
      controllers_[index].clock_offset = static_cast<Ms>(uniform() * 1e9);
      start_process(index);
    }
    plan_faults();
  }

  Result run();

 private:
  struct Controller {
    double clock_rate = 1;
    Ms clock_offset = 0;
    std::unique_ptr<CancellationBarrier> barrier;
    std::uint64_t sequence = 0;
    std::set<protocol::CancelledJob> view;
    std::vector<bool> stopped_jobs;  // whether the job cancelled at this revision is stopped
    bool ready = false;
    Revision read_until;
    Instant up_to_date_at{};
    Ms down_until = 0, paused_until = 0, next_heartbeat = 0, next_read = 0;
    std::array<bool, kControllers> heartbeat_due{};
    struct Read {
      Ms snapshot_at = 0, answer_at = 0;
      Instant started_at;
      std::size_t record_count = 0;
      bool snapshot_taken = false, refused = false;
    };
    std::optional<Read> read;
    std::map<std::uint64_t, Instant> sent;
  };
  struct Message {
    std::size_t from, to;
    Ms at;
    protocol::Heartbeat heartbeat;
  };
  enum class FaultKind {
    kStateStoreOutage,
    kStateStorePartition,
    kLinkDrop,
    kLinkDelay,
    kCrash,
    kPause,
    kReloadView
  };
  struct Fault {
    FaultKind kind;
    Ms from, until;
    std::size_t controller = 0, other = 0;
  };
  struct CancelRequest {
    protocol::CancelledJob job;
    Ms written;
    Ms next_query;
    int acknowledgements = 0;
  };
  struct Acknowledgement {
    std::size_t revision;
    Ms at;
  };

  double uniform() { return std::uniform_real_distribution<double>()(random_); }
  Ms random_between(Ms low, Ms high) { return std::uniform_int_distribution<Ms>(low, high)(random_); }
  bool random_bool(double probability) { return uniform() < probability; }
  std::size_t random_controller() { return static_cast<std::size_t>(random_between(0, kControllers - 1)); }
  static ControllerName name(std::size_t index) {
    return ControllerName(std::string(1, static_cast<char>('a' + index)));
  }
  Instant clock(const Controller& controller) const {
    auto ms =
        static_cast<double>(now_) * controller.clock_rate + static_cast<double>(controller.clock_offset);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)));
  }
  CancellationBarrier::LocalView known(const Controller& controller) const {
    return {controller.ready, controller.read_until, controller.view};
  }

  // Starts a new process of the controller with empty state.
  void start_process(std::size_t index);
  void plan_faults();
  void add_fault(FaultKind kind, Ms from, Ms length, std::size_t controller = 0, std::size_t other = 0) {
    faults_.push_back({kind, from, from + length, controller, other});
  }
  bool is_active(const Fault& fault) const { return fault.from <= now_ && now_ < fault.until; }
  bool state_store_answers(std::size_t index) const;
  // Returns until when messages on the link are delayed; std::nullopt if they are not. Lost messages are
  // delayed until the end of the simulation.
  std::optional<Ms> delayed_until(std::size_t from, std::size_t to) const;
  void step(std::size_t index);
  void crash_process(std::size_t index, Ms until);
  void add_cancellation(Controller& controller, const protocol::CancelledJob& job);
  static void stop_job(Controller& controller, const protocol::CancelledJob& job) {
    if (controller.stopped_jobs.size() <= job.revision.value())
      controller.stopped_jobs.resize(job.revision.value() + 64);
    controller.stopped_jobs[job.revision.value()] = true;
  }

  void read_state_store(Controller& controller);
  void receive(std::size_t index);
  void send_heartbeats(std::size_t index);
  void send_heartbeat(std::size_t from, std::size_t to);

  // Users cancel jobs, and repeatedly query them, each time at a random controller.
  void simulate_users();
  bool is_serving(std::size_t index) const {
    const auto& controller = controllers_[index];
    return controller.barrier && now_ >= controller.down_until && now_ >= controller.paused_until;
  }

  void cancel_new_job(std::size_t index);
  void query(std::size_t index, CancelRequest& request);
  void on_acknowledged(const Acknowledgement& acknowledgement);
  static bool has_stopped(const Controller& controller, std::size_t revision) {
    return revision < controller.stopped_jobs.size() && controller.stopped_jobs[revision];
  }

  void check_invariants();

  Options options_;
  std::mt19937_64 random_;
  Ms now_ = 0;
  std::array<Controller, kControllers> controllers_;
  // The records in the state store: the one with revision k is at index k - 1.
  std::vector<protocol::CancelledJob> cancellation_records_;
  std::vector<Message> messages_;
  std::vector<Fault> faults_;
  std::vector<CancelRequest> cancel_requests_;
  std::vector<std::pair<std::size_t, Acknowledgement>> delayed_acknowledgements_;
  std::vector<Acknowledgement> acknowledgements_;
  std::vector<bool> is_acknowledged_;
  std::map<Revision, Ms> known_since_;  // when the first controller knew of it
  Result result_;
};

}  // namespace beaconsill::model
