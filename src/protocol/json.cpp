#include "protocol/json.h"

#include <cmath>

namespace beaconsill::protocol {
namespace {

constexpr double kMaxAmount = 1e9;

}  // namespace

ProtocolError field_error(const char* field, std::string_view problem) {
  ProtocolError error(std::string(field) + ' ' + std::string(problem));
  return error;
}

Json parse_json(std::string_view text) {
  Json json = Json::parse(text.begin(), text.end(), nullptr, false);
  if (json.is_discarded()) throw ProtocolError("not JSON");
  return json;
}

Json parse_object(std::string_view text) {
  Json json = parse_json(text);
  if (!json.is_object()) throw ProtocolError("not an object");
  return json;
}

const Json* find(const Json& json, const char* field) {
  if (!json.is_object()) throw ProtocolError("not an object");
  auto it = json.find(field);
  return it == json.end() || it->is_null() ? nullptr : &*it;
}

const Json& need(const Json& json, const char* field) {
  if (const Json* value = find(json, field)) return *value;
  throw ProtocolError(std::string("missing field ") + field);
}

std::string get_string(const Json& json, const char* field, std::size_t max_bytes) {
  const Json& value = need(json, field);
  if (!value.is_string()) throw field_error(field, "is not a string");
  const auto& text = value.get_ref<const std::string&>();
  if (text.empty() || text.size() > max_bytes) throw field_error(field, "has a bad length");
  return text;
}

bool get_bool(const Json& json, const char* field) {
  const Json& value = need(json, field);
  if (!value.is_boolean()) throw field_error(field, "is not a boolean");
  return value.get<bool>();
}

bool get_bool_or(const Json& json, const char* field, bool otherwise) {
  return find(json, field) ? get_bool(json, field) : otherwise;
}

std::uint64_t get_count(const Json& json, const char* field) {
  const Json& value = need(json, field);
  if (!value.is_number_unsigned()) throw field_error(field, "is not a non-negative integer");
  return value.get<std::uint64_t>();
}

double get_amount(const Json& json, const char* field) {
  const Json& value = need(json, field);
  if (!value.is_number()) throw field_error(field, "is not a number");
  const auto amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount)
    throw field_error(field, "is out of range");
  return amount;
}

const Json& get_list(const Json& json, const char* field) {
  const Json& list = need(json, field);
  if (!list.is_array()) throw field_error(field, "is not a list");
  return list;
}

std::string dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace beaconsill::protocol
