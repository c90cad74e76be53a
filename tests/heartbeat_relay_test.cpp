// Heartbeats of workers whose shard another controller leads.
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
  // A worker's heartbeat comes; its answers are kept in `answers`.
  void relay(const std::string& heartbeat) {
    heartbeat_relay.relay(kShard, heartbeat,
                          [this](net::Response response) { answers.push_back(std::move(response)); });
  }
  void lead_by_reachable_peer() {
    set_shard_role(kPeer, Term(3));
    set_alive(kPeer);
    peers.reachable_controllers = {kPeer};
  }
  // The id of the relayed heartbeat of this number.
  std::uint64_t relayed_id(std::size_t number) const {
    return std::get<protocol::RelayedHeartbeat>(messenger.sent.at(number).payload).id;
  }

  HeartbeatRelay heartbeat_relay{context, messenger, peers};
  std::vector<net::Response> answers;
};

TEST_F(HeartbeatRelayTest, AnswersTheWorkerWithTheReplyOfTheShardLeader) {
  lead_by_reachable_peer();
  relay("first");
  relay("second");
  ASSERT_EQ(messenger.sent.size(), 2u);
  EXPECT_EQ(messenger.sent[0].to, kPeer);
  EXPECT_EQ(std::get<protocol::RelayedHeartbeat>(messenger.sent[0].payload).heartbeat, "first");
  EXPECT_TRUE(answers.empty());
  heartbeat_relay.on_relayed_reply({relayed_id(1), kOk, "to the second"});
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, kOk);
  EXPECT_EQ(answers[0].body, "to the second");
}

TEST_F(HeartbeatRelayTest, AnswersEachHeartbeatOnce) {
  lead_by_reachable_peer();
  relay("heartbeat");
  heartbeat_relay.on_relayed_reply({relayed_id(0), kOk, "{}"});
  heartbeat_relay.on_relayed_reply({relayed_id(0), kOk, "{}"});
  heartbeat_relay.on_relayed_reply({relayed_id(0) + 1, kOk, "{}"});
  clock.advance(kRelayTimeout);
  heartbeat_relay.redirect_expired();
  EXPECT_EQ(answers.size(), 1u);
}

TEST_F(HeartbeatRelayTest, RedirectsAWorkerWhoseHeartbeatGotNoReplyInTime) {
  lead_by_reachable_peer();
  relay("heartbeat");
  clock.advance(kRelayTimeout - std::chrono::milliseconds(1));
  heartbeat_relay.redirect_expired();
  EXPECT_TRUE(answers.empty());
  clock.advance(std::chrono::milliseconds(1));
  heartbeat_relay.redirect_expired();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, kMisdirected);
  EXPECT_EQ(answers[0].body, protocol::render_redirect(kPeer));
  heartbeat_relay.on_relayed_reply({relayed_id(0), kOk, "{}"});
  EXPECT_EQ(answers.size(), 1u);
}

TEST_F(HeartbeatRelayTest, RedirectsAtOnceWhileTheShardLeaderIsNotReachable) {
  lead_by_reachable_peer();
  peers.reachable_controllers.clear();
  relay("heartbeat");
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, kMisdirected);
  EXPECT_EQ(answers[0].body, protocol::render_redirect(kPeer));
  EXPECT_TRUE(messenger.sent.empty());
}

TEST_F(HeartbeatRelayTest, RedirectsNowhereWithoutAShardLeader) {
  relay("heartbeat");
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].body, protocol::render_redirect(std::nullopt));
}

// Each heartbeat that waits for its reply occupies the connection that it came by.
TEST_F(HeartbeatRelayTest, KeepsNoMoreHeartbeatsWaitingThanThereAreConnections) {
  lead_by_reachable_peer();
  auto max_pending = plan_socket_limits(context.settings).served;
  for (std::size_t i = 0; i < max_pending; ++i) relay("heartbeat");
  EXPECT_TRUE(answers.empty());
  relay("one more");
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, kMisdirected);
  EXPECT_EQ(messenger.sent.size(), max_pending);
}

TEST_F(HeartbeatRelayTest, TheShardLeaderIsThatOfTheHighestTermThatIsAliveOrReachable) {
  struct Case {
    const char* what;
    bool alive;       // the holder of the role, kPeer under term 3
    Term advertised;  // by kOtherPeer; 0: by none
    bool reachable;   // kOtherPeer
    std::optional<ControllerName> leader;
  };
  const Case cases[] = {
      {"as the state store has it", true, Term(), false, kPeer},
      {"its lease expired", false, Term(), false, std::nullopt},
      {"a higher term is advertised", true, Term(4), true, kOtherPeer},
      {"by a peer that isn't reachable any more", true, Term(4), false, kPeer},
      {"the same term is advertised", true, Term(3), true, kPeer},
      {"a higher term, and the lease of the former leader expired", false, Term(4), true, kOtherPeer},
  };
  for (const auto& test_case : cases) {
    set_shard_role(kPeer, Term(3));
    cache->put(state_store::alive_key(kPeer), state_store::alive_value());
    if (!test_case.alive) cache->remove(state_store::alive_key(kPeer));
    peers.advertised_leaders.clear();
    if (test_case.advertised > Term()) peers.advertised_leaders[kShard] = {kOtherPeer, test_case.advertised};
    peers.reachable_controllers.clear();
    if (test_case.reachable) peers.reachable_controllers = {kOtherPeer};
    EXPECT_EQ(heartbeat_relay.shard_leader(kShard), test_case.leader) << test_case.what;
  }
}

TEST_F(HeartbeatRelayTest, NamesNoShardLeaderIfItIsThisController) {
  set_shard_role(kSelf, Term(3));
  set_alive(kSelf);
  peers.reachable_controllers = {kSelf};
  EXPECT_EQ(heartbeat_relay.shard_leader(kShard), std::nullopt);
}

}  // namespace
}  // namespace beaconsill::controller
