// The state that a shard's leader tracks for one machine: its tasks, image cache, load, command channel and
// lifecycle.
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
// By the protocol a worker waits 4 s for the answer to its heartbeat. The leader allows a worker about the
// same time to answer commands and probes.
constexpr Duration kHeartbeatAnswerTimeout = std::chrono::milliseconds(3900);

// Identifies one attempt of a task. A machine may still list an ended attempt while it runs the next one.
struct TaskKey {
  TaskId task;
  Attempt attempt;
  auto operator<=>(const TaskKey&) const = default;
};

// A task attempt that is on the machine, or may be there because its start command is queued or in flight.
struct MachineTask {
  enum class Start {
    kQueued,       // the start command will be sent with the next batch
    kSent,         // the start command is in flight: the worker may or may not have executed it
    kAcknowledged  // the worker has listed the task in a heartbeat, or answered the start command
  };
  Start start = Start::kAcknowledged;
  protocol::TaskState state = protocol::TaskState::kFetching;
  protocol::EndCause cause = protocol::EndCause::kDone;
  bool saved = false;
  std::shared_ptr<const protocol::JobSpec> spec;  // null if the job isn't known
  Instant since{};                                // when the task was placed or first listed
  std::optional<Instant> running_since;
  bool is_proven_stable = false;     // has run long enough to show that its job doesn't fail on every machine
  std::optional<double> stop_grace;  // if set, the task is to be stopped within this many seconds
  // Grace in seconds of the last stop command. Reset if the worker rejected the command or may have lost it.
  std::optional<double> sent_stop_grace;
  // Token of the batch that contained the start command; 0 if it was not sent yet, or by an earlier leader. A
  // worker that has seen a higher token refuses copies of that batch.
  FencingToken start_token;
  bool is_disposable = false;  // ended, and its result is recorded durably or not needed
  bool forget_sent = false;
  // Number of the last heartbeat that listed the task, see ShardState::heartbeat_count.
  std::uint64_t last_listed = 0;
};
// An element of Machine::tasks.
using MachineTaskEntry = std::map<TaskKey, MachineTask>::value_type;
// Returns whether the task has not ended.
inline bool is_live(const MachineTask& task) {
  return task.state != protocol::TaskState::kEnded;
}
// Returns whether a stop command has to be sent: none was sent yet, or the last one allowed more time. A task
// that saves its checkpoint continues to do so until a second command says that it has no time left.
inline bool is_stop_due(const MachineTask& task) {
  if (!is_live(task) || !task.stop_grace) return false;
  return !task.sent_stop_grace || *task.stop_grace < *task.sent_stop_grace;
}

// Estimates which images are cached on a machine. Evicts the least recently used image first, as the machine
// itself does. Sizes are in GB.
class ImageCache {
 public:
  void set_capacity(double size_gb) { capacity_gb_ = size_gb; }
  // Records that the image is in use on the machine, and therefore cached there.
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

// Totals over the live tasks on a machine. The arrays are indexed by priority.
struct MachineLoad {
  std::array<Resources, kPriorityCount> used_at_or_above;            // by tasks of at least this priority
  std::array<std::size_t, kPriorityCount> task_count_at_or_above{};  // tasks of at least this priority
  std::set<ImageName> fetching;
};

// One machine of the shard. The components of the shard update its fields directly, except that entries of
// `tasks` are added and removed through TaskLocations only.
struct Machine {
  MachineName name;
  std::string address;  // of the machine's worker; empty if not known
  MachineType type;
  Zone zone;
  bool spot = false;
  Resources total;
  bool type_known = false;

  // ---- From heartbeats
  Incarnation incarnation;
  Sequence sequence;
  // The highest token that a heartbeat has reported. A worker never forgets it unless it restarts.
  FencingToken reported_token;
  // The worker has restarted, and numbers its incarnations and heartbeats from the beginning. The next
  // heartbeat that is applied is one with a token issued after the restart was noticed, whatever its numbers.
  bool restart_detected = false;
  // The worker has reported this leader's term in a heartbeat, so it no longer obeys any earlier leader.
  bool confirmed = false;
  Instant first_seen{};  // when this leader learned of the machine
  // Time of the last heartbeat, whether unsolicited or sent as an answer to commands. Before the first
  // heartbeat: the time at which the leader began to wait for one.
  Instant last_contact{};
  // The last heartbeat that the worker sent by itself, not as an answer to commands or a probe. Only the
  // answers to these renew the worker's lease.
  Instant last_unsolicited_heartbeat{};
  // When this controller last answered a heartbeat. The answer may not have reached the worker, see
  // `suspected_since`.
  std::optional<Instant> last_answered;
  std::optional<Instant> relayed_since;  // since when heartbeats have arrived through other controllers only
  std::optional<Instant> last_redirect_at;        // when the worker was last redirected to this controller
  std::optional<Instant> last_command_answer_at;  // when the worker last answered commands or a probe
  std::optional<Instant> reclaim_at;  // when the cloud will reclaim the machine, as announced (spot machines)
  std::map<TaskKey, MachineTask> tasks;
  bool may_have_orphans = false;  // some tasks may not be granted to this shard, see stop_orphaned_tasks
  ImageCache images;

