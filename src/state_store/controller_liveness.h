// Tracks which controllers are alive and which format versions they support, from their records in the state
// store.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "state_store/records.h"
#include "state_store/versioned.h"

namespace beaconsill::state_store {

// Combines the liveness records, which the state store deletes when a controller's lease expires, with the
// record of the highest format versions ever advertised. Each `apply_...` function returns whether the change
// is newer than the stored entry, and throws ProtocolError for a malformed value. Not thread-safe.
class ControllerLiveness {
 public:
  bool apply_alive(const ControllerName& controller, const protocol::Change& change);
  bool apply_versions(const protocol::Change& change);
  void clear();

  // Returns whether the controller has a liveness record.
  bool alive(const ControllerName& controller) const;
  // Returns the format version that the controller's running process advertises, or std::nullopt if the
  // controller isn't alive.
  std::optional<std::uint32_t> advertised_version(const ControllerName& controller) const;
  // Returns the recorded highest format version that each controller has ever advertised.
  const Versioned<Versions>& versions() const { return versions_; }
  // Returns whether each of these controllers has advertised `version` or a higher one at some time, and
  // those that are alive don't advertise a lower one now.
  bool all_support(std::uint32_t version, const std::vector<ControllerName>& controllers) const;

 private:
  std::map<ControllerName, Versioned<std::uint32_t>> advertised_;
  Versioned<Versions> versions_;
};

}  // namespace beaconsill::state_store
