// How many tasks fit: for each matching machine min(r1, r2), summed. Pure functions.
#pragma once

#include <map>

#include "part/machine.h"
#include "wire/peer.h"

namespace beaconsill::part {

struct RoomRules {
  std::uint32_t task_cap = 64;
  double reserve = 0;  // share of a machine's CPUs that arrays leave free
};

// The shape of a job's tasks.
wire::Shape shape_of(const wire::JobSpec& spec, std::uint32_t wanted);

// Whether tasks of this shape are allowed on such a machine, room aside.
bool allowed(const wire::Shape& s, const MachineType& type, const Zone& zone, bool spot);

// r1: how often `each` fits into `idle`, the scarcest resource deciding.
std::uint32_t fits(const Resources& idle, const Resources& each);

// min(r1, r2) of one machine. `preempt`: as if all work of lower priority were stopped.
std::uint32_t room_on(const Machine& m, const wire::Shape& s, const RoomRules& rules, bool preempt);

// The part's answer, by zone.
wire::ShapeRoom estimate(const std::map<MachineName, Machine>& machines, const wire::Shape& s,
                         const RoomRules& rules, Instant now);

// The same from a summary, which knows free room only.
wire::ShapeRoom estimate(const wire::Summary& summary, const wire::Shape& s, const RoomRules& rules);

// How soon a task could run on a machine, as far as its image tells.
enum class Image {
  kHere,
  kComing,  // being fetched
  kAbsent,  // nothing is being fetched
  kBeside,  // another is being fetched
  kBehind   // as many others are being fetched as may be at the same time: no task is sent there
};
Image image_on(const Machine& m, const ImageName& image);

// Whether a task may go where its image is like that. `warm`: only where the image is.
inline bool suits(Image image, bool warm) {
  return warm ? image == Image::kHere : image != Image::kBehind;
}

// Some room for some task: what is full needn't be looked at shape by shape.
bool has_room(const Machine& m, const RoomRules& rules);

// Placement: those of the machines that have room, best first: where the image is, then by how soon it will
// be; among equals the fullest. `avoid`: left out.
std::vector<Machine*> choose_machines(const std::vector<Machine*>& machines, const wire::Shape& s,
                                      const std::optional<Zone>& zone, const RoomRules& rules,
                                      const std::set<MachineName>& avoid, bool warm, Instant now);

}  // namespace beaconsill::part