  // ---- Commands: at most one batch is in flight, and each batch has its own fencing token
  enum class Channel {
    kIdle,
    kBusy,    // a batch is in flight
    kFencing  // the worker may be unable to receive; see begin_fencing and resolve_in_flight
  };
  Channel channel = Channel::kIdle;
  FencingToken token;               // the highest one issued; heartbeats are answered with it
  std::optional<Instant> probe_at;  // when to send the next probe
  // Heartbeats from a machine don't prove that it receives anything. Set while the machine is suspected of
  // receiving nothing, until its worker reports a raised token.
  std::optional<Instant> suspected_since;
  // Since when it is unconfirmed that the machine receives messages from this leader. A machine that has not
  // yet reported this leader's token is suspected from the start: it might send heartbeats and receive
  // nothing, and the reconciliation would wait for it forever.
  std::optional<Instant> unconfirmed_since() const {
    return confirmed ? suspected_since : std::optional(first_seen);
  }

  // Commands and probes that have not been answered since the last contact: `unanswered_since` is when the
  // first of them was sent, `unanswered` is the number that timed out.
  std::optional<Instant> unanswered_since;
  std::size_t unanswered = 0;
  std::optional<Instant> last_probe_at;
  bool probe_in_flight = false;
  void on_command_sent(Instant now) {
    if (!unanswered_since) unanswered_since = now;
  }
  void reset_unanswered() {
    unanswered_since.reset();
    unanswered = 0;
  }
  // Whether the machine is confirmed and a probe would yield new information: false while a batch, a probe or
  // a deletion that would show the same is in progress.
  bool can_be_probed() const {
    return confirmed && !deleting && !address.empty() && channel == Channel::kIdle && !probe_at &&
           !probe_in_flight;
  }

  bool dispatch_pending = false;  // the machine is in the DispatchQueue: there may be something to send to it

  // ---- Lifecycle
  bool registered = false;   // recorded in the state store, so that the next leader waits for this machine
  bool draining = false;     // gets no more tasks and will be deleted
  bool quarantined = false;  // gets no more tasks, because FailureAttribution found it faulty
  bool deleting = false;
  std::optional<Instant> retry_deletion_at;  // set after a failed deletion
  Instant idle_since{};
  std::optional<Instant> avoided_until;  // see FailureAttribution::suspected_until
  // A machine without contact for this long gets no new tasks.
  Duration contact_timeout = std::chrono::seconds(4);
  // A machine without an unsolicited heartbeat for this long gets no new tasks: they would be ended when the
  // lease expires.
  Duration unsolicited_heartbeat_timeout = std::chrono::seconds(5);

  // Whether tasks may be started on the machine now.
  bool usable(Instant now) const {
    return confirmed && registered && type_known && !draining && !quarantined && !deleting && !reclaim_at &&
           now - last_contact < contact_timeout &&
           now - last_unsolicited_heartbeat < unsolicited_heartbeat_timeout && unanswered == 0 &&
           channel != Channel::kFencing && (!avoided_until || now >= *avoided_until);
  }

  // ---- Load: cached, because it is read far more often than it changes. Code that changes `tasks`, or
  // fields of a task that count towards the load, must call invalidate_load.
  const Resources& used() const { return load().used_at_or_above[0]; }
  // Resources used by tasks of at least this priority, which preempting tasks of lower priorities can't free.
  const Resources& used_at_or_above(Priority priority) const {
    return load().used_at_or_above[static_cast<std::size_t>(priority)];
  }
  std::size_t live_task_count() const { return load().task_count_at_or_above[0]; }
  std::size_t task_count_at_or_above(Priority priority) const {
    return load().task_count_at_or_above[static_cast<std::size_t>(priority)];
  }
  // Images that tasks on this machine are waiting for. Images fetched at the same time share the machine's
  // download rate, so each of them arrives as late as the last one.
  bool is_fetching(const ImageName& image) const { return load().fetching.contains(image); }
  std::size_t fetch_count() const { return load().fetching.size(); }
  void invalidate_load() { load_.reset(); }

 private:
  const MachineLoad& load() const;
  mutable std::optional<MachineLoad> load_;
};

}  // namespace beaconsill::shard
