// What the state store's API says.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

struct Item {
  std::string key;
  Json value;
  Revision version;
};
// A change of a key; no value: the key was deleted.
struct Change {
  std::string key;
  std::optional<Json> value;
  Revision version;
};
struct Page {
  std::vector<Item> items;
  bool more = false;
  Revision revision;
};
struct Changes {
  std::vector<Change> changes;
  Revision revision;
};

struct Condition {
  std::string key;
  Revision version;  // 0: the key doesn't exist
};
struct Write {
  std::string key;
  std::optional<Json> value;  // none: delete
  std::optional<LeaseId> lease;
};
struct Txn {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

// These throw ProtocolError.
Item parse_item(const Json& j);
Page parse_page(const Json& j);
Changes parse_changes(const Json& j);
Revision parse_revision(const Json& j);
LeaseId parse_lease(const Json& j);
std::string render_txn(const Txn& t);
std::string render_lease(std::uint32_t ttl_ms);
std::string page_target(std::string_view prefix, std::string_view after, std::uint32_t limit);
std::string watch_target(std::string_view prefix, Revision after, std::uint32_t wait_ms);
// Where leases are granted, and one lease.
inline std::string leases_target() {
  return "/holds";
}
inline std::string lease_target(LeaseId id) {
  return leases_target() + "/" + std::to_string(id.value());
}

}  // namespace beaconsill::protocol
