// Fencing tokens: what entitles a controller to command a worker.
#pragma once

#include <compare>
#include <cstdint>

#include "base/ids.h"

namespace beaconsill {

// The shard's term, and below it a fence that the shard leader can raise for one worker without a state
// write. A worker obeys no token below the highest that it has seen.
class FencingToken {
 public:
  static constexpr unsigned kFenceBits = 20;
  constexpr FencingToken() = default;
  constexpr explicit FencingToken(std::uint64_t value) : value_(value) {}
  // The lowest token of the term.
  static constexpr FencingToken first_of(Term term) { return FencingToken(term.value() << kFenceBits); }
  constexpr std::uint64_t value() const { return value_; }
  constexpr Term term() const { return Term(value_ >> kFenceBits); }
  constexpr FencingToken raised() const { return FencingToken(value_ + 1); }
  auto operator<=>(const FencingToken&) const = default;

 private:
  std::uint64_t value_ = 0;
};

}  // namespace beaconsill
