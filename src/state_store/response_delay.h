// Estimates how long the state store takes to respond, to distinguish a lost response from a slow one.
#pragma once

#include <optional>

#include "base/types.h"

namespace beaconsill::state_store {

// Computes a timeout from the smoothed delay of responses and its variation, as TCP computes its
// retransmission timeout (RFC 6298). Not thread-safe; StoreClient owns it.
class ResponseDelay {
 public:
  void add_sample(Duration delay);
  // A request that has had no response for this long is more likely to have lost its response than to be
  // slow.
  Duration timeout() const;

 private:
  std::optional<double> mean_s_;
  double variation_s_ = 0;
};

}  // namespace beaconsill::state_store
