// Drives the scheduler's rounds: estimates from the shards, the decision, the grants.
#pragma once

#include "controller/grant_writer.h"
#include "controller/leadership.h"
#include "controller/peer_messenger.h"
#include "controller/peer_status.h"
#include "controller/shard_service.h"

namespace beaconsill::controller {

// Part of the SchedulerService, which calls run() on its timer. Throws nothing; one thread.
class RoundDriver {
 public:
  RoundDriver(ControllerContext& ctx, PeerMessenger& messenger, const PeerStatus& peers, ShardService& shards,
              Leadership& leadership, GrantWriter& grant_writer)
      : ctx_(ctx),
        messenger_(messenger),
        peers_(peers),
        shards_(shards),
        leadership_(leadership),
        grant_writer_(grant_writer) {}

  // Begins a round if one is due, and ends the open one if all shards have answered or were waited for long
  // enough.
  void run();

 private:
  void begin_round();

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  const PeerStatus& peers_;
  ShardService& shards_;
  Leadership& leadership_;
  GrantWriter& grant_writer_;
};

}  // namespace beaconsill::controller
