// Case 2: a service of the highest priority is never started where small tasks of the lowest one hold all places of a
// machine, although the machine has room.
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
  options.teams = {{"squadra-rete-1", 136, 400}, {"gruppo-ateneo"}};
  options.times = {1, 10, 45, 6};
  options.state = {60, 20, 8, 16};
  options.cloud_rps = 4;
  options.cloud.list_lag_s = 5;
  options.cpu = 0.12;
  options.memory_mb = 56;
  options.max_connections = 600;
  options.types = {{"nodo-grande", 64, 0, 256, 70, 5, 4.49, 1.39, 35, options.zones}};
  Deployment deployment(options);
  auto& loop = deployment.loop;
  loop.log(arguments->trouble ? "with the guests' swarm" : "TROUBLE=0: without the guests' swarm");
  deployment.start_controllers();
  if (!deployment.wait_until_up(20)) return kCouldNotRun;
  // One machine of 64 CPUs and 256 GB in each zone; the cloud has no more of them.
  for (const auto& zone : options.zones) deployment.cloud->add("nodo-grande", zone, false);

  const std::string swarm = "run-000001", service = "run-000002";
  const std::size_t probes = 256;
  if (arguments->trouble) {
    // Small tasks of the lowest priority, with the values of the site's class `sonde-singole`.
    auto spec = job(swarm, "batch", "best_effort", probes);
    spec["crew"] = "gruppo-ateneo";
    spec["berth"] = "sonde-singole";
    spec["vcpus"] = 0.25;
    spec["memoryGb"] = 0.9;
    spec["driftwood"] = true;
    spec["reckonS"] = 150.0;
    if (!deployment.submit(spec, 150, 0)) return kCouldNotRun;
    if (!loop.run_until([&] { return deployment.count(swarm, "running") == probes; }, 15)) return kCouldNotRun;
    loop.log("all tasks of the swarm run");
  }
  // One replica of the member portal, with the values of the site's class `portale-soci`.
  auto spec = job(service, "daemon", "production", 1);
  spec["crew"] = "squadra-rete-1";
  spec["berth"] = "portale-soci";
  spec["vcpus"] = 4.0;
  spec["memoryGb"] = 10.0;
  spec["cargo"] = "img-2";
  if (!deployment.submit(spec, std::nullopt, 0)) return kCouldNotRun;

  // The rule: once the troubles are over, no job is left waiting for 90 s while a machine that fits has room and its team
  // is under its limit. The swarm was submitted and placed before the service; nothing happens after that.
  const double limit_s = 90;
  const double accepted_at = loop.now();
  double waiting_since = accepted_at, last_logged = 0;
  bool broken = false, runs = false;
  while (!broken && !runs && loop.now() - accepted_at < limit_s + 10) {
    loop.run_for(0.25);
    std::size_t room = 0;
    for (auto* worker : deployment.cloud->workers()) room += worker->has_room(4.0, 10.0);
    if (room == 0) waiting_since = loop.now();
    runs = deployment.count(service, "running") > 0;
    broken = !runs && loop.now() - waiting_since > limit_s;
    if (!runs && !broken && loop.now() - last_logged < 10) continue;
    last_logged = loop.now();
    loop.log("tasks of the swarm running " + std::to_string(deployment.count(swarm, "running")) + ", replicas running " +
             std::to_string(deployment.count(service, "running")) + " of 1, machines with room for it " +
             std::to_string(room));
  }
  if (runs) loop.log("the replica started " + std::to_string(loop.now() - accepted_at) + " s after its job was accepted");
  if (broken)
    loop.log("waiting: " + service + " has waited for " + std::to_string(loop.now() - waiting_since) +
             " s while machines had room; its team uses nothing");
  if (deployment.any_ended() || (!runs && !broken)) return kCouldNotRun;
  loop.log(broken ? "result: broken" : "result: held");
  return broken ? kBroken : kHeld;
}
