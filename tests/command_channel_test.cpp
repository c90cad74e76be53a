// Tests the dispatch queue, and probes and fencing of a machine's command channel.
#include "shard/command_channel.h"

#include <gtest/gtest.h>

namespace beaconsill::shard {
namespace {

using Channel = Machine::Channel;
using Start = MachineTask::Start;

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

Machine machine(const char* name) {
  Machine out;
  out.name = MachineName(name);
  return out;
}

TEST(DispatchQueue, QueuesEachMachineOnceAndReturnsMachinesOrderedByName) {
  auto first = machine("m1");
  auto second = machine("m2");
  auto third = machine("m3");
  DispatchQueue queue;
  for (auto* pushed : {&third, &first, &third, &second}) queue.push(*pushed);
  queue.remove(second);
  EXPECT_EQ(queue.take_all(), (std::vector{&first, &third}));
  EXPECT_TRUE(queue.take_all().empty());
  queue.push(first);
  EXPECT_EQ(queue.take_all(), std::vector{&first});
}

TEST(CommandChannel, RequestsNoProbeWithinTheProbeIntervalOfTheLastOne) {
  struct Case {
    std::optional<double> last_probe;
    bool requested;
  };
  for (const auto& entry : {Case{std::nullopt, true}, Case{9.5, false}, Case{9, true}}) {
    auto probed = machine("m1");
    if (entry.last_probe) probed.last_probe_at = at(*entry.last_probe);
    DispatchQueue queue;
    request_probe(probed, queue, at(10));
    EXPECT_EQ(probed.probe_at.has_value(), entry.requested);
    EXPECT_EQ(queue.take_all().size(), entry.requested ? 1u : 0u);
  }
}

TEST(CommandChannel, FencingRaisesTheTokenOnceAndHasNoEffectWhileABatchIsInFlight) {
  struct Case {
    const char* what;
    Channel before, after;
    bool token_raised, suspected;
  };
  const Case cases[] = {
      {"idle", Channel::kIdle, Channel::kFencing, true, true},
      {"batch in flight", Channel::kBusy, Channel::kBusy, false, false},
      {"already fencing", Channel::kFencing, Channel::kFencing, false, true},
  };
  for (const auto& entry : cases) {
    auto fenced = machine("m1");
    fenced.token = FencingToken::first_of(Term(5));
    fenced.channel = entry.before;
    DispatchQueue queue;
    begin_fencing(fenced, queue, at(1));
    EXPECT_EQ(fenced.channel, entry.after) << entry.what;
    EXPECT_EQ(fenced.token > FencingToken::first_of(Term(5)), entry.token_raised) << entry.what;
    EXPECT_EQ(fenced.suspected_since.has_value(), entry.suspected) << entry.what;
    EXPECT_EQ(queue.take_all().size(), entry.token_raised ? 1u : 0u) << entry.what;
  }
}

TEST(CommandChannel, RepeatedFencingDoesNotChangeTheTimeOfTheFirstSuspicion) {
  auto fenced = machine("m1");
  DispatchQueue queue;
  begin_fencing(fenced, queue, at(1));
  begin_fencing(fenced, queue, at(5));
  EXPECT_EQ(fenced.suspected_since, at(1));
}

TEST(CommandChannel, ResolvingInFlightCommandsEndsFencingAndAcknowledgesSentStarts) {
  auto fenced = machine("m1");
  auto task = [&](std::uint32_t index) -> MachineTask& {
    return fenced.tasks[{{JobId("run-1"), index}, Attempt(1)}];
  };
  task(0).start = Start::kSent;
  task(1).start = Start::kQueued;
  task(2).sent_stop_grace = 2;
  task(2).forget_sent = true;
  DispatchQueue queue;
  begin_fencing(fenced, queue, at(1));
  resolve_in_flight(fenced, queue);
  EXPECT_EQ(fenced.channel, Channel::kIdle);
  EXPECT_FALSE(fenced.suspected_since);
  EXPECT_FALSE(fenced.probe_at);
  EXPECT_EQ(task(0).start, Start::kAcknowledged);
  EXPECT_EQ(task(1).start, Start::kQueued);
  EXPECT_FALSE(task(2).sent_stop_grace || task(2).forget_sent);
}

}  // namespace
}  // namespace beaconsill::shard
