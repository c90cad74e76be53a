// Resources of a task or a machine.
#pragma once

namespace beaconsill {

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  bool operator==(const Resources&) const = default;
};
inline Resources operator-(Resources left, const Resources& right) {
  return left -= right;
}
inline Resources operator+(Resources left, const Resources& right) {
  return left += right;
}
inline Resources operator*(Resources each, double count) {
  return {each.cpus * count, each.gpus * count, each.memory_gb * count};
}

}  // namespace beaconsill
