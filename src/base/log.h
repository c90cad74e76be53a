// Sets up logging to standard error. The environment variable LOG_LEVEL selects the level: error, info or
// debug.
//
// A log line consists of the name of an event in snake_case, followed by key=value pairs. Common keys are
// shard, term, job, machine, controller, zone, role, count, seconds and reason. Free text is in double
// quotes.
#pragma once

#include <spdlog/spdlog.h>

namespace beaconsill {

// Sets up spdlog's default logger. Must be called once, before anything is logged. If LOG_LEVEL is not set or
// has an unknown value, the level is info.
void init_logging();

}  // namespace beaconsill
