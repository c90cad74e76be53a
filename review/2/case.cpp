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
  // 15 machines with 384 CPUs, of those that the site has at the start or may rent.
  for (const auto& zone : options.zones) {
    for (int i = 0; i < 3; ++i) deployment.cloud->add("nodo-medio", zone, false);
    if (zone != "leonforte-sala") deployment.cloud->add("nodo-grande", zone, false);
  }
  deployment.start_controllers();
  if (!deployment.wait_until_up(20)) return kCouldNotRun;

  const std::string batch = "run-000001", service = "run-000002";
  const std::size_t slots = 384, replicas = 340;  // each task needs one CPU
  if (arguments->trouble) {
    // More work than room: a batch job of the other team fills all machines. Its tasks end one after the other.
    auto spec = job(batch, "batch", "standard", slots);
    spec["crew"] = "squadra-rete-1";
    spec["berth"] = "mappe-copertura";
    spec["reckonS"] = 15.0;
    for (std::size_t i = 0; i < slots; ++i)
      deployment.jobs.run_s[batch + '/' + std::to_string(i)] = 1.5 + 20.0 * static_cast<double>(i * 211 % slots) / slots;
    if (!deployment.submit(spec, std::nullopt, 0)) return kCouldNotRun;
    if (!loop.run_until([&] { return deployment.count(batch, "running") + 40 >= slots; }, 10)) return kCouldNotRun;
  }
  auto spec = job(service, "daemon", "standard", replicas);
  spec["crew"] = "squadra-rete-2";
  spec["berth"] = "portale-soci";
  spec["scatter"] = true;
  if (!deployment.submit(spec, std::nullopt, 0)) return kCouldNotRun;

  // The rule: no job is left waiting for 90 s while a machine that fits has room and its team is under its limit.
  // Room is counted only where a further replica may start: at most half of them in one zone.
  const double limit_s = 90;
  double no_room_at = loop.now(), last_logged = 0;
  bool broken = false;
  while (loop.now() < 113) {
    loop.run_for(0.25);
    std::map<std::string, std::size_t> in_zone;
    std::size_t placed = 0, room = 0;
    for (auto* worker : deployment.cloud->workers()) {
      const auto here = worker->count(service, "running") + worker->count(service, "fetching");
      in_zone[worker->zone()] += here;
      placed += here;
    }
    for (auto* worker : deployment.cloud->workers())
      if (worker->live() < static_cast<std::size_t>(worker->type().cpus) &&
          in_zone[worker->zone()] < replicas / 2)
        ++room;
    if (room == 0 || placed >= replicas) no_room_at = loop.now();
    const bool all_run = deployment.count(service, "running") == replicas;
    if (loop.now() - last_logged >= 5 || all_run) {
      last_logged = loop.now();
      const Json* grants = deployment.state->find("beaconsill/grants/" + service);
      loop.log("batch tasks running " + std::to_string(deployment.count(batch, "running")) + ", replicas running " +
               std::to_string(deployment.count(service, "running")) + " of " + std::to_string(replicas) +
               ", machines with room for one more " + std::to_string(room) + ", bytes of the job's grants " +
               std::to_string(grants ? grants->dump().size() : 0));
    }
    if (all_run) break;
    if (loop.now() - no_room_at > limit_s) {
      broken = true;
      loop.log("waiting: " + std::to_string(replicas - placed) + " replicas of " + service + " have not been started for " +
               std::to_string(loop.now() - no_room_at) + " s, in which machines had room; the team uses " +
               std::to_string(placed) + " of its 400 CPUs");
      break;
    }
  }
  if (deployment.any_ended()) return kCouldNotRun;
  loop.log(broken ? "result: broken" : "result: held");
  return broken ? kBroken : kHeld;
}
