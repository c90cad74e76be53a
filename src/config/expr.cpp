#include "config/expr.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <functional>

namespace beaconsill::config {
namespace {

struct Controller {
  ExprType type;
  std::function<double()> eval;  // no errors but division by zero are left for it to find
};

constexpr int kMaxDepth = 64;

class Parser {
 public:
  Parser(std::string_view text, const ExprNames& names) : text_(text), names_(names) {}

  Controller parse() {
    Controller n = choice();
    space();
    if (at_ != text_.size()) fail("something follows the expression");
    return n;
  }

 private:
  [[noreturn]] void fail(const std::string& reason) const {
    throw ExprError("column " + std::to_string(at_ + 1) + ": " + reason);
  }
  void space() {
    while (at_ < text_.size() && std::isspace(static_cast<unsigned char>(text_[at_]))) ++at_;
  }
  bool eat(std::string_view op) {
    space();
    if (!text_.substr(at_).starts_with(op)) return false;
    at_ += op.size();
    return true;
  }
  void need(std::string_view op) {
    if (!eat(op)) fail("expected '" + std::string(op) + "'");
  }
  void need_type(const Controller& n, ExprType t, std::string_view what) const {
    if (n.type != t) fail(std::string(what) + " must be a " + type_name(t) + ", not a " + type_name(n.type));
  }

