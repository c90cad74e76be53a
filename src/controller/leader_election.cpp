#include "controller/leader_election.h"

#include <algorithm>

#include "base/log.h"

namespace beaconsill::controller {
namespace {
constexpr std::uint32_t kLeaseTtlMs = 2000;
constexpr Duration kKeepAlivePeriod = std::chrono::milliseconds(500);
constexpr Duration kCheck = std::chrono::milliseconds(200);
// Each candidate waits this much longer than the one before it, so that one claims and the others see it.
constexpr Duration kCandidateDelay = std::chrono::milliseconds(1200);
// While a machine is silent, its shard stays where it is: the new owner would have to wait for it. But not
// for longer than so many times the usual delay.
constexpr int kMaxFailBackDelayFactor = 4;
}  // namespace

LeaderElection::LeaderElection(ControllerContext& ctx, Hooks hooks)
    : ctx_(ctx),
      hooks_(std::move(hooks)),
      keep_alive_(ctx.io, [this] { keep_alive(); }),
      check_(ctx.io, [this] { on_view(); }) {
  for (std::uint32_t p = 0; p < ctx.partitioning.shards(); ++p)
    shards_[ShardId(p)].key = state_store::shard_role_key(ShardId(p));
  leader_.key = state_store::leader_role_key();
}

void LeaderElection::start() {
  keep_alive_.start(kKeepAlivePeriod);
  check_.start(kCheck);
}

void LeaderElection::stop() {
  keep_alive_.stop();
  check_.stop();
}

void LeaderElection::keep_alive() {
  if (keep_alive_pending_) return;
  keep_alive_pending_ = true;
  if (!lease_) {
    return ctx_.store->grant_lease(kLeaseTtlMs, [this](const state_store::ReadResult& r) {
      keep_alive_pending_ = false;
      if (r.outcome != state_store::RequestOutcome::kOk) return;
      try {
        lease_ = protocol::parse_lease(r.body);
      } catch (const protocol::ProtocolError& e) {
        spdlog::error("state service: hold dropped: {}", e.what());
        return;
      }
      liveness_written_ = false;
      write_liveness();
    });
  }
  ctx_.store->renew(*lease_, [this](const state_store::ReadResult& r) {
    keep_alive_pending_ = false;
    if (r.status == 404) {
      spdlog::info("this node's hold has run out, taking a new one");
      lease_.reset();
      return keep_alive();
    }
    if (r.outcome != state_store::RequestOutcome::kOk) return;
    // The key may have gone although the hold stands: an earlier process of this controller wrote it, its
    // transaction was carried out late and tied the key to that process's hold, which has run out since.
    bool gone = ctx_.watch_cache->ready() && !ctx_.view().alive(ctx_.settings.controller);
    if (!liveness_written_ || gone) write_liveness();
  });
}

void LeaderElection::write_liveness() {
  if (keep_alive_pending_) return;
  keep_alive_pending_ = true;
  protocol::Txn t;
  t.writes = {{state_store::alive_key(ctx_.settings.controller), state_store::alive_value(), lease_}};
  ctx_.store->txn(t, state_store::Urgency::kElection, [this, t](state_store::TxnResult r) {
    keep_alive_pending_ = false;
    if (r.outcome == state_store::RequestOutcome::kBad) lease_.reset();  // the hold ran out meanwhile
    if (r.outcome != state_store::RequestOutcome::kOk) return;
    liveness_written_ = true;
    ctx_.watch_cache->apply_own(t, r.revision);
  });
}

// This controller's place among those that may take a vacant role: a shard's home first, then by a fixed
// order.
std::size_t LeaderElection::rank(std::optional<ShardId> shard) const {
  const auto& controllers = ctx_.partitioning.controllers();
  std::size_t n = controllers.size();
  std::size_t first = shard ? shard->value() : 0;
  std::size_t place = 0;
  for (std::size_t i = 0; i < n; ++i) {
    const auto& controller = controllers[(first + i) % n];
    if (controller == ctx_.settings.controller) break;
    if (ctx_.view().alive(controller)) ++place;
  }
  return place;
}

void LeaderElection::on_view() {
  if (!ctx_.watch_cache->ready()) return;
  // What was seen before it stood still, a role vacant or a home controller well, may be over.
  if (!ctx_.roles_read_since_pause()) return reset_vacancy_timers();
  for (auto& [shard, s] : shards_) check(s, ctx_.view().shard_role(shard), shard);
  check(leader_, ctx_.view().leader(), std::nullopt);
}

void LeaderElection::reset_vacancy_timers() {
  for (auto& [shard, s] : shards_) s.vacant_since = s.preferred_alive_since = std::nullopt;
  leader_.vacant_since.reset();
}

void LeaderElection::lose_role(RoleState& s, std::optional<ShardId> shard) {
  s.held.reset();
  if (shard) {
    hooks_.release_shard(*shard);
  } else {
    hooks_.step_down();
  }
}

void LeaderElection::check(RoleState& s, const state_store::Versioned<state_store::Role>& role,
                           std::optional<ShardId> shard) {
  bool mine = role.exists() && role.value.controller == ctx_.settings.controller;
  if (s.held && (!mine || role.value.term > *s.held)) {
    spdlog::info("{} is now held by {} under term {}", s.key, role.value.controller.value(),
                 role.value.term.value());
    lose_role(s, shard);
  }
  if (s.acquiring) return;
  auto now = ctx_.now();
  if (s.held) {
    // Another's home: it goes back once that controller has been well for a while.
    bool away = shard && ctx_.partitioning.preferred_controller(*shard) != ctx_.settings.controller &&
                ctx_.view().alive(ctx_.partitioning.preferred_controller(*shard));
    if (!away) {
      s.preferred_alive_since.reset();
    } else if (!s.preferred_alive_since) {
      s.preferred_alive_since = now;
    } else if (now - *s.preferred_alive_since > ctx_.policy.home_delay &&
               (hooks_.is_stable(*shard) ||
                now - *s.preferred_alive_since > kMaxFailBackDelayFactor * ctx_.policy.home_delay)) {
      s.preferred_alive_since.reset();
      fail_back(s, role, *shard);
    }
    return;
  }
  if (!liveness_written_ || !ctx_.view().alive(ctx_.settings.controller)) return;
  // Held by an earlier process of this controller, or given to it.
  if (mine) return acquire(s, role, shard);
  if (role.exists() && ctx_.view().alive(role.value.controller)) {
    s.vacant_since.reset();
    return;
  }
  if (!s.vacant_since) s.vacant_since = now;
  if (now - *s.vacant_since >= kCandidateDelay * static_cast<int>(rank(shard))) acquire(s, role, shard);
}

void LeaderElection::acquire(RoleState& s, const state_store::Versioned<state_store::Role>& role,
                             std::optional<ShardId> shard) {
  s.acquiring = true;
  Term term(role.value.term.value() + 1);
  protocol::Txn t;
  t.conditions = {{s.key, role.version}};
  // Only an owner that is gone, or is this very controller, may be replaced.
  if (role.exists() && role.value.controller != ctx_.settings.controller)
    t.conditions.push_back({state_store::alive_key(role.value.controller), Revision()});
  state_store::Role acquired{ctx_.settings.controller, term, role.value.readable_since};
  t.writes = {{s.key, state_store::to_json(acquired), std::nullopt}};
  ctx_.watch_cache->commit(t, state_store::Urgency::kElection,
                           [this, &s, t, term, shard](state_store::TxnResult r) {
                             if (r.outcome == state_store::RequestOutcome::kOk) {
                               s.acquiring = false;
                               s.vacant_since.reset();
                               s.held = term;
                               spdlog::info("holding {} under term {}", s.key, term.value());
                               ctx_.watch_cache->apply_own(t, r.revision);
                               if (!s.held) return;  // lost again within the call above
                               if (shard) {
                                 hooks_.acquire_shard(*shard, term);
                               } else {
                                 hooks_.become_leader(term);
                               }
                               return;
                             }
                             // Whoever won, or an own claim without an answer: read before trying again.
                             ctx_.watch_cache->sync([&s](bool) { s.acquiring = false; });
                           });
}

void LeaderElection::fail_back(RoleState& s, const state_store::Versioned<state_store::Role>& role,
                               ShardId shard) {
  const auto& preferred_controller = ctx_.partitioning.preferred_controller(shard);
  // A process of an earlier version there couldn't read the role, and nobody would own the shard.
  if (ctx_.view().advertised_version(preferred_controller).value_or(0) < role.value.readable_since) return;
  spdlog::info("{} goes home to {}", s.key, preferred_controller.value());
  // This controller goes on as the owner until it sees that the change was applied, as any owner does that is
  // replaced. If it stopped here and the state store did not answer, the leases of all the shard's workers
  // would run out.
  protocol::Txn t;
  t.conditions = {{s.key, role.version}};
  state_store::Role transferred{preferred_controller, Term(s.held->value() + 1), role.value.readable_since};
  t.writes = {{s.key, state_store::to_json(transferred), std::nullopt}};
  s.acquiring = true;
  ctx_.store->txn(t, state_store::Urgency::kElection, [this, &s, t](state_store::TxnResult r) {
    s.acquiring = false;
    if (r.outcome == state_store::RequestOutcome::kOk) ctx_.watch_cache->apply_own(t, r.revision);
  });
}

}  // namespace beaconsill::controller
