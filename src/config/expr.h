// A small typed expression language: numbers, durations and truth values.
//
//   literals     2  0.25  2s  250ms  5m  true  false
//   operators    || && == != < <= > >= + - * / ! -x  c ? a : b  ( )
//   functions    min(a, b, ...)  max(a, b, ...)  clamp(x, low, high)
//   names        those that the caller declares
//
// Every expression is checked for its type before it is evaluated: a duration and a number can be multiplied
// but not added, two durations divide to a number.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

namespace beaconsill::config {

enum class ExprType { kNumber, kDuration, kBool };
const char* type_name(ExprType type);

struct ExprValue {
  ExprType type = ExprType::kNumber;
  double value = 0;  // durations in seconds, truth as 0 or 1
};

// Its text gives the column and the reason.
class ExprError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using ExprNames = std::map<std::string, ExprValue, std::less<>>;

// Parses, checks and evaluates. Throws ExprError.
ExprValue evaluate(std::string_view text, const ExprNames& names);

}  // namespace beaconsill::config
