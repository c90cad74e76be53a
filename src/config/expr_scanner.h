// Reads an expression's text from left to right, one symbol, name or number at a time.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace beaconsill::config {

// The text has to outlive it. Space between symbols is skipped.
class ExprScanner {
 public:
  explicit ExprScanner(std::string_view text) : text_(text) {}

  // Throws an ExprError that gives the present column.
  [[noreturn]] void fail(const std::string& reason) const;
  // Skips the symbol if it's next.
  bool accept(std::string_view symbol);
  // Skips the symbol, which has to be next.
  void expect(std::string_view symbol);
  bool at_end();
  // The next character, which isn't skipped. Fails at the end of the text.
  char peek();
  // The longest run of letters, digits and underscores that begins right here; may be empty.
  std::string identifier();
  // A decimal number without a sign. Fails if none begins right here.
  double number();

 private:
  void skip_space();

  std::string_view text_;
  std::size_t position_ = 0;
};

}  // namespace beaconsill::config
