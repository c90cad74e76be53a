// Case "replicas": two faulty machines of one zone fail the replicas of a service that runs well elsewhere.
#include <algorithm>
#include <iostream>

#include "cases.h"

namespace standin {
namespace {

int replicas(const CaseArguments& arguments) {
  Deployment d;
  World world(d, arguments.run, arguments.record);
  // Each controller leads a part of the machines; the only controller of nicosia-torre leads all machines there.
  for (int i = 0; i < 2; ++i) world.add_machine("nodo-medio", "nicosia-torre");
  for (int i = 0; i < 4; ++i) world.add_machine("nodo-medio", "enna-centrale");
  world.start();
  if (!world.wait_until_ready()) return 2;
  world.run_for(2);
  if (arguments.trouble)
    for (int i = 0; i < 2; ++i) {
      world.workers[i]->sick = true;
      world.log("machine " + world.workers[i]->name + " fails every task from now on");
    }
  const std::string id = "run-000100";
  const std::size_t wanted = 4;
  world.users.add(world.users.make(id, "daemon", static_cast<int>(wanted), 4, 0), 0);
  world.users.submit_until_accepted(id, 0);
  std::function<void()> poll = [&] {
    if (world.users.jobs.at(id).accepted) world.users.poll(id, 1);
    world.at(5, poll);
  };
  poll();
  world.run_for(15);
  for (auto& worker : world.workers)
    if (worker->sick) {
      worker->sick = false;
      world.log("machine " + worker->name + " is well again");
    }
  // All troubles are over. The machines together have room for all replicas and more.
  const double begin = world.now();
  double longest = 0, since = begin;
  std::size_t last = 99;
  while (world.now() - begin < 96) {
    world.run_for(0.1);
    const auto running = world.running(id);
    std::size_t room = 0;
    for (auto& worker : world.workers) {
      if (worker->gone) continue;
      std::size_t used = 0;
      for (const auto& [key, task] : worker->tasks) used += task->state != "ended";
      room += 4 - std::min<std::size_t>(4, used);
    }
    if (running != last)
      world.log("the service has " + std::to_string(running) + " of " + std::to_string(wanted) +
                " replicas, there is room for " + std::to_string(room) + " more");
    last = running;
    if (running >= wanted || room == 0) since = world.now();
    longest = std::max(longest, world.now() - since);
  }
  if (longest >= 90)
    world.ledger.violation("left_waiting", id + " has " + std::to_string(last) + " of " + std::to_string(wanted) +
                                               " replicas for " + std::to_string(longest) + " s, and there is room");
  std::cout << "replicas at the end " << last << " of " << wanted << ", longest wait " << longest << " s" << std::endl;
  return longest >= 90 ? 1 : 0;
}

Register registered("replicas", replicas);

}  // namespace
}  // namespace standin
