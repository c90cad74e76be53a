// Taking, keeping and handing back the roles (owner of a part, leader), as `node::RolesDuty` does.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kRankDelay = 1.2;
constexpr double kHomeDelay = 6;
constexpr int kUnsettledFactor = 4;  // times that, a part that isn't in good order stays where it is
}  // namespace

std::map<PartId, Term> Controller::terms() const {
  std::map<PartId, Term> out;
  for (std::uint32_t p = 0; p < env_.parting.parts(); ++p)
    if (const auto& r = view().part_role(PartId(p)); r.exists()) out[PartId(p)] = r.value.term;
  return out;
}

void Controller::roles() {
  if (!ready()) return;
  for (std::uint32_t p = 0; p < env_.parting.parts(); ++p)
    role(store::part_role_key(PartId(p)), view().part_role(PartId(p)), PartId(p));
  role(store::leader_role_key(), view().leader(), std::nullopt);
}

void Controller::role(const std::string& key, const store::Versioned<store::Role>& r,
                      std::optional<PartId> part) {
  auto& s = p_.roles[key];
  bool mine = r.exists() && r.value.node == name();
  if (s.held && (!mine || r.value.term > *s.held)) lose(s, part);
  if (s.claiming) return;
  if (s.held) {
    if (part) keep_or_hand_back(s, key, r, *part);
    return;
  }
  if (!view().alive(name())) return;
  // Held by an earlier process of this controller, or given to it.
  if (mine) return claim(key, r, part);
  if (r.exists() && view().alive(r.value.node)) {
    s.vacant_since.reset();
    return;
  }
  if (!s.vacant_since) s.vacant_since = now();
  if (now() - *s.vacant_since >= rank(part) * kRankDelay) claim(key, r, part);
}

void Controller::lose(RoleState& s, std::optional<PartId> part) {
  s.held.reset();
  if (part) {
    p_.parts.erase(*part);
  } else {
    p_.lead.reset();
    p_.ending.clear();
  }
}

void Controller::keep_or_hand_back(RoleState& s, const std::string& key,
                                   const store::Versioned<store::Role>& r, PartId part) {
  const auto& home = env_.parting.home(part);
  if (home == name() || !view().alive(home)) {
    s.home_since.reset();
    return;
  }
  if (!s.home_since) s.home_since = now();
  double away = now() - *s.home_since;
  auto owned = p_.parts.find(part);
  bool settled = owned != p_.parts.end() && owned->second.part->settled(instant());
  if (away <= kHomeDelay || (!settled && away <= kUnsettledFactor * kHomeDelay)) return;
  s.home_since.reset();
  hand_back(key, r, part);
}

int Controller::rank(std::optional<PartId> part) const {
  int first = part ? static_cast<int>(part->value()) : 0;
  int place = 0;
  for (int i = 0; i < kControllers; ++i) {
    int node = (first + i) % kControllers;
    if (node == n_) break;
    if (view().alive(node_name(node))) ++place;
  }
  return place;
}

void Controller::claim(const std::string& key, const store::Versioned<store::Role>& r,
                       std::optional<PartId> part) {
  p_.roles[key].claiming = true;
  Term term(r.value.term.value() + 1);
  wire::Txn t{{{key, r.version}},
              {{key, store::to_json(store::Role{name(), term, r.value.readable_since}), std::nullopt}}};
  // Only an owner that is gone, or is this very controller, may be replaced.
  if (r.exists() && r.value.node != name())
    t.conditions.push_back({store::alive_key(r.value.node), Revision()});
  env_.state.txn(n_, t, [this, key, part, term, t](store::TxnResult result) {
    auto& s = p_.roles[key];
    if (result.outcome != store::Outcome::kOk)
      return p_.mirror->sync([this, key](bool) { p_.roles[key].claiming = false; });
    s.claiming = false;
    s.vacant_since.reset();
    s.held = term;
    p_.mirror->apply_own(t, result.revision);
    if (!s.held) return;  // lost again within the call above
    if (part) {
      own(*part, term);
    } else {
      lead(term);
    }
  });
}

// This controller goes on as the owner until it sees that the change was applied.
void Controller::hand_back(const std::string& key, const store::Versioned<store::Role>& r, PartId part) {
  auto& s = p_.roles[key];
  store::Role next{env_.parting.home(part), Term(s.held->value() + 1)};
  wire::Txn t{{{key, r.version}}, {{key, store::to_json(next), std::nullopt}}};
  s.claiming = true;
  env_.state.txn(n_, t, [this, key, t](store::TxnResult result) {
    p_.roles[key].claiming = false;
    if (result.outcome == store::Outcome::kOk) p_.mirror->apply_own(t, result.revision);
  });
}

}  // namespace beaconsill::sim
