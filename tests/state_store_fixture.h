// Test fixture with a StoreClient and a WatchCache that use a fake state store on loopback.
#pragma once

#include <gtest/gtest.h>

#include "base/log.h"
#include "fakes/state_store.h"
#include "state_store/watch_cache.h"

namespace beaconsill {

struct StateStoreFixture {
  explicit StateStoreFixture(state_store::StoreLimits limits = {1000, 500}) : state(io) {
    spdlog::set_level(spdlog::level::err);
    client =
        std::make_shared<state_store::StoreClient>(io, clock, state.servers[0]->local(), limits, limits, 1);
    watch_cache = std::make_shared<state_store::WatchCache>(io, clock, client, std::chrono::milliseconds(400),
                                                            [](const state_store::StateView::ChangeSet&) {});
    watch_cache->start();
    run_until([&] { return watch_cache->ready(); });
  }
  ~StateStoreFixture() {
    watch_cache->stop();
    client->stop();
    for (auto& door : state.servers) door->stop();
    io.poll();
  }
  // Runs handlers until `done` returns true, for at most 20 s. Returns the elapsed time.
  Duration run_until(const std::function<bool()>& done) {
    const auto started = clock.now();
    EXPECT_TRUE(fakes::run_until(io, done, std::chrono::seconds(20)));
    return clock.now() - started;
  }

  asio::io_context io;
  SystemClock clock;
  fakes::StateStore state;
  std::shared_ptr<state_store::StoreClient> client;
  std::shared_ptr<state_store::WatchCache> watch_cache;
};

}  // namespace beaconsill
