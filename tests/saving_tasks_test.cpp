// Tests of a second stop of tasks, with a shorter grace, while they save a checkpoint.
#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

using CommandResult = ShardManager::CommandResult;
using Op = protocol::Command::Op;

constexpr double kSaveSeconds = fixture::kCancelLimitSeconds + 20;
constexpr std::uint32_t kTasks = 4;  // as many as fit on one machine

// The machine m1, which runs all tasks of run-1. They need kSaveSeconds to save a checkpoint.
struct SavingTasks : ShardFixture {
  explicit SavingTasks(JobKind kind) {
    add_ready_workers({"m1"});
    auto saving_spec = *spec("run-1", kTasks);
    saving_spec.kind = kind;
    saving_spec.estimate_s = 300;
    saving_spec.checkpoint_s = 10;
    saving_spec.save_s = kSaveSeconds;
    auto& job = jobs["run-1"];
    job.record = {std::make_shared<const protocol::JobSpec>(saving_spec), WallMs(0)};
    job.created = Revision(1);
    grant("run-1", kTasks, 5, 0);
    tick(0);
    execute_commands(0);
    heartbeat("m1", 0.5);
  }

  // A task of higher priority is granted that fits only if a task of run-1 is stopped.
  void preempt(double time_s) { grant("run-2", 1, 5, time_s, Priority::kHigh, true); }
  void announce_reclaim(double time_s) {
    worker("m1").termination_notice_s = 2 * kSaveSeconds;
    heartbeat("m1", time_s);
  }
  void revoke(double time_s) {
    jobs["run-1"].grants.value.revoke = true;
    publish("run-1", time_s);
  }
  void cancel(double time_s) { publish("run-1", time_s, TerminalState::kCancelled); }

  // Ticks and returns the batch that is sent to m1, if there is one.
  std::optional<CommandBatch> next_batch(double time_s) {
    tick(time_s);
    auto batches = shard.take_command_batches(at(time_s));
    if (batches.empty()) return std::nullopt;
    return batches.front();
  }
  // Has the worker execute the batch: a task saves if it gets enough time, and ends if it gets none.
  void execute_without_answer(const CommandBatch& batch) {
    auto& receiver = worker("m1");
    receiver.token = std::max(receiver.token, batch.token);
    receiver.sequence = Sequence(receiver.sequence.value() + 1);
    for (const auto& command : batch.commands) {
      auto& listed = receiver.tasks.at(command.task.index);
      listed.state = command.grace_s >= kSaveSeconds ? TaskState::kSaving : TaskState::kEnded;
      listed.cause = EndCause::kStopped;
    }
  }
  // Has the worker execute the batch and delivers its answer.
  void execute(const CommandBatch& batch, double time_s) {
    execute_without_answer(batch);
    shard.on_command_result(batch, CommandResult::kExecuted, worker("m1"), at(time_s));
  }
  // The worker's answer is lost, and later the worker reports the fencing token.
  void execute_and_lose_answer(const CommandBatch& batch, double time_s) {
    execute_without_answer(batch);
    shard.on_command_result(batch, CommandResult::kNoAnswer, std::nullopt, at(time_s));
    worker("m1").token = shard.find_machine(MachineName("m1"))->token;
    heartbeat("m1", time_s);
  }
};

// Returns the tasks of run-1 for which the batch has a stop with this grace. Fails the test if it has other
// commands.
std::set<std::uint32_t> stopped_tasks(const std::optional<CommandBatch>& batch, double grace_s) {
  std::set<std::uint32_t> stopped;
  if (!batch) return stopped;
  for (const auto& command : batch->commands) {
    EXPECT_EQ(command.op, Op::kStop);
    EXPECT_EQ(command.task.job, JobId("run-1"));
    EXPECT_EQ(command.grace_s, grace_s);
    stopped.insert(command.task.index);
  }
  return stopped;
}

const std::set<std::uint32_t> kAllTasks{0, 1, 2, 3};

// Guards against ran_cancelled: a task that saves its checkpoint got no second stop when its job was
// cancelled, and went on saving for longer than the cancellation limit.
TEST(SavingTasks, ACancellationStopsThemAtOnceWhateverMadeThemSave) {
  struct Case {
    const char* what;
    JobKind kind;
    void (SavingTasks::*make_save)(double time_s);
    std::size_t saving;
  };
  const Case cases[] = {
      {"preempted", JobKind::kArray, &SavingTasks::preempt, 1},
      {"machine reclaimed", JobKind::kArray, &SavingTasks::announce_reclaim, kTasks},
      {"machine of a gang reclaimed", JobKind::kGang, &SavingTasks::announce_reclaim, kTasks},
      {"grants revoked", JobKind::kGang, &SavingTasks::revoke, kTasks},
  };
  for (const auto& entry : cases) {
    SCOPED_TRACE(entry.what);
    SavingTasks tasks(entry.kind);
    (tasks.*entry.make_save)(1);
    auto saves = tasks.next_batch(1);
    EXPECT_EQ(stopped_tasks(saves, kSaveSeconds).size(), entry.saving);
    ASSERT_TRUE(saves);
    tasks.execute(*saves, 1.1);
    tasks.cancel(2);
    auto stops = tasks.next_batch(2);
    EXPECT_EQ(stopped_tasks(stops, 0), kAllTasks);
    if (!stops) continue;
    EXPECT_EQ(tasks.shard.running(JobId("run-1")), kTasks - entry.saving);
    tasks.execute(*stops, 2.1);
    EXPECT_EQ(tasks.shard.running(JobId("run-1")), 0u);
  }
}

