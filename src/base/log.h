// Logging to standard error; the amount is set by LOG_LEVEL (error, info, debug).
#pragma once

#include <spdlog/spdlog.h>

namespace beaconsill {

void init_logging();

}  // namespace beaconsill
