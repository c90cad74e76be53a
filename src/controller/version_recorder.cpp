#include "controller/version_recorder.h"

#include <algorithm>
#include <vector>

#include "base/log.h"

namespace beaconsill::controller {
namespace {

// The highest version that all controllers have shown.
std::uint32_t min_version(const state_store::Versions& versions,
                          const std::vector<ControllerName>& controllers) {
  auto least = state_store::kFormatVersion;
  for (const auto& controller : controllers) least = std::min(least, versions.at(controller));
  return least;
}

}  // namespace

state_store::Versions VersionRecorder::advertised_versions() const {
  const auto& view = ctx_.view();
  auto versions = view.versions().value;
  for (const auto& controller : ctx_.partitioning.controllers()) {
    auto& shown = versions[controller];
    shown = std::max(shown, view.advertised_version(controller).value_or(0));
  }
  return versions;
}

void VersionRecorder::run() {
  auto leader = leadership_.still_leader();
  if (!leader || writing_) return;
  const auto& view = ctx_.view();
  auto versions = advertised_versions();
  if (versions == view.versions().value) return;
  protocol::Txn txn;
  txn.conditions = {*leader, {state_store::versions_key(), view.versions().revision}};
  txn.writes = {{state_store::versions_key(), state_store::to_json(versions), std::nullopt}};
  const auto known_by_all = min_version(versions, ctx_.partitioning.controllers());
  auto role = view.leader().value;
  if (known_by_all > role.min_reader_version) {
    role.min_reader_version = known_by_all;
    txn.writes.push_back({state_store::leader_role_key(), state_store::to_json(role), std::nullopt});
  }
  write(txn, known_by_all);
}

void VersionRecorder::write(const protocol::Txn& txn, std::uint32_t known_by_all) {
  writing_ = true;
  // As urgent as users' requests, which are refused until it is written.
  auto done = [this, txn, known_by_all](state_store::TxnResult result) {
    if (result) {
      writing_ = false;
      spdlog::info("versions_recorded known_by_all={}", known_by_all);
      ctx_.watch_cache->apply_own_txn(txn, *result);
      return;
    }
    ctx_.watch_cache->sync([this](bool) { writing_ = false; });
  };
  ctx_.store->txn(txn, state_store::Urgency::kUserRequest, std::move(done));
}

}  // namespace beaconsill::controller
