#include "state_store/bucket_plan.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "state_store/value_sizes.h"

namespace beaconsill::state_store {
namespace {

constexpr std::size_t kCommaBytes = 1;

std::size_t empty_bytes() {
  static const std::size_t kBytes = value_bytes(to_json(std::vector<MachineRecord>{}));
  return kBytes;
}

// Returns whether the JSON encoding of `text` is the same text between quotes.
bool needs_no_escape(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    return character >= ' ' && character <= '~' && character != '"' && character != '\\';
  });
}

// Bytes of an encoded record and its comma, without the contents of its four strings. Each string of the
// example has one byte.
std::size_t fixed_record_bytes() {
  static const MachineRecord kExample{MachineName("n"), MachineType("t"), Zone("z"), false, "a", true};
  static const std::size_t kBytes =
      value_bytes(to_json(std::vector{kExample})) - empty_bytes() - 4 + kCommaBytes;
  return kBytes;
}

// Bytes that a machine takes up in an encoded value, with its comma. Encoding JSON to measure it is slow, and
// the sizes of thousands of machines are computed for each change. All fields other than strings are assumed
// to have the size that they have in the example, which is their maximum.
std::size_t record_bytes(const MachineRecord& machine) {
  const auto& name = machine.name.value();
  const auto& type = machine.type.value();
  const auto& zone = machine.zone.value();
  const bool plain = needs_no_escape(name) && needs_no_escape(type) && needs_no_escape(zone) &&
                     needs_no_escape(machine.address);
  if (!plain) return value_bytes(to_json(std::vector{machine})) - empty_bytes() + kCommaBytes;
  return fixed_record_bytes() + name.size() + type.size() + zone.size() + machine.address.size();
}

// The planned content of a segment.
struct PlannedSegment {
  std::vector<MachineRecord> machines;
  std::size_t bytes = 0;
  bool oversized = false;  // some of its recorded machines have to move to another segment
};

class BucketPlan {
 public:
  BucketPlan(const BucketSegments& recorded, const std::vector<MachineRecord>& wanted, std::size_t max_bytes,
             std::uint32_t max_segments);

  std::vector<SegmentWrite> writes();

 private:
  PlannedSegment& segment(std::uint32_t number) {
    return segments_.try_emplace(number, PlannedSegment{{}, empty_bytes(), false}).first->second;
  }
  void add(PlannedSegment& segment, const MachineRecord& machine, std::size_t bytes);
  // Leaves the recorded machines that are still wanted in their segment, as far as the size limit allows.
  void retain_recorded(std::uint32_t number, const std::vector<MachineRecord>& machines);
  // Adds a machine to the first segment that has room for it. Returns false if no segment has room.
  bool place(const MachineRecord& machine);
  bool place_in_new_segment(const MachineRecord& machine, std::size_t bytes);
  bool is_changed(std::uint32_t number, const PlannedSegment& segment) const;
  bool contains_unplaced(std::uint32_t number) const;

  const BucketSegments& recorded_;
  const std::vector<MachineRecord>& wanted_;
  std::size_t max_bytes_;
  std::uint32_t max_segments_;
  std::map<MachineName, const MachineRecord*> by_name_;
  std::map<std::uint32_t, PlannedSegment> segments_;
  std::vector<const MachineRecord*> relocating_;
  std::set<MachineName> placed_;
  // Recorded in an oversized segment, and no other segment has room for them.
  std::set<MachineName> unplaced_;
};

BucketPlan::BucketPlan(const BucketSegments& recorded, const std::vector<MachineRecord>& wanted,
                       std::size_t max_bytes, std::uint32_t max_segments)
    : recorded_(recorded), wanted_(wanted), max_bytes_(max_bytes), max_segments_(max_segments) {
  for (const auto& machine : wanted_) by_name_[machine.name] = &machine;
  for (const auto& [number, machines] : recorded_) retain_recorded(number, machines);
  for (const auto* machine : relocating_)
    if (!placed_.contains(machine->name) && !place(*machine)) unplaced_.insert(machine->name);
  for (const auto& machine : wanted_)
    if (!placed_.contains(machine.name) && !unplaced_.contains(machine.name)) place(machine);
}

std::vector<SegmentWrite> BucketPlan::writes() {
  std::vector<SegmentWrite> writes;
  for (bool oversized : {false, true})
    for (auto& [number, planned] : segments_)
      if (planned.oversized == oversized && is_changed(number, planned) && !contains_unplaced(number))
        writes.push_back({number, std::move(planned.machines)});
  return writes;
}

void BucketPlan::add(PlannedSegment& segment, const MachineRecord& machine, std::size_t bytes) {
  segment.machines.push_back(machine);
  segment.bytes += bytes;
  placed_.insert(machine.name);
}

void BucketPlan::retain_recorded(std::uint32_t number, const std::vector<MachineRecord>& machines) {
  auto& planned = segment(number);
  for (const auto& recorded : machines) {
    auto wanted = by_name_.find(recorded.name);
    if (wanted == by_name_.end() || placed_.contains(recorded.name)) continue;
    const auto bytes = record_bytes(*wanted->second);
    if (planned.bytes + bytes <= max_bytes_) {
      add(planned, *wanted->second, bytes);
    } else {
      planned.oversized = true;
      relocating_.push_back(wanted->second);
    }
  }
}

bool BucketPlan::place(const MachineRecord& machine) {
  const auto bytes = record_bytes(machine);
  for (auto& [number, planned] : segments_) {
    if (planned.oversized || planned.bytes + bytes > max_bytes_) continue;
    add(planned, machine, bytes);
    return true;
  }
  return place_in_new_segment(machine, bytes);
}

bool BucketPlan::place_in_new_segment(const MachineRecord& machine, std::size_t bytes) {
  std::uint32_t number = 0;
  while (number < max_segments_ && segments_.contains(number)) ++number;
  if (number == max_segments_) return false;
  auto& new_segment = segment(number);
  if (new_segment.bytes + bytes > max_bytes_) return false;
  add(new_segment, machine, bytes);
  return true;
}

bool BucketPlan::is_changed(std::uint32_t number, const PlannedSegment& segment) const {
  auto before = recorded_.find(number);
  return before == recorded_.end() ? !segment.machines.empty() : before->second != segment.machines;
}

bool BucketPlan::contains_unplaced(std::uint32_t number) const {
  if (unplaced_.empty()) return false;
  auto before = recorded_.find(number);
  return before != recorded_.end() &&
         std::any_of(before->second.begin(), before->second.end(),
                     [&](const auto& machine) { return unplaced_.contains(machine.name); });
}

}  // namespace

std::vector<SegmentWrite> plan_bucket(const BucketSegments& recorded,
                                      const std::vector<MachineRecord>& wanted, std::size_t max_bytes,
                                      std::uint32_t max_segments) {
  return BucketPlan(recorded, wanted, max_bytes, max_segments).writes();
}

}  // namespace beaconsill::state_store
