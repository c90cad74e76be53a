// Tests which machines are quarantined and which jobs back off when tasks fail.
#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

// Runs jobs on machines, where faulty machines fail every task and broken jobs fail on every machine. Each
// step of 0.5 s consists of a heartbeat of every machine, a tick and the execution of the commands.
struct FailingJobsFixture {
  void run(double from, double to) {
    for (double time_s = from; time_s < to; time_s += 0.5) {
      for (auto& [name, worker] : fixture.workers) {
        for (auto& task : worker.tasks) {
          bool fails = faulty_machines.contains(name) || broken_jobs.contains(task.task.job.value());
          if (task.state != TaskState::kRunning || (!fails && time_s < last_start[name] + task_duration_s))
            continue;
          task.state = TaskState::kEnded;
          task.cause = fails ? EndCause::kError : EndCause::kDone;
        }
        fixture.heartbeat(name.c_str(), time_s);
      }
      fixture.tick(time_s);
      for (auto& command : fixture.execute_commands(time_s + 0.1)) {
        if (command.op != protocol::Command::Op::kStart) continue;
        ++starts[command.task.job.value()];
        for (auto& [name, worker] : fixture.workers)
          for (auto& task : worker.tasks)
            if (task.task == command.task && task.attempt == command.attempt) last_start[name] = time_s;
      }
      fixture.record(time_s);
    }
  }
  bool is_quarantined(const char* name) { return fixture.shard.machines().at(MachineName(name)).quarantined; }

  ShardFixture fixture;
  std::set<std::string> faulty_machines, broken_jobs;
  double task_duration_s = 2;
  std::map<std::string, double> last_start;  // seconds, by machine
  std::map<std::string, int> starts;         // by job
};

// Guards against quarantining a machine because two jobs failed on it, regardless of their outcome on other
// machines: on both operators' deployments two jobs submitted with a mistake caused the deletion of dozens of
// healthy machines.
TEST(Failures, AMachineIsQuarantinedIfJobsFailThereThatWorkElsewhere) {
  FailingJobsFixture scenario;
  scenario.faulty_machines = {"m1"};
  scenario.fixture.add_ready_workers({"m1", "m2", "m3"});
  scenario.fixture.grant("run-1", 3, 5, 0);
  scenario.fixture.grant("run-2", 3, 5, 0);
  scenario.run(0.5, 8);
  EXPECT_TRUE(scenario.is_quarantined("m1"));
  EXPECT_FALSE(scenario.is_quarantined("m2") || scenario.is_quarantined("m3"));
  // The quarantine is recorded in the registry. On a recorded day of operation with failovers, each new
  // leader had to detect the faulty machines again.
  auto buckets = scenario.fixture.shard.registry_buckets_to_write();
  std::optional<state_store::MachineRecord> quarantined;
  for (auto& [bucket, records] : buckets)
    for (auto& record : records)
      if (record.name == MachineName("m1")) quarantined = record;
  ASSERT_TRUE(quarantined);
  EXPECT_TRUE(quarantined->quarantined);
  ShardFixture next(6);
  next.shard.on_registry_read({*quarantined}, at(9));
  next.heartbeat("m1", 9);
  EXPECT_FALSE(next.shard.machines().at(MachineName("m1")).usable(at(9)));
  EXPECT_EQ(scenario.fixture.shard.take_machines_to_delete(at(9)), std::vector{MachineName("m1")});
}

TEST(Failures, HealthyMachinesAreNotQuarantinedBecauseOfBrokenJobs) {
  struct Case {
    std::set<std::string> jobs, broken;
    std::uint32_t tasks;
  };
  for (const auto& entry :
       {Case{{"run-1", "run-2"}, {"run-1", "run-2"}, 1}, Case{{"run-1", "run-2"}, {"run-1", "run-2"}, 12},
        Case{{"run-1", "run-2", "run-3", "run-4"}, {"run-1", "run-2", "run-3"}, 3},
        Case{{"run-1", "run-2", "run-3", "run-4", "run-5"}, {"run-1"}, 12}}) {
    FailingJobsFixture scenario;
    scenario.broken_jobs = entry.broken;
    scenario.fixture.add_ready_workers({"m1", "m2", "m3", "m4"});
    for (const auto& id : entry.jobs) scenario.fixture.grant(id.c_str(), entry.tasks, 5, 0);
    scenario.run(0.5, 4);
    // The users cancel the broken jobs, then further broken jobs are submitted.
    for (const auto& id : entry.broken) scenario.fixture.publish(id.c_str(), 4, TerminalState::kCancelled);
    scenario.broken_jobs = {"run-8", "run-9"};
    for (const char* id : {"run-8", "run-9"}) scenario.fixture.grant(id, entry.tasks, 5, 4);
    scenario.run(4.5, 30);
    for (const char* name : {"m1", "m2", "m3", "m4"})
      EXPECT_FALSE(scenario.is_quarantined(name)) << name << ' ' << entry.tasks;
  }
}

