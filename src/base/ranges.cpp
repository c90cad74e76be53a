#include "base/ranges.h"

#include <algorithm>
#include <charconv>

namespace beaconsill {

Ranges Ranges::span(std::uint32_t first, std::uint32_t end) {
  Ranges r;
  r.add_span(first, end);
  return r;
}

std::optional<Ranges> Ranges::parse(std::string_view text) {
  Ranges r;
  while (!text.empty()) {
    auto comma = text.find(',');
    std::string_view item = text.substr(0, comma);
    std::uint32_t a = 0, b = 0;
    auto [p, ec] = std::from_chars(item.data(), item.data() + item.size(), a);
    if (ec != std::errc()) return std::nullopt;
    const char* end = item.data() + item.size();
    if (p == end) {
      b = a;
    } else {
      if (*p != '-') return std::nullopt;
      auto [q, ec2] = std::from_chars(p + 1, end, b);
      if (ec2 != std::errc() || q != end || b < a) return std::nullopt;
    }
    if (b == UINT32_MAX) return std::nullopt;
    r.add_span(a, b + 1);
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return r;
}

std::string Ranges::str() const {
  std::string s;
  for (auto [a, e] : spans_) {
    if (!s.empty()) s += ',';
    s += std::to_string(a);
    if (e - a > 1) s += '-' + std::to_string(e - 1);
  }
  return s;
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
    auto [a, e] = *it;
    if (e <= first) {
      ++it;
      continue;
    }
    it = spans_.erase(it);
    if (a < first) spans_[a] = first;
    if (e > end) spans_[end] = e;
  }
}

void Ranges::add(const Ranges& o) {
  for (auto [a, e] : o.spans_) add_span(a, e);
}

void Ranges::remove(const Ranges& o) {
  for (auto [a, e] : o.spans_) remove_span(a, e);
}

bool Ranges::contains(std::uint32_t n) const {
  auto it = spans_.upper_bound(n);
  return it != spans_.begin() && std::prev(it)->second > n;
}

std::uint32_t Ranges::count() const {
  std::uint32_t n = 0;
  for (auto [a, e] : spans_) n += e - a;
  return n;
}

Ranges Ranges::take(std::uint32_t n) {
  Ranges out;
  while (n > 0 && !spans_.empty()) {
    auto [a, e] = *spans_.begin();
    std::uint32_t k = std::min(n, e - a);
    out.add_span(a, a + k);
    remove_span(a, a + k);
    n -= k;
  }
  return out;
}

std::vector<std::uint32_t> Ranges::items() const {
  std::vector<std::uint32_t> v;
  for (auto [a, e] : spans_)
    for (auto i = a; i < e; ++i) v.push_back(i);
  return v;
}

}  // namespace beaconsill
