#include "state_store/pending_txns.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace beaconsill::state_store {
namespace {

using ByKey = std::unordered_map<std::string_view, std::vector<const protocol::Change*>>;

bool holds(const ByKey& changes, const protocol::Write& write, Revision at) {
  auto it = changes.find(write.key);
  if (it == changes.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(),
                     [&](const auto* c) { return c->version == at && c->value == write.value; });
}

std::optional<Revision> revision_of(const protocol::Txn& txn, Revision known, const ByKey& changes) {
  if (txn.writes.empty()) return std::nullopt;
  auto first = changes.find(txn.writes.front().key);
  if (first == changes.end()) return std::nullopt;
  for (const auto* c : first->second) {
    if (c->version <= known) continue;
    bool all = std::all_of(txn.writes.begin(), txn.writes.end(),
                           [&](const auto& w) { return holds(changes, w, c->version); });
    if (all) return c->version;
  }
  return std::nullopt;
}

}  // namespace

std::uint64_t PendingTxns::add(protocol::Txn t, Done done) {
  open_[++last_] = {std::move(t), std::move(done), {}, {}};
  return last_;
}

void PendingTxns::sent(std::uint64_t id, Revision known, Instant now) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  it->second.known = known;
  it->second.sent = now;
}

PendingTxns::Done PendingTxns::take(std::uint64_t id) {
  auto it = open_.find(id);
  if (it == open_.end()) return {};
  auto done = std::move(it->second.done);
  open_.erase(it);
  return done;
}

std::optional<Instant> PendingTxns::oldest_sent() const {
  std::optional<Instant> oldest;
  for (const auto& [id, open] : open_)
    if (open.sent) oldest = std::min(oldest.value_or(*open.sent), *open.sent);
  return oldest;
}

std::vector<PendingTxns::Applied> PendingTxns::take_applied(const std::vector<protocol::Change>& changes) {
  std::vector<Applied> applied;
  if (open_.empty() || changes.empty()) return applied;
  ByKey by_key;
  for (const auto& c : changes) by_key[c.key].push_back(&c);
  for (auto it = open_.begin(); it != open_.end();) {
    auto& open = it->second;
    auto revision = open.sent ? revision_of(open.txn, open.known, by_key) : std::nullopt;
    if (!revision) {
      ++it;
      continue;
    }
    applied.push_back({std::move(open.done), *revision});
    it = open_.erase(it);
  }
  return applied;
}

}  // namespace beaconsill::state_store
