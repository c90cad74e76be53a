// Logs which connections and requests the HTTP server refuses, and what occupies its connections meanwhile.
#pragma once

#include <cstddef>
#include <optional>

#include "base/types.h"

namespace beaconsill::net {

enum class RefusalReason {
  kUserLimit,        // too many requests of users are in progress
  kConnectionLimit,  // the limit for all connections is reached, and none of them could be closed
};

// What occupies the server's connections.
struct ConnectionCounts {
  std::size_t all = 0;
  std::size_t users = 0;       // of users, or without any request so far
  std::size_t idle_users = 0;  // of these, without a request in progress
};

// Limits the number of lines: a flood of connections must not become a flood of log lines.
class RefusalLog {
 public:
  // Whether the next refusal is to be passed to log(), instead of count().
  bool due(Instant now) const;
  void count() { ++refused_; }
  // Logs the refusals since the last line, including this one.
  void log(RefusalReason reason, const ConnectionCounts& counts, Instant now);

 private:
  std::size_t refused_ = 0;  // since the last line
  std::optional<Instant> logged_at_;
};

}  // namespace beaconsill::net
