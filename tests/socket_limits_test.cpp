#include "controller/socket_limits.h"

#include <gtest/gtest.h>

namespace beaconsill {
namespace {

// Whatever the limit, no use of sockets takes what another needs, and the largest fleets fit at one
// controller.
TEST(SocketLimits, LeaveEnoughForEachUse) {
  struct Case {
    std::uint32_t limit;
    std::size_t workers;  // of machines that all report to one controller
  };
  for (const auto& c : {Case{16, 1}, Case{600, 60}, Case{1557, 590}, Case{2693, 1054}}) {
    config::Settings settings;
    settings.max_connections = c.limit;
    settings.peers.resize(2);
    auto limits = controller::plan_socket_limits(settings);
    EXPECT_LE(limits.own + limits.commands + limits.served, c.limit);
    EXPECT_GE(limits.served, c.workers + c.workers / 4) << c.limit;
    EXPECT_GT(limits.users, 0u) << c.limit;
    EXPECT_GE(limits.served - limits.users, limits.users) << c.limit;
  }
}

}  // namespace
}  // namespace beaconsill
