#include "config/expr_scanner.h"

#include <cctype>
#include <charconv>

#include "config/expr.h"

namespace beaconsill::config {
namespace {

bool is_identifier_character(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) || character == '_';
}

}  // namespace

void ExprScanner::fail(const std::string& reason) const {
  throw ExprError("column " + std::to_string(position_ + 1) + ": " + reason);
}

void ExprScanner::skip_whitespace() {
  while (position_ < text_.size() && std::isspace(static_cast<unsigned char>(text_[position_]))) ++position_;
}

bool ExprScanner::accept(std::string_view symbol) {
  skip_whitespace();
  if (!text_.substr(position_).starts_with(symbol)) return false;
  position_ += symbol.size();
  return true;
}

void ExprScanner::expect(std::string_view symbol) {
  if (!accept(symbol)) fail("expected '" + std::string(symbol) + "'");
}

bool ExprScanner::at_end() {
  skip_whitespace();
  return position_ >= text_.size();
}

char ExprScanner::peek() {
  if (at_end()) fail("unexpected end of the expression");
  return text_[position_];
}

std::string ExprScanner::identifier() {
  const auto first = position_;
  while (position_ < text_.size() && is_identifier_character(text_[position_])) ++position_;
  return std::string(text_.substr(first, position_ - first));
}

double ExprScanner::number() {
  double value = 0;
  const auto [parsed_to, error] =
      std::from_chars(text_.data() + position_, text_.data() + text_.size(), value, std::chars_format::fixed);
  if (error != std::errc()) fail("invalid number");
  position_ = static_cast<std::size_t>(parsed_to - text_.data());
  return value;
}

}  // namespace beaconsill::config
