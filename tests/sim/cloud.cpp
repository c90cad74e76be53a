#include "sim/cloud.h"

#include "sim/topology.h"

namespace beaconsill::sim {

void Cloud::add_machine(std::optional<Zone> zone) {
  auto number = next_number_++;
  MachineName name("host-" + std::to_string(number));
  auto& machine = ledger_.machines[name];
  machine.name = name;
  machine.zone = zone ? *zone : zones()[static_cast<std::size_t>(number) % zones().size()];
  machine.lease_renewed_at = queue_.now();
  machine.controller = number % kControllers;
  on_machine_added_(name);
}

void Cloud::terminate_machine(const MachineName& name) {
  auto* machine = ledger_.machine(name);
  if (!machine) return;
  machine->terminated = true;
  machine->tasks.clear();
  double boot_s = queue_.now() < fast_boot_until_   ? queue_.uniform(0.2, 2)
                  : queue_.now() < slow_boot_until_ ? queue_.uniform(20, 60)
                                                    : queue_.uniform(3, 10);
  auto zone = options_.replace_in_zone ? std::optional(machine->zone) : std::nullopt;
  queue_.after(boot_s, [this, zone] { add_machine(zone); });
}

void Cloud::delete_machine(const MachineName& name, const std::function<void(bool)>& answer) {
  ++requested_deletions_;
  queue_.after(queue_.uniform(0.1, 0.4), [this, name, answer] {
    bool confirmed = !queue_.random_fault(0.1);
    bool executed = confirmed || queue_.draw_bool(0.3);  // may be executed although a failure is reported
    if (executed) terminate_machine(name);
    answer(confirmed);
  });
}

}  // namespace beaconsill::sim
