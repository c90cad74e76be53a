#include "controller/registry_sync.h"

#include <utility>

#include "state_store/machine_registry.h"

namespace beaconsill::controller {

RegistrySync::RegistrySync(ControllerContext& ctx, LedShards& shards, std::function<void()> on_read)
    : ctx_(ctx), shards_(shards), on_read_(std::move(on_read)) {}

// The last writes of the previous shard leader may not be in the view yet. Until everything that was written
// before this term has been read, it is unknown which machines to wait for, and the shard must not be treated
// as reconciled.
void RegistrySync::read(ShardId id, LedShard& shard) {
  if (shard.registry_read || shard.registry_read_pending) return;
  shard.registry_read_pending = true;
  ctx_.watch_cache->sync([this, id, term = shard.manager->term()](bool read) {
    auto* led = stopped_ ? nullptr : shards_.find(id, term);
    if (!led) return;
    led->registry_read_pending = false;
    if (!read) return;
    led->registry_read = true;
    on_registry_changed(id, *led);
    on_read_();
  });
}

void RegistrySync::on_registry_changed(ShardId id, LedShard& shard) const {
  if (!shard.registry_read) return;
  shard.manager->on_registry_read(state_store::registered_machines(ctx_.view(), id), ctx_.now());
}

void RegistrySync::write(ShardId id, LedShard& shard) {
  if (shard.registry_write_pending) return;
  const auto& role = ctx_.view().shard_role(id);
  auto term = shard.manager->term();
  if (!shard.registry_read || !role.exists() || role.value.term != term) return;
  const auto& sizes = ctx_.store->size_limits();
  auto txn =
      state_store::registry_txn(ctx_.view(), id, shard.manager->registry_buckets_to_write(),
                                ctx_.partitioning.controllers(), {sizes.txn_ops(), sizes.value_bytes()});
  if (!txn) return;
  shard.registry_write_pending = true;
  auto finish = [this, id, term] {
    if (auto* led = shards_.find(id, term)) led->registry_write_pending = false;
  };
  auto done = [this, finish, txn = *txn](state_store::TxnResult result) {
    if (result) {
      finish();
      ctx_.watch_cache->apply_own_txn(txn, *result);
      return;
    }
    ctx_.watch_cache->sync([finish](bool) { finish(); });
  };
  ctx_.watch_cache->commit(*txn, state_store::Urgency::kElection, std::move(done));
}

}  // namespace beaconsill::controller
