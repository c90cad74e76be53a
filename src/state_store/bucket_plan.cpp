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

// Text that JSON writes as it is, between quotes.
bool needs_no_escape(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    return character >= ' ' && character <= '~' && character != '"' && character != '\\';
  });
}

// Bytes of a record with its comma beside its four texts. Each text of the example has one byte.
std::size_t fixed_record_bytes() {
  static const MachineRecord kExample{MachineName("n"), MachineType("t"), Zone("z"), false, "a", true};
  static const std::size_t kBytes =
      value_bytes(to_json(std::vector{kExample})) - empty_bytes() - 4 + kCommaBytes;
  return kBytes;
}

// Bytes that a machine takes up in a value, with its comma. Writing JSON to find out is slow, and thousands
// are reckoned with for each change: what isn't text is the same for all, at most.
std::size_t record_bytes(const MachineRecord& machine) {
  const auto& name = machine.name.value();
  const auto& type = machine.type.value();
  const auto& zone = machine.zone.value();
  const bool plain = needs_no_escape(name) && needs_no_escape(type) && needs_no_escape(zone) &&
                     needs_no_escape(machine.address);
  if (!plain) return value_bytes(to_json(std::vector{machine})) - empty_bytes() + kCommaBytes;
  return fixed_record_bytes() + name.size() + type.size() + zone.size() + machine.address.size();
}

// A segment while it's being planned.
struct PlannedSegment {
  std::vector<MachineRecord> machines;
  std::size_t bytes = 0;
  bool outgrown = false;  // some of its recorded machines have to move to another segment
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
  // The recorded machines that are still wanted stay, as far as they fit.
  void keep(std::uint32_t number, const std::vector<MachineRecord>& machines);
  // Puts a machine into the first segment that it fits into. False: into none.
  bool place(const MachineRecord& machine);
  bool place_in_new_segment(const MachineRecord& machine, std::size_t bytes);
  bool is_changed(std::uint32_t number, const PlannedSegment& segment) const;
  bool holds_unplaced(std::uint32_t number) const;

  const BucketSegments& recorded_;
  const std::vector<MachineRecord>& wanted_;
  std::size_t max_bytes_;
  std::uint32_t max_segments_;
  std::map<MachineName, const MachineRecord*> by_name_;
  std::map<std::uint32_t, PlannedSegment> segments_;
  std::vector<const MachineRecord*> moving_;
  std::set<MachineName> placed_;
  std::set<MachineName> unplaced_;  // recorded in a segment that has outgrown its value, and in no other
};

BucketPlan::BucketPlan(const BucketSegments& recorded, const std::vector<MachineRecord>& wanted,
                       std::size_t max_bytes, std::uint32_t max_segments)
    : recorded_(recorded), wanted_(wanted), max_bytes_(max_bytes), max_segments_(max_segments) {
  for (const auto& machine : wanted_) by_name_[machine.name] = &machine;
  for (const auto& [number, machines] : recorded_) keep(number, machines);
  for (const auto* machine : moving_)
    if (!placed_.contains(machine->name) && !place(*machine)) unplaced_.insert(machine->name);
  for (const auto& machine : wanted_)
    if (!placed_.contains(machine.name) && !unplaced_.contains(machine.name)) place(machine);
}

std::vector<SegmentWrite> BucketPlan::writes() {
  std::vector<SegmentWrite> writes;
  for (bool outgrown : {false, true})
    for (auto& [number, planned] : segments_)
      if (planned.outgrown == outgrown && is_changed(number, planned) && !holds_unplaced(number))
        writes.push_back({number, std::move(planned.machines)});
  return writes;
}

void BucketPlan::add(PlannedSegment& segment, const MachineRecord& machine, std::size_t bytes) {
  segment.machines.push_back(machine);
  segment.bytes += bytes;
  placed_.insert(machine.name);
}

void BucketPlan::keep(std::uint32_t number, const std::vector<MachineRecord>& machines) {
  auto& planned = segment(number);
  for (const auto& recorded : machines) {
    auto wanted = by_name_.find(recorded.name);
    if (wanted == by_name_.end() || placed_.contains(recorded.name)) continue;
    const auto bytes = record_bytes(*wanted->second);
    if (planned.bytes + bytes <= max_bytes_) {
      add(planned, *wanted->second, bytes);
    } else {
      planned.outgrown = true;
      moving_.push_back(wanted->second);
    }
  }
}

bool BucketPlan::place(const MachineRecord& machine) {
  const auto bytes = record_bytes(machine);
  for (auto& [number, planned] : segments_) {
    if (planned.outgrown || planned.bytes + bytes > max_bytes_) continue;
    add(planned, machine, bytes);
    return true;
  }
  return place_in_new_segment(machine, bytes);
}

bool BucketPlan::place_in_new_segment(const MachineRecord& machine, std::size_t bytes) {
  std::uint32_t number = 0;
  while (number < max_segments_ && segments_.contains(number)) ++number;
  if (number == max_segments_) return false;
  auto& fresh = segment(number);
  if (fresh.bytes + bytes > max_bytes_) return false;
  add(fresh, machine, bytes);
  return true;
}

bool BucketPlan::is_changed(std::uint32_t number, const PlannedSegment& segment) const {
  auto before = recorded_.find(number);
  return before == recorded_.end() ? !segment.machines.empty() : before->second != segment.machines;
}

bool BucketPlan::holds_unplaced(std::uint32_t number) const {
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
