// Keeps the cloud's catalogue of machine types up to date.
#pragma once

#include <functional>

#include "controller/controller_context.h"
#include "controller/timers.h"

namespace beaconsill::controller {

// Writes ControllerContext::catalogue. A fetch that fails is repeated at the next tick. Throws nothing; one
// thread.
class CatalogueRefresher {
 public:
  // `on_catalogue` is called after each new catalogue.
  CatalogueRefresher(ControllerContext& ctx, std::function<void()> on_catalogue);
  void start();
  void stop();

 private:
  void run();
  void on_fetched(cloud::CloudClient::CatalogueResult catalogue);

  ControllerContext& ctx_;
  std::function<void()> on_catalogue_;
  PeriodicTimer timer_;
  Instant fetched_at_{};  // of the present catalogue
  bool fetching_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
