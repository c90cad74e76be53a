#include "scheduler/estimation_round.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace beaconsill::scheduler {

EstimationRound::EstimationRound(std::uint64_t id, Instant started_at, std::set<ShardId> reachable,
                                 RoundSelection selection)
    : id_(id),
      started_at_(started_at),
      awaited_shards_(std::move(reachable)),
      selection_(std::move(selection)) {}

bool EstimationRound::on_response(const protocol::EstimateResponse& response) {
  if (response.round != id_ || response.capacities.size() != selection_.resource_requests.size())
    return false;
  if (!awaited_shards_.contains(response.shard)) return false;
  responses_[response.shard] = response.capacities;
  return true;
}

bool EstimationRound::responses_complete(Instant now, Duration reply_wait) const {
  bool all_responded = std::all_of(awaited_shards_.begin(), awaited_shards_.end(),
                                   [&](ShardId shard) { return responses_.contains(shard); });
  return all_responded || now - started_at_ >= reply_wait;
}

void EstimationRound::log_missing_responses() const {
  for (auto shard : awaited_shards_)
    if (!responses_.contains(shard))
      spdlog::debug("estimate_missing round={} shard={} reason=no_response", id_, shard.value());
}

const protocol::CapacityByZone* EstimationRound::capacity(ShardId shard,
                                                          const RoundCandidate& candidate) const {
  auto response = responses_.find(shard);
  return response == responses_.end() ? nullptr : &response->second[candidate.request_index];
}

}  // namespace beaconsill::scheduler
