#include "state_store/machine_registry.h"

#include <algorithm>
#include <set>

#include "state_store/sizes.h"
#include "state_store/txn_draft.h"

namespace beaconsill::state_store {
namespace {

std::size_t empty_bytes() {
  static const std::size_t kBytes = value_bytes(to_json(std::vector<MachineRecord>{}));
  return kBytes;
}

// Text that JSON writes as it is, between quotes.
bool plain(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
}

// Bytes that a machine takes up in a value, with its comma. Writing JSON to find out is slow, and thousands
// are reckoned with for each change: what isn't text is the same for all, at most.
std::size_t record_bytes(const MachineRecord& m) {
  static const std::size_t kFixed = value_bytes(to_json(std::vector{MachineRecord{
                                        MachineName("n"), MachineType("t"), Zone("z"), false, "a", true}})) -
                                    empty_bytes() - 4 + 1;
  const auto &name = m.name.value(), &type = m.type.value(), &zone = m.zone.value();
  if (!plain(name) || !plain(type) || !plain(zone) || !plain(m.address))
    return value_bytes(to_json(std::vector{m})) - empty_bytes() + 1;
  return kFixed + name.size() + type.size() + zone.size() + m.address.size();
}

// A piece of a bucket while it's being planned.
struct Piece {
  std::vector<MachineRecord> machines;
  std::size_t bytes = 0;
  bool outgrown = false;  // some of its recorded machines have to move to another piece
};

class BucketPlan {
 public:
  BucketPlan(const BucketPieces& recorded, const std::vector<MachineRecord>& wanted, std::size_t max_bytes,
             std::uint32_t max_pieces)
      : recorded_(recorded), wanted_(wanted), max_bytes_(max_bytes), max_pieces_(max_pieces) {
    for (const auto& m : wanted_) by_name_[m.name] = &m;
    for (const auto& [k, machines] : recorded_) keep(k, machines);
    for (const auto* m : moving_)
      if (!placed_.contains(m->name) && !place(*m)) stuck_.insert(m->name);
    for (const auto& m : wanted_)
      if (!placed_.contains(m.name) && !stuck_.contains(m.name)) place(m);
  }

  std::vector<std::pair<std::uint32_t, std::vector<MachineRecord>>> changes() {
    std::vector<std::pair<std::uint32_t, std::vector<MachineRecord>>> out;
    for (bool outgrown : {false, true})
      for (auto& [k, piece] : pieces_) {
        if (piece.outgrown != outgrown) continue;
        auto before = recorded_.find(k);
        bool changed = before == recorded_.end() ? !piece.machines.empty() : before->second != piece.machines;
        if (changed && !holds_stuck(k)) out.emplace_back(k, std::move(piece.machines));
      }
    return out;
  }

 private:
  Piece& piece(std::uint32_t k) {
    return pieces_.try_emplace(k, Piece{{}, empty_bytes(), false}).first->second;
  }
  void add(Piece& p, const MachineRecord& m, std::size_t bytes) {
    p.machines.push_back(m);
    p.bytes += bytes;
    placed_.insert(m.name);
  }
  // The recorded machines that are still wanted stay, as far as they fit.
  void keep(std::uint32_t k, const std::vector<MachineRecord>& machines) {
    auto& p = piece(k);
    for (const auto& recorded : machines) {
      auto m = by_name_.find(recorded.name);
      if (m == by_name_.end() || placed_.contains(recorded.name)) continue;
      auto bytes = record_bytes(*m->second);
      if (p.bytes + bytes <= max_bytes_) {
        add(p, *m->second, bytes);
      } else {
        p.outgrown = true;
        moving_.push_back(m->second);
      }
    }
  }
  bool place(const MachineRecord& m) {
    auto bytes = record_bytes(m);
    for (auto& [k, p] : pieces_) {
      if (p.outgrown || p.bytes + bytes > max_bytes_) continue;
      add(p, m, bytes);
      return true;
    }
    for (std::uint32_t k = 0; k < max_pieces_; ++k) {
      if (pieces_.contains(k)) continue;
      if (auto& fresh = piece(k); fresh.bytes + bytes <= max_bytes_) {
        add(fresh, m, bytes);
        return true;
      }
      return false;
    }
    return false;
  }
  bool holds_stuck(std::uint32_t k) const {
    auto it = recorded_.find(k);
    return !stuck_.empty() && it != recorded_.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [&](const auto& m) { return stuck_.contains(m.name); });
  }

