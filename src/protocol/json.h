// Checked access to JSON: every getter throws ProtocolError naming the field, never a library exception.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace beaconsill::protocol {

// Any JSON value.
using Json = nlohmann::json;

// A message that doesn't keep to the protocol. The text may be shown to users.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An error of one field: "FIELD PROBLEM".
ProtocolError field_error(const char* field, std::string_view problem);

// Throw ProtocolError for what isn't JSON, or isn't an object.
Json parse_json(std::string_view text);
Json parse_object(std::string_view text);

// The field of an object; null if it's missing. A field that is null counts as missing.
const Json* find(const Json& json, const char* field);
// The field of an object, which has to be there.
const Json& need(const Json& json, const char* field);
// A string that isn't empty and has at most `max_bytes`.
std::string get_string(const Json& json, const char* field, std::size_t max_bytes = 200);
// True or false.
bool get_bool(const Json& json, const char* field);
// The same; `otherwise` if the field is missing.
bool get_bool_or(const Json& json, const char* field, bool otherwise);
// A non-negative integer.
std::uint64_t get_count(const Json& json, const char* field);
// A finite number from 0 to 1e9.
double get_amount(const Json& json, const char* field);
// An array.
const Json& get_list(const Json& json, const char* field);

// Output that never throws, whatever bytes a string holds.
std::string dump(const Json& json);

}  // namespace beaconsill::protocol
