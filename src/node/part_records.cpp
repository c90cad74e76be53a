// What the owner of a part keeps in the state service, and tells the leader.
#include "base/log.h"
#include "node/workers.h"
#include "store/registry.h"
#include "store/sizes.h"
#include "store/txn_draft.h"

namespace beaconsill::node {
namespace {
// Progress is written so long after it was made: at the longest if the leader has been told of it, since then
// only a successor of this owner needs the record, and most jobs are over before.
constexpr Duration kGather = std::chrono::milliseconds(1000);
constexpr Duration kGatherTold = std::chrono::seconds(20);
// What is returned and isn't granted anew soon: until it's recorded it counts against its team's limit.
constexpr Duration kGatherReturned = std::chrono::seconds(2);
constexpr Duration kWriteCheck = std::chrono::milliseconds(500);
// Everything unwritten is told again so often, lest a message was lost.
constexpr Duration kTellAgain = std::chrono::seconds(2);
}  // namespace

// What the earlier owner wrote last may not be in the view yet: until everything was read that was written
// before this owner's term, nobody knows which machines to wait for, and the part must not pass for rebuilt.
void WorkersDuty::read_registry(PartId id, Owned& o) {
  if (o.read || o.reading) return;
  o.reading = true;
  ctx_.mirror->sync([this, id, term = o.part->term()](bool ok) {
    auto* x = stopped_ ? nullptr : find(id, term);
    if (!x) return;
    x->reading = false;
    if (!ok) return;
    x->read = true;
    load_registry(id, *x->part);
    kick();
  });
}

void WorkersDuty::load_registry(PartId id, part::Part& p) {
  p.on_registry(store::registered_machines(ctx_.view(), id), ctx_.now());
}

// What counts for the ledger is told to the leader at once; the record follows when it's of use.
void WorkersDuty::tell_leader(PartId id, Owned& o) {
  if (o.part->superseded()) return;
  const auto& leader = ctx_.view().leader();
  if (!leader.exists()) return;
  bool all = ctx_.now() >= o.tell_all || o.told != leader.value.term;
  if (all) {
    o.tell_all = ctx_.now() + kTellAgain;
    o.told = leader.value.term;
  }
  auto jobs = o.part->outcomes(all);
  if (!jobs.empty()) tell_({id, o.part->term(), std::move(jobs)});
}

void WorkersDuty::write_registry(PartId id, Owned& o) {
  if (o.registering) return;
  const auto& role = ctx_.view().part_role(id);
  if (!o.read || !role.exists() || role.value.term != o.part->term()) return;
  const auto& sizes = ctx_.store->sizes();
  auto t = store::registry_txn(ctx_.view(), id, o.part->unregistered(), ctx_.parting.nodes(),
                               {sizes.txn_ops(), sizes.value_bytes()});
  if (!t) return;
  o.registering = true;
  auto term = o.part->term();
  ctx_.mirror->commit(*t, store::Urgency::kRole, [this, id, term, t = *t](store::TxnResult r) {
    if (r.outcome == store::Outcome::kOk) {
      if (auto* x = find(id, term)) x->registering = false;
      return ctx_.mirror->apply_own(t, r.revision);
    }
    ctx_.mirror->sync([this, id, term](bool) {
      if (auto* x = find(id, term)) x->registering = false;
    });
  });
}

void WorkersDuty::write_progress(PartId id, Owned& o) {
  if (o.writing) return;
  auto now = ctx_.now();
  if (now < o.write_next) return;
  o.write_next = now + kWriteCheck;
  auto unwritten = o.part->unwritten();
  std::erase_if(o.unwritten, [&](const auto& u) { return !unwritten.contains(u.first); });
  if (unwritten.empty()) return;
  const auto& role = ctx_.view().part_role(id);
  if (!role.exists() || role.value.term != o.part->term()) return;
  const auto& leader = ctx_.view().leader();
  bool told = leader.exists() && peers_.reachable(leader.value.node);
  auto most =
      std::min<std::size_t>({ctx_.store->sizes().txn_ops(), 6, told ? ctx_.store->spare_writes() : SIZE_MAX});
  if (most == 0) return;
  store::TxnDraft draft(most);
  draft.require({store::part_role_key(id), role.version});
  for (auto& [job, progress] : unwritten) {
    auto since = o.unwritten.try_emplace(job, now).first->second;
    auto patience = !told ? kGather : progress.returned.empty() ? kGatherTold : kGatherReturned;
    if (now - since < patience) continue;
    const auto* record = ctx_.view().job(job);
    if (!record) continue;
    auto key = store::progress_key(id, job);
    auto have = record->progress.find(id);
    auto recorded = have == record->progress.end() ? store::Versioned<store::Progress>{} : have->second;
    auto value = store::fit_progress(recorded.value, progress, ctx_.store->sizes().value_bytes());
    auto json = store::to_json(value);
    // Written under a higher limit: it gets shorter as the rest ends.
    if (value == recorded.value || store::value_bytes(json) > ctx_.store->sizes().value_bytes()) continue;
    if (!draft.add({{key, recorded.version}}, {{key, std::move(json), std::nullopt}})) break;
  }
  if (draft.empty()) return;
  o.writing = true;
  auto term = o.part->term();
  const auto& t = draft.txn();
  ctx_.mirror->commit(t, store::Urgency::kWork, [this, id, term, t](store::TxnResult r) {
    if (r.outcome == store::Outcome::kOk) {
      if (auto* x = find(id, term)) x->writing = false;
      ctx_.mirror->apply_own(t, r.revision);
      return peers_.broadcast(wire::Nudge{r.revision});
    }
    ctx_.mirror->sync([this, id, term](bool) {
      if (auto* x = find(id, term)) x->writing = false;
    });
  });
}

// After the process has stood still another may own the part, and use what seems to be idle here.
void WorkersDuty::remove_machines(PartId id, Owned& o) {
  if (!ctx_.roles_read_since_waking()) return;
  auto names = o.part->take_deletions(ctx_.now());
  if (names.empty()) return;
  auto term = o.part->term();
  ctx_.cloud->remove(names, [this, id, term, names](bool ok) {
    if (stopped_) return;
    if (ok) {
      peers_.broadcast(wire::Gone{names});
      return on_gone(names);
    }
    spdlog::info("cloud: deletion of {} machines had no good answer, to be repeated", names.size());
    if (auto* x = find(id, term))
      for (const auto& n : names) x->part->on_delete_failed(n, ctx_.now());
  });
}

}  // namespace beaconsill::node