// If no job is known to work anywhere, many jobs that fail on one machine are sufficient for a quarantine.
TEST(Failures, AMachineOnWhichEveryJobFailsIsQuarantined) {
  FailingJobsFixture scenario;
  scenario.faulty_machines = {"m1"};
  scenario.fixture.add_ready_workers({"m1"});
  for (int i = 1; i <= 12; ++i) {
    scenario.fixture.grant(("run-" + std::to_string(i)).c_str(), 1, 5, 5 * i);
    scenario.run(5 * i, 5 * i + 5);
  }
  EXPECT_TRUE(scenario.is_quarantined("m1"));
}

TEST(Failures, ALargeArrayThatFailsEverywhereIsRetriedWithOneTaskAtATime) {
  FailingJobsFixture scenario;
  scenario.broken_jobs = {"run-1"};
  scenario.fixture.add_ready_workers({"m1", "m2", "m3", "m4"});
  scenario.fixture.grant("run-1", 16, 5, 0);
  scenario.run(0.5, 1.6);
  EXPECT_LE(scenario.starts["run-1"], 32);
  // The scheduler is notified once.
  auto reports = scenario.fixture.shard.progress_report(true);
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].health, protocol::JobHealth::kFailing);
  for (auto& report : scenario.fixture.shard.progress_report(true))
    EXPECT_EQ(report.health, protocol::JobHealth::kNone);
  auto before = scenario.starts["run-1"];
  scenario.fixture.grant("run-1", 16, 5, 2);
  scenario.run(2, 10);
  EXPECT_LE(scenario.starts["run-1"] - before, 4);
}

// A job that failed only because of two faulty machines is reported as working as soon as one of its tasks
// has run long enough.
TEST(Failures, AJobReportedAsFailingIsReportedAsWorkingOnceATaskRuns) {
  FailingJobsFixture scenario;
  scenario.faulty_machines = {"m1", "m2"};
  scenario.fixture.add_ready_workers({"m1", "m2"});
  scenario.fixture.grant("run-1", 2, 5, 0);
  scenario.run(0.5, 2);
  ASSERT_EQ(scenario.fixture.shard.progress_report(true).at(0).health, protocol::JobHealth::kFailing);
  scenario.task_duration_s = 60;
  scenario.fixture.worker("m3");
  scenario.fixture.register_all(3);
  scenario.run(3, 4);
  scenario.fixture.grant("run-1", 1, 5, 4);
  scenario.run(4, 18);
  auto reports = scenario.fixture.shard.progress_report(true);
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].health, protocol::JobHealth::kHealthy);
}

TEST(Failures, AJobThatFailsEverywhereBacksOff) {
  ShardFixture fixture;
  std::vector<std::string> names;
  for (int i = 0; i < 8; ++i) names.push_back("m" + std::to_string(i));
  for (auto& name : names) fixture.worker(name.c_str());
  fixture.register_all(0);
  for (auto& name : names) fixture.heartbeat(name.c_str(), 0);
  fixture.grant("run-1", 1, 5, 0);
  std::size_t starts = 0;
  for (double time_s = 0; time_s < 20; time_s += 0.5) {
    fixture.tick(time_s);
    for (auto& command : fixture.execute_commands(time_s))
      starts += command.op == protocol::Command::Op::kStart;
    fixture.record(time_s);
    if (fixture.jobs["run-1"].outstanding().empty()) fixture.grant("run-1", 1, 5, time_s);
    for (auto& name : names) {
      for (auto& task : fixture.worker(name.c_str()).tasks) {
        task.state = TaskState::kEnded;
        task.cause = EndCause::kError;
      }
      fixture.heartbeat(name.c_str(), time_s + 0.2);
    }
  }
  EXPECT_GE(starts, 3u);
  EXPECT_LE(starts, 8u);
  for (auto& [name, machine] : fixture.shard.machines()) EXPECT_FALSE(machine.quarantined) << name.value();
}

}  // namespace
}  // namespace beaconsill::shard
