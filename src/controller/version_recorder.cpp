#include "controller/version_recorder.h"

#include <algorithm>
#include <vector>

#include "base/log.h"

namespace beaconsill::controller {
namespace {

// Returns the highest version that all controllers have advertised.
std::uint32_t min_version(const state_store::Versions& versions,
                          const std::vector<ControllerName>& controllers) {
  auto lowest = state_store::kFormatVersion;
  for (const auto& controller : controllers) lowest = std::min(lowest, versions.at(controller));
  return lowest;
}

}  // namespace

state_store::Versions VersionRecorder::advertised_versions() const {
  const auto& view = ctx_.view();
  auto versions = view.versions().value;
  for (const auto& controller : ctx_.partitioning.controllers()) {
    auto& advertised = versions[controller];
    advertised = std::max(advertised, view.advertised_version(controller).value_or(0));
  }
  return versions;
}

void VersionRecorder::run() {
  auto leader = leadership_.leader_role_condition();
  if (!leader || write_pending_) return;
  const auto& view = ctx_.view();
  auto versions = advertised_versions();
  if (versions == view.versions().value) return;
  protocol::Txn txn;
  txn.conditions = {*leader, {state_store::versions_key(), view.versions().revision}};
  txn.writes = {{state_store::versions_key(), state_store::to_json(versions), std::nullopt}};
  const auto common_version = min_version(versions, ctx_.partitioning.controllers());
  auto role = view.leader().value;
  if (common_version > role.min_reader_version) {
    role.min_reader_version = common_version;
    txn.writes.push_back({state_store::leader_role_key(), state_store::to_json(role), std::nullopt});
  }
  write(txn, common_version);
}

void VersionRecorder::write(const protocol::Txn& txn, std::uint32_t common_version) {
  write_pending_ = true;
  // The write is as urgent as users' requests, since submissions of jobs with dependencies are refused until
  // it is applied.
  auto done = [this, txn, common_version](state_store::TxnResult result) {
    if (result) {
      write_pending_ = false;
      spdlog::info("versions_recorded known_by_all={}", common_version);
      ctx_.watch_cache->apply_own_txn(txn, *result);
      return;
    }
    ctx_.watch_cache->sync([this](bool) { write_pending_ = false; });
  };
  ctx_.store->txn(txn, state_store::Urgency::kUserRequest, std::move(done));
}

}  // namespace beaconsill::controller
