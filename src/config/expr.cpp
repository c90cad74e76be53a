#include "config/expr.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <vector>

#include "config/expr_scanner.h"

namespace beaconsill::config {
namespace {

// An expression that was parsed and checked for its type.
struct Expression {
  ExprType type = ExprType::kNumber;
  std::function<double()> evaluate;  // no errors but division by zero are left for it to find
};

constexpr int kMaxDepth = 64;

Expression constant(ExprType type, double value) {
  return {type, [value] { return value; }};
}

double truth(bool value) {
  return value ? 1.0 : 0.0;
}

struct Comparison {
  std::string_view symbol;
  bool (*holds)(double, double);
};

// Longer symbols before those that they begin with.
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

// A recursive-descent parser: a function for each level of precedence, the loosest first.
class Parser {
 public:
  Parser(std::string_view text, const ExprNames& names) : scanner_(text), names_(names) {}

  Expression parse() {
    auto expression = choice();
    if (!scanner_.at_end()) fail("something follows the expression");
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

  void enter() {
    if (++depth_ > kMaxDepth) fail("nested too deeply");
  }

  void leave() { --depth_; }

  // condition ? first : second
  Expression choice() {
    enter();
    auto condition = disjunction();
    if (accept("?")) {
      expect_type(condition, ExprType::kBool, "the condition before '?'");
      auto first = choice();
      expect(":");
      auto second = choice();
      if (first.type != second.type) fail("both sides of ':' must be of one type");
      condition = {first.type, [condition, first, second] {
                     return condition.evaluate() != 0 ? first.evaluate() : second.evaluate();
                   }};
    }
    leave();
    return condition;
  }

  Expression disjunction() {
    auto left = conjunction();
    while (accept("||")) {
      auto right = conjunction();
      expect_type(left, ExprType::kBool, "the left of '||'");
      expect_type(right, ExprType::kBool, "the right of '||'");
      left = {ExprType::kBool,
              [left, right] { return truth(left.evaluate() != 0 || right.evaluate() != 0); }};
    }
    return left;
  }

  Expression conjunction() {
    auto left = comparison();
    while (accept("&&")) {
      auto right = comparison();
      expect_type(left, ExprType::kBool, "the left of '&&'");
      expect_type(right, ExprType::kBool, "the right of '&&'");
      left = {ExprType::kBool,
              [left, right] { return truth(left.evaluate() != 0 && right.evaluate() != 0); }};
    }
    return left;
  }

  Expression comparison() {
    auto left = sum();
    for (const auto& [symbol, holds] : kComparisons) {
      if (!accept(symbol)) continue;
      auto right = sum();
      if (left.type != right.type) fail("'" + std::string(symbol) + "' compares values of one type");
      return {ExprType::kBool,
              [left, right, compare = holds] { return truth(compare(left.evaluate(), right.evaluate())); }};
    }
    return left;
  }

  Expression sum() {
    auto left = product();
    for (;;) {
      const bool plus = accept("+");
      if (!plus && !accept("-")) return left;
      auto right = product();
      if (left.type != right.type || left.type == ExprType::kBool)
        fail("'+' and '-' take two numbers or two durations");
      left = {left.type, [left, right, plus] {
                return plus ? left.evaluate() + right.evaluate() : left.evaluate() - right.evaluate();
              }};
    }
  }

  Expression product() {
    auto left = unary();
    for (;;) {
      const bool times = accept("*");
      if (!times && !accept("/")) return left;
      auto right = unary();
      if (left.type == ExprType::kBool || right.type == ExprType::kBool)
        fail("'*' and '/' take no truth values");
      left = times ? multiplied(left, right) : divided(left, right);
    }
  }

  Expression multiplied(const Expression& left, const Expression& right) const {
    const bool left_is_duration = left.type == ExprType::kDuration;
    const bool right_is_duration = right.type == ExprType::kDuration;
    if (left_is_duration && right_is_duration) fail("two durations can't be multiplied");
    return {left_is_duration || right_is_duration ? ExprType::kDuration : ExprType::kNumber,
            [left, right] { return left.evaluate() * right.evaluate(); }};
  }

  Expression divided(const Expression& left, const Expression& right) const {
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
    enter();
    Expression result;
    if (accept("!")) {
      auto operand = unary();
      expect_type(operand, ExprType::kBool, "the operand of '!'");
      result = {ExprType::kBool, [operand] { return truth(operand.evaluate() == 0); }};
    } else if (accept("-")) {
      auto operand = unary();
      if (operand.type == ExprType::kBool) fail("'-' takes no truth value");
      result = {operand.type, [operand] { return -operand.evaluate(); }};
    } else {
      result = primary();
    }
    leave();
    return result;
  }

  Expression primary() {
    if (accept("(")) {
      auto expression = choice();
      expect(")");
      return expression;
    }
    const char next = scanner_.peek();
    if (std::isdigit(static_cast<unsigned char>(next)) || next == '.') return literal();
    if (std::isalpha(static_cast<unsigned char>(next)) || next == '_') return name();
    fail("unexpected '" + std::string(1, next) + "'");
  }

  Expression literal() {
    const double value = scanner_.number();
    const auto unit = scanner_.identifier();
    if (unit.empty()) return constant(ExprType::kNumber, value);
    for (const auto& [unit_name, seconds] : kUnits)
      if (unit == unit_name) return constant(ExprType::kDuration, value * seconds);
    fail("unknown unit '" + unit + "' (ms, s, m, h)");
  }

  Expression name() {
    const auto identifier = scanner_.identifier();
    if (identifier == "true" || identifier == "false")
      return constant(ExprType::kBool, truth(identifier == "true"));
    if (accept("(")) return call(identifier);
    auto it = names_.find(identifier);
    if (it == names_.end()) fail("unknown name '" + identifier + "'");
    return constant(it->second.type, it->second.value);
  }

  std::vector<Expression> arguments() {
    std::vector<Expression> list;
    if (accept(")")) return list;
    do list.push_back(choice());
    while (accept(","));
    expect(")");
    return list;
  }

  Expression call(const std::string& function) {
    const auto list = arguments();
    for (const auto& argument : list)
      if (argument.type != list[0].type || argument.type == ExprType::kBool)
        fail(function + " takes numbers only, or durations only");
    if (function == "min" || function == "max") return extremum(function, list);
    if (function != "clamp") fail("unknown function '" + function + "'");
    if (list.size() != 3) fail("clamp takes three arguments");
    return {list[0].type, [list] {
              return std::max(list[1].evaluate(), std::min(list[0].evaluate(), list[2].evaluate()));
            }};
  }

  Expression extremum(const std::string& function, const std::vector<Expression>& list) const {
    if (list.empty()) fail(function + " needs an argument");
    const bool least = function == "min";
    return {list[0].type, [list, least] {
              double best = list[0].evaluate();
              for (const auto& argument : list)
                best = least ? std::min(best, argument.evaluate()) : std::max(best, argument.evaluate());
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
      return "truth value";
  }
  return "number";
}

ExprValue evaluate(std::string_view text, const ExprNames& names) {
  const auto expression = Parser(text, names).parse();
  const double value = expression.evaluate();
  if (!std::isfinite(value)) throw ExprError("the result is not finite");
  return {expression.type, value};
}

}  // namespace beaconsill::config
