// Evaluates the small typed expression language of the policy file: numbers, durations and booleans.
//
//   literals     2  0.25  2s  250ms  5m  true  false
//   operators    || && == != < <= > >= + - * / ! -x  c ? a : b  ( )
//   functions    min(a, b, ...)  max(a, b, ...)  clamp(x, low, high)
//   names        the constants that the caller passes in
//
// The types of an expression are checked before it is evaluated. For example, a duration and a number can be
// multiplied but not added, and dividing a duration by a duration gives a number.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

namespace beaconsill::config {

enum class ExprType { kNumber, kDuration, kBool };
// Returns the name of the type for error messages and listings.
const char* type_name(ExprType type);

struct ExprValue {
  ExprType type = ExprType::kNumber;
  double value = 0;  // durations are in seconds; booleans are 0 or 1
};

// The expression is invalid. For syntax and type errors, the text begins with the column.
class ExprError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The named constants that an expression can use.
using ExprNames = std::map<std::string, ExprValue, std::less<>>;

// Parses `text`, checks its types and returns its value. Throws ExprError.
ExprValue evaluate(std::string_view text, const ExprNames& names);

}  // namespace beaconsill::config
