// The protocol of the cloud: machine types, and machines that are rented and deleted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

// A machine type.
struct TypeInfo {
  MachineType name;
  Resources total;
  double cache_gb = 0;        // disk for images
  double fetch_gb_per_s = 0;  // of images
  double price = 0;           // an hour
  double spot_price = 0;      // an hour
  double boot_s = 0;
  std::vector<Zone> zones;  // that have it
};
// All machine types that the cloud rents.
using Catalogue = std::map<MachineType, TypeInfo>;

// The state of a machine as the cloud sees it.
enum class MachineState { kBooting, kRunning, kFailed };

// A machine as the cloud lists it.
struct ListedMachine {
  MachineName name;
  std::string address;  // empty while it has none
  MachineType type;
  Zone zone;
  bool spot = false;
  MachineState state = MachineState::kBooting;
  double age_s = 0;  // since it was rented
};

// A page of the list of machines.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // pages follow
};

// Machines of one type to be rented in a zone.
struct RentRequest {
  std::string request;  // makes the request idempotent
  MachineType type;
  Zone zone;
  bool spot = false;
  std::uint32_t count = 0;
};

// Machines in a request to rent or to delete, and in a page of the list, at most.
constexpr std::uint32_t kMaxRent = 50;
constexpr std::size_t kMaxDelete = 100;
constexpr std::uint32_t kMachinePage = 500;

// These throw ProtocolError.
Catalogue parse_catalogue(const Json& json);
MachinePage parse_machine_page(const Json& json);
std::vector<MachineName> parse_rented(const Json& json);

// The bodies of requests to rent and to delete.
std::string render_rent(const RentRequest& request);
std::string render_delete(const std::vector<MachineName>& names);
// Where the page of machines after this one is; none: the first page.
std::string machine_page_target(const std::optional<MachineName>& after);

}  // namespace beaconsill::protocol
