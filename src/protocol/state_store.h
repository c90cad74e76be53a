// The protocol of the state store: a key-value store with revisions, transactions on conditions, leases, and
// a log of changes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

// A key with its value and the revision that wrote it.
struct Item {
  std::string key;
  Json value;
  Revision revision;
};

// A change of a key; no value: the key was deleted.
struct Change {
  std::string key;
  std::optional<Json> value;
  Revision revision;
};

// A page of keys, and the revision of the store when it was read.
struct Page {
  std::vector<Item> items;
  bool more = false;  // pages follow
  Revision revision;
};

// All changes up to a revision, in no particular order.
struct Changes {
  std::vector<Change> changes;
  Revision revision;
};

// A key has this version.
struct Condition {
  std::string key;
  Revision revision;  // 0: the key doesn't exist
};

// A put or a delete.
struct Write {
  std::string key;
  std::optional<Json> value;     // none: delete
  std::optional<LeaseId> lease;  // the key disappears when this lease expires
};

// Writes that are carried out together if all conditions hold.
struct Txn {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

// These throw ProtocolError.
Item parse_item(const Json& json);
Page parse_page(const Json& json);
Changes parse_changes(const Json& json);
Revision parse_revision(const Json& json);
LeaseId parse_lease(const Json& json);

// The body of a request to carry out the transaction.
std::string render_txn(const Txn& txn);
// A lease that expires after so many milliseconds without a renewal.
std::string render_lease(std::uint32_t ttl_ms);

// Where the page of keys with this prefix after a key is, of at most `limit` keys. No `after`: the first
// page.
std::string page_target(std::string_view prefix, std::string_view after, std::uint32_t limit);
// Where the changes of keys with this prefix after a revision are. If there are none the service waits for
// them, for at most `wait_ms`.
std::string watch_target(std::string_view prefix, Revision after, std::uint32_t wait_ms);
// Where leases are granted.
std::string leases_target();
// A lease.
std::string lease_target(LeaseId id);

}  // namespace beaconsill::protocol
