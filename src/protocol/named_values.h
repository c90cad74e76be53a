// Enumerators and their names in a protocol.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace beaconsill::protocol {

// An enumerator and its name; a protocol has a table of them for each enumeration.
template <class Enum>
struct NamedValue {
  Enum value;
  const char* name;
};

// None: no enumerator has this name.
template <class Enum, std::size_t Size>
std::optional<Enum> find_value(const NamedValue<Enum> (&table)[Size], std::string_view name) {
  for (const auto& entry : table)
    if (name == entry.name) return entry.value;
  return std::nullopt;
}

// The table must hold all enumerators.
template <class Enum, std::size_t Size>
const char* find_name(const NamedValue<Enum> (&table)[Size], Enum value) {
  for (const auto& entry : table)
    if (value == entry.value) return entry.name;
  return table[0].name;
}

}  // namespace beaconsill::protocol
