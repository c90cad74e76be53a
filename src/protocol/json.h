// Checked access to JSON: every getter throws ProtocolError naming the field, never a library exception.
#pragma once

#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace beaconsill::protocol {

using Json = nlohmann::json;

class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline Json parse_json(std::string_view text) {
  Json j = Json::parse(text.begin(), text.end(), nullptr, false);
  if (j.is_discarded()) throw ProtocolError("not JSON");
  return j;
}

inline Json parse_object(std::string_view text) {
  Json j = parse_json(text);
  if (!j.is_object()) throw ProtocolError("not an object");
  return j;
}

// A field that is null counts as missing.
inline const Json* find(const Json& j, const char* name) {
  if (!j.is_object()) throw ProtocolError("not an object");
  auto it = j.find(name);
  return it == j.end() || it->is_null() ? nullptr : &*it;
}

inline const Json& need(const Json& j, const char* name) {
  if (const Json* f = find(j, name)) return *f;
  throw ProtocolError(std::string("missing field ") + name);
}

inline std::string get_string(const Json& j, const char* name, std::size_t max = 200) {
  const Json& f = need(j, name);
  if (!f.is_string()) throw ProtocolError(std::string(name) + " is not a string");
  const auto& s = f.get_ref<const std::string&>();
  if (s.empty() || s.size() > max) throw ProtocolError(std::string(name) + " has a bad length");
  return s;
}

inline bool get_bool(const Json& j, const char* name) {
  const Json& f = need(j, name);
  if (!f.is_boolean()) throw ProtocolError(std::string(name) + " is not a boolean");
  return f.get<bool>();
}

inline bool get_bool_or(const Json& j, const char* name, bool otherwise) {
  return find(j, name) ? get_bool(j, name) : otherwise;
}

inline std::uint64_t get_count(const Json& j, const char* name) {
  const Json& f = need(j, name);
  if (!f.is_number_unsigned()) throw ProtocolError(std::string(name) + " is not a non-negative integer");
  return f.get<std::uint64_t>();
}

inline double get_amount(const Json& j, const char* name) {
  const Json& f = need(j, name);
  if (!f.is_number()) throw ProtocolError(std::string(name) + " is not a number");
  double d = f.get<double>();
  if (!std::isfinite(d) || d < 0 || d > 1e9) throw ProtocolError(std::string(name) + " is out of range");
  return d;
}

// Output that never throws, whatever bytes a string holds.
inline std::string dump(const Json& j) {
  return j.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace beaconsill::protocol
