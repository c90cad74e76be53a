// What the owner of a part keeps in the state service, and tells the leader.
#include "base/log.h"
#include "node/workers.h"
#include "store/sizes.h"

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
  std::vector<store::MachineRecord> all;
  for (std::uint32_t b = 0; b < store::kMachineBuckets * store::kMachinePieces; ++b) {
    const auto& bucket = ctx_.view().machines(id, b);
    all.insert(all.end(), bucket.value.begin(), bucket.value.end());
  }
  p.on_registry(all, ctx_.now());
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

// The keys of a bucket whose values change, with their new values.
std::map<std::uint32_t, std::vector<store::MachineRecord>> WorkersDuty::registry_writes(
    PartId id, std::uint32_t bucket, std::vector<store::MachineRecord> machines) const {
  const auto& view = ctx_.view();
  std::vector<store::MachineRecord> registered;
  for (std::uint32_t k = 0; k < store::kMachinePieces; ++k) {
    const auto& piece = view.machines(id, bucket + k * store::kMachineBuckets).value;
    registered.insert(registered.end(), piece.begin(), piece.end());
  }
  // Never fewer keys than are used already, or machines that may run tasks would fall out of the registry.
  bool several = view.all_know(store::kPipelinesSince, ctx_.parting.nodes());
  for (std::uint32_t k = 1; k < store::kMachinePieces; ++k)
    several |= !view.machines(id, bucket + k * store::kMachineBuckets).value.empty();
  auto most = std::min<std::size_t>(store::kMachinePieces, ctx_.store->sizes().txn_ops());
  auto pieces = store::split_machines(registered, std::move(machines), ctx_.store->sizes().value_bytes(),
                                      several ? most : 1);
  pieces.resize(store::kMachinePieces);
  std::map<std::uint32_t, std::vector<store::MachineRecord>> writes;
  for (std::uint32_t k = 0; k < store::kMachinePieces; ++k) {
    auto key = bucket + k * store::kMachineBuckets;
    if (pieces[k] != view.machines(id, key).value) writes[key] = std::move(pieces[k]);
  }
  return writes;
}

void WorkersDuty::write_registry(PartId id, Owned& o) {
  if (o.registering) return;
  auto buckets = o.part->unregistered();
  if (buckets.empty()) return;
  const auto& role = ctx_.view().part_role(id);
  if (!role.exists() || role.value.term != o.part->term()) return;
  wire::Txn t;
  t.conditions.push_back({store::part_role_key(id), role.version});
  for (auto& [b, machines] : buckets) {
    auto pieces = registry_writes(id, b, std::move(machines));
    if (t.writes.size() + pieces.size() > ctx_.store->sizes().txn_ops() && !t.writes.empty()) break;
    for (auto& [piece, value] : pieces) {
      auto key = store::machines_key(id, piece);
      t.conditions.push_back({key, ctx_.view().machines(id, piece).version});
      t.writes.push_back({key, store::to_json(value), std::nullopt});
    }
  }
  if (t.writes.empty()) return;
  o.registering = true;
  auto term = o.part->term();
  ctx_.mirror->commit(t, store::Urgency::kRole, [this, id, term, t](store::TxnResult r) {
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
  wire::Txn t;
  t.conditions.push_back({store::part_role_key(id), role.version});
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
    t.conditions.push_back({key, recorded.version});
    t.writes.push_back({key, std::move(json), std::nullopt});
    if (t.writes.size() >= most) break;
  }
  if (t.writes.empty()) return;
  o.writing = true;
  auto term = o.part->term();
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

void WorkersDuty::remove_machines(PartId id, Owned& o) {
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
