// What a shard's leader knows of one machine and of the tasks on it.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/types.h"
#include "protocol/api.h"
#include "protocol/cloud.h"
#include "protocol/worker.h"

namespace beaconsill::shard {

constexpr std::size_t kMaxCommands = 128;  // in one message to a worker
// A worker waits 4 s for an answer to its heartbeat (the protocol). A worker is given as long to answer.
constexpr Duration kHeartbeatAnswerTimeout = std::chrono::milliseconds(3900);

// One attempt of a task: a machine may still list an ended attempt while it runs the next one.
struct TaskKey {
  TaskId task;
  Attempt attempt;
  auto operator<=>(const TaskKey&) const = default;
};

// A task that is, or may be, on the machine.
struct MachineTask {
  enum class Start {
    kQueued,       // to be sent with the next commands
    kSent,         // in flight: it may or may not be there
    kAcknowledged  // the worker has listed it, or answered the command
  };
  Start start = Start::kAcknowledged;
  protocol::TaskState state = protocol::TaskState::kFetching;
  protocol::EndCause cause = protocol::EndCause::kDone;
  bool saved = false;
  std::shared_ptr<const protocol::JobSpec> spec;  // none if the job isn't known
  Instant since{};                                // placed or first listed
  std::optional<Instant> running_since;
  bool runs_well = false;            // for so long that its job doesn't fail by itself
  std::optional<double> stop_grace;  // to be stopped, within so many seconds
  bool stop_sent = false;
  bool is_disposable = false;  // ended, and what it ended with is durable or of no use
  bool forget_sent = false;
  std::uint64_t last_listed = 0;  // number of the last heartbeat that listed it, see HeartbeatReconciler
};
// Whether the task has not ended.
inline bool is_live(const MachineTask& task) {
  return task.state != protocol::TaskState::kEnded;
}

// The images a machine is thought to hold, the least recently used dropped first as the machine does. Sizes
// are in GB.
class ImageCache {
 public:
  void set_capacity(double size_gb) { capacity_gb_ = size_gb; }
  // The image is in use on the machine, and so is cached there.
  void use(const ImageName& image, double size_gb, Instant now);
  bool has(const ImageName& image) const { return images_.contains(image); }

 private:
  struct Entry {
    double size_gb = 0;
    Instant last_used;
  };
  void evict_to_capacity();

  std::map<ImageName, Entry> images_;
  double capacity_gb_ = 0;
};

// What the live tasks on a machine use, in sums.
struct MachineLoad {
  std::array<Resources, kPriorityCount> used_from;  // by tasks of at least this priority
  std::array<std::size_t, kPriorityCount> tasks_from{};
  std::set<ImageName> fetching;
};

// Written by the components of the shard. `tasks` is changed through TaskLocations only.
struct Machine {
  MachineName name;
  std::string address;  // of its worker; empty if not known
  MachineType type;
  Zone zone;
  bool spot = false;
  Resources total;
  bool type_known = false;

  // ---- From heartbeats
  Incarnation incarnation;
  Sequence sequence;
  bool confirmed = false;  // has shown this leader's term: no earlier leader is obeyed any more
  Instant first_seen{};    // when this leader first knew of it
  // Last heartbeat, also as an answer to commands, or when the leader began to wait for one.
  Instant last_contact{};
  Instant last_own_heartbeat{};  // last one of its own accord: only these renew its lease
  // Last answer to a heartbeat; whether it reached the worker is another matter, see `suspected_since`.
  std::optional<Instant> last_answered;
  std::optional<Instant> relayed_since;  // since when heartbeats have come by way of other controllers only
  std::optional<Instant> last_redirect_at;        // when the worker was last redirected here
  std::optional<Instant> last_command_answer_at;  // when it last answered commands or a probe
  std::optional<Instant> reclaimed_at;            // by the cloud, as notified (spot machines)
  std::map<TaskKey, MachineTask> tasks;
  bool may_have_orphans = false;  // some tasks may not be granted to this shard, see stop_orphaned_tasks
  ImageCache images;