  const BucketPieces& recorded_;
  const std::vector<MachineRecord>& wanted_;
  std::size_t max_bytes_;
  std::uint32_t max_pieces_;
  std::map<MachineName, const MachineRecord*> by_name_;
  std::map<std::uint32_t, Piece> pieces_;
  std::vector<const MachineRecord*> moving_;
  std::set<MachineName> placed_;
  std::set<MachineName> stuck_;  // recorded in a piece that has outgrown its value, and in no other
};

}  // namespace

std::vector<std::pair<std::uint32_t, std::vector<MachineRecord>>> plan_bucket(
    const BucketPieces& recorded, const std::vector<MachineRecord>& wanted, std::size_t max_bytes,
    std::uint32_t max_pieces) {
  return BucketPlan(recorded, wanted, max_bytes, max_pieces).changes();
}

namespace {

BucketPieces recorded_pieces(const StateView& view, ShardId shard, std::uint32_t bucket) {
  BucketPieces pieces;
  for (const auto& [key, machines] : view.registry(shard))
    if (key % kMachineBuckets == bucket) pieces[key / kMachineBuckets] = machines.value;
  return pieces;
}

// The highest version that all controllers know.
std::uint32_t known_version(const StateView& view, const std::vector<ControllerName>& controllers) {
  auto version = kFormatVersion;
  while (version > 0 && !view.all_support(version, controllers)) --version;
  return version;
}

// The lowest version that reads all keys that hold machines now.
std::uint32_t readable_since(const StateView::Registry& registry) {
  std::uint32_t since = 0;
  for (const auto& [key, machines] : registry)
    if (!machines.value.empty()) since = std::max(since, registry_key_since(key));
  return since;
}

protocol::Txn raise_role(ShardId shard, const Versioned<Role>& role, std::uint32_t since) {
  auto raised = role.value;
  raised.readable_since = since;
  return {{{shard_role_key(shard), role.version}}, {{shard_role_key(shard), to_json(raised), std::nullopt}}};
}

}  // namespace

std::vector<MachineRecord> registered_machines(const StateView& view, ShardId shard) {
  std::vector<MachineRecord> all;
  for (const auto& [key, machines] : view.registry(shard))
    all.insert(all.end(), machines.value.begin(), machines.value.end());
  return all;
}

std::optional<protocol::Txn> registry_txn(const StateView& view, ShardId shard,
                                          const MachinesByBucket& wanted,
                                          const std::vector<ControllerName>& controllers,
                                          const RegistryLimits& limits) {
  const auto& role = view.shard_role(shard);
  const auto max_pieces = readable_pieces(known_version(view, controllers));
  auto since = readable_since(view.registry(shard));
  TxnDraft draft(limits.txn_ops);
  draft.require({shard_role_key(shard), role.version});
  bool full = false;
  for (auto bucket = wanted.begin(); bucket != wanted.end() && !full; ++bucket) {
    auto planned = plan_bucket(recorded_pieces(view, shard, bucket->first), bucket->second,
                               limits.value_bytes, max_pieces);
    for (const auto& [piece, machines] : planned) {
      auto number = bucket->first + piece * kMachineBuckets;
      auto key = machines_key(shard, number);
      full =
          !draft.add({{key, view.machines(shard, number).version}}, {{key, to_json(machines), std::nullopt}});
      if (full) break;
      since = std::max(since, registry_key_since(number));
    }
  }
  if (since > role.value.readable_since) return raise_role(shard, role, since);
  if (draft.empty()) return std::nullopt;
  return draft.txn();
}

}  // namespace beaconsill::state_store
