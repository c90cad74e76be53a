// A set of task numbers, kept as ranges: "0-47,50" in the state store.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beaconsill {

// A span holds the numbers from its first up to, not including, its end.
class Ranges {
 public:
  // The first number of each span -> its end; ascending, with a gap between any two.
  using Spans = std::map<std::uint32_t, std::uint32_t>;

  Ranges() = default;
  static Ranges span(std::uint32_t first, std::uint32_t end);
  // None: not in the form that `str` gives. Items may overlap and come in any order.
  static std::optional<Ranges> parse(std::string_view text);
  std::string str() const;

  void add(std::uint32_t number) { add_span(number, number + 1); }
  void add_span(std::uint32_t first, std::uint32_t end);
  void remove(std::uint32_t number) { remove_span(number, number + 1); }
  void remove_span(std::uint32_t first, std::uint32_t end);
  void add(const Ranges& other);
  void remove(const Ranges& other);
  bool contains(std::uint32_t number) const;
  bool empty() const { return spans_.empty(); }
  // How many numbers are in the set.
  std::uint32_t count() const;
  // Takes up to `count` of the lowest numbers out of the set.
  Ranges take(std::uint32_t count);
  std::vector<std::uint32_t> items() const;
  const Spans& spans() const { return spans_; }
  bool operator==(const Ranges&) const = default;

 private:
  Spans spans_;
};

}  // namespace beaconsill
