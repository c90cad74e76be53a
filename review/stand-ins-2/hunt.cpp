// Random troubles, by seed. Used to look for faults; not a case.
#include <signal.h>

#include <iostream>

#include "cases.h"

namespace standin {

std::map<std::string, Case>& all_cases() {
  static std::map<std::string, Case> cases;
  return cases;
}

namespace {

int hunt(const CaseArguments& arguments) {
  const auto seed = arguments.more.empty() ? 1ull : std::stoull(arguments.more[0]);
  const double length = arguments.more.size() > 1 ? std::stod(arguments.more[1]) : 80;
  Deployment d;
  d.teams = {{"squadra-a", 8, 24}, {"squadra-b", 0, 0}};
  d.state_rps = 200;
  d.state_write_rps = 60;
  World world(d, arguments.run, arguments.record);
  world.controllers->log_level = "debug";
  world.random.seed(seed);
  auto& users = world.users;
  for (int i = 0; i < 8; ++i) world.add_machine("nodo-medio", d.zones[i % 2], i >= 6);
  world.cloud->capacity = 4;
  // An upgrade: the controllers begin with the earlier version, and come back with the new one in turn.
  if (arguments.more.size() > 2)
    for (std::size_t i = 0; i < 3; ++i) {
      world.controllers->run[i] = arguments.more[2];
      world.at(20 + 12.0 * static_cast<double>(i), [&world, &arguments, i] {
        world.controllers->kill(i);
        world.controllers->run[i] = arguments.run;
        world.at(2, [&world, i] { world.controllers->start(i); });
      });
    }
  world.start();
  if (!world.wait_until_ready()) {
    std::cerr << "not ready\n";
    return 2;
  }
  const double begin = world.now();
  int next = 1;
  std::vector<std::string> ids;
  std::function<void()> submit = [&] {
    if (world.now() - begin > length * 0.4) return;
    char id[32];
    std::snprintf(id, sizeof id, "run-%06d", next++);
    const int kind = static_cast<int>(world.random() % 10);
    const char* shape = kind < 4 ? "batch" : kind < 7 ? "group" : "daemon";
    const int tasks = 1 + static_cast<int>(world.random() % (kind < 4 ? 12 : kind < 7 ? 5 : 2));
    auto spec = users.make(id, shape, tasks, 1.0 + static_cast<double>(world.random() % 3), world.uniform(1, 15));
    spec["crew"] = world.random() % 2 ? "squadra-a" : "squadra-b";
    spec["together"] = world.random() % 3 == 0;
    spec["scatter"] = spec["together"] == false && world.random() % 4 == 0;
    spec["driftwood"] = world.random() % 2 == 0;
    if (world.random() % 3 == 0) spec["markS"] = 3.0, spec["stowS"] = 1.0;
    spec["cargo"] = "img-0" + std::to_string(world.random() % 3);
    if (!ids.empty() && world.random() % 5 == 0) {
      const auto other = ids[world.random() % ids.size()];
      if (users.jobs[other].spec["shape"] != "daemon" && users.jobs[other].accepted) spec["awaits"] = {other};
    }
    users.add(spec, spec["reckonS"].get<double>());
    ids.push_back(id);
    users.submit_until_accepted(id, world.random() % 3);
    if (world.random() % 3 == 0)
      world.at(world.uniform(0.2, 20), [&, name = std::string(id)] {
        if (users.jobs[name].accepted) users.cancel(name, world.random() % 3);
      });
    world.at(world.uniform(0.2, 1.6), submit);
  };
  submit();
  std::function<void()> poll = [&] {
    if (!ids.empty()) {
      const auto& id = ids[world.random() % ids.size()];
      for (std::size_t n = 0; n < 3; ++n) users.poll(id, n);
      if (world.random() % 10 == 0 && users.jobs[id].accepted) users.submit(id, world.random() % 3);
    }
    world.at(world.uniform(0.05, 0.3), poll);
  };
  poll();
  std::function<void()> trouble = [&] {
    if (!arguments.trouble || world.now() - begin > length * 0.45) return;
    const auto node = static_cast<std::size_t>(world.random() % 3);
    auto* worker = world.workers[world.random() % world.workers.size()].get();
    const double for_s = world.random() % 3 ? world.uniform(0.3, 14) : world.uniform(15, 48);
    switch (world.random() % 17) {
      case 0:
      case 1:
        world.controllers->kill(node);
        world.at(world.uniform(0.2, 5), [&world, node] { world.controllers->start(node); });
        break;
      case 2:
        for (std::size_t i = 0; i < 3; ++i) {
          world.controllers->kill(i);
          world.at(world.uniform(0.2, 5), [&world, i] { world.controllers->start(i); });
        }
        break;
      case 3:
        world.state->set_outage(true);
        world.at(for_s, [&world] { world.state->set_outage(false); });
        break;
      case 4:
      case 5:
        world.state->set_refused(node, true);
        world.at(for_s, [&world, node] { world.state->set_refused(node, false); });
        break;
      case 6:
        if (!worker->gone && !worker->hanging()) {
          worker->hang(true);
          world.at(for_s, [worker] { worker->hang(false); });
        }
        break;
      case 7:
        worker->deaf = true;
        world.at(for_s, [worker] { worker->deaf = false; });
        break;
      case 8:
        worker->mute = true;
        world.at(for_s, [worker] { worker->mute = false; });
        break;
      case 9:
        world.controllers->signal(node, SIGSTOP);
        world.at(for_s, [&world, node] { world.controllers->signal(node, SIGCONT); });
        break;
      case 10:
        for (auto& [ends, link] : world.links)
          if (ends.first == node || ends.second == node) link->set(PeerLink::Mode::kHold);
        world.at(for_s, [&world, node] {
          for (auto& [ends, link] : world.links)
            if (ends.first == node || ends.second == node) link->set(PeerLink::Mode::kPass);
        });
        break;
      case 11:
        for (auto& [ends, link] : world.links) link->set(PeerLink::Mode::kRefuse);
        world.at(for_s, [&world] {
          for (auto& [ends, link] : world.links) link->set(PeerLink::Mode::kPass);
        });
        break;
      case 12:
        world.state->fate = [&world](std::size_t, const Request& request) {
          if (request.path != "/txn") return StateService::Fate::kNormal;
          const auto draw = world.random() % 10;
          return draw < 2 ? StateService::Fate::kLate : draw < 4 ? StateService::Fate::kAnswerLost
                                                                 : StateService::Fate::kNormal;
        };
        world.at(for_s, [&world] { world.state->fate = {}; });
        break;
      case 13:
        worker->no_direct = true;
        world.at(for_s, [worker] { worker->no_direct = false; });
        break;
      case 14:
        world.log("cancel now");
        for (int n = 0, k = 0; n < 40 && k < 3 && !ids.empty(); ++n) {
          const auto& id = ids[world.random() % ids.size()];
          if (!users.jobs[id].accepted || users.jobs[id].cancel_asked || world.running(id) == 0) continue;
          ++k;
          users.cancel(id, world.random() % 3);
        }
        if (world.random() % 2) {
          world.state->set_refused(node, true);
          world.at(for_s + 1, [&world, node] { world.state->set_refused(node, false); });
          world.at(1, [&world] { world.state->set_outage(true); });
          world.at(1 + for_s, [&world] { world.state->set_outage(false); });
        }
        break;
      case 15:
        for (auto& [ends, link] : world.links)
          if (ends.first == node || ends.second == node) link->set(PeerLink::Mode::kHold);
        world.state->set_refused(node, true);
        world.at(for_s, [&world, node] {
          world.state->set_refused(node, false);
          for (auto& [ends, link] : world.links)
            if (ends.first == node || ends.second == node) link->set(PeerLink::Mode::kPass);
        });
        break;
      case 16:
        world.state->fate = [&world](std::size_t, const Request&) {
          world.state->slow_s = world.uniform(0.05, 0.4);
          return StateService::Fate::kSlow;
        };
        world.at(for_s, [&world] { world.state->fate = {}; });
        break;
    }
    world.at(world.uniform(0.2, 6), trouble);
  };
  world.at(length * 0.5, [&] {
    for (auto& id : ids)
      if (users.jobs[id].spec["shape"] == "daemon" && users.jobs[id].accepted) users.cancel(id, world.random() % 3);
  });
  world.at(2, trouble);
  world.run_for(length);
  std::size_t waiting = 0, running = 0;
  for (auto& [id, job] : users.jobs) {
    if (!job.accepted || job.told == "done" || job.told == "withdrawn") continue;
    if (job.starts == 0) ++waiting;
    world.log("at the end: " + id + " " + job.spec["shape"].get<std::string>() + " told=" + job.told +
              " starts=" + std::to_string(job.starts) + " done=" + std::to_string(job.done_tasks.size()) + " of " +
              job.spec["lamps"].dump());
    ++running;
  }
  std::cout << "seed " << seed << " jobs " << users.jobs.size() << " starts " << world.ledger.starts << " open "
            << running << " never started " << waiting << " violations";
  for (auto& [rule, count] : world.ledger.violations) std::cout << ' ' << rule << '=' << count;
  std::cout << " statuses";
  for (auto& [status, count] : world.state->statuses) std::cout << ' ' << status << ':' << count;
  std::cout << std::endl;
  return world.ledger.violations.empty() ? 0 : 1;
}

Register registered("hunt", hunt);

}  // namespace
}  // namespace standin
