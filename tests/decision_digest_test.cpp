// Tests of the decision digest: it is the same for the same schedule, and differs if any decision differs.
#include "sim/decision_digest.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>

#include "base/log.h"
#include "sim/world.h"

namespace beaconsill::sim {
namespace {

std::uint64_t digest_of_schedule(std::uint64_t seed) {
  spdlog::set_level(spdlog::level::off);
  Options options;
  options.seed = seed;
  return World(options).run().digest;
}

TEST(DecisionDigest, IsEqualForEqualSeeds) {
  EXPECT_EQ(digest_of_schedule(1), digest_of_schedule(1));
}

TEST(DecisionDigest, DiffersForDifferentSeeds) {
  EXPECT_NE(digest_of_schedule(1), digest_of_schedule(2));
}

TEST(DecisionDigest, DependsOnEveryKindOfDecisionAndItsFields) {
  const MachineName machine("host-1");
  const JobId job("run-1");
  using Decisions = std::function<void(DecisionDigest&)>;
  const Decisions cases[] = {
      [](DecisionDigest&) {},
      [](DecisionDigest& digest) { digest.on_transaction(0, {}); },
      [](DecisionDigest& digest) { digest.on_transaction(1, {}); },
      [](DecisionDigest& digest) {
        digest.on_transaction(0, {{{"a", Revision(1)}}, {}});
      },
      [](DecisionDigest& digest) {
        digest.on_transaction(0, {});
        digest.on_transaction(0, {});
      },
      [&](DecisionDigest& digest) {
        digest.on_commands(0, {machine, "", Incarnation(1), FencingToken(2), {}});
      },
      [&](DecisionDigest& digest) {
        digest.on_commands(0, {machine, "", Incarnation(1), FencingToken(3), {}});
      },
      [&](DecisionDigest& digest) {
        digest.on_heartbeat_reply(0, machine, {std::nullopt, 1});
      },
      [&](DecisionDigest& digest) {
        digest.on_heartbeat_reply(0, machine, {std::nullopt, 2});
      },
      [&](DecisionDigest& digest) {
        digest.on_heartbeat_reply(0, machine,
                                  {shard::ShardManager::HeartbeatResponse{FencingToken(2), {}}, 2});
      },
      [&](DecisionDigest& digest) { digest.on_deletion(0, machine); },
      [&](DecisionDigest& digest) { digest.on_deletion(0, MachineName("host-2")); },
      [&](DecisionDigest& digest) {
        digest.on_user_response(0, job, {200, "{}", std::nullopt});
      },
      [&](DecisionDigest& digest) {
        digest.on_user_response(0, job, {201, "{}", std::nullopt});
      },
      [&](DecisionDigest& digest) {
        digest.on_user_response(0, job, {200, "{}", 3});
      },
  };
  const EventQueue queue(1, false);
  std::set<std::uint64_t> values;
  for (const auto& decisions : cases) {
    DecisionDigest digest(queue);
    decisions(digest);
    values.insert(digest.value());
  }
  EXPECT_EQ(values.size(), std::size(cases));
}

TEST(DecisionDigest, DependsOnTheTimeOfADecision) {
  EventQueue queue(1, false);
  DecisionDigest digest_at_start(queue);
  digest_at_start.on_transaction(0, {});
  queue.at(5, [] {});
  queue.step();
  DecisionDigest digest_at_5_s(queue);
  digest_at_5_s.on_transaction(0, {});
  EXPECT_NE(digest_at_start.value(), digest_at_5_s.value());
}

}  // namespace
}  // namespace beaconsill::sim