// The batch that makes the tasks save is still in flight when their job is cancelled.
TEST(SavingTasks, ACancellationStopsThemWhateverBecomesOfTheEarlierStop) {
  enum class Earlier { kExecuted, kRejected, kUnanswered };
  for (auto earlier : {Earlier::kExecuted, Earlier::kRejected, Earlier::kUnanswered}) {
    SCOPED_TRACE(static_cast<int>(earlier));
    SavingTasks tasks(JobKind::kArray);
    tasks.announce_reclaim(1);
    auto saves = tasks.next_batch(1);
    EXPECT_EQ(stopped_tasks(saves, kSaveSeconds), kAllTasks);
    ASSERT_TRUE(saves);
    tasks.cancel(2);
    EXPECT_FALSE(tasks.next_batch(2));  // one batch at a time
    switch (earlier) {
      case Earlier::kExecuted:
        tasks.execute(*saves, 2.1);
        break;
      case Earlier::kRejected:
        tasks.shard.on_command_result(*saves, CommandResult::kRejected, std::nullopt, at(2.1));
        break;
      case Earlier::kUnanswered:
        tasks.execute_and_lose_answer(*saves, 4);
        break;
    }
    EXPECT_EQ(stopped_tasks(tasks.next_batch(4.1), 0), kAllTasks);
  }
}

// While no batches can be sent to the machine, the answers to its heartbeats have the stops.
TEST(SavingTasks, ACancellationStopsThemThroughHeartbeatsDuringFencing) {
  SavingTasks tasks(JobKind::kArray);
  tasks.announce_reclaim(1);
  auto saves = tasks.next_batch(1);
  ASSERT_TRUE(saves);
  tasks.execute_without_answer(*saves);
  tasks.shard.on_command_result(*saves, CommandResult::kNoAnswer, std::nullopt, at(2));
  tasks.cancel(2);
  auto response = tasks.shard.heartbeat_response(MachineName("m1"), at(2));
  EXPECT_EQ(response.commands.size(), kTasks);
  for (const auto& command : response.commands) EXPECT_EQ(command.grace_s, 0);
}

// A new shard leader doesn't know which stops the previous one has sent.
TEST(SavingTasks, ANewShardLeaderStopsThemAtOnceIfTheirJobIsCancelled) {
  SavingTasks previous(JobKind::kArray);
  previous.announce_reclaim(1);
  auto saves = previous.next_batch(1);
  ASSERT_TRUE(saves);
  previous.execute(*saves, 1.1);
  ShardFixture next(6);
  next.jobs = previous.jobs;
  next.workers = previous.workers;
  next.register_all(0);
  next.publish("run-1", 0, TerminalState::kCancelled);
  next.heartbeat("m1", 0);
  next.tick(0);
  auto batches = next.shard.take_command_batches(at(0));
  ASSERT_EQ(batches.size(), 1u);
  EXPECT_EQ(stopped_tasks(batches[0], 0), kAllTasks);
}

// They may be granted to another shard, and must not run there and here.
TEST(SavingTasks, TasksThatAreNoLongerGrantedAreStoppedAtOnce) {
  SavingTasks tasks(JobKind::kArray);
  tasks.announce_reclaim(1);
  auto saves = tasks.next_batch(1);
  ASSERT_TRUE(saves);
  tasks.execute(*saves, 1.1);
  tasks.jobs["run-1"].grants.value.chunks.clear();
  tasks.publish("run-1", 2);
  tasks.heartbeat("m1", 3);
  EXPECT_EQ(stopped_tasks(tasks.next_batch(3), 0), kAllTasks);
}

// A stop with the same grace is not repeated: neither for a second reason, nor in later batches.
TEST(SavingTasks, AStopIsSentOnceForEachGrace) {
  SavingTasks tasks(JobKind::kGang);
  tasks.announce_reclaim(1);
  auto saves = tasks.next_batch(1);
  ASSERT_TRUE(saves);
  tasks.execute(*saves, 1.1);
  tasks.revoke(2);
  EXPECT_FALSE(tasks.next_batch(2));
  tasks.heartbeat("m1", 3);
  tasks.cancel(3);
  auto stops = tasks.next_batch(3);
  EXPECT_EQ(stopped_tasks(stops, 0), kAllTasks);
  ASSERT_TRUE(stops);
  // The worker has the batch, but its tasks have not ended yet.
  tasks.shard.on_command_result(*stops, CommandResult::kExecuted, std::nullopt, at(3.1));
  tasks.heartbeat("m1", 4);
  tasks.cancel(4);
  EXPECT_FALSE(tasks.next_batch(4));
}

}  // namespace
}  // namespace beaconsill::shard
