// Maps enumerators to their names in a protocol and back.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace beaconsill::protocol {

// An enumerator and its name in a protocol. Each enumeration has a table of these entries.
template <class Enum>
struct NamedValue {
  Enum value;
  const char* name;
};

// Returns std::nullopt if no enumerator has this name.
template <class Enum, std::size_t Size>
std::optional<Enum> find_value(const NamedValue<Enum> (&table)[Size], std::string_view name) {
  for (const auto& entry : table)
    if (name == entry.name) return entry.value;
  return std::nullopt;
}

// Returns the name of the enumerator. The table must contain all enumerators.
template <class Enum, std::size_t Size>
const char* find_name(const NamedValue<Enum> (&table)[Size], Enum value) {
  for (const auto& entry : table)
    if (value == entry.value) return entry.name;
  return table[0].name;
}

}  // namespace beaconsill::protocol
