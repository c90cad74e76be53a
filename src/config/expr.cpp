#include "config/expr.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <vector>

#include "config/expr_scanner.h"

namespace beaconsill::config {
namespace {

// A parsed expression whose types have been checked.
struct Expression {
  ExprType type = ExprType::kNumber;
  std::function<double()> evaluate;  // the only error that it can still report is a division by zero
};

// Bounds the recursion of the parser.
constexpr int kMaxDepth = 64;

Expression constant(ExprType type, double value) {
  return {type, [value] { return value; }};
}

double bool_to_number(bool value) {
  return value ? 1.0 : 0.0;
}

struct Comparison {
  std::string_view symbol;
  bool (*compare)(double, double);
};

// A symbol that is a prefix of another one ("<" of "<=") must come after it, because the first match is used.
constexpr Comparison kComparisons[] = {{"==", [](double left, double right) { return left == right; }},
                                       {"!=", [](double left, double right) { return left != right; }},
                                       {"<=", [](double left, double right) { return left <= right; }},
                                       {">=", [](double left, double right) { return left >= right; }},
                                       {"<", [](double left, double right) { return left < right; }},
                                       {">", [](double left, double right) { return left > right; }}};

struct Unit {
  std::string_view name;
  double seconds;
};

constexpr Unit kUnits[] = {{"ms", 0.001}, {"s", 1}, {"m", 60}, {"h", 3600}};

// A recursive-descent parser with one function for each level of operator precedence, in the order from the
// lowest to the highest precedence.
class Parser {
 public:
  Parser(std::string_view text, const ExprNames& names) : scanner_(text), names_(names) {}

  Expression parse() {
    auto expression = conditional();
    if (!scanner_.at_end()) fail("unexpected text after the expression");
    return expression;
  }

 private:
  [[noreturn]] void fail(const std::string& reason) const { scanner_.fail(reason); }
  bool accept(std::string_view symbol) { return scanner_.accept(symbol); }
  void expect(std::string_view symbol) { scanner_.expect(symbol); }

  void expect_type(const Expression& expression, ExprType type, std::string_view what) const {
    if (expression.type == type) return;
    fail(std::string(what) + " must be a " + type_name(type) + ", not a " + type_name(expression.type));
  }

  void enter_level() {
    if (++depth_ > kMaxDepth) fail("nested more than " + std::to_string(kMaxDepth) + " levels deep");
  }

  void leave_level() { --depth_; }

  // Parses `condition ? first : second`, or an expression of a higher precedence.
  Expression conditional() {
    enter_level();
    auto condition = disjunction();
    if (accept("?")) {
      expect_type(condition, ExprType::kBool, "the condition before '?'");
      auto first = conditional();
      expect(":");
      auto second = conditional();
      if (first.type != second.type)
        fail(std::string("both sides of ':' must have the same type, not ") + type_name(first.type) +
             " and " + type_name(second.type));
      condition = {first.type, [condition, first, second] {
                     return condition.evaluate() != 0 ? first.evaluate() : second.evaluate();
                   }};
    }
    leave_level();
    return condition;
  }

  Expression disjunction() {
    auto left = conjunction();
    while (accept("||")) {
      auto right = conjunction();
      expect_type(left, ExprType::kBool, "the left operand of '||'");
      expect_type(right, ExprType::kBool, "the right operand of '||'");
      left = {ExprType::kBool,
              [left, right] { return bool_to_number(left.evaluate() != 0 || right.evaluate() != 0); }};
    }
    return left;
  }

  Expression conjunction() {
    auto left = comparison();
    while (accept("&&")) {
      auto right = comparison();
      expect_type(left, ExprType::kBool, "the left operand of '&&'");
      expect_type(right, ExprType::kBool, "the right operand of '&&'");
      left = {ExprType::kBool,
              [left, right] { return bool_to_number(left.evaluate() != 0 && right.evaluate() != 0); }};
    }
    return left;
  }

  Expression comparison() {
    auto left = sum();
    for (const auto& [symbol, compare] : kComparisons) {
      if (!accept(symbol)) continue;
      auto right = sum();
      if (left.type != right.type) fail("'" + std::string(symbol) + "' requires operands of the same type");
      return {ExprType::kBool, [left, right, compare = compare] {
                return bool_to_number(compare(left.evaluate(), right.evaluate()));
              }};
    }
    return left;
  }

  Expression sum() {
    auto left = product();
    for (;;) {
      const bool is_addition = accept("+");
      if (!is_addition && !accept("-")) return left;
      auto right = product();
      if (left.type != right.type || left.type == ExprType::kBool)
        fail("'+' and '-' require two numbers or two durations");
      left = {left.type, [left, right, is_addition] {
                return is_addition ? left.evaluate() + right.evaluate() : left.evaluate() - right.evaluate();
              }};
    }
  }

