// The present terms of the shards.
#pragma once

#include <initializer_list>
#include <map>
#include <utility>

#include "base/types.h"

namespace beaconsill::scheduler {

// The terms of all shards that have a leader. Only these shards may be granted tasks, and only reports under
// these terms are current.
class ShardTerms {
 public:
  using Terms = std::map<ShardId, Term>;

  ShardTerms() = default;
  ShardTerms(std::initializer_list<Terms::value_type> terms) : terms_(terms) {}

  void set(ShardId shard, Term term) { terms_[shard] = term; }
  // The shard must have a leader.
  Term at(ShardId shard) const { return terms_.at(shard); }
  // Whether the shard's leader leads it under this term.
  bool is_current(ShardId shard, Term term) const {
    auto known = terms_.find(shard);
    return known != terms_.end() && known->second == term;
  }
  // Pairs of shard and term, ascending by shard.
  Terms::const_iterator begin() const { return terms_.begin(); }
  Terms::const_iterator end() const { return terms_.end(); }
  bool operator==(const ShardTerms&) const = default;

 private:
  Terms terms_;
};

}  // namespace beaconsill::scheduler
