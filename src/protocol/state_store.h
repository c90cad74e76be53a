// Messages of the state store's HTTP API. The state store is a key-value store with revisions, conditional
// transactions, leases, and a log of changes that clients watch.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

// A key with its value and the revision at which it was last written.
struct Item {
  std::string key;
  Json value;
  Revision revision;
};

// A change of a key. `value` is std::nullopt if the key was deleted.
struct Change {
  std::string key;
  std::optional<Json> value;
  Revision revision;
};

// One page of a list of keys, and the revision of the store at which the page was read.
struct Page {
  std::vector<Item> items;
  bool more = false;  // further pages follow
  Revision revision;
};

// All changes from the requested revision up to `revision`, in no particular order.
struct Changes {
  std::vector<Change> changes;
  Revision revision;
};

// A condition of a transaction: the key was last written at this revision.
struct Condition {
  std::string key;
  Revision revision;  // 0: the key does not exist
};

// One put or delete of a transaction.
struct Write {
  std::string key;
  std::optional<Json> value;     // std::nullopt: delete the key
  std::optional<LeaseId> lease;  // the key is deleted when this lease expires
};

// A transaction: all writes are applied atomically if all conditions are true, otherwise none of them.
struct Txn {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

// Parsers of the responses. They throw ProtocolError if a field is missing or invalid.
Item parse_item(const Json& json);
Page parse_page(const Json& json);
Changes parse_changes(const Json& json);
Revision parse_revision(const Json& json);
LeaseId parse_lease(const Json& json);

// Renders the body of a request to carry out the transaction.
std::string render_txn(const Txn& txn);
// Renders the body of a request for a lease that expires when it has not been renewed for `ttl_ms`
// milliseconds.
std::string render_lease_request(std::uint32_t ttl_ms);

// Returns the HTTP request target of a page of at most `limit` keys with this prefix: the page that follows
// the key `after`, or the first page if `after` is empty.
std::string page_target(std::string_view prefix, std::string_view after, std::uint32_t limit);
// Returns the HTTP request target of the changes of keys with this prefix since the revision `after`. Without
// changes, the state store delays its response until one occurs, for at most `wait_ms` milliseconds.
std::string watch_target(std::string_view prefix, Revision after, std::uint32_t wait_ms);
// Returns the HTTP request target at which leases are granted.
std::string leases_target();
// Returns the HTTP request target of an existing lease.
std::string lease_target(LeaseId id);

}  // namespace beaconsill::protocol
