// Which controllers are alive, and which format versions they support.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "state_store/records.h"
#include "state_store/versioned.h"

namespace beaconsill::state_store {

// Built from the liveness records, which disappear with a controller's lease, and from the record of the
// highest versions ever advertised. Each `apply_...` returns whether the change is newer than what is known,
// and throws ProtocolError for a value that isn't understood. Not thread-safe.
class ControllerLiveness {
 public:
  bool apply_alive(const ControllerName& controller, const protocol::Change& change);
  bool apply_versions(const protocol::Change& change);
  void clear();

  // Whether the controller has a liveness record.
  bool alive(const ControllerName& controller) const;
  // The format version that the controller's running process advertises; none: it isn't alive.
  std::optional<std::uint32_t> advertised_version(const ControllerName& controller) const;
  // The highest format versions ever advertised, as recorded.
  const Versioned<Versions>& versions() const { return versions_; }
  // Whether all these controllers have advertised this version, and none that is alive advertises a lower
  // one.
  bool all_support(std::uint32_t version, const std::vector<ControllerName>& controllers) const;

 private:
  std::map<ControllerName, Versioned<std::uint32_t>> advertised_;
  Versioned<Versions> versions_;
};

}  // namespace beaconsill::state_store
