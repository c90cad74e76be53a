// Strict parsing of decimal numbers, for example in names, keys and addresses.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace beaconsill {

// Parses the whole text as a decimal number. Returns std::nullopt if the text is not a number or the number
// is out of the type's range.
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_to != end) return std::nullopt;
  return number;
}

}  // namespace beaconsill
