// An owner's books about one machine of its shard.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "protocol/api.h"
#include "protocol/cloud.h"
#include "protocol/worker.h"

namespace beaconsill::shard {

constexpr std::size_t kMaxCommands = 128;  // in one message to a worker
// A worker waits 4 s for an answer to its report (the protocol). The same patience is had with a worker.
constexpr Duration kHeartbeatAnswerTimeout = std::chrono::milliseconds(3900);

// A machine may still report an ended attempt of a task while it runs the next one.
using TaskKey = std::pair<TaskId, Attempt>;

// A task that is, or may be, on the machine.
struct MachineTask {
  enum class Start {
    kQueued,       // to be sent with the next commands
    kSent,         // sent, not settled: it may or may not be there
    kAcknowledged  // the worker has reported it
  };
  Start start = Start::kAcknowledged;
  protocol::TaskState state = protocol::TaskState::kFetching;
  protocol::EndCause cause = protocol::EndCause::kDone;
  bool saved = false;
  std::shared_ptr<const protocol::JobSpec> spec;  // none if the job isn't known
  Instant since{};                                // placed or first seen
  std::optional<Instant> running_since;
  bool runs_well = false;            // for so long that its job doesn't fail by itself
  std::optional<double> stop_grace;  // to be stopped
  bool stop_sent = false;
  bool is_disposable = false;  // ended, and what it ended with is durable or of no use
  bool forget_sent = false;
  std::uint64_t listed = 0;  // the last report of its machine that listed it, see Part::reconcile_heartbeat
};
inline bool live(const MachineTask& t) {
  return t.state != protocol::TaskState::kEnded;
}

// The images a machine is thought to hold, the least recently used dropped first as the machine does.
class ImageCache {
 public:
  void set_capacity(double gb) { capacity_gb_ = gb; }
  void use(const ImageName& image, double gb, Instant now);
  bool has(const ImageName& image) const { return images_.contains(image); }

 private:
  struct Entry {
    double gb;
    Instant used;
  };
  std::map<ImageName, Entry> images_;
  double capacity_gb_ = 0;
};

// What the tasks on a machine take, in sums kept for the machine.
struct MachineLoad {
  std::array<Resources, kPriorities> used_from;  // by tasks of at least this priority
  std::array<std::size_t, kPriorities> tasks_from{};
  std::set<ImageName> fetching;
};

struct Machine {
  MachineName name;
  std::string address;
  MachineType type;
  Zone zone;
  bool spot = false;
  Resources total;
  bool type_known = false;

  // From reports.
  Incarnation incarnation;
  Sequence sequence;
  Token seen;              // highest token that the worker is known to have seen
  bool confirmed = false;  // under this owner's term: no earlier owner is obeyed any more
  Instant first_seen{};    // when this owner first knew of it
  Instant
      last_contact{};  // last report, also as an answer to commands, or when the owner began to wait for one
  Instant last_own_heartbeat{};  // last one of its own accord: only these renew its lease
  Instant
      last_answered{};  // last answer to a report; whether the worker got it is another matter, see `doubted`
  std::optional<Instant> relayed_since;  // since when it has come by way of others only
  Instant redirected{};                  // when the worker was last pointed here
  Instant commands_answered{};           // when it last answered commands or a probe
  std::optional<Instant> reclaimed_at;   // spot notice
  std::map<TaskKey, MachineTask> tasks;
  bool may_have_orphans =
      false;  // some of them may not be granted to this shard, see Part::stop_orphaned_tasks
  ImageCache images;

  // Commands: at most one batch is under way, each under a token of its own.
  enum class Channel {
    kIdle,
    kBusy,    // a batch is under way
    kFencing  // it's in doubt that the worker hears: what was sent is settled once it has seen a higher token
  };
  Channel channel = Channel::kIdle;
  Token token;                      // the highest given out; reports are answered with it
  std::optional<Instant> retry_at;  // when to call on the worker by an empty batch
  // Word from a machine doesn't show that it hears: since when that is in doubt, until it shows a raised
  // token.
  std::optional<Instant> suspected_since;
  // One that has yet to show this owner's token is in doubt from the start: it may report and hear nothing,
  // and the rebuilding would wait for it without end.
  std::optional<Instant> unconfirmed_since() const {
    return confirmed ? suspected_since : std::optional(first_seen);
  }

  // Commands and probes without an answer since the machine was last heard: when the first was sent, and how
  // many have been waited for in vain.
  std::optional<Instant> unanswered_since;
  std::size_t unanswered = 0;
  std::optional<Instant> probed;  // when the last empty batch was sent
  void on_sent(Instant now) {
    if (!unanswered_since) unanswered_since = now;
  }
  void forget_unanswered() {
    unanswered_since.reset();
    unanswered = 0;
  }
  // No batch, probe or deletion is under way that would tell as much.
  bool can_be_probed() const {
    return confirmed && !deleting && !address.empty() && channel == Channel::kIdle && !retry_at &&
           !probe_under_way;
  }
  bool probe_under_way = false;

  bool dispatch_pending = false;  // there may be something to send, see Part::touch

  bool registered = false;  // in the state store, so that a successor waits for it
  bool draining = false;    // takes no more tasks: to be returned
  bool quarantined = false;
  bool deleting = false;
  std::optional<Instant> delete_retry;
  Instant idle_since{};
  Instant avoided_until{};  // see FailureAttribution::suspect_until

  // What the tasks on it take. It's asked for far more often than it changes: whoever changes `tasks`, or
  // what in them counts here, calls `changed`.
  const Resources& used() const { return load().used_from[0]; }
  // Used by tasks whose priority is at least `p`: what stopping lower work can't free.
  const Resources& used_from(Priority p) const { return load().used_from[static_cast<std::size_t>(p)]; }
  std::size_t live_tasks() const { return load().tasks_from[0]; }
  std::size_t tasks_from(Priority p) const { return load().tasks_from[static_cast<std::size_t>(p)]; }
  // Images that tasks here wait for. Several fetched at a time share the machine's rate: each would come as
  // late as the last.
  bool fetches(const ImageName& image) const { return load().fetching.contains(image); }
  std::size_t fetches() const { return load().fetching.size(); }
  void changed() { load_.reset(); }
  bool usable(Instant now) const {
    return confirmed && registered && type_known && !draining && !quarantined && !deleting && !reclaimed_at &&
           now - last_contact < contact_timeout && now - last_own_heartbeat < own_heartbeat_timeout &&
           unanswered == 0 && channel != Channel::kFencing && now >= avoided_until;
  }
  Duration contact_timeout =
      std::chrono::seconds(4);  // without a sign of life for this long it gets no new tasks
  // The same without a report of its own accord: what is started then would end with the lease.
  Duration own_heartbeat_timeout = std::chrono::seconds(5);

 private:
  const MachineLoad& load() const;
  mutable std::optional<MachineLoad> load_;
};

}  // namespace beaconsill::shard
