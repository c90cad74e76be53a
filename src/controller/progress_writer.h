// Writes the progress of the led shards' tasks to the state store.
#pragma once

#include <map>

#include "controller/controller_context.h"
#include "controller/draft_state.h"
#include "controller/led_shards.h"
#include "controller/peer_messenger.h"
#include "controller/peer_status.h"
#include "state_store/txn_draft.h"

namespace beaconsill::controller {

// Part of the ShardService, which calls write() on its timer. Progress is written in batches: only the next
// leader of the shard needs it, and most jobs are over before. What fails is repeated. Throws nothing; one
// thread.
class ProgressWriter {
 public:
  ProgressWriter(ControllerContext& ctx, PeerMessenger& messenger, const PeerStatus& peers, LedShards& shards)
      : ctx_(ctx), messenger_(messenger), peers_(peers), shards_(shards) {}

  // Writes the progress that has been unwritten for long enough, unless a transaction is under way.
  void write(ShardId id, LedShard& shard);

 private:
  void commit(ShardId id, LedShard& shard, const protocol::Txn& txn);
  bool leader_reachable() const;
  // Jobs whose progress one transaction may hold now.
  std::size_t max_jobs_per_txn(bool leader_notified) const;
  // Adds the progress of one job, if it differs from what is recorded.
  DraftState add_progress(ShardId id, const JobId& job, const state_store::Progress& progress,
                          state_store::TxnDraft& draft) const;

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  const PeerStatus& peers_;
  LedShards& shards_;
};

}  // namespace beaconsill::controller
