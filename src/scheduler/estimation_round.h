// One estimation round: asks the shards how many tasks they have capacity for, and collects their responses.
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
  // `reachable`: the shards whose responses the round waits for.
  EstimationRound(std::uint64_t id, Instant started_at, std::set<ShardId> reachable,
                  RoundSelection selection);

  protocol::EstimateRequest request() const { return {id_, selection_.resource_requests}; }
  // Records the response. Returns false and ignores it if it belongs to another round, has the wrong number
  // of capacities, or comes from a shard that the round doesn't wait for.
  bool on_response(const protocol::EstimateResponse& response);
  // Returns whether all awaited shards have responded or `reply_wait` has passed since the round started.
  bool responses_complete(Instant now, Duration reply_wait) const;
  void log_missing_responses() const;

  const std::vector<RoundCandidate>& candidates() const { return selection_.candidates; }
  const protocol::ResourceRequest& resource_request(const RoundCandidate& candidate) const {
    return selection_.resource_requests[candidate.request_index];
  }
  // Returns the shard's capacity for the candidate's resource request, or null if the shard hasn't responded.
  const protocol::CapacityByZone* capacity(ShardId shard, const RoundCandidate& candidate) const;

  // Whether the transaction with the round's grants has been started.
  bool write_started() const { return write_started_; }
  void set_write_started() { write_started_ = true; }

 private:
  std::uint64_t id_;
  Instant started_at_;
  std::set<ShardId> awaited_shards_;
  RoundSelection selection_;
  std::map<ShardId, std::vector<protocol::CapacityByZone>> responses_;
  bool write_started_ = false;
};

}  // namespace beaconsill::scheduler
