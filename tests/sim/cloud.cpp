#include "sim/cloud.h"

#include <vector>

namespace beaconsill::sim {

void Cloud::add_machine() {
  auto i = next_++;
  MachineName name("host-" + std::to_string(i));
  auto& m = books_.machines[name];
  m.name = name;
  m.zone = std::vector{Zone("east"), Zone("west"), Zone("north")}[static_cast<std::size_t>(i) % 3];
  m.lease_from = queue_.now();
  m.node = i % 3;
  on_added_(name);
}

void Cloud::kill(const MachineName& m) {
  auto* x = books_.machine(m);
  if (!x) return;
  x->gone = true;
  x->tasks.clear();
  queue_.after(queue_.uniform(3, 10), [this] { add_machine(); });
}

void Cloud::remove(const MachineName& m, std::function<void(bool)> answer) {
  queue_.after(queue_.uniform(0.1, 0.4), [this, m, answer] {
    bool ok = !queue_.mishap(0.1);
    bool done = ok || queue_.chance(0.3);  // carried out, though the answer says otherwise
    if (done) kill(m);
    answer(ok);
  });
}

}  // namespace beaconsill::sim
