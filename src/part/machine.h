// An owner's books about one machine of its part.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/api.h"
#include "wire/cloud.h"
#include "wire/worker.h"

namespace beaconsill::part {

constexpr std::size_t kMaxCommands = 128;  // in one message to a worker
// A worker waits 4 s for an answer to its report (the protocol). The same patience is had with a worker.
constexpr Duration kAnswerPatience = std::chrono::milliseconds(3900);

// A machine may still report an ended attempt of a task while it runs the next one.
using TaskKey = std::pair<TaskId, Attempt>;

// A task that is, or may be, on the machine.
struct TaskOn {
  enum class Start {
    kQueued,  // to be sent with the next commands
    kSent,    // sent, not settled: it may or may not be there
    kSettled  // the worker has reported it
  };
  Start start = Start::kSettled;
  wire::TaskState state = wire::TaskState::kFetching;
  wire::EndCause cause = wire::EndCause::kDone;
  bool saved = false;
  std::shared_ptr<const wire::JobSpec> spec;  // none if the job isn't known
  Instant since{};                            // placed or first seen
  std::optional<Instant> running_since;
  bool runs_well = false;            // for so long that its job doesn't fail by itself
  std::optional<double> stop_grace;  // to be stopped
  bool stop_sent = false;
  bool may_forget = false;  // ended, and what it ended with is durable or of no use
  bool forget_sent = false;
  std::uint64_t listed = 0;  // the last report of its machine that listed it, see Part::take_report
};
inline bool live(const TaskOn& t) {
  return t.state != wire::TaskState::kEnded;
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
  Session session;
  Sequence sequence;
  Token seen;             // highest token that the worker is known to have seen
  bool reported = false;  // under this owner's term: no earlier owner is obeyed any more
  Instant met{};          // when this owner first knew of it
  Instant heard{};  // last report, also as an answer to commands, or when the owner began to wait for one
  Instant last_report{};  // last one of its own accord: only these renew its lease
  Instant answered{};  // last answer to a report; whether the worker got it is another matter, see `doubted`
  std::optional<Instant> relayed_since;  // since when it has come by way of others only
  Instant redirected{};                  // when the worker was last pointed here
  Instant commands_answered{};           // when it last answered commands or a probe
  std::optional<Instant> taken_at;       // spot notice
  std::map<TaskKey, TaskOn> tasks;
  bool strays = false;  // some of them may not be granted to this part, see Part::stop_strays
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
  std::optional<Instant> doubted;
  // One that has yet to show this owner's token is in doubt from the start: it may report and hear nothing,
  // and the rebuilding would wait for it without end.
  std::optional<Instant> in_doubt_since() const { return reported ? doubted : std::optional(met); }

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
    return reported && !deleting && !address.empty() && channel == Channel::kIdle && !retry_at &&
           !probe_under_way;
  }
  bool probe_under_way = false;

  bool touched = false;  // there may be something to send, see Part::touch

  bool registered = false;  // in the state service, so that a successor waits for it
  bool closed = false;      // takes no more tasks: to be returned
  bool sick = false;
  bool deleting = false;
  std::optional<Instant> delete_retry;
  Instant idle_since{};
  Instant avoided_until{};  // see FailureEvidence::suspect_until

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
    return reported && registered && type_known && !closed && !sick && !deleting && !taken_at &&
           now - heard < quiet && now - last_report < mute && unanswered == 0 &&
           channel != Channel::kFencing && now >= avoided_until;
  }
  Duration quiet = std::chrono::seconds(4);  // without a sign of life for this long it gets no new tasks
  // The same without a report of its own accord: what is started then would end with the lease.
  Duration mute = std::chrono::seconds(5);

 private:
  const MachineLoad& load() const;
  mutable std::optional<MachineLoad> load_;
};

}  // namespace beaconsill::part
