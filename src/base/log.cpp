#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>
#include <string_view>

namespace beaconsill {
namespace {

spdlog::level::level_enum parse_level(std::string_view name) {
  if (name == "error") return spdlog::level::err;
  if (name == "debug") return spdlog::level::debug;
  return spdlog::level::info;
}

}  // namespace

void init_logging() {
  auto logger = spdlog::stderr_logger_st("beaconsill");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  const char* level_name = std::getenv("LOG_LEVEL");
  logger->set_level(parse_level(level_name ? level_name : "info"));
  spdlog::set_default_logger(logger);
}

}  // namespace beaconsill
