// Case "pieces": a service is granted in pieces while a burst of other work ends task by task.
#include <algorithm>
#include <iostream>

#include "cases.h"

namespace standin {
namespace {

int pieces(const CaseArguments& arguments) {
  const int machines = 12, replicas = 190;
  Deployment d;
  d.teams = {{"squadra-rete-1", 0, 0}, {"squadra-rete-2", 0, 0}};
  d.next_write_rps = 15;
  d.next_value_kb = 2;
  d.next_txn_ops = 5;
  World world(d, arguments.run, arguments.record);
  for (int i = 0; i < machines; ++i) world.add_machine("nodo-medio", d.zones[i % 2]);
  world.start();
  if (!world.wait_until_ready()) return 2;
  auto& users = world.users;
  if (arguments.trouble) {
    auto burst = users.make("run-000101", "batch", machines * 16, 1, 8);
    burst["crew"] = "squadra-rete-2";
    burst["precedence"] = "production";
    users.add(burst, 3).run_spread_s = 13;
    users.submit_until_accepted("run-000101", 0);
    if (!world.run_until([&] { return world.running("run-000101") >= machines * 16 - 8; }, 15)) return 2;
  }
  const std::string id = "run-000102";
  users.add(users.make(id, "daemon", replicas, 1, 0), 0);
  users.submit_until_accepted(id, 0);
  const auto& job = users.jobs.at(id);
  if (!world.run_until([&] { return job.accepted; }, 5)) return 2;
  std::function<void()> poll = [&] {
    users.poll(id, 1);
    world.at(5, poll);
  };
  poll();
  if (arguments.trouble && !world.run_until([&] { return world.running("run-000101") == 0; }, 30)) return 2;
  // From here on there is room for all replicas, and no other work.
  const double begin = world.now();
  const double length = std::min(93.0, 117.5 - begin);
  double since = begin, longest = 0;
  std::size_t last = 9999;
  while (world.now() - begin < length) {
    world.run_for(0.2);
    const auto running = world.running(id);
    if (running != last) world.log("the service has " + std::to_string(running) + " of " + std::to_string(replicas) + " replicas");
    if (running != last || running >= static_cast<std::size_t>(replicas)) since = world.now();
    last = running;
    longest = std::max(longest, world.now() - since);
  }
  const auto item = world.state->items.find("beaconsill/grants/" + id);
  if (item != world.state->items.end())
    world.log("its grants take " + std::to_string(item->second.value.dump().size()) + " bytes");
  if (longest >= 90)
    world.ledger.violation("left_waiting", id + " has had " + std::to_string(last) + " of " + std::to_string(replicas) +
                                               " replicas for " + std::to_string(longest) + " s, and there is room");
  std::cout << "replicas at the end " << last << " of " << replicas << ", unchanged for " << longest << " s, began at "
            << begin << std::endl;
  return longest >= 90 ? 1 : 0;
}

Register registered("pieces", pieces);

}  // namespace
}  // namespace standin
