#include "sim/network.h"

namespace beaconsill::sim {

void Network::peer(int from, int to, std::function<void()> f) {
  if (from == to) return f();
  if (queue_.now() < at(from).cut_until || queue_.now() < at(to).cut_until || !up(to) || queue_.mishap(0.01))
    return;
  later(to, queue_.uniform(0.001, 0.02), f);
  if (queue_.mishap(0.03))
    queue_.after(queue_.uniform(0.5, 30), [this, to, f] {
      if (up(to)) f();
    });
}

}  // namespace beaconsill::sim
