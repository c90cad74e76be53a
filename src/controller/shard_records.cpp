// What the owner of a shard keeps in the state store, and tells the leader.
#include "base/log.h"
#include "controller/shard_service.h"
#include "state_store/machine_registry.h"
#include "state_store/sizes.h"
#include "state_store/txn_draft.h"

namespace beaconsill::controller {
namespace {
// Progress is written so long after it was made: at the longest if the leader has been told of it, since then
// only a successor of this owner needs the record, and most jobs are over before.
constexpr Duration kBatchDelay = std::chrono::milliseconds(1000);
constexpr Duration kNotifiedBatchDelay = std::chrono::seconds(20);
// What is returned and isn't granted anew soon: until it's recorded it counts against its team's limit.
constexpr Duration kReleasedBatchDelay = std::chrono::seconds(2);
constexpr Duration kWriteCheck = std::chrono::milliseconds(500);
// Everything unwritten is told again so often, lest a message was lost.
constexpr Duration kFullNotificationPeriod = std::chrono::seconds(2);
}  // namespace

// What the earlier owner wrote last may not be in the view yet: until everything was read that was written
// before this owner's term, nobody knows which machines to wait for, and the shard must not pass for rebuilt.
void ShardService::read_registry(ShardId id, Owned& o) {
  if (o.read || o.reading) return;
  o.reading = true;
  ctx_.watch_cache->sync([this, id, term = o.shard->term()](bool ok) {
    auto* x = stopped_ ? nullptr : find(id, term);
    if (!x) return;
    x->reading = false;
    if (!ok) return;
    x->read = true;
    load_registry(id, *x->shard);
    schedule_run();
  });
}

void ShardService::load_registry(ShardId id, shard::ShardManager& p) {
  p.on_registry(state_store::registered_machines(ctx_.view(), id), ctx_.now());
}

// What counts for the ledger is told to the leader at once; the record follows when it's of use.
void ShardService::notify_leader(ShardId id, Owned& o) {
  if (o.shard->superseded()) return;
  const auto& leader = ctx_.view().leader();
  if (!leader.exists()) return;
  bool all = ctx_.now() >= o.next_full_notification || o.told != leader.value.term;
  if (all) {
    o.next_full_notification = ctx_.now() + kFullNotificationPeriod;
    o.told = leader.value.term;
  }
  auto jobs = o.shard->progress_report(all);
  if (!jobs.empty()) notify_leader_({id, o.shard->term(), std::move(jobs)});
}

void ShardService::write_registry(ShardId id, Owned& o) {
  if (o.registering) return;
  const auto& role = ctx_.view().shard_role(id);
  if (!o.read || !role.exists() || role.value.term != o.shard->term()) return;
  const auto& sizes = ctx_.store->sizes();
  auto t = state_store::registry_txn(ctx_.view(), id, o.shard->unregistered_machines(),
                                     ctx_.partitioning.controllers(), {sizes.txn_ops(), sizes.value_bytes()});
  if (!t) return;
  o.registering = true;
  auto term = o.shard->term();
  ctx_.watch_cache->commit(*t, state_store::Urgency::kElection,
                           [this, id, term, t = *t](state_store::TxnResult r) {
                             if (r.outcome == state_store::RequestOutcome::kOk) {
                               if (auto* x = find(id, term)) x->registering = false;
                               return ctx_.watch_cache->apply_own(t, r.revision);
                             }
                             ctx_.watch_cache->sync([this, id, term](bool) {
                               if (auto* x = find(id, term)) x->registering = false;
                             });
                           });
}

void ShardService::write_progress(ShardId id, Owned& o) {
  if (o.writing) return;
  auto now = ctx_.now();
  if (now < o.write_next) return;
  o.write_next = now + kWriteCheck;
  auto unwritten_progress = o.shard->unwritten_progress();
  std::erase_if(o.unwritten_progress, [&](const auto& u) { return !unwritten_progress.contains(u.first); });
  if (unwritten_progress.empty()) return;
  const auto& role = ctx_.view().shard_role(id);
  if (!role.exists() || role.value.term != o.shard->term()) return;
  const auto& leader = ctx_.view().leader();
  bool told = leader.exists() && peers_.reachable(leader.value.controller);
  auto most =
      std::min<std::size_t>({ctx_.store->sizes().txn_ops(), 6, told ? ctx_.store->spare_writes() : SIZE_MAX});
  if (most == 0) return;
  state_store::TxnDraft draft(most);
  draft.require({state_store::shard_role_key(id), role.version});
  for (auto& [job, progress] : unwritten_progress) {
    auto since = o.unwritten_progress.try_emplace(job, now).first->second;
    auto patience = !told                       ? kBatchDelay
                    : progress.released.empty() ? kNotifiedBatchDelay
                                                : kReleasedBatchDelay;
    if (now - since < patience) continue;
    const auto* record = ctx_.view().job(job);
    if (!record) continue;
    auto key = state_store::progress_key(id, job);
    auto have = record->progress.find(id);
    auto recorded =
        have == record->progress.end() ? state_store::Versioned<state_store::Progress>{} : have->second;
    auto value = state_store::fit_progress(recorded.value, progress, ctx_.store->sizes().value_bytes());
    auto json = state_store::to_json(value);
    // Written under a higher limit: it gets shorter as the rest ends.
    if (value == recorded.value || state_store::value_bytes(json) > ctx_.store->sizes().value_bytes())
      continue;
    if (!draft.add({{key, recorded.version}}, {{key, std::move(json), std::nullopt}})) break;
  }
  if (draft.empty()) return;
  o.writing = true;
  auto term = o.shard->term();
  const auto& t = draft.txn();
  ctx_.watch_cache->commit(t, state_store::Urgency::kBackground,
                           [this, id, term, t](state_store::TxnResult r) {
                             if (r.outcome == state_store::RequestOutcome::kOk) {
                               if (auto* x = find(id, term)) x->writing = false;
                               ctx_.watch_cache->apply_own(t, r.revision);
                               return peers_.broadcast(protocol::ChangeNotification{r.revision});
                             }
                             ctx_.watch_cache->sync([this, id, term](bool) {
                               if (auto* x = find(id, term)) x->writing = false;
                             });
                           });
}

// After the process has stood still another may own the shard, and use what seems to be idle here.
void ShardService::remove_machines(ShardId id, Owned& o) {
  if (!ctx_.roles_read_since_pause()) return;
  auto names = o.shard->take_machines_to_delete(ctx_.now());
  if (names.empty()) return;
  auto term = o.shard->term();
  ctx_.cloud->remove(names, [this, id, term, names](bool ok) {
    if (stopped_) return;
    if (ok) {
      peers_.broadcast(protocol::TerminatedMachines{names});
      return on_machines_terminated(names);
    }
    spdlog::info("cloud: deletion of {} machines had no good answer, to be repeated", names.size());
    if (auto* x = find(id, term))
      for (const auto& n : names) x->shard->on_delete_failed(n, ctx_.now());
  });
}

}  // namespace beaconsill::controller
