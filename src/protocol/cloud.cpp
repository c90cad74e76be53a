#include "protocol/cloud.h"

namespace beaconsill::protocol {

Catalogue parse_catalogue(const Json& j) {
  Catalogue c;
  const Json& list = need(j, "hulls");
  if (!list.is_array()) throw ProtocolError("hulls is not a list");
  for (const Json& e : list) {
    TypeInfo t;
    t.name = MachineType(get_string(e, "sku"));
    t.total = {get_amount(e, "vcpus"), get_amount(e, "cards"), get_amount(e, "memoryGb")};
    t.cache_gb = get_amount(e, "localGb");
    t.fetch_gb_per_s = get_amount(e, "pullGbPerS");
    t.price = get_amount(e, "hourly");
    t.spot_price = get_amount(e, "lowPrice");
    t.boot_s = get_amount(e, "readyS");
    const Json& zones = need(e, "harbours");
    if (!zones.is_array()) throw ProtocolError("harbours is not a list");
    for (const Json& z : zones) {
      if (!z.is_string()) throw ProtocolError("harbours holds something other than a name");
      t.zones.emplace_back(z.get<std::string>());
    }
    c[t.name] = std::move(t);
  }
  return c;
}

MachinePage parse_machine_page(const Json& j) {
  MachinePage p;
  const Json& list = need(j, "beacons");
  if (!list.is_array()) throw ProtocolError("beacons is not a list");
  for (const Json& e : list) {
    ListedMachine m;
    m.name = MachineName(get_string(e, "ref"));
    if (find(e, "address")) m.address = get_string(e, "address");
    m.type = MachineType(get_string(e, "hull"));
    m.zone = Zone(get_string(e, "harbour"));
    m.spot = get_bool(e, "driftwood");
    auto state = get_string(e, "bearing");
    m.state = state == "starting"  ? MachineState::kBooting
              : state == "running" ? MachineState::kRunning
                                   : MachineState::kFailed;
    m.age_s = get_amount(e, "heldS");
    p.machines.push_back(std::move(m));
  }
  p.more = get_bool_or(j, "more", false);
  return p;
}

std::vector<MachineName> parse_rented(const Json& j) {
  std::vector<MachineName> names;
  const Json& list = need(j, "beacons");
  if (!list.is_array()) throw ProtocolError("beacons is not a list");
  for (const Json& e : list) {
    if (!e.is_string()) throw ProtocolError("beacons holds something other than a name");
    names.emplace_back(e.get<std::string>());
  }
  return names;
}

std::string render_rent(const RentRequest& r) {
  return dump(Json{{"charter", r.request},
                   {"hull", r.type.value()},
                   {"harbour", r.zone.value()},
                   {"driftwood", r.spot},
                   {"count", r.count}});
}

std::string render_delete(const std::vector<MachineName>& names) {
  Json list = Json::array();
  for (const auto& n : names) list.push_back(n.value());
  return dump(Json{{"beacons", std::move(list)}});
}

std::string machine_page_target(const std::optional<MachineName>& after) {
  std::string t = "/machines?page=" + std::to_string(kMachinePage);
  if (after) t += "&after=" + after->value();
  return t;
}

}  // namespace beaconsill::protocol
