// A set of task indexes that is stored as ranges. The state store contains its text form, such as "0-47,50".
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beaconsill {

// A set of numbers, stored as disjoint spans. A span is half-open: it includes `first` and excludes `end`.
class Ranges {
 public:
  // Maps the first number of each span to its end. The spans are in ascending order and neither overlap nor
  // touch.
  using Spans = std::map<std::uint32_t, std::uint32_t>;

  Ranges() = default;
  static Ranges span(std::uint32_t first, std::uint32_t end);
  // Parses the form that `str` returns, except that items may overlap and be in any order. Returns
  // std::nullopt if the text has another form.
  static std::optional<Ranges> parse(std::string_view text);
  // Returns the shortest text form, such as "0-47,50".
  std::string str() const;

  void add(std::uint32_t number) { add_span(number, number + 1); }
  void add_span(std::uint32_t first, std::uint32_t end);
  void remove(std::uint32_t number) { remove_span(number, number + 1); }
  void remove_span(std::uint32_t first, std::uint32_t end);
  void add(const Ranges& other);
  void remove(const Ranges& other);
  bool contains(std::uint32_t number) const;
  bool empty() const { return spans_.empty(); }
  // Returns the number of elements.
  std::uint32_t count() const;
  // Removes up to `count` of the lowest numbers from the set and returns them.
  Ranges take(std::uint32_t count);
  // Returns all numbers in ascending order.
  std::vector<std::uint32_t> items() const;
  const Spans& spans() const { return spans_; }
  bool operator==(const Ranges&) const = default;

 private:
  Spans spans_;
};

}  // namespace beaconsill
