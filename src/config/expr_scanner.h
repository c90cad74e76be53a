// Scanner (lexer) for expressions: reads the text from left to right, one symbol, name or number at a time.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace beaconsill::config {

// The text must outlive the scanner. `accept`, `expect`, `at_end` and `peek` skip leading whitespace.
class ExprScanner {
 public:
  explicit ExprScanner(std::string_view text) : text_(text) {}

  // Throws an ExprError whose text gives the current column (counted from 1) and the reason.
  [[noreturn]] void fail(const std::string& reason) const;
  // Consumes the symbol and returns true if it comes next; otherwise returns false.
  bool accept(std::string_view symbol);
  // Consumes the symbol. Fails if it does not come next.
  void expect(std::string_view symbol);
  bool at_end();
  // Returns the next character without consuming it. Fails at the end of the text.
  char peek();
  // Consumes and returns the longest sequence of letters, digits and underscores at the current position,
  // which may be empty. Doesn't skip whitespace.
  std::string identifier();
  // Consumes and returns a decimal number without a sign or an exponent. Fails if there is none at the
  // current position. Doesn't skip whitespace.
  double number();

 private:
  void skip_whitespace();

  std::string_view text_;
  std::size_t position_ = 0;
};

}  // namespace beaconsill::config
