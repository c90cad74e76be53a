#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>
#include <string_view>

namespace beaconsill {

void init_logging() {
  auto logger = spdlog::stderr_logger_st("beaconsill");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  const char* env = std::getenv("LOG_LEVEL");
  std::string_view level = env ? env : "info";
  logger->set_level(level == "error"   ? spdlog::level::err
                    : level == "debug" ? spdlog::level::debug
                                       : spdlog::level::info);
  spdlog::set_default_logger(logger);
}

}  // namespace beaconsill
