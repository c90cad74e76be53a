#include "state_store/pending_txns.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace beaconsill::state_store {
namespace {

using ChangesByKey = std::unordered_map<std::string_view, std::vector<const protocol::Change*>>;

bool contains_write(const ChangesByKey& changes, const protocol::Write& write, Revision revision) {
  auto it = changes.find(write.key);
  if (it == changes.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](const auto* change) {
    return change->revision == revision && change->value == write.value;
  });
}

// Returns the revision under which the changes contain all writes of the transaction, or std::nullopt if they
// don't contain all of them under one revision later than `known_revision`.
std::optional<Revision> applied_revision(const protocol::Txn& txn, Revision known_revision,
                                         const ChangesByKey& changes) {
  if (txn.writes.empty()) return std::nullopt;
  auto first = changes.find(txn.writes.front().key);
  if (first == changes.end()) return std::nullopt;
  for (const auto* change : first->second) {
    if (change->revision <= known_revision) continue;
    const bool all_found = std::all_of(txn.writes.begin(), txn.writes.end(), [&](const auto& write) {
      return contains_write(changes, write, change->revision);
    });
    if (all_found) return change->revision;
  }
  return std::nullopt;
}

}  // namespace

std::uint64_t PendingTxns::add(protocol::Txn txn, Done done) {
  pending_[++last_id_] = {std::move(txn), std::move(done), {}, {}};
  return last_id_;
}

void PendingTxns::mark_sent(std::uint64_t id, Revision known_revision, Instant now) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  it->second.known_revision = known_revision;
  it->second.sent = now;
}

PendingTxns::Done PendingTxns::take(std::uint64_t id) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return {};
  auto done = std::move(it->second.done);
  pending_.erase(it);
  return done;
}

std::optional<Instant> PendingTxns::oldest_sent() const {
  std::optional<Instant> oldest;
  for (const auto& [id, pending] : pending_)
    if (pending.sent) oldest = std::min(oldest.value_or(*pending.sent), *pending.sent);
  return oldest;
}

std::vector<PendingTxns::Applied> PendingTxns::take_applied(const std::vector<protocol::Change>& changes) {
  std::vector<Applied> applied;
  if (pending_.empty() || changes.empty()) return applied;
  ChangesByKey by_key;
  for (const auto& change : changes) by_key[change.key].push_back(&change);
  for (auto it = pending_.begin(); it != pending_.end();) {
    auto& pending = it->second;
    auto revision =
        pending.sent ? applied_revision(pending.txn, pending.known_revision, by_key) : std::nullopt;
    if (!revision) {
      ++it;
      continue;
    }
    applied.push_back({std::move(pending.done), *revision});
    it = pending_.erase(it);
  }
  return applied;
}

}  // namespace beaconsill::state_store
