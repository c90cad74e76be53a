// Case 2: replicas of a service that was granted piece by piece are never granted, although machines have room.
#include "lab.h"

int main(int argc, char** argv) {
  using namespace lab;
  const auto arguments = parse_arguments(argc, argv);
  if (!arguments) return kCouldNotRun;
  Options options;
  options.command = arguments->command;
  options.folder = arguments->folder;
  options.record = arguments->record;
  options.areas = {"enna-centrale", "nicosia-torre", "enna-centrale"};
  options.zones = {"enna-centrale", "nicosia-torre", "piazza-armerina", "leonforte-sala"};
  options.teams = {{"squadra-rete-1", 136, 400}, {"squadra-rete-2", 136, 400}};
  options.times = {1, 10, 45, 6};
  options.state = {60, 20, 8, 16};
  options.cloud_rps = 4;
  options.cloud.list_lag_s = 5;
  options.cpu = 0.12;
  options.memory_mb = 56;
  options.max_connections = 600;
  options.types = {{"nodo-medio", 16, 0, 128, 70, 5, 1.25, 0.4, 15, options.zones},
                   {"nodo-grande", 64, 0, 256, 70, 5, 4.49, 1.39, 35, options.zones}};
  Deployment deployment(options);
  auto& loop = deployment.loop;
  loop.log(arguments->trouble ? "with the burst of batch work" : "TROUBLE=0: without the burst");
  deployment.start_controllers();
  if (!deployment.wait_until_up(20)) return kCouldNotRun;
  // 15 machines with 384 CPUs, of those that the site has at the start or may rent.
  for (const auto& zone : options.zones) {
    for (int i = 0; i < 3; ++i) deployment.cloud->add("nodo-medio", zone, false);
    if (zone != "leonforte-sala") deployment.cloud->add("nodo-grande", zone, false);
  }

  const std::string batch = "run-000001", service = "run-000002";
  const std::size_t slots = 384, replicas = 350;  // each task needs one CPU
  if (arguments->trouble) {
    // More work than room: a batch job of the other team fills all machines. Its tasks end one after the other.
    auto spec = job(batch, "batch", "standard", slots);
    spec["crew"] = "squadra-rete-1";
    spec["berth"] = "mappe-copertura";
    spec["reckonS"] = 15.0;
    for (std::size_t i = 0; i < slots; ++i)
      deployment.jobs.run_s[batch + '/' + std::to_string(i)] = 0.2 + 22.0 * static_cast<double>(i * 211 % slots) / slots;
    if (!deployment.submit(spec, std::nullopt, 0)) return kCouldNotRun;
    if (!loop.run_until([&] { return deployment.count(batch, "running") + 40 >= slots; }, 10)) return kCouldNotRun;
  }
  auto spec = job(service, "daemon", "standard", replicas);
  spec["crew"] = "squadra-rete-2";
  spec["berth"] = "portale-soci";
  spec["scatter"] = true;
  if (!deployment.submit(spec, std::nullopt, 0)) return kCouldNotRun;

  // The rule: once the troubles are over, no job is left waiting for 90 s while a machine that fits has room and its team
  // is under its limit. The trouble, more work than room, is over once all work fits; the time counts from then, from the
  // last start of a replica, and from the last moment without room, whichever is latest. Room counts only where a further
  // replica may start: at most half of them may be in one zone.
  const double limit_s = 90;
  double waiting_since = loop.now(), last_logged = 0;
  std::size_t placed_before = 0;
  bool broken = false, all_run = false;
  while (!broken && !all_run && loop.now() < 116.5) {
    loop.run_for(0.25);
    std::map<std::string, std::size_t> in_zone;
    std::size_t placed = 0, room = 0;
    for (auto* worker : deployment.cloud->workers()) {
      const auto here = worker->count(service, "running") + worker->count(service, "fetching");
      in_zone[worker->zone()] += here;
      placed += here;
    }
    for (auto* worker : deployment.cloud->workers())
      if (worker->live() < static_cast<std::size_t>(worker->type().cpus) && in_zone[worker->zone()] < replicas / 2) ++room;
    const auto batch_running = deployment.count(batch, "running") + deployment.count(batch, "fetching");
    if (room == 0 || placed != placed_before || batch_running + replicas > slots) waiting_since = loop.now();
    placed_before = placed;
    all_run = deployment.count(service, "running") == replicas;
    broken = placed < replicas && loop.now() - waiting_since > limit_s;
    if (!all_run && !broken && loop.now() - last_logged < 5) continue;
    last_logged = loop.now();
    const Json* grants = deployment.state->find("beaconsill/grants/" + service);
    loop.log("batch tasks " + std::to_string(batch_running) + ", replicas " + std::to_string(placed) + " of " +
             std::to_string(replicas) + ", machines with room for one more " + std::to_string(room) +
             ", bytes of the job's grants " + std::to_string(grants ? grants->dump().size() : 0));
    if (broken)
      loop.log("waiting: " + std::to_string(replicas - placed) + " replicas of " + service + " have waited for " +
               std::to_string(loop.now() - waiting_since) + " s since the trouble was over, with room on " +
               std::to_string(room) + " machines; the team uses " + std::to_string(placed) + " of its 400 CPUs");
  }
  if (!broken && !all_run) {
    loop.log("neither all replicas ran nor did the rule's time pass");
    return kCouldNotRun;
  }
  if (deployment.any_ended()) return kCouldNotRun;
  loop.log(broken ? "result: broken" : "result: held");
  return broken ? kBroken : kHeld;
}
