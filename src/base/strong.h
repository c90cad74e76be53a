// Strong typedefs, which prevent mixing up values that have the same representation.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace beaconsill {

// Wraps a value of type `Rep`. Values with different `Tag` types can't be assigned to or compared with each
// other, and a plain value is converted only explicitly.
template <class Tag, class Rep>
class Strong {
 public:
  using rep = Rep;
  constexpr Strong() = default;
  constexpr explicit Strong(Rep value) : value_(std::move(value)) {}
  constexpr const Rep& value() const { return value_; }
  auto operator<=>(const Strong&) const = default;

 private:
  Rep value_{};
};

}  // namespace beaconsill

template <class Tag, class Rep>
struct std::hash<beaconsill::Strong<Tag, Rep>> {
  std::size_t operator()(const beaconsill::Strong<Tag, Rep>& strong) const {
    return std::hash<Rep>()(strong.value());
  }
};
