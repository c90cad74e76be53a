#include "protocol/state_store.h"

#include <utility>

#include "protocol/field_names.h"

namespace beaconsill::protocol {
namespace {

Change parse_change(const Json& json) {
  Change change;
  if (find_field(json, field::kPut)) {
    change.key = get_string(json, field::kPut);
    change.value = required_field(json, field::kValue);
  } else {
    change.key = get_string(json, field::kDelete);
  }
  change.revision = Revision(get_count(json, field::kVersion));
  return change;
}

Json write_to_json(const Write& write) {
  if (!write.value) return {{field::kDelete, write.key}};
  Json json{{field::kPut, write.key}, {field::kValue, *write.value}};
  if (write.lease) json[field::kLease] = write.lease->value();
  return json;
}

}  // namespace

Item parse_item(const Json& json) {
  return {get_string(json, field::kKey), required_field(json, field::kValue),
          Revision(get_count(json, field::kVersion))};
}

Page parse_page(const Json& json) {
  Page page;
  for (const Json& item : get_list(json, field::kItems)) page.items.push_back(parse_item(item));
  page.more = get_bool_or(json, field::kMore, false);
  page.revision = parse_revision(json);
  return page;
}

Changes parse_changes(const Json& json) {
  Changes changes;
  if (find_field(json, field::kChanges))
    for (const Json& change : get_list(json, field::kChanges))
      changes.changes.push_back(parse_change(change));
  changes.revision = parse_revision(json);
  return changes;
}

Revision parse_revision(const Json& json) {
  return Revision(get_count(json, field::kRevision));
}

LeaseId parse_lease(const Json& json) {
  return LeaseId(get_count(json, field::kLease));
}

std::string render_txn(const Txn& txn) {
  Json conditions = Json::array();
  for (const auto& condition : txn.conditions)
    conditions.push_back({{field::kKey, condition.key}, {field::kVersion, condition.revision.value()}});
  Json writes = Json::array();
  for (const auto& write : txn.writes) writes.push_back(write_to_json(write));
  return dump(Json{{field::kConditions, std::move(conditions)}, {field::kWrites, std::move(writes)}});
}

std::string render_lease_request(std::uint32_t ttl_ms) {
  return dump(Json{{field::kTtlMs, ttl_ms}});
}

std::string page_target(std::string_view prefix, std::string_view after, std::uint32_t limit) {
  std::string target = "/store?under=" + std::string(prefix) + "&page=" + std::to_string(limit);
  if (!after.empty()) target += "&after=" + std::string(after);
  return target;
}

std::string watch_target(std::string_view prefix, Revision after, std::uint32_t wait_ms) {
  return "/watch?under=" + std::string(prefix) + "&after=" + std::to_string(after.value()) +
         "&holdMs=" + std::to_string(wait_ms);
}

std::string leases_target() {
  return "/holds";
}

std::string lease_target(LeaseId id) {
  return leases_target() + '/' + std::to_string(id.value());
}

}  // namespace beaconsill::protocol
