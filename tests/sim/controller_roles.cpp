// Taking, keeping and handing back the roles: owner of a part, leader.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kRankDelay = 1.2;
constexpr double kHomeDelay = 6;
}  // namespace

std::map<PartId, Term> Controller::terms() const {
  std::map<PartId, Term> out;
  for (std::uint32_t p = 0; p < env_.parting.parts(); ++p)
    if (const auto& r = p_.view.part_role(PartId(p)); r.exists()) out[PartId(p)] = r.value.term;
  return out;
}

void Controller::roles() {
  if (!p_.ready || !p_.view.alive(name())) return;
  for (std::uint32_t p = 0; p < env_.parting.parts(); ++p)
    role(store::part_role_key(PartId(p)), p_.view.part_role(PartId(p)), PartId(p));
  role(store::leader_role_key(), p_.view.leader(), std::nullopt);
}

void Controller::role(const std::string& key, store::Versioned<store::Role> r, std::optional<PartId> part) {
  bool mine = r.exists() && r.value.node == name();
  if (p_.held.contains(key) && keep_role(key, r, part)) return;
  if (p_.claiming.contains(key)) return;
  if (!mine && r.exists() && p_.view.alive(r.value.node)) {
    p_.vacant.erase(key);
    return;
  }
  int rank = part ? (static_cast<int>(part->value()) + kControllers - n_) % kControllers : n_;
  double delay = mine ? 0 : rank * kRankDelay;
  if (now() - p_.vacant.try_emplace(key, now()).first->second >= delay) claim(key, r, part, name());
}

// Whether a role that was held is held still.
bool Controller::keep_role(const std::string& key, const store::Versioned<store::Role>& r,
                           std::optional<PartId> part) {
  bool mine = r.exists() && r.value.node == name();
  auto held = p_.held.find(key);
  if (!mine || r.value.term != held->second) {
    p_.held.erase(held);
    if (part) {
      p_.parts.erase(*part);
    } else {
      p_.lead.reset();
    }
    return false;
  }
  if (!part || env_.parting.home(*part) == name() || !p_.view.alive(env_.parting.home(*part))) {
    p_.away.erase(key);
  } else if (now() - p_.away.try_emplace(key, now()).first->second > kHomeDelay &&
             !p_.claiming.contains(key)) {
    p_.away.erase(key);
    claim(key, r, part, env_.parting.home(*part));
  }
  return true;
}

// `to`: this controller, or the home of a part that is handed back.
void Controller::claim(const std::string& key, store::Versioned<store::Role> r, std::optional<PartId> part,
                       NodeName to) {
  p_.claiming.insert(key);
  Term term(r.value.term.value() + 1);
  wire::Txn t{{{key, r.version}}, {{key, store::to_json(store::Role{to, term}), std::nullopt}}};
  bool given = to != name();
  if (!given && r.exists() && r.value.node != name())
    t.conditions.push_back({store::alive_key(r.value.node), Revision()});
  env_.state.txn(n_, t, [this, key, part, term, t, given](Result result, Revision rev) {
    if (result != Result::kOk) return sync([this, key](bool) { p_.claiming.erase(key); });
    p_.claiming.erase(key);
    p_.vacant.erase(key);
    if (!given) p_.held[key] = term;
    apply_own(t, rev);
    if (given || !p_.held.contains(key)) return;
    if (part) {
      own(*part, term);
    } else {
      lead(term);
    }
  });
}

}  // namespace beaconsill::sim