  // ---- Commands: at most one batch is in flight, each under a token of its own
  enum class Channel {
    kIdle,
    kBusy,    // a batch is in flight
    kFencing  // may receive nothing: what is in flight is resolved once the worker shows a higher token
  };
  Channel channel = Channel::kIdle;
  FencingToken token;               // the highest issued; heartbeats are answered with it
  std::optional<Instant> probe_at;  // when to send the next probe
  // Heartbeats from a machine don't show that it receives anything: since when it is suspected not to, until
  // it shows a raised token.
  std::optional<Instant> suspected_since;
  // A machine that has yet to show this leader's token is suspected from the start: it may send heartbeats
  // and receive nothing, and the reconciliation would wait for it without end.
  std::optional<Instant> unconfirmed_since() const {
    return confirmed ? suspected_since : std::optional(first_seen);
  }

  // Commands and probes without an answer since the last contact: when the first was sent, and how many have
  // timed out.
  std::optional<Instant> unanswered_since;
  std::size_t unanswered = 0;
  std::optional<Instant> last_probe_at;
  bool probe_under_way = false;
  void on_sent(Instant now) {
    if (!unanswered_since) unanswered_since = now;
  }
  void forget_unanswered() {
    unanswered_since.reset();
    unanswered = 0;
  }
  // No batch, probe or deletion is under way that would tell as much.
  bool can_be_probed() const {
    return confirmed && !deleting && !address.empty() && channel == Channel::kIdle && !probe_at &&
           !probe_under_way;
  }

  bool dispatch_pending = false;  // there may be something to send, see DispatchQueue

  // ---- Lifecycle
  bool registered = false;   // in the state store, so that a successor waits for it
  bool draining = false;     // takes no more tasks: to be deleted
  bool quarantined = false;  // tasks of jobs that work elsewhere failed here: takes no more
  bool deleting = false;
  std::optional<Instant> retry_deletion_at;  // after a deletion that failed
  Instant idle_since{};
  std::optional<Instant> avoided_until;  // see FailureAttribution::suspect_until
  // Without contact for this long it gets no new tasks.
  Duration contact_timeout = std::chrono::seconds(4);
  // The same without a heartbeat of its own accord: what is started then would end with the lease.
  Duration own_heartbeat_timeout = std::chrono::seconds(5);

  // Whether tasks may be started on it now.
  bool usable(Instant now) const {
    return confirmed && registered && type_known && !draining && !quarantined && !deleting && !reclaimed_at &&
           now - last_contact < contact_timeout && now - last_own_heartbeat < own_heartbeat_timeout &&
           unanswered == 0 && channel != Channel::kFencing && (!avoided_until || now >= *avoided_until);
  }

  // ---- Load: asked for far more often than it changes, and so kept. Whoever changes `tasks`, or what in
  // them counts here, calls invalidate_load.
  const Resources& used() const { return load().used_from[0]; }
  // Used by tasks of at least this priority: what preempting lower ones can't free.
  const Resources& used_from(Priority priority) const {
    return load().used_from[static_cast<std::size_t>(priority)];
  }
  std::size_t live_tasks() const { return load().tasks_from[0]; }
  std::size_t tasks_from(Priority priority) const {
    return load().tasks_from[static_cast<std::size_t>(priority)];
  }
  // Images that tasks here wait for. Several fetched at a time share the machine's rate: each would come as
  // late as the last.
  bool is_fetching(const ImageName& image) const { return load().fetching.contains(image); }
  std::size_t fetch_count() const { return load().fetching.size(); }
  void invalidate_load() { load_.reset(); }

 private:
  const MachineLoad& load() const;
  mutable std::optional<MachineLoad> load_;
};

}  // namespace beaconsill::shard
