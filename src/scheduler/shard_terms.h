// Stores the current term of each shard that has a leader.
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
  // Returns whether the shard has a leader and this is its current term.
  bool is_current(ShardId shard, Term term) const {
    auto current = terms_.find(shard);
    return current != terms_.end() && current->second == term;
  }
  // Iterates over pairs of shard and term in ascending order of shards.
  Terms::const_iterator begin() const { return terms_.begin(); }
  Terms::const_iterator end() const { return terms_.end(); }
  bool operator==(const ShardTerms&) const = default;

 private:
  Terms terms_;
};

}  // namespace beaconsill::scheduler
