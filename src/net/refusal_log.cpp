#include "net/refusal_log.h"

#include "base/log.h"

namespace beaconsill::net {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(10);

const char* to_string(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kUserLimit:
      return "user_limit";
    case RefusalReason::kConnectionLimit:
      return "connection_limit";
  }
  return "unknown";
}

}  // namespace

bool RefusalLog::due(Instant now) const {
  return !logged_at_ || now - *logged_at_ >= kLogInterval;
}

void RefusalLog::log(RefusalReason reason, const ConnectionCounts& counts, Instant now) {
  spdlog::info("connections_refused count={} connections={} users={} idle_users={} reason={}", refused_ + 1,
               counts.all, counts.users, counts.idle_users, to_string(reason));
  refused_ = 0;
  logged_at_ = now;
}

}  // namespace beaconsill::net
