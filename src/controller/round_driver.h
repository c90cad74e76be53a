// Runs the scheduling rounds: requests estimates of free capacity from the shard leaders, has the scheduler
// decide which tasks are granted, and passes the grants to the GrantWriter.
#pragma once

#include "controller/grant_writer.h"
#include "controller/leadership.h"
#include "controller/peer_messenger.h"
#include "controller/peer_status.h"
#include "controller/shard_service.h"

namespace beaconsill::controller {

// Part of the SchedulerService, which calls run() on its timer. Doesn't throw; runs on the event loop's
// single thread.
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

  // Begins a round if one is due. Ends the open round if all reachable shards have responded or the time
  // limit for responses has passed.
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
