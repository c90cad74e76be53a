#include "controller/round_driver.h"

#include <algorithm>
#include <set>
#include <utility>

namespace beaconsill::controller {

void RoundDriver::run() {
  auto leader = leadership_.leader_role_condition();
  if (!leader) return;
  begin_round();
  auto& scheduler = leadership_.scheduler();
  // If the round contains services, its grants are written as urgently as users' requests. Other grants are
  // limited to the spare part of the write rate, so that a service that arrives next needn't wait for them.
  bool services = scheduler.has_services();
  auto max_jobs =
      services ? leadership_.max_changes_per_txn() : std::max<std::size_t>(1, ctx_.store->spare_writes());
  auto grants = scheduler.decide_grants(ctx_.now(), leadership_.shard_terms(), max_jobs);
  if (!grants) return;
  grant_writer_.write(std::move(*grants), *leader,
                      services ? state_store::Urgency::kUserRequest : state_store::Urgency::kBackground);
}

// Requests estimates from the leaders of all reachable shards, unless a round is open.
void RoundDriver::begin_round() {
  std::set<ShardId> reachable;
  for (const auto& [shard, term] : leadership_.shard_terms())
    if (peers_.reachable(ctx_.view().shard_role(shard).value.controller)) reachable.insert(shard);
  auto request = leadership_.scheduler().begin_round(ctx_.now(), ctx_.clock.wall(), reachable);
  if (!request) return;
  messenger_.broadcast(*request);
  shards_.on_estimate_request(*request, [this](const protocol::EstimateResponse& response) {
    leadership_.scheduler().on_estimate_response(response);
  });
}

}  // namespace beaconsill::controller
