// Case "growth": the final states of the jobs of two weeks are in the state service, and the controllers are started
// on them. The test's platform counts the memory of each controller as the deployment page says: over the limit it is
// killed and started again.
#include <filesystem>
#include <fstream>
#include <iostream>

#include "cases.h"

namespace standin {
namespace {

constexpr double kJobsPerMinute = 24.4;  // Nyota, 17 and 7.4 a minute
constexpr double kBackAfter = 3;         // seconds, Nyota

// The resident memory of a controller; 0 as long as its program isn't loaded.
double resident_mb(pid_t pid) {
  std::error_code error;
  const auto program = std::filesystem::read_symlink("/proc/" + std::to_string(pid) + "/exe", error);
  if (error || program == std::filesystem::read_symlink("/proc/self/exe", error)) return 0;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) / 1024;
  return 0;
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
    text.replace(at, from.size(), to);
  return text;
}

int growth(const CaseArguments& arguments) {
  const double days = arguments.trouble ? 14 : 1;
  Deployment d;
  d.controller_zones = {"dar-hall", "moshi-vault", "dar-hall"};
  d.zones = {"dar-hall", "moshi-vault"};
  d.types = {{"tembo-large", 32, 0, 128, 60, 5, 1.47, 50}};
  d.teams = {{"archive-ops", 0, 0}};
  d.report_s = 1.5;
  d.state_rps = 200;
  d.state_write_rps = 30;
  d.value_kb = 32;
  d.txn_ops = 20;
  d.cloud_rps = 5;
  d.list_lag_s = 3;
  d.cpu = 0.2;
  d.mem_mb = 72;
  d.max_connections = 1000;
  World world(d, arguments.run, arguments.record);
  world.add_machine("tembo-large", "dar-hall");
  world.add_machine("tembo-large", "moshi-vault");
  world.start();
  if (!world.wait_until_ready()) return 2;
  // One job runs to its end. What stays of it in the state service is the pattern for the others.
  const std::string first = "run-000000";
  world.users.add(world.users.make(first, "batch", 3, 1, 1), 1);
  world.users.submit_until_accepted(first, 0);
  auto& job = world.users.jobs.at(first);
  std::function<void()> poll = [&] {
    if (job.told == "done") return;
    if (job.accepted) world.users.poll(first, 1);
    world.at(0.5, poll);
  };
  poll();
  auto left = [&] {
    std::vector<std::string> keys;
    for (const auto& [key, item] : world.state->items)
      if (key.find(first) != std::string::npos) keys.push_back(key);
    return keys;
  };
  if (!world.run_until([&] { return job.told == "done" && left().size() == 1; }, 30)) return 2;
  const auto key = left().front();
  const auto value = world.state->items[key].value;
  world.log("what stays of " + first + ": " + key + " " + value.dump());
  for (std::size_t i = 0; i < world.count(); ++i)
    world.log("controller " + world.controllers->names[i] + " holds " + std::to_string(resident_mb(world.controllers->pids[i])) + " MB");
  const int jobs = static_cast<int>(days * 24 * 60 * kJobsPerMinute);
  world.log("the platform: " + std::to_string(jobs) + " jobs have ended in " + std::to_string(days) + " days");
  for (std::size_t i = 0; i < world.count(); ++i) world.controllers->kill(i);
  for (int i = 1; i <= jobs; ++i) {
    char id[32];
    std::snprintf(id, sizeof id, "run-%06d", i);
    const auto entry = ++world.state->logline;
    world.state->items[replaced(key, first, id)] = {Json::parse(replaced(value.dump(), first, id)), entry, {}};
  }
  const double begin = world.now();
  std::vector<double> most(world.count());
  int killed = 0;
  std::function<void()> watch = [&] {
    for (std::size_t i = 0; i < world.count(); ++i) {
      if (world.controllers->pids[i] <= 0) continue;
      const double mb = resident_mb(world.controllers->pids[i]);
      most[i] = std::max(most[i], mb);
      if (mb <= d.mem_mb) continue;
      ++killed;
      world.log("the platform: " + world.controllers->names[i] + " holds " + std::to_string(mb) + " MB, the limit is " +
                std::to_string(d.mem_mb) + " MB");
      world.ledger.violation("node_restarts", world.controllers->names[i] + " ends for memory");
      world.controllers->kill(i);
      world.at(kBackAfter, [&world, i] { world.controllers->start(i); });
    }
    world.at(0.1, watch);
  };
  for (std::size_t i = 0; i < world.count(); ++i) world.controllers->start(i);
  watch();
  int answered = 0, asked = 0;
  std::function<void()> ask = [&] {
    for (std::size_t i = 0; i < world.count(); ++i) {
      ++asked;
      world.users.call(i, "GET", "/v1/jobs/" + first, "", 2, [&](const Result& result) {
        answered += result && result->status == 200;
      });
    }
    world.at(5, ask);
  };
  ask();
  world.run_for(90 - begin);
  for (std::size_t i = 0; i < world.count(); ++i)
    world.log("controller " + world.controllers->names[i] + " held " + std::to_string(most[i]) + " MB at most");
  world.log("the platform ended " + std::to_string(killed) + " processes for memory; " + std::to_string(answered) +
            " of " + std::to_string(asked) + " questions about " + first + " were answered 200");
  std::cout << "jobs " << jobs << ", most MB " << most[0] << ' ' << most[1] << ' ' << most[2] << ", killed for memory "
            << killed << ", answered " << answered << " of " << asked << std::endl;
  if (answered == 0 && killed == 0) return 2;
  return killed > 0 ? 1 : 0;
}

Register registered("growth", growth);

}  // namespace
}  // namespace standin
