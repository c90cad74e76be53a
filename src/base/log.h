// Logging to standard error; the amount is set by LOG_LEVEL (error, info, debug).
//
// A log line is the name of an event in snake_case, then key=value pairs: shard, term, job, machine,
// controller, zone, role, count, seconds, reason. Free text is quoted.
#pragma once

#include <spdlog/spdlog.h>

namespace beaconsill {

// Sets up spdlog's default logger, once and before anything is logged. An unknown LOG_LEVEL counts as info.
void init_logging();

}  // namespace beaconsill
