#include "controller/socket_limits.h"

#include <gtest/gtest.h>

namespace beaconsill {
namespace {

// For any connection limit, no use of sockets takes the sockets that another needs, and the workers of the
// largest clusters can all connect to one controller.
TEST(SocketLimits, ReserveEnoughSocketsForEachUse) {
  struct Case {
    std::uint32_t max_connections;
    std::size_t workers;  // number of workers that all send heartbeats to one controller
  };
  for (const auto& test_case : {Case{16, 1}, Case{600, 60}, Case{1557, 590}, Case{2693, 1054}}) {
    config::Settings settings;
    settings.max_connections = test_case.max_connections;
    settings.peers.resize(2);
    auto limits = controller::plan_socket_limits(settings);
    EXPECT_LE(limits.infrastructure + limits.commands + limits.accepted, test_case.max_connections);
    EXPECT_GE(limits.accepted, test_case.workers + test_case.workers / 4) << test_case.max_connections;
    EXPECT_GT(limits.user_share, 0u) << test_case.max_connections;
    EXPECT_GE(limits.accepted - limits.user_share, limits.user_share) << test_case.max_connections;
  }
}

}  // namespace
}  // namespace beaconsill
