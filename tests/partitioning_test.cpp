// Tests the assignment of machines and zones to shards.
#include "shard/partitioning.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace beaconsill::shard {
namespace {

TEST(Partitioning, AllControllersAgreeAndEveryZoneHasAShard) {
  auto make = [&](const char* self, const char* zone,
                  std::vector<std::pair<const char*, const char*>> others) {
    config::Settings settings;
    settings.controller = ControllerName(self);
    settings.zone = Zone(zone);
    for (auto& [peer, peer_zone] : others)
      settings.peers.push_back({ControllerName(peer), Zone(peer_zone), ""});
    settings.zones = {Zone("a"), Zone("b"), Zone("c"), Zone("d")};
    return Partitioning(settings);
  };
  Partitioning first = make("n0", "a", {{"n1", "b"}, {"n2", "a"}});
  Partitioning third = make("n2", "a", {{"n0", "a"}, {"n1", "b"}});
  std::map<std::uint32_t, int> used;
  for (const char* zone : {"a", "b", "c", "d", "unheard-of"})
    for (int i = 0; i < 50; ++i) {
      MachineName machine("host-" + std::to_string(i));
      EXPECT_EQ(first.shard_of(Zone(zone), machine), third.shard_of(Zone(zone), machine));
      ++used[first.shard_of(Zone(zone), machine).value()];
    }
  EXPECT_EQ(used.size(), 3u);
  EXPECT_EQ(first.preferred_controller(first.preferred_shard(ControllerName("n1"))), ControllerName("n1"));
  EXPECT_EQ(first.shard_of(Zone("b"), MachineName("x")), first.preferred_shard(ControllerName("n1")));
}

}  // namespace
}  // namespace beaconsill::shard