  // c ? a : b
  Controller choice() {
    if (++depth_ > kMaxDepth) fail("nested too deeply");
    Controller c = disjunction();
    if (eat("?")) {
      need_type(c, ExprType::kBool, "the condition before '?'");
      Controller a = choice();
      need(":");
      Controller b = choice();
      if (a.type != b.type) fail("both sides of ':' must be of one type");
      c = {a.type, [c, a, b] { return c.eval() != 0 ? a.eval() : b.eval(); }};
    }
    --depth_;
    return c;
  }
  Controller disjunction() {
    Controller l = conjunction();
    while (eat("||")) {
      Controller r = conjunction();
      need_type(l, ExprType::kBool, "the left of '||'");
      need_type(r, ExprType::kBool, "the right of '||'");
      l = {ExprType::kBool, [l, r] { return l.eval() != 0 || r.eval() != 0 ? 1.0 : 0.0; }};
    }
    return l;
  }
  Controller conjunction() {
    Controller l = comparison();
    while (eat("&&")) {
      Controller r = comparison();
      need_type(l, ExprType::kBool, "the left of '&&'");
      need_type(r, ExprType::kBool, "the right of '&&'");
      l = {ExprType::kBool, [l, r] { return l.eval() != 0 && r.eval() != 0 ? 1.0 : 0.0; }};
    }
    return l;
  }
  Controller comparison() {
    Controller l = sum();
    static const std::vector<std::pair<std::string, std::function<bool(double, double)>>> kOps{
        {"==", std::equal_to<>()},      {"!=", std::not_equal_to<>()}, {"<=", std::less_equal<>()},
        {">=", std::greater_equal<>()}, {"<", std::less<>()},          {">", std::greater<>()}};
    for (const auto& [op, holds] : kOps) {
      if (!eat(op)) continue;
      Controller r = sum();
      if (l.type != r.type) fail("'" + op + "' compares values of one type");
      return {ExprType::kBool, [l, r, &compare = holds] { return compare(l.eval(), r.eval()) ? 1.0 : 0.0; }};
    }
    return l;
  }
  Controller sum() {
    Controller l = product();
    for (;;) {
      bool plus = eat("+");
      if (!plus && !eat("-")) return l;
      Controller r = product();
      if (l.type != r.type || l.type == ExprType::kBool)
        fail("'+' and '-' take two numbers or two durations");
      l = {l.type, [l, r, plus] { return plus ? l.eval() + r.eval() : l.eval() - r.eval(); }};
    }
  }
  Controller product() {
    Controller l = unary();
    for (;;) {
      bool times = eat("*");
      if (!times && !eat("/")) return l;
      Controller r = unary();
      if (l.type == ExprType::kBool || r.type == ExprType::kBool) fail("'*' and '/' take no truth values");
      bool ld = l.type == ExprType::kDuration, rd = r.type == ExprType::kDuration;
      if (times) {
        if (ld && rd) fail("two durations can't be multiplied");
        l = {ld || rd ? ExprType::kDuration : ExprType::kNumber, [l, r] { return l.eval() * r.eval(); }};
      } else {
        if (rd && !ld) fail("a number can't be divided by a duration");
        l = {ld && !rd ? ExprType::kDuration : ExprType::kNumber, [l, r] {
               double d = r.eval();
               if (d == 0) throw ExprError("division by zero");
               return l.eval() / d;
             }};
      }
    }
  }
  Controller unary() {
    if (++depth_ > kMaxDepth) fail("nested too deeply");
    Controller n;
    if (eat("!")) {
      Controller x = unary();
      need_type(x, ExprType::kBool, "the operand of '!'");
      n = {ExprType::kBool, [x] { return x.eval() != 0 ? 0.0 : 1.0; }};
    } else if (eat("-")) {
      Controller x = unary();
      if (x.type == ExprType::kBool) fail("'-' takes no truth value");
      n = {x.type, [x] { return -x.eval(); }};
    } else {
      n = primary();
    }
    --depth_;
    return n;
  }
  Controller primary() {
    if (eat("(")) {
      Controller n = choice();
      need(")");
      return n;
    }
    space();
    if (at_ >= text_.size()) fail("the expression ends too early");
    char c = text_[at_];
    if (std::isdigit(static_cast<unsigned char>(c)) || c == '.') return literal();
    if (std::isalpha(static_cast<unsigned char>(c)) || c == '_') return name();
    fail("unexpected '" + std::string(1, c) + "'");
  }
  std::string word() {
    std::size_t b = at_;
    while (at_ < text_.size() && (std::isalnum(static_cast<unsigned char>(text_[at_])) || text_[at_] == '_'))
      ++at_;
    return std::string(text_.substr(b, at_ - b));
  }
  Controller literal() {
    double d = 0;
    auto [p, ec] =
        std::from_chars(text_.data() + at_, text_.data() + text_.size(), d, std::chars_format::fixed);
    if (ec != std::errc()) fail("not a number");
    at_ = static_cast<std::size_t>(p - text_.data());
    std::string unit = word();
    static const std::map<std::string, double> kUnits{{"ms", 0.001}, {"s", 1}, {"m", 60}, {"h", 3600}};
    if (unit.empty()) return {ExprType::kNumber, [d] { return d; }};
    auto u = kUnits.find(unit);
    if (u == kUnits.end()) fail("unknown unit '" + unit + "' (ms, s, m, h)");
    return {ExprType::kDuration, [v = d * u->second] { return v; }};
  }
  Controller name() {
    std::string w = word();
    if (w == "true" || w == "false") return {ExprType::kBool, [v = w == "true" ? 1.0 : 0.0] { return v; }};
    if (eat("(")) return call(w);
    auto it = names_.find(w);
    if (it == names_.end()) fail("unknown name '" + w + "'");
    return {it->second.type, [v = it->second.value] { return v; }};
  }
  Controller call(const std::string& f) {
    std::vector<Controller> args;
    if (!eat(")")) {
      do args.push_back(choice());
      while (eat(","));
      need(")");
    }
    for (const auto& a : args)
      if (a.type != args[0].type || a.type == ExprType::kBool)
        fail(f + " takes numbers only, or durations only");
    if (f == "min" || f == "max") {
      if (args.empty()) fail(f + " needs an argument");
      bool least = f == "min";
      return {args[0].type, [args, least] {
                double best = args[0].eval();
                for (const auto& a : args) best = least ? std::min(best, a.eval()) : std::max(best, a.eval());
                return best;
              }};
    }
    if (f == "clamp") {
      if (args.size() != 3) fail("clamp takes three arguments");
      return {args[0].type,
              [args] { return std::max(args[1].eval(), std::min(args[0].eval(), args[2].eval())); }};
    }
    fail("unknown function '" + f + "'");
  }

  std::string_view text_;
  const ExprNames& names_;
  std::size_t at_ = 0;
  int depth_ = 0;
};

}  // namespace

const char* type_name(ExprType t) {
  switch (t) {
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
  Controller n = Parser(text, names).parse();
  double v = n.eval();
  if (!std::isfinite(v)) throw ExprError("the result is not finite");
  return {n.type, v};
}

}  // namespace beaconsill::config
