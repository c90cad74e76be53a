// Periodically fetches the cloud's catalogue of machine types.
#pragma once

#include <functional>

#include "controller/controller_context.h"
#include "controller/timers.h"

namespace beaconsill::controller {

// Updates ControllerContext::catalogue. A fetch that fails is repeated at the next tick. Doesn't throw; runs
// on the event loop's single thread.
class CatalogueRefresher {
 public:
  // `on_catalogue` is called each time a catalogue has been fetched.
  CatalogueRefresher(ControllerContext& ctx, std::function<void()> on_catalogue);
  void start();
  void stop();

 private:
  void run();
  void on_fetched(cloud::CloudClient::CatalogueResult catalogue);

  ControllerContext& ctx_;
  std::function<void()> on_catalogue_;
  PeriodicTimer timer_;
  Instant fetched_at_{};  // when the current catalogue was received
  bool fetch_pending_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
