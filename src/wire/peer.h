// What controllers say to each other: Cap'n Proto messages and their plain forms.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ranges.h"
#include "base/types.h"

namespace beaconsill::wire {

struct PartTerm {
  PartId part;
  Term term;
};
// A job's end as the state service records it. Ordered by revision.
struct CancelledJob {
  Revision revision;
  JobId job;
  std::uint32_t done = 0;  // tasks that had completed, for display
  auto operator<=>(const CancelledJob&) const = default;
};
// What the receiver of a heartbeat may conclude about cancellations that its sender discloses to users; the
// fields are explained in peer.capnp.
struct Disclosure {
  bool ready = false;
  Revision read_until;
  std::chrono::milliseconds promise{0};
  bool complete = false;
  std::vector<CancelledJob> cancelled;
};
struct Heartbeat {
  Revision told;
  std::vector<PartTerm> terms;
  std::uint64_t sequence = 0;
  std::uint64_t echo = 0;
  bool state_ok = false;
  std::optional<Disclosure> disclosure;  // none: the sender is of a version without it
};
struct Nudge {
  Revision revision;
};

// What an estimate is asked for: a task's needs and the machines it may use.
struct Shape {
  Resources each;
  std::optional<std::vector<MachineType>> types;
  std::optional<Zone> zone;
  bool spot = false;
  ImageName image;
  Priority priority = Priority::kNormal;
  std::uint32_t wanted = 0;
  bool operator==(const Shape&) const = default;
};
struct Ask {
  std::uint64_t round = 0;
  std::vector<Shape> shapes;
};
struct ZoneRoom {
  Zone zone;
  std::uint32_t free = 0;
  std::uint32_t warm = 0;
  std::uint32_t preemptible = 0;
  std::uint32_t warm_preemptible = 0;
  bool operator==(const ZoneRoom&) const = default;
};
using ShapeRoom = std::vector<ZoneRoom>;
struct Answer {
  std::uint64_t round = 0;
  PartId part;
  Term term;
  Revision seen;
  std::vector<ShapeRoom> rooms;  // one for each shape asked for
};
struct MachineRoom {
  MachineName name;
  MachineType type;
  Zone zone;
  bool spot = false;
  Resources free;
  double idle_s = 0;
  bool usable = true;
};
struct JobCount {
  JobId job;
  std::uint32_t running = 0;
};
struct Summary {
  PartId part;
  Term term;
  Revision seen;
  std::vector<MachineRoom> machines;
  std::vector<JobCount> running;
  std::uint32_t page = 0;  // see wire/paging.h
  bool more = false;
};
struct Release {
  std::vector<MachineName> machines;
};
struct Gone {
  std::vector<MachineName> machines;
};

struct Relay {
  std::uint64_t id = 0;
  std::string report;
};
struct Relayed {
  std::uint64_t id = 0;
  int status = 0;
  std::string body;
};

// Tasks of one grant that a part has given back.
struct Returned {
  Generation generation;
  Ranges tasks;
  bool operator==(const Returned&) const = default;
};
// What an owner has found out about a job of which tasks failed.
enum class Verdict {
  kNone,   // nothing new
  kFails,  // its tasks fail on several machines, and none is known to work
  kWorks   // it was taken to fail, but some task has completed or runs well
};
struct Outcome {
  JobId job;
  Ranges done;
  std::vector<Returned> returned;
  Verdict verdict = Verdict::kNone;
};
// What became of tasks granted to a part, as far as its owner's record may not hold it yet.
struct Outcomes {
  PartId part;
  Term term;
  std::vector<Outcome> jobs;
};

using PeerBody =
    std::variant<Heartbeat, Nudge, Ask, Answer, Summary, Release, Gone, Relay, Relayed, Outcomes>;
struct PeerMessage {
  NodeName from;
  PeerBody body;
};

std::string encode_peer(const PeerMessage& m);
// None for anything that isn't a well-formed message.
std::optional<PeerMessage> decode_peer(std::string_view bytes);

}  // namespace beaconsill::wire
