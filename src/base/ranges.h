// A set of task numbers, kept as ranges: "0-47,50" in the state store.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beaconsill {

class Ranges {
 public:
  Ranges() = default;
  // The numbers from `first` up to, not including, `end`.
  static Ranges span(std::uint32_t first, std::uint32_t end);
  static std::optional<Ranges> parse(std::string_view text);
  std::string str() const;

  void add(std::uint32_t n) { add_span(n, n + 1); }
  void add_span(std::uint32_t first, std::uint32_t end);
  void remove(std::uint32_t n) { remove_span(n, n + 1); }
  void remove_span(std::uint32_t first, std::uint32_t end);
  void add(const Ranges& o);
  void remove(const Ranges& o);
  bool contains(std::uint32_t n) const;
  bool empty() const { return spans_.empty(); }
  std::uint32_t count() const;
  // Takes up to `n` of the lowest numbers out of the set.
  Ranges take(std::uint32_t n);
  std::vector<std::uint32_t> items() const;
  const std::map<std::uint32_t, std::uint32_t>& spans() const { return spans_; }
  bool operator==(const Ranges&) const = default;

 private:
  std::map<std::uint32_t, std::uint32_t> spans_;  // first -> end
};

}  // namespace beaconsill
