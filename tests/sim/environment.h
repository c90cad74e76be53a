// The simulated components, settings and outputs that a simulated controller has access to.
#pragma once

#include <functional>

#include "config/settings.h"
#include "protocol/cloud.h"
#include "shard/partitioning.h"
#include "sim/cloud.h"
#include "sim/decision_digest.h"
#include "sim/network.h"
#include "sim/options.h"
#include "sim/state_store.h"
#include "sim/workers.h"

namespace beaconsill::sim {

class Controller;

struct Environment {
  const Options& options;
  EventQueue& queue;
  Network& network;
  StateStore& state;
  Workers& workers;
  Cloud& cloud;
  DecisionDigest& decisions;
  Outcome& outcome;
  const config::Settings& settings;
  const shard::Partitioning& partitioning;
  std::shared_ptr<const protocol::Catalogue> catalogue;
  std::function<Controller&(int)> controller;
};

}  // namespace beaconsill::sim
