#include "node/roles.h"

#include <algorithm>

#include "base/log.h"

namespace beaconsill::node {
namespace {
constexpr std::uint32_t kHoldMs = 2000;
constexpr Duration kBeat = std::chrono::milliseconds(500);
constexpr Duration kCheck = std::chrono::milliseconds(200);
// Each candidate waits this much longer than the one before it, so that one claims and the others see it.
constexpr Duration kRankDelay = std::chrono::milliseconds(1200);
// While a machine is silent, its part stays where it is: the new owner would have to wait for it. But not for
// longer than so many times the usual delay.
constexpr int kHomePatience = 4;
}  // namespace

RolesDuty::RolesDuty(Context& ctx, Hooks hooks)
    : ctx_(ctx),
      hooks_(std::move(hooks)),
      beat_(ctx.io, [this] { beat(); }),
      check_(ctx.io, [this] { on_view(); }) {
  for (std::uint32_t p = 0; p < ctx.parting.parts(); ++p)
    parts_[PartId(p)].key = store::part_role_key(PartId(p));
  leader_.key = store::leader_role_key();
}

void RolesDuty::start() {
  beat_.start(kBeat);
  check_.start(kCheck);
}

void RolesDuty::stop() {
  beat_.stop();
  check_.stop();
}

void RolesDuty::beat() {
  if (beating_) return;
  beating_ = true;
  if (!hold_) {
    return ctx_.store->hold(kHoldMs, [this](const store::ReadResult& r) {
      beating_ = false;
      if (r.outcome != store::Outcome::kOk) return;
      try {
        hold_ = wire::parse_hold(r.body);
      } catch (const wire::WireError& e) {
        spdlog::error("state service: hold dropped: {}", e.what());
        return;
      }
      alive_written_ = false;
      write_alive();
    });
  }
  ctx_.store->renew(*hold_, [this](const store::ReadResult& r) {
    beating_ = false;
    if (r.status == 404) {
      spdlog::info("this node's hold has run out, taking a new one");
      hold_.reset();
      return beat();
    }
    if (r.outcome != store::Outcome::kOk) return;
    // The key may have gone although the hold stands: an earlier process of this node wrote it, its
    // transaction was carried out late and tied the key to that process's hold, which has run out since.
    bool gone = ctx_.mirror->ready() && !ctx_.view().alive(ctx_.settings.node);
    if (!alive_written_ || gone) write_alive();
  });
}

void RolesDuty::write_alive() {
  if (beating_) return;
  beating_ = true;
  wire::Txn t;
  t.writes = {{store::alive_key(ctx_.settings.node), store::alive_value(), hold_}};
  ctx_.store->txn(t, store::Urgency::kRole, [this, t](store::TxnResult r) {
    beating_ = false;
    if (r.outcome == store::Outcome::kBad) hold_.reset();  // the hold ran out meanwhile
    if (r.outcome != store::Outcome::kOk) return;
    alive_written_ = true;
    ctx_.mirror->apply_own(t, r.revision);
  });
}

// This node's place among those that may take a vacant role: a part's home first, then by a fixed order.
std::size_t RolesDuty::rank(std::optional<PartId> part) const {
  const auto& nodes = ctx_.parting.nodes();
  std::size_t n = nodes.size();
  std::size_t first = part ? part->value() : 0;
  std::size_t place = 0;
  for (std::size_t i = 0; i < n; ++i) {
    const auto& node = nodes[(first + i) % n];
    if (node == ctx_.settings.node) break;
    if (ctx_.view().alive(node)) ++place;
  }
  return place;
}

void RolesDuty::on_view() {
  if (!ctx_.mirror->ready()) return;
  // What was seen before it stood still, a role vacant or a home node well, may be over.
  if (!ctx_.roles_read_since_waking()) return forget_waits();
  for (auto& [part, s] : parts_) check(s, ctx_.view().part_role(part), part);
  check(leader_, ctx_.view().leader(), std::nullopt);
}

void RolesDuty::forget_waits() {
  for (auto& [part, s] : parts_) s.vacant_since = s.home_since = std::nullopt;
  leader_.vacant_since.reset();
}

void RolesDuty::lose(RoleState& s, std::optional<PartId> part) {
  s.held.reset();
  if (part) {
    hooks_.disown(*part);
  } else {
    hooks_.unlead();
  }
}

void RolesDuty::check(RoleState& s, const store::Versioned<store::Role>& role, std::optional<PartId> part) {
  bool mine = role.exists() && role.value.node == ctx_.settings.node;
  if (s.held && (!mine || role.value.term > *s.held)) {
    spdlog::info("{} is now held by {} under term {}", s.key, role.value.node.value(),
                 role.value.term.value());
    lose(s, part);
  }
  if (s.claiming) return;
  auto now = ctx_.now();
  if (s.held) {
    // Another's home: it goes back once that node has been well for a while.
    bool away =
        part && ctx_.parting.home(*part) != ctx_.settings.node && ctx_.view().alive(ctx_.parting.home(*part));
    if (!away) {
      s.home_since.reset();
    } else if (!s.home_since) {
      s.home_since = now;
    } else if (now - *s.home_since > ctx_.policy.home_delay &&
               (hooks_.settled(*part) || now - *s.home_since > kHomePatience * ctx_.policy.home_delay)) {
      s.home_since.reset();
      hand_back(s, role, *part);
    }
    return;
  }
  if (!alive_written_ || !ctx_.view().alive(ctx_.settings.node)) return;
  // Held by an earlier process of this node, or given to it.
  if (mine) return claim(s, role, part);
  if (role.exists() && ctx_.view().alive(role.value.node)) {
    s.vacant_since.reset();
    return;
  }
  if (!s.vacant_since) s.vacant_since = now;
  if (now - *s.vacant_since >= kRankDelay * static_cast<int>(rank(part))) claim(s, role, part);
}

void RolesDuty::claim(RoleState& s, const store::Versioned<store::Role>& role, std::optional<PartId> part) {
  s.claiming = true;
  Term term(role.value.term.value() + 1);
  wire::Txn t;
  t.conditions = {{s.key, role.version}};
  // Only an owner that is gone, or is this very node, may be replaced.
  if (role.exists() && role.value.node != ctx_.settings.node)
    t.conditions.push_back({store::alive_key(role.value.node), Revision()});
  store::Role claimed{ctx_.settings.node, term, role.value.readable_since};
  t.writes = {{s.key, store::to_json(claimed), std::nullopt}};
  ctx_.mirror->commit(t, store::Urgency::kRole, [this, &s, t, term, part](store::TxnResult r) {
    if (r.outcome == store::Outcome::kOk) {
      s.claiming = false;
      s.vacant_since.reset();
      s.held = term;
      spdlog::info("holding {} under term {}", s.key, term.value());
      ctx_.mirror->apply_own(t, r.revision);
      if (!s.held) return;  // lost again within the call above
      if (part) {
        hooks_.own(*part, term);
      } else {
        hooks_.lead(term);
      }
      return;
    }
    // Whoever won, or an own claim without an answer: read before trying again.
    ctx_.mirror->sync([&s](bool) { s.claiming = false; });
  });
}

void RolesDuty::hand_back(RoleState& s, const store::Versioned<store::Role>& role, PartId part) {
  const auto& home = ctx_.parting.home(part);
  // A process of an earlier version there couldn't read the role, and nobody would own the part.
  if (ctx_.view().alive_shows(home).value_or(0) < role.value.readable_since) return;
  spdlog::info("{} goes home to {}", s.key, home.value());
  // This node goes on as the owner until it sees that the change was applied, as any owner does that is
  // replaced. If it stopped here and the state service did not answer, the leases of all the part's workers
  // would run out.
  wire::Txn t;
  t.conditions = {{s.key, role.version}};
  store::Role handed{home, Term(s.held->value() + 1), role.value.readable_since};
  t.writes = {{s.key, store::to_json(handed), std::nullopt}};
  s.claiming = true;
  ctx_.store->txn(t, store::Urgency::kRole, [this, &s, t](store::TxnResult r) {
    s.claiming = false;
    if (r.outcome == store::Outcome::kOk) ctx_.mirror->apply_own(t, r.revision);
  });
}

}  // namespace beaconsill::node
