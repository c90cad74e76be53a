#include "protocol/state_store.h"

namespace beaconsill::protocol {

Item parse_item(const Json& j) {
  return {get_string(j, "path"), need(j, "v"), Revision(get_count(j, "entry"))};
}

Page parse_page(const Json& j) {
  Page p;
  const Json& rows = need(j, "rows");
  if (!rows.is_array()) throw ProtocolError("rows is not a list");
  for (const Json& r : rows) p.items.push_back(parse_item(r));
  p.more = get_bool_or(j, "more", false);
  p.revision = Revision(get_count(j, "logline"));
  return p;
}

Changes parse_changes(const Json& j) {
  Changes c;
  if (const Json* news = find(j, "news")) {
    if (!news->is_array()) throw ProtocolError("news is not a list");
    for (const Json& n : *news) {
      Change ch;
      if (find(n, "set")) {
        ch.key = get_string(n, "set");
        ch.value = need(n, "v");
      } else {
        ch.key = get_string(n, "drop");
      }
      ch.version = Revision(get_count(n, "entry"));
      c.changes.push_back(std::move(ch));
    }
  }
  c.revision = Revision(get_count(j, "logline"));
  return c;
}

Revision parse_revision(const Json& j) {
  return Revision(get_count(j, "logline"));
}

LeaseId parse_lease(const Json& j) {
  return LeaseId(get_count(j, "moorage"));
}

std::string render_txn(const Txn& t) {
  Json when = Json::array();
  for (const auto& c : t.conditions) when.push_back({{"path", c.key}, {"entry", c.version.value()}});
  Json writes = Json::array();
  for (const auto& w : t.writes) {
    if (!w.value) {
      writes.push_back({{"drop", w.key}});
      continue;
    }
    Json e{{"set", w.key}, {"v", *w.value}};
    if (w.lease) e["moorage"] = w.lease->value();
    writes.push_back(std::move(e));
  }
  return dump(Json{{"when", std::move(when)}, {"writes", std::move(writes)}});
}

std::string render_lease(std::uint32_t ttl_ms) {
  return dump(Json{{"ttlMs", ttl_ms}});
}

std::string page_target(std::string_view prefix, std::string_view after, std::uint32_t limit) {
  std::string t = "/store?under=" + std::string(prefix) + "&page=" + std::to_string(limit);
  if (!after.empty()) t += "&after=" + std::string(after);
  return t;
}

std::string watch_target(std::string_view prefix, Revision after, std::uint32_t wait_ms) {
  return "/watch?under=" + std::string(prefix) + "&after=" + std::to_string(after.value()) +
         "&holdMs=" + std::to_string(wait_ms);
}

}  // namespace beaconsill::protocol
