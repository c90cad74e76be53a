// Case "room": a job that needs no CPUs waits although its machine has room, because the CPUs are all in use.
#include <algorithm>
#include <iostream>

#include "cases.h"

namespace standin {
namespace {

int room(const CaseArguments& arguments) {
  Deployment d;
  d.types = {{"nodo-medio", 16, 4, 128, 60, 5, 1.25, 15}};
  World world(d, arguments.run, arguments.record);
  for (int i = 0; i < 2; ++i) world.add_machine("nodo-medio", d.zones[i]);
  world.start();
  if (!world.wait_until_ready()) return 2;
  auto& users = world.users;
  for (int i = 0; i < 8; ++i) {
    const std::string id = "run-00010" + std::to_string(i);
    users.add(users.make(id, "daemon", 1, !arguments.trouble && i == 0 ? 3 : 4, 0), 0);
    users.submit_until_accepted(id, static_cast<std::size_t>(i % 3));
  }
  if (!world.run_until([&] { return world.ledger.placed.size() == 8; }, 20)) return 2;
  auto spec = users.make("run-000200", "batch", 1, 0, 5);
  spec["cards"] = 1.0;
  users.add(spec, 5);
  users.submit_until_accepted("run-000200", 0);
  const auto& job = users.jobs.at("run-000200");
  if (!world.run_until([&] { return job.accepted; }, 5)) return 2;
  std::function<void()> poll = [&] {
    users.poll("run-000200", 1);
    world.at(5, poll);
  };
  poll();
  const bool started = world.run_until([&] { return job.starts > 0; }, std::min(92.0, 117 - world.now()));
  if (!started)
    world.ledger.violation("left_waiting", "run-000200 has waited for " + std::to_string(world.now() - job.accepted_at) +
                                               " s, all cards and most of the memory of both machines are free");
  std::cout << "started " << started << " after " << world.now() - job.accepted_at << " s" << std::endl;
  return started ? 0 : 1;
}

Register registered("room", room);

}  // namespace
}  // namespace standin
