// One estimation round: the shards are asked how many tasks they have capacity for, and their responses
// collected.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/types.h"
#include "protocol/peer.h"
#include "scheduler/round_selection.h"

namespace beaconsill::scheduler {

class EstimationRound {
 public:
  // `reachable`: the shards whose responses are waited for.
  EstimationRound(std::uint64_t id, Instant began, std::set<ShardId> reachable, RoundSelection selection);

  protocol::EstimateRequest request() const { return {id_, selection_.resource_requests}; }
  // False for a response to another round or from a shard that isn't waited for: it's ignored.
  bool on_response(const protocol::EstimateResponse& response);
  // Whether all shards have responded, or `reply_wait` has passed.
  bool responses_complete(Instant now, Duration reply_wait) const;
  void log_missing_responses() const;

  const std::vector<RoundCandidate>& candidates() const { return selection_.candidates; }
  const protocol::ResourceRequest& resource_request(const RoundCandidate& candidate) const {
    return selection_.resource_requests[candidate.request_index];
  }
  // Null if the shard hasn't responded.
  const protocol::CapacityByZone* capacity(ShardId shard, const RoundCandidate& candidate) const;

  // The transaction with the round's grants is under way.
  bool writing() const { return writing_; }
  void set_writing() { writing_ = true; }

 private:
  std::uint64_t id_;
  Instant began_;
  std::set<ShardId> asked_;
  RoundSelection selection_;
  std::map<ShardId, std::vector<protocol::CapacityByZone>> responses_;
  bool writing_ = false;
};

}  // namespace beaconsill::scheduler
