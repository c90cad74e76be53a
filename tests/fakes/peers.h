// Fakes of the connections to other controllers: they record the messages that a component sends to its
// peers, and report the peer status that the test has set.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "controller/peer_messenger.h"
#include "controller/peer_status.h"

namespace beaconsill::fakes {

// Records the messages that are sent.
class PeerMessenger : public controller::PeerMessenger {
 public:
  struct Sent {
    ControllerName to;
    protocol::PeerPayload payload;
  };
  void send(const ControllerName& to, protocol::PeerPayload payload) override {
    sent.push_back({to, std::move(payload)});
  }
  void broadcast(const protocol::PeerPayload& payload) override { broadcasts.push_back(payload); }

  std::vector<Sent> sent;
  std::vector<protocol::PeerPayload> broadcasts;
};

// Reports the status that the test has set.
class PeerStatus : public controller::PeerStatus {
 public:
  bool reachable(const ControllerName& controller) const override {
    return reachable_controllers.contains(controller);
  }
  bool any_peer_reaches_state_store() const override { return false; }
  std::optional<controller::AdvertisedLeader> shard_leader(ShardId shard) const override {
    auto it = advertised_leaders.find(shard);
    if (it == advertised_leaders.end()) return std::nullopt;
    return it->second;
  }

  std::set<ControllerName> reachable_controllers;
  std::map<ShardId, controller::AdvertisedLeader> advertised_leaders;
};

}  // namespace beaconsill::fakes
