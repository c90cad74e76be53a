#include "scheduler/estimation_round.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace beaconsill::scheduler {

EstimationRound::EstimationRound(std::uint64_t id, Instant began, std::set<ShardId> reachable,
                                 RoundSelection selection)
    : id_(id), began_(began), asked_(std::move(reachable)), selection_(std::move(selection)) {}

bool EstimationRound::on_response(const protocol::EstimateResponse& response) {
  if (response.round != id_ || response.capacities.size() != selection_.resource_requests.size())
    return false;
  if (!asked_.contains(response.shard)) return false;
  responses_[response.shard] = response.capacities;
  return true;
}

bool EstimationRound::responses_complete(Instant now, Duration reply_wait) const {
  bool all =
      std::all_of(asked_.begin(), asked_.end(), [&](ShardId shard) { return responses_.contains(shard); });
  return all || now - began_ >= reply_wait;
}

void EstimationRound::log_missing_responses() const {
  for (auto shard : asked_)
    if (!responses_.contains(shard))
      spdlog::debug("estimate_missing round={} shard={} reason=no_response", id_, shard.value());
}

const protocol::CapacityByZone* EstimationRound::capacity(ShardId shard,
                                                          const RoundCandidate& candidate) const {
  auto response = responses_.find(shard);
  return response == responses_.end() ? nullptr : &response->second[candidate.request_index];
}

}  // namespace beaconsill::scheduler
