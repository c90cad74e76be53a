// Fencing tokens, which prevent a superseded shard leader from commanding workers.
#pragma once

#include <compare>
#include <cstdint>

#include "base/ids.h"

namespace beaconsill {

// Consists of the shard's term (high bits) and a fence counter (low bits). The shard leader can raise the
// fence for a single worker without a write to the state store. A worker rejects commands whose token is
// lower than the highest token that it has seen.
class FencingToken {
 public:
  static constexpr unsigned kFenceBits = 20;
  constexpr FencingToken() = default;
  constexpr explicit FencingToken(std::uint64_t value) : value_(value) {}
  // Returns the lowest token of the term.
  static constexpr FencingToken first_of(Term term) { return FencingToken(term.value() << kFenceBits); }
  constexpr std::uint64_t value() const { return value_; }
  constexpr Term term() const { return Term(value_ >> kFenceBits); }
  // Returns the token with the fence raised by one.
  constexpr FencingToken raised() const { return FencingToken(value_ + 1); }
  auto operator<=>(const FencingToken&) const = default;

 private:
  std::uint64_t value_ = 0;
};

}  // namespace beaconsill