  Expression product() {
    auto left = unary();
    for (;;) {
      const bool is_multiplication = accept("*");
      if (!is_multiplication && !accept("/")) return left;
      auto right = unary();
      if (left.type == ExprType::kBool || right.type == ExprType::kBool)
        fail("'*' and '/' can't be applied to booleans");
      left = is_multiplication ? multiply(left, right) : divide(left, right);
    }
  }

  Expression multiply(const Expression& left, const Expression& right) const {
    const bool left_is_duration = left.type == ExprType::kDuration;
    const bool right_is_duration = right.type == ExprType::kDuration;
    if (left_is_duration && right_is_duration) fail("two durations can't be multiplied");
    return {left_is_duration || right_is_duration ? ExprType::kDuration : ExprType::kNumber,
            [left, right] { return left.evaluate() * right.evaluate(); }};
  }

  Expression divide(const Expression& left, const Expression& right) const {
    const bool left_is_duration = left.type == ExprType::kDuration;
    const bool right_is_duration = right.type == ExprType::kDuration;
    if (right_is_duration && !left_is_duration) fail("a number can't be divided by a duration");
    return {left_is_duration && !right_is_duration ? ExprType::kDuration : ExprType::kNumber, [left, right] {
              const double divisor = right.evaluate();
              if (divisor == 0) throw ExprError("division by zero");
              return left.evaluate() / divisor;
            }};
  }

  Expression unary() {
    enter_level();
    Expression result;
    if (accept("!")) {
      auto operand = unary();
      expect_type(operand, ExprType::kBool, "the operand of '!'");
      result = {ExprType::kBool, [operand] { return bool_to_number(operand.evaluate() == 0); }};
    } else if (accept("-")) {
      auto operand = unary();
      if (operand.type == ExprType::kBool) fail("'-' can't be applied to a boolean");
      result = {operand.type, [operand] { return -operand.evaluate(); }};
    } else {
      result = primary();
    }
    leave_level();
    return result;
  }

  Expression primary() {
    if (accept("(")) {
      auto expression = conditional();
      expect(")");
      return expression;
    }
    const char next = scanner_.peek();
    if (std::isdigit(static_cast<unsigned char>(next)) || next == '.') return literal();
    if (std::isalpha(static_cast<unsigned char>(next)) || next == '_') return name();
    fail("unexpected character '" + std::string(1, next) + "'");
  }

  Expression literal() {
    const double value = scanner_.number();
    const auto unit = scanner_.identifier();
    if (unit.empty()) return constant(ExprType::kNumber, value);
    for (const auto& [unit_name, seconds] : kUnits)
      if (unit == unit_name) return constant(ExprType::kDuration, value * seconds);
    fail("unknown unit '" + unit + "', expected ms, s, m or h");
  }

  Expression name() {
    const auto identifier = scanner_.identifier();
    if (identifier == "true" || identifier == "false")
      return constant(ExprType::kBool, bool_to_number(identifier == "true"));
    if (accept("(")) return call(identifier);
    auto it = names_.find(identifier);
    if (it == names_.end()) fail("unknown name '" + identifier + "'");
    return constant(it->second.type, it->second.value);
  }

  std::vector<Expression> arguments() {
    std::vector<Expression> list;
    if (accept(")")) return list;
    do list.push_back(conditional());
    while (accept(","));
    expect(")");
    return list;
  }

  Expression call(const std::string& function) {
    const auto list = arguments();
    for (const auto& argument : list)
      if (argument.type != list[0].type || argument.type == ExprType::kBool)
        fail(function + " requires arguments that are all numbers or all durations");
    if (function == "min" || function == "max") return extremum(function, list);
    if (function != "clamp") fail("unknown function '" + function + "'");
    if (list.size() != 3) fail("clamp requires 3 arguments, not " + std::to_string(list.size()));
    return {list[0].type, [list] {
              return std::max(list[1].evaluate(), std::min(list[0].evaluate(), list[2].evaluate()));
            }};
  }

  Expression extremum(const std::string& function, const std::vector<Expression>& list) const {
    if (list.empty()) fail(function + " requires at least one argument");
    const bool is_min = function == "min";
    return {list[0].type, [list, is_min] {
              double best = list[0].evaluate();
              for (const auto& argument : list)
                best = is_min ? std::min(best, argument.evaluate()) : std::max(best, argument.evaluate());
              return best;
            }};
  }

  ExprScanner scanner_;
  const ExprNames& names_;
  int depth_ = 0;
};

}  // namespace

const char* type_name(ExprType type) {
  switch (type) {
    case ExprType::kNumber:
      return "number";
    case ExprType::kDuration:
      return "duration";
    case ExprType::kBool:
      return "boolean";
  }
  return "number";
}

ExprValue evaluate(std::string_view text, const ExprNames& names) {
  const auto expression = Parser(text, names).parse();
  const double value = expression.evaluate();
  if (!std::isfinite(value)) throw ExprError("the result is not a finite number");
  return {expression.type, value};
}

}  // namespace beaconsill::config
