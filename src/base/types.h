// Identifiers, versions and times as small types of their own, so that one can't be taken for another.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace beaconsill {

template <class Tag, class Rep>
class Strong {
 public:
  using rep = Rep;
  constexpr Strong() = default;
  constexpr explicit Strong(Rep v) : v_(std::move(v)) {}
  constexpr const Rep& value() const { return v_; }
  auto operator<=>(const Strong&) const = default;

 private:
  Rep v_{};
};

using JobId = Strong<struct JobIdTag, std::string>;
using ControllerName = Strong<struct ControllerNameTag, std::string>;
using MachineName = Strong<struct MachineNameTag, std::string>;
using Zone = Strong<struct ZoneTag, std::string>;
using Team = Strong<struct TeamTag, std::string>;
using ImageName = Strong<struct ImageTag, std::string>;
using MachineType = Strong<struct MachineTypeTag, std::string>;
using ShardId = Strong<struct ShardTag, std::uint32_t>;
using Attempt = Strong<struct AttemptTag, std::uint64_t>;
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
using Sequence = Strong<struct SequenceTag, std::uint64_t>;
using Term = Strong<struct TermTag, std::uint64_t>;
using Revision = Strong<struct RevisionTag, std::uint64_t>;
using Generation = Strong<struct GenerationTag, std::uint64_t>;
using LeaseId = Strong<struct LeaseTag, std::uint64_t>;

// What entitles a controller to command a worker: the shard's term, and below it a fence that the owner can
// raise for one worker without a state write.
class FencingToken {
 public:
  static constexpr unsigned kFenceBits = 20;
  constexpr FencingToken() = default;
  constexpr explicit FencingToken(std::uint64_t v) : v_(v) {}
  static constexpr FencingToken first_of(Term t) { return FencingToken(t.value() << kFenceBits); }
  constexpr std::uint64_t value() const { return v_; }
  constexpr Term term() const { return Term(v_ >> kFenceBits); }
  constexpr FencingToken raised() const { return FencingToken(v_ + 1); }
  auto operator<=>(const FencingToken&) const = default;

 private:
  std::uint64_t v_ = 0;
};

struct TaskId {
  JobId job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};

using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using WallMs = Strong<struct WallTag, std::int64_t>;

constexpr Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}
constexpr double to_seconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

// The two clocks, behind an interface so that tests can move time by hand.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant now() const = 0;
  virtual WallMs wall() const = 0;
};

class SystemClock : public Clock {
 public:
  Instant now() const override { return std::chrono::steady_clock::now(); }
  WallMs wall() const override {
    return WallMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count());
  }
};

// Resources of a task or a machine.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
    return *this;
  }
  bool operator==(const Resources&) const = default;
};
inline Resources operator-(Resources a, const Resources& b) {
  return a -= b;
}
inline Resources operator+(Resources a, const Resources& b) {
  return a += b;
}
inline Resources operator*(Resources a, double n) {
  return {a.cpus * n, a.gpus * n, a.memory_gb * n};
}

// A stable 64-bit hash (FNV-1a): the same at every controller and in every build, unlike std::hash.
std::uint64_t stable_hash(std::string_view s);

enum class JobKind { kArray, kGang, kService };
enum class Priority { kLow, kNormal, kHigh, kProduction };
constexpr std::size_t kPriorities = 4;

}  // namespace beaconsill

template <class Tag, class Rep>
struct std::hash<beaconsill::Strong<Tag, Rep>> {
  std::size_t operator()(const beaconsill::Strong<Tag, Rep>& s) const { return std::hash<Rep>()(s.value()); }
};
template <>
struct std::hash<beaconsill::TaskId> {
  std::size_t operator()(const beaconsill::TaskId& t) const {
    return std::hash<std::string>()(t.job.value()) * 1000003u + t.index;
  }
};
