// How long the state store takes to respond, to tell a lost response from a slow one.
#pragma once

#include <optional>

#include "base/types.h"

namespace beaconsill::state_store {

// The smoothed delay of responses and its variation, as TCP sets its retransmission timeout (RFC 6298). Not
// thread-safe; StoreClient owns it.
class ResponseDelay {
 public:
  void add_sample(Duration delay);
  // After so long a request without a response is more likely lost than slow.
  Duration timeout() const;

 private:
  std::optional<double> mean_s_;
  double variation_s_ = 0;
};

}  // namespace beaconsill::state_store
