// The resources that a task requires or a machine has, with element-wise arithmetic.
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
inline Resources operator*(Resources resources, double factor) {
  return {resources.cpus * factor, resources.gpus * factor, resources.memory_gb * factor};
}

}  // namespace beaconsill
