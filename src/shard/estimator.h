// How many tasks fit: for each matching machine min(r1, r2), summed. Pure functions.
#pragma once

#include <map>

#include "protocol/peer.h"
#include "shard/machine.h"

namespace beaconsill::shard {

struct PackingRules {
  std::uint32_t task_cap = 64;
  double reserve = 0;  // share of a machine's CPUs that arrays leave free
};

// The shape of a job's tasks.
protocol::ResourceRequest request_of(const protocol::JobSpec& spec, std::uint32_t wanted);

// Whether tasks of this shape are allowed on such a machine, room aside.
bool allowed(const protocol::ResourceRequest& s, const MachineType& type, const Zone& zone, bool spot);

// r1: how often `each` fits into `idle`, the scarcest resource deciding.
std::uint32_t fits(const Resources& idle, const Resources& each);

// min(r1, r2) of one machine. `preempt`: as if all work of lower priority were stopped.
std::uint32_t available_tasks(const Machine& m, const protocol::ResourceRequest& s, const PackingRules& rules,
                              bool preempt);

// The shard's answer, by zone.
protocol::CapacityByZone estimate(const std::map<MachineName, Machine>& machines,
                                  const protocol::ResourceRequest& s, const PackingRules& rules, Instant now);

// The same from a summary, which knows free room only.
protocol::CapacityByZone estimate(const protocol::Summary& summary, const protocol::ResourceRequest& s,
                                  const PackingRules& rules);

// How soon a task could run on a machine, as far as its image tells.
enum class ImageState {
  kHere,
  kComing,  // being fetched
  kAbsent,  // nothing is being fetched
  kBeside,  // another is being fetched
  kBehind   // as many others are being fetched as may be at the same time: no task is sent there
};
ImageState image_state(const Machine& m, const ImageName& image);

// Whether a task may go where its image is like that. `warm`: only where the image is.
inline bool accepts_image_state(ImageState image, bool warm) {
  return warm ? image == ImageState::kHere : image != ImageState::kBehind;
}

// Some room for some task: what is full needn't be looked at shape by shape.
bool has_capacity(const Machine& m, const PackingRules& rules);

// Placement: those of the machines that have room, best first: where the image is, then by how soon it will
// be; among equals the fullest. `avoid`: left out.
std::vector<Machine*> choose_machines(const std::vector<Machine*>& machines,
                                      const protocol::ResourceRequest& s, const std::optional<Zone>& zone,
                                      const PackingRules& rules, const std::set<MachineName>& avoid,
                                      bool warm, Instant now);

}  // namespace beaconsill::shard
