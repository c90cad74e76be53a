#include "protocol/json.h"

#include <cmath>

namespace beaconsill::protocol {
namespace {

constexpr double kMaxAmount = 1e9;

ProtocolError type_error(const char* field, const char* expected_type, const Json& value) {
  const std::string actual = value.is_number() ? value.dump() : value.type_name();
  return field_error(field, std::string("must be ") + expected_type + ", got " + actual);
}

}  // namespace

ProtocolError field_error(const char* field, std::string_view problem) {
  ProtocolError error(std::string(field) + ' ' + std::string(problem));
  return error;
}

Json parse_json(std::string_view text) {
  Json json = Json::parse(text.begin(), text.end(), nullptr, false);
  if (json.is_discarded())
    throw ProtocolError("the message of " + std::to_string(text.size()) + " bytes is not valid JSON");
  return json;
}

Json parse_object(std::string_view text) {
  Json json = parse_json(text);
  if (!json.is_object())
    throw ProtocolError(std::string("the message must be a JSON object, got ") + json.type_name());
  return json;
}

const Json* find_field(const Json& json, const char* field) {
  if (!json.is_object())
    throw ProtocolError(std::string("expected a JSON object with the field ") + field + ", got " +
                        json.type_name());
  auto it = json.find(field);
  return it == json.end() || it->is_null() ? nullptr : &*it;
}

const Json& required_field(const Json& json, const char* field) {
  if (const Json* value = find_field(json, field)) return *value;
  throw ProtocolError(std::string("missing field ") + field);
}

std::string get_string(const Json& json, const char* field, std::size_t max_bytes) {
  const Json& value = required_field(json, field);
  if (!value.is_string()) throw type_error(field, "a string", value);
  const auto& text = value.get_ref<const std::string&>();
  if (text.empty() || text.size() > max_bytes)
    throw field_error(
        field, "must have 1 to " + std::to_string(max_bytes) + " bytes, got " + std::to_string(text.size()));
  return text;
}

bool get_bool(const Json& json, const char* field) {
  const Json& value = required_field(json, field);
  if (!value.is_boolean()) throw type_error(field, "a boolean", value);
  return value.get<bool>();
}

bool get_bool_or(const Json& json, const char* field, bool default_value) {
  return find_field(json, field) ? get_bool(json, field) : default_value;
}

std::uint64_t get_count(const Json& json, const char* field) {
  const Json& value = required_field(json, field);
  if (!value.is_number_unsigned()) throw type_error(field, "a non-negative integer below 2^64", value);
  return value.get<std::uint64_t>();
}

double get_amount(const Json& json, const char* field) {
  const Json& value = required_field(json, field);
  if (!value.is_number()) throw type_error(field, "a number", value);
  const auto amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount)
    throw field_error(field, "must be a number from 0 to 1e9, got " + value.dump());
  return amount;
}

const Json& get_list(const Json& json, const char* field) {
  const Json& list = required_field(json, field);
  if (!list.is_array()) throw type_error(field, "an array", list);
  return list;
}

std::string dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace beaconsill::protocol
