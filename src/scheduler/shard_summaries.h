// The latest summary of each shard.
#pragma once

#include <map>

#include "base/types.h"
#include "protocol/peer.h"

namespace beaconsill::scheduler {

// What the shard leaders last said of their machines and of what runs on them.
class ShardSummaries {
 public:
  using Summaries = std::map<ShardId, protocol::Summary>;

  // Ignored if an earlier leader of the shard sent it than the one that is known.
  void update(const protocol::Summary& summary) {
    auto& known = summaries_[summary.shard];
    if (summary.term >= known.term) known = summary;
  }
  // Null if none is known. Valid until the next update.
  const protocol::Summary* find(ShardId shard) const {
    auto summary = summaries_.find(shard);
    return summary == summaries_.end() ? nullptr : &summary->second;
  }
  // Pairs of shard and summary, ascending by shard.
  Summaries::const_iterator begin() const { return summaries_.begin(); }
  Summaries::const_iterator end() const { return summaries_.end(); }

 private:
  Summaries summaries_;
};

}  // namespace beaconsill::scheduler
