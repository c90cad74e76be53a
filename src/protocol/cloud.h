// Messages of the cloud provider's HTTP API: the catalogue of machine types, the list of machines, and
// requests to rent and to delete machines.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

// A machine type that the cloud offers.
struct MachineTypeInfo {
  MachineType name;
  Resources total;
  double cache_gb = 0;        // disk space for images, in GB
  double fetch_gb_per_s = 0;  // download rate of images, in GB per second
  double price = 0;           // per hour
  double spot_price = 0;      // per hour, for a spot machine
  double boot_s = 0;          // seconds from the rental until the machine is ready
  std::vector<Zone> zones;    // zones that offer this type
};
// All machine types that the cloud offers.
using Catalogue = std::map<MachineType, MachineTypeInfo>;

// The state of a machine as reported by the cloud. kFailed also represents states that this version does not
// know.
enum class MachineState { kBooting, kRunning, kFailed };

// A machine in the list of machines that the cloud returns.
struct ListedMachine {
  MachineName name;
  std::string address;  // "HOST:PORT"; empty until the cloud has assigned one
  MachineType type;
  Zone zone;
  bool spot = false;
  MachineState state = MachineState::kBooting;
  double age_s = 0;  // seconds since the machine was rented
};

// One page of the list of machines.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // further pages follow
};

// A request to rent machines of one type in a zone.
struct RentRequest {
  std::string request;  // unique id of the request, which makes repeating it idempotent
  MachineType type;
  Zone zone;
  bool spot = false;
  std::uint32_t count = 0;
};

// The maximum numbers of machines in one request to rent and in one request to delete machines.
constexpr std::uint32_t kMaxRentedPerRequest = 50;
constexpr std::size_t kMaxDeletedPerRequest = 100;
// The number of machines that is requested per page of the list.
constexpr std::uint32_t kMachinesPerPage = 500;

// Parsers of the responses. They throw ProtocolError if a field is missing or invalid.
Catalogue parse_catalogue(const Json& json);
MachinePage parse_machine_page(const Json& json);
std::vector<MachineName> parse_rented_machines(const Json& json);

// Render the bodies of requests to rent and to delete machines.
std::string render_rent_request(const RentRequest& request);
std::string render_delete_request(const std::vector<MachineName>& names);
// Returns the HTTP request target of the page of machines that follows the machine `after`, or of the first
// page if `after` is std::nullopt.
std::string machine_page_target(const std::optional<MachineName>& after);

}  // namespace beaconsill::protocol
