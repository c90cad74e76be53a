// Tests how a controller relays the heartbeat of a worker to the leader of the worker's shard.
#include "controller/heartbeat_relay.h"

#include "controller/socket_limits.h"
#include "controller_component_fixture.h"
#include "protocol/worker.h"

namespace beaconsill::controller {
namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr Duration kRelayTimeout = std::chrono::milliseconds(800);

struct HeartbeatRelayTest : ComponentFixture {
  // Relays a worker's heartbeat. The responses to the worker are added to `responses`.
  void relay(const std::string& heartbeat) {
    heartbeat_relay.relay(kShard, heartbeat,
                          [this](net::Response response) { responses.push_back(std::move(response)); });
  }
  void make_reachable_peer_shard_leader() {
    set_shard_role(kPeer, Term(3));
    set_alive(kPeer);
    peers.reachable_controllers = {kPeer};
  }
  // Returns the request id of the relayed heartbeat with this index in the sent messages.
  std::uint64_t relayed_id(std::size_t index) const {
    return std::get<protocol::RelayedHeartbeat>(messenger.sent.at(index).payload).id;
  }

  HeartbeatRelay heartbeat_relay{context, messenger, peers};
  std::vector<net::Response> responses;
};

TEST_F(HeartbeatRelayTest, AnswersTheWorkerWithTheReplyOfTheShardLeader) {
  make_reachable_peer_shard_leader();
  relay("first");
  relay("second");
  ASSERT_EQ(messenger.sent.size(), 2u);
  EXPECT_EQ(messenger.sent[0].to, kPeer);
  EXPECT_EQ(std::get<protocol::RelayedHeartbeat>(messenger.sent[0].payload).heartbeat, "first");
  EXPECT_TRUE(responses.empty());
  heartbeat_relay.on_relayed_reply({relayed_id(1), kOk, "to the second"});
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses[0].status, kOk);
  EXPECT_EQ(responses[0].body, "to the second");
}

TEST_F(HeartbeatRelayTest, AnswersEachHeartbeatExactlyOnce) {
  make_reachable_peer_shard_leader();
  relay("heartbeat");
  heartbeat_relay.on_relayed_reply({relayed_id(0), kOk, "{}"});
  heartbeat_relay.on_relayed_reply({relayed_id(0), kOk, "{}"});
  heartbeat_relay.on_relayed_reply({relayed_id(0) + 1, kOk, "{}"});
  clock.advance(kRelayTimeout);
  heartbeat_relay.redirect_expired();
  EXPECT_EQ(responses.size(), 1u);
}

TEST_F(HeartbeatRelayTest, RedirectsAWorkerWhoseRelayedHeartbeatGetsNoReplyInTime) {
  make_reachable_peer_shard_leader();
  relay("heartbeat");
  clock.advance(kRelayTimeout - std::chrono::milliseconds(1));
  heartbeat_relay.redirect_expired();
  EXPECT_TRUE(responses.empty());
  clock.advance(std::chrono::milliseconds(1));
  heartbeat_relay.redirect_expired();
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses[0].status, kMisdirected);
  EXPECT_EQ(responses[0].body, protocol::render_redirect(kPeer));
  heartbeat_relay.on_relayed_reply({relayed_id(0), kOk, "{}"});
  EXPECT_EQ(responses.size(), 1u);
}

TEST_F(HeartbeatRelayTest, RedirectsAWorkerImmediatelyIfTheShardLeaderIsUnreachable) {
  make_reachable_peer_shard_leader();
  peers.reachable_controllers.clear();
  relay("heartbeat");
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses[0].status, kMisdirected);
  EXPECT_EQ(responses[0].body, protocol::render_redirect(kPeer));
  EXPECT_TRUE(messenger.sent.empty());
}

TEST_F(HeartbeatRelayTest, SendsARedirectWithoutTargetIfThereIsNoShardLeader) {
  relay("heartbeat");
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses[0].body, protocol::render_redirect(std::nullopt));
}

// Each heartbeat that awaits a reply occupies the connection over which the worker sent it.
TEST_F(HeartbeatRelayTest, RedirectsAWorkerIfAsManyHeartbeatsAwaitRepliesAsConnectionsAreAllowed) {
  make_reachable_peer_shard_leader();
  auto max_pending = plan_socket_limits(context.settings).accepted;
  for (std::size_t i = 0; i < max_pending; ++i) relay("heartbeat");
  EXPECT_TRUE(responses.empty());
  relay("one more");
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses[0].status, kMisdirected);
  EXPECT_EQ(messenger.sent.size(), max_pending);
}

TEST_F(HeartbeatRelayTest, ShardLeaderIsTheLiveOrReachableControllerWithTheHighestTerm) {
  struct Case {
    const char* description;
    bool alive;       // whether kPeer, which has the role under term 3, is alive
    Term advertised;  // the term that kOtherPeer advertises, or 0 if it advertises none
    bool reachable;   // whether kOtherPeer is reachable
    std::optional<ControllerName> leader;
  };
  const Case cases[] = {
      {"the role in the state store has the highest term", true, Term(), false, kPeer},
      {"the lease of the controller with the role expired", false, Term(), false, std::nullopt},
      {"a reachable peer advertises a higher term", true, Term(4), true, kOtherPeer},
      {"an unreachable peer advertises a higher term", true, Term(4), false, kPeer},
      {"a reachable peer advertises the same term", true, Term(3), true, kPeer},
      {"a reachable peer advertises a higher term and the former leader's lease expired", false, Term(4),
       true, kOtherPeer},
  };
  for (const auto& test_case : cases) {
    set_shard_role(kPeer, Term(3));
    cache->put(state_store::alive_key(kPeer), state_store::alive_value());
    if (!test_case.alive) cache->remove(state_store::alive_key(kPeer));
    peers.advertised_leaders.clear();
    if (test_case.advertised > Term()) peers.advertised_leaders[kShard] = {kOtherPeer, test_case.advertised};
    peers.reachable_controllers.clear();
    if (test_case.reachable) peers.reachable_controllers = {kOtherPeer};
    EXPECT_EQ(heartbeat_relay.shard_leader(kShard), test_case.leader) << test_case.description;
  }
}

TEST_F(HeartbeatRelayTest, ReturnsNoShardLeaderIfThisControllerLeadsTheShard) {
  set_shard_role(kSelf, Term(3));
  set_alive(kSelf);
  peers.reachable_controllers = {kSelf};
  EXPECT_EQ(heartbeat_relay.shard_leader(kShard), std::nullopt);
}

}  // namespace
}  // namespace beaconsill::controller
