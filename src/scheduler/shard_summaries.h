// Stores the latest summary of each shard.
#pragma once

#include <map>

#include "base/types.h"
#include "protocol/peer.h"

namespace beaconsill::scheduler {

// The latest summaries that the shard leaders sent about their machines and the tasks that run on them.
class ShardSummaries {
 public:
  using Summaries = std::map<ShardId, protocol::Summary>;

  // Stores the summary, unless the stored one was sent by a later leader of the shard.
  void update(const protocol::Summary& summary) {
    auto& stored = summaries_[summary.shard];
    if (summary.term >= stored.term) stored = summary;
  }
  // Returns null if the shard has sent no summary. The pointer is valid until the next update.
  const protocol::Summary* find(ShardId shard) const {
    auto summary = summaries_.find(shard);
    return summary == summaries_.end() ? nullptr : &summary->second;
  }
  // Iterates over pairs of shard and summary in ascending order of shards.
  Summaries::const_iterator begin() const { return summaries_.begin(); }
  Summaries::const_iterator end() const { return summaries_.end(); }

 private:
  Summaries summaries_;
};

}  // namespace beaconsill::scheduler
