// Validated access to the JSON messages of all protocols. Every getter reports invalid input as a
// ProtocolError that names the field; exceptions of the JSON library don't leave this file.
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

// Thrown for a message that violates its protocol. The text may be returned to users and written to the log
// unescaped, so it must not quote strings from the message.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the error for an invalid field, with the text "FIELD PROBLEM".
ProtocolError field_error(const char* field, std::string_view problem);

// Parses a JSON text. Throws ProtocolError if the text is not valid JSON.
Json parse_json(std::string_view text);
// Parses a JSON object. Throws ProtocolError if the text is not valid JSON or its value is not an object.
Json parse_object(std::string_view text);

// Returns the field of an object, or nullptr if the field is missing or its value is null.
const Json* find_field(const Json& json, const char* field);
// Returns the field of an object. Throws ProtocolError if the field is missing or its value is null.
const Json& required_field(const Json& json, const char* field);
// Returns a string field, which must have 1 to `max_bytes` bytes.
std::string get_string(const Json& json, const char* field, std::size_t max_bytes = 200);
// Returns a boolean field.
bool get_bool(const Json& json, const char* field);
// Returns a boolean field, or `default_value` if the field is missing.
bool get_bool_or(const Json& json, const char* field, bool default_value);
// Returns a field that must be a non-negative integer.
std::uint64_t get_count(const Json& json, const char* field);
// Returns a field that must be a number from 0 to 1e9.
double get_amount(const Json& json, const char* field);
// Returns a field that must be an array.
const Json& get_list(const Json& json, const char* field);

// Serializes without throwing: bytes of strings that are not valid UTF-8 are replaced by U+FFFD.
std::string dump(const Json& json);

}  // namespace beaconsill::protocol
