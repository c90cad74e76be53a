#include "sim/cloud.h"

#include "sim/topology.h"

namespace beaconsill::sim {

void Cloud::add_machine() {
  auto i = next_++;
  MachineName name("host-" + std::to_string(i));
  auto& m = ledger_.machines[name];
  m.name = name;
  m.zone = zones()[static_cast<std::size_t>(i) % zones().size()];
  m.lease_from = queue_.now();
  m.controller = i % kControllers;
  on_added_(name);
}

void Cloud::kill(const MachineName& m) {
  auto* x = ledger_.machine(m);
  if (!x) return;
  x->terminated = true;
  x->tasks.clear();
  double boot = queue_.now() < fast_boot_until_   ? queue_.uniform(0.2, 2)
                : queue_.now() < slow_boot_until_ ? queue_.uniform(20, 60)
                                                  : queue_.uniform(3, 10);
  queue_.after(boot, [this] { add_machine(); });
}

void Cloud::remove(const MachineName& m, std::function<void(bool)> answer) {
  ++deletions_;
  queue_.after(queue_.uniform(0.1, 0.4), [this, m, answer] {
    bool ok = !queue_.random_fault(0.1);
    bool done = ok || queue_.chance(0.3);  // carried out, though the answer says otherwise
    if (done) kill(m);
    answer(ok);
  });
}

}  // namespace beaconsill::sim
