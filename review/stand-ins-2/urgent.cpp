// Case "urgent": a service waits for room on machines that a gang holds, although other machines are free.
#include <iostream>

#include "cases.h"

namespace standin {
namespace {

int urgent(const CaseArguments& arguments) {
  Deployment d;
  World world(d, arguments.run, arguments.record);
  // The only controller of nicosia-torre leads the machines there, the two others those of enna-centrale.
  for (int i = 0; i < 2; ++i) world.add_machine("nodo-medio", "nicosia-torre");
  for (int i = 0; i < 4; ++i) world.add_machine("nodo-medio", "enna-centrale");
  world.start();
  if (!world.wait_until_ready() || !world.wait_until_home()) return 2;
  world.run_for(1.5);
  auto& users = world.users;
  // A short array leaves the image of the service on both machines of nicosia-torre.
  auto array = users.make("run-000101", "batch", 2, 16, 1);
  array["harbour"] = "nicosia-torre";
  users.add(array, 1);
  users.submit_until_accepted("run-000101", 0);
  if (!world.run_until([&] { return users.jobs["run-000101"].all_done_at > 0; }, 20)) return 2;
  world.run_for(0.5);
  if (arguments.trouble) {
    // Not urgent: a gang of standard priority with another image takes both machines.
    auto gang = users.make("run-000102", "group", 2, 16, 1000);
    gang["harbour"] = "nicosia-torre";
    gang["cargo"] = "img-02";
    users.add(gang, 1000);
    users.submit_until_accepted("run-000102", 0);
    if (!world.run_until([&] { return world.running("run-000102") == 2; }, 20)) return 2;
    world.run_for(1);
  }
  // Urgent: a service with one task, which fits any machine.
  const std::string id = "run-000103";
  users.add(users.make(id, "daemon", 1, 4, 0), 0);
  const auto& job = users.jobs[id];
  users.submit_until_accepted(id, 0);
  if (!world.run_until([&] { return job.accepted; }, 5)) return 2;
  const double begin = world.now();
  std::function<void()> poll = [&] {
    users.poll(id, 1);
    world.at(5, poll);
  };
  poll();
  const bool started = world.run_until([&] { return world.running(id) > 0; }, std::min(92.0, 118 - begin));
  std::size_t free_machines = 0;
  for (auto& worker : world.workers) free_machines += !worker->gone && worker->zone == "enna-centrale" && worker->tasks.empty();
  if (!started)
    world.ledger.violation("left_waiting", id + " has waited for " + std::to_string(world.now() - begin) + " s, " +
                                               std::to_string(free_machines) + " machines of enna-centrale are empty");
  std::cout << (started ? "started after " : "not started after ") << world.now() - begin << " s, empty machines "
            << free_machines << std::endl;
  return started ? 0 : 1;
}

Register registered("urgent", urgent);

}  // namespace
}  // namespace standin
