#include "state_store/controller_liveness.h"

#include <algorithm>

namespace beaconsill::state_store {

bool ControllerLiveness::apply_alive(const ControllerName& controller, const protocol::Change& change) {
  return update(advertised_[controller], change, parse_alive);
}

bool ControllerLiveness::apply_versions(const protocol::Change& change) {
  return update(versions_, change, parse_versions);
}

void ControllerLiveness::clear() {
  advertised_.clear();
  versions_ = {};
}

bool ControllerLiveness::alive(const ControllerName& controller) const {
  auto it = advertised_.find(controller);
  return it != advertised_.end() && it->second.exists();
}

std::optional<std::uint32_t> ControllerLiveness::advertised_version(const ControllerName& controller) const {
  auto it = advertised_.find(controller);
  if (it == advertised_.end() || !it->second.exists()) return std::nullopt;
  return it->second.value;
}

bool ControllerLiveness::all_support(std::uint32_t version,
                                     const std::vector<ControllerName>& controllers) const {
  return std::all_of(controllers.begin(), controllers.end(), [&](const ControllerName& controller) {
    auto recorded = versions_.value.find(controller);
    if (recorded == versions_.value.end() || recorded->second < version) return false;
    return advertised_version(controller).value_or(version) >= version;
  });
}

}  // namespace beaconsill::state_store
