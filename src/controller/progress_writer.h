// Writes the progress of the tasks of this controller's shards to the state store.
#pragma once

#include <map>

#include "controller/controller_context.h"
#include "controller/draft_state.h"
#include "controller/led_shards.h"
#include "controller/peer_messenger.h"
#include "controller/peer_status.h"
#include "state_store/txn_draft.h"

namespace beaconsill::controller {

// Part of the ShardService, which calls write() on its timer. Progress is written in batches, because only
// the next leader of the shard needs it, and most jobs end before there is one. Failed writes are repeated.
// Doesn't throw; runs on the event loop's single thread.
class ProgressWriter {
 public:
  ProgressWriter(ControllerContext& ctx, PeerMessenger& messenger, const PeerStatus& peers, LedShards& shards)
      : ctx_(ctx), messenger_(messenger), peers_(peers), shards_(shards) {}

  // Writes the progress that has been unwritten for the batch delay, unless a transaction is pending.
  void write(ShardId id, LedShard& shard);

 private:
  void commit(ShardId id, LedShard& shard, const protocol::Txn& txn);
  bool leader_reachable() const;
  // The number of jobs whose progress one transaction may currently contain.
  std::size_t max_jobs_per_txn(bool leader_notified) const;
  // Adds the progress of one job to the draft if it differs from the job's record.
  DraftState add_progress(ShardId id, const JobId& job, const state_store::Progress& progress,
                          state_store::TxnDraft& draft) const;

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  const PeerStatus& peers_;
  LedShards& shards_;
};

}  // namespace beaconsill::controller
