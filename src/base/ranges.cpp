#include "base/ranges.h"

#include <algorithm>

#include "base/parse_number.h"

namespace beaconsill {
namespace {

struct Span {
  std::uint32_t first;
  std::uint32_t end;
};

// Parses "5" or "3-5". Returns std::nullopt if the text has another form.
std::optional<Span> parse_span(std::string_view text) {
  auto dash = text.find('-');
  auto first = parse_number<std::uint32_t>(text.substr(0, dash));
  auto last = dash == std::string_view::npos ? first : parse_number<std::uint32_t>(text.substr(dash + 1));
  if (!first || !last || *last < *first || *last == UINT32_MAX) return std::nullopt;
  return Span{*first, *last + 1};
}

}  // namespace

Ranges Ranges::span(std::uint32_t first, std::uint32_t end) {
  Ranges ranges;
  ranges.add_span(first, end);
  return ranges;
}

std::optional<Ranges> Ranges::parse(std::string_view text) {
  Ranges ranges;
  while (!text.empty()) {
    auto comma = text.find(',');
    auto span = parse_span(text.substr(0, comma));
    if (!span) return std::nullopt;
    ranges.add_span(span->first, span->end);
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return ranges;
}

std::string Ranges::str() const {
  std::string text;
  for (auto [first, end] : spans_) {
    if (!text.empty()) text += ',';
    text += std::to_string(first);
    if (end - first > 1) text += '-' + std::to_string(end - 1);
  }
  return text;
}

void Ranges::add_span(std::uint32_t first, std::uint32_t end) {
  if (first >= end) return;
  auto it = spans_.upper_bound(first);
  if (it != spans_.begin() && std::prev(it)->second >= first) --it;
  while (it != spans_.end() && it->first <= end) {
    first = std::min(first, it->first);
    end = std::max(end, it->second);
    it = spans_.erase(it);
  }
  spans_[first] = end;
}

void Ranges::remove_span(std::uint32_t first, std::uint32_t end) {
  if (first >= end) return;
  auto it = spans_.upper_bound(first);
  if (it != spans_.begin()) --it;
  while (it != spans_.end() && it->first < end) {
    auto [span_first, span_end] = *it;
    if (span_end <= first) {
      ++it;
      continue;
    }
    it = spans_.erase(it);
    if (span_first < first) spans_[span_first] = first;
    if (span_end > end) spans_[end] = span_end;
  }
}

void Ranges::add(const Ranges& other) {
  for (auto [first, end] : other.spans_) add_span(first, end);
}

void Ranges::remove(const Ranges& other) {
  for (auto [first, end] : other.spans_) remove_span(first, end);
}

bool Ranges::contains(std::uint32_t number) const {
  auto it = spans_.upper_bound(number);
  return it != spans_.begin() && std::prev(it)->second > number;
}

std::uint32_t Ranges::count() const {
  std::uint32_t count = 0;
  for (auto [first, end] : spans_) count += end - first;
  return count;
}

Ranges Ranges::take(std::uint32_t count) {
  Ranges taken;
  while (count > 0 && !spans_.empty()) {
    auto [first, end] = *spans_.begin();
    std::uint32_t taken_from_span = std::min(count, end - first);
    taken.add_span(first, first + taken_from_span);
    remove_span(first, first + taken_from_span);
    count -= taken_from_span;
  }
  return taken;
}

std::vector<std::uint32_t> Ranges::items() const {
  std::vector<std::uint32_t> numbers;
  for (auto [first, end] : spans_)
    for (auto number = first; number < end; ++number) numbers.push_back(number);
  return numbers;
}

}  // namespace beaconsill
