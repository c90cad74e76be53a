// What the cloud's API says.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

struct TypeInfo {
  MachineType name;
  Resources total;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  double boot_s = 0;
  std::vector<Zone> zones;
};
using Catalogue = std::map<MachineType, TypeInfo>;

enum class MachineState { kBooting, kRunning, kFailed };
struct ListedMachine {
  MachineName name;
  std::string address;
  MachineType type;
  Zone zone;
  bool spot = false;
  MachineState state = MachineState::kBooting;
  double age_s = 0;
};
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};

struct RentRequest {
  std::string request;
  MachineType type;
  Zone zone;
  bool spot = false;
  std::uint32_t count = 0;
};

constexpr std::uint32_t kMaxRent = 50;
constexpr std::size_t kMaxDelete = 100;
constexpr std::uint32_t kMachinePage = 500;

// These throw ProtocolError.
Catalogue parse_catalogue(const Json& j);
MachinePage parse_machine_page(const Json& j);
std::vector<MachineName> parse_rented(const Json& j);
std::string render_rent(const RentRequest& r);
std::string render_delete(const std::vector<MachineName>& names);
std::string machine_page_target(const std::optional<MachineName>& after);

}  // namespace beaconsill::protocol
