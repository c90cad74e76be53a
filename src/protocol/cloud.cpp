#include "protocol/cloud.h"

#include <utility>

#include "protocol/field_names.h"

namespace beaconsill::protocol {
namespace {

constexpr char kBooting[] = "starting";
constexpr char kRunning[] = "running";

std::string parse_name(const Json& json, const char* field) {
  if (!json.is_string())
    throw field_error(field, std::string("must contain only strings, got ") + json.type_name());
  return json.get<std::string>();
}

MachineTypeInfo parse_type(const Json& json) {
  MachineTypeInfo type;
  type.name = MachineType(get_string(json, field::kTypeName));
  type.total = {get_amount(json, field::kCpus), get_amount(json, field::kGpus),
                get_amount(json, field::kMemoryGb)};
  type.cache_gb = get_amount(json, field::kCacheGb);
  type.fetch_gb_per_s = get_amount(json, field::kFetchGbPerS);
  type.price = get_amount(json, field::kPrice);
  type.spot_price = get_amount(json, field::kSpotPrice);
  type.boot_s = get_amount(json, field::kBootS);
  for (const Json& zone : get_list(json, field::kZones))
    type.zones.emplace_back(parse_name(zone, field::kZones));
  return type;
}

MachineState parse_state(const std::string& name) {
  if (name == kBooting) return MachineState::kBooting;
  return name == kRunning ? MachineState::kRunning : MachineState::kFailed;
}

ListedMachine parse_machine(const Json& json) {
  ListedMachine machine;
  machine.name = MachineName(get_string(json, field::kId));
  if (find_field(json, field::kAddress)) machine.address = get_string(json, field::kAddress);
  machine.type = MachineType(get_string(json, field::kMachineType));
  machine.zone = Zone(get_string(json, field::kZone));
  machine.spot = get_bool(json, field::kSpot);
  machine.state = parse_state(get_string(json, field::kState));
  machine.age_s = get_amount(json, field::kAgeS);
  return machine;
}

}  // namespace

Catalogue parse_catalogue(const Json& json) {
  Catalogue catalogue;
  for (const Json& entry : get_list(json, field::kMachineTypes)) {
    auto type = parse_type(entry);
    catalogue[type.name] = std::move(type);
  }
  return catalogue;
}

MachinePage parse_machine_page(const Json& json) {
  MachinePage page;
  for (const Json& machine : get_list(json, field::kMachines))
    page.machines.push_back(parse_machine(machine));
  page.more = get_bool_or(json, field::kMore, false);
  return page;
}

std::vector<MachineName> parse_rented_machines(const Json& json) {
  std::vector<MachineName> names;
  for (const Json& name : get_list(json, field::kMachines))
    names.emplace_back(parse_name(name, field::kMachines));
  return names;
}

std::string render_rent_request(const RentRequest& request) {
  return dump(Json{{field::kRequestId, request.request},
                   {field::kMachineType, request.type.value()},
                   {field::kZone, request.zone.value()},
                   {field::kSpot, request.spot},
                   {field::kCount, request.count}});
}

std::string render_delete_request(const std::vector<MachineName>& names) {
  Json list = Json::array();
  for (const auto& name : names) list.push_back(name.value());
  return dump(Json{{field::kMachines, std::move(list)}});
}

std::string machine_page_target(const std::optional<MachineName>& after) {
  std::string target = "/machines?page=" + std::to_string(kMachinesPerPage);
  if (after) target += "&after=" + after->value();
  return target;
}

}  // namespace beaconsill::protocol
