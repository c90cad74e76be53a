// Tests a machine's image cache, load and usability.
#include "shard/machine.h"

#include <gtest/gtest.h>

namespace beaconsill::shard {
namespace {

using protocol::TaskState;

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

TEST(ImageCache, EvictsTheLeastRecentlyUsedImage) {
  ImageCache cache;
  cache.set_capacity(10);
  cache.use(ImageName("a"), 4, at(1));
  cache.use(ImageName("b"), 4, at(2));
  cache.use(ImageName("a"), 4, at(3));
  cache.use(ImageName("c"), 4, at(4));
  EXPECT_TRUE(cache.has(ImageName("a")));
  EXPECT_FALSE(cache.has(ImageName("b")));
  // An image that is larger than the cache is kept, because it is in use.
  cache.use(ImageName("d"), 20, at(5));
  EXPECT_TRUE(cache.has(ImageName("d")));
  EXPECT_FALSE(cache.has(ImageName("a")) || cache.has(ImageName("c")));
}

TEST(Machine, LoadCountsLiveTasksByPriority) {
  Machine machine;
  auto add = [&](std::uint32_t index, TaskState state, std::optional<Priority> priority) {
    auto& task = machine.tasks[{{JobId("run-1"), index}, Attempt(1)}];
    task.state = state;
    if (!priority) return;
    protocol::JobSpec spec;
    spec.each = {2, 0, 1};
    spec.image = ImageName("img");
    spec.priority = *priority;
    task.spec = std::make_shared<const protocol::JobSpec>(spec);
  };
  add(0, TaskState::kRunning, Priority::kLow);
  add(1, TaskState::kFetching, Priority::kHigh);
  add(2, TaskState::kEnded, Priority::kHigh);
  add(3, TaskState::kRunning, std::nullopt);  // a task of an unknown job: no task may preempt it
  machine.invalidate_load();
  EXPECT_EQ(machine.used().cpus, 4);
  EXPECT_EQ(machine.used_at_or_above(Priority::kNormal).cpus, 2);
  EXPECT_EQ(machine.used_at_or_above(Priority::kProduction).cpus, 0);
  EXPECT_EQ(machine.live_task_count(), 3u);
  EXPECT_EQ(machine.task_count_at_or_above(Priority::kHigh), 2u);
  EXPECT_EQ(machine.task_count_at_or_above(Priority::kProduction), 1u);
  EXPECT_EQ(machine.fetch_count(), 1u);
  EXPECT_TRUE(machine.is_fetching(ImageName("img")));
}

TEST(Machine, IsUsableOnlyIfNoConditionExcludesIt) {
  struct Case {
    const char* what;
    void (*change)(Machine&);
    bool usable;
  };
  const Case cases[] = {
      {"no excluding condition", [](Machine&) {}, true},
      {"not confirmed", [](Machine& machine) { machine.confirmed = false; }, false},
      {"not registered", [](Machine& machine) { machine.registered = false; }, false},
      {"of unknown type", [](Machine& machine) { machine.type_known = false; }, false},
      {"draining", [](Machine& machine) { machine.draining = true; }, false},
      {"quarantined", [](Machine& machine) { machine.quarantined = true; }, false},
      {"being deleted", [](Machine& machine) { machine.deleting = true; }, false},
      {"being reclaimed", [](Machine& machine) { machine.reclaim_at = at(60); }, false},
      {"no contact", [](Machine& machine) { machine.last_contact = at(6); }, false},
      {"no unsolicited heartbeat", [](Machine& machine) { machine.last_unsolicited_heartbeat = at(5); },
       false},
      {"a command unanswered", [](Machine& machine) { machine.unanswered = 1; }, false},
      {"fencing", [](Machine& machine) { machine.channel = Machine::Channel::kFencing; }, false},
      {"a batch in flight", [](Machine& machine) { machine.channel = Machine::Channel::kBusy; }, true},
      {"avoided", [](Machine& machine) { machine.avoided_until = at(11); }, false},
      {"avoided until now", [](Machine& machine) { machine.avoided_until = at(10); }, true},
  };
  for (const auto& entry : cases) {
    Machine machine;
    machine.confirmed = machine.registered = machine.type_known = true;
    machine.last_contact = machine.last_unsolicited_heartbeat = at(10);
    entry.change(machine);
    EXPECT_EQ(machine.usable(at(10)), entry.usable) << entry.what;
  }
}

}  // namespace
}  // namespace beaconsill::shard
