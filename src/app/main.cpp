#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>
#include <cstdio>
#include <exception>
#include <iostream>

#include "base/log.h"
#include "controller/controller.h"

namespace {

using namespace beaconsill;

int run(const std::string& settings_path, const std::string& policy_path) {
  auto settings = config::load_settings(settings_path);
  auto policy = config::load_policy(policy_path, settings);
  asio::io_context io(1);
  SystemClock clock;
  controller::Controller controller(io, clock, std::move(settings), policy);
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](std::error_code ec, int) {
    if (!ec) controller.stop();
  });
  controller.start();
  io.run();
  return 0;
}

int check(const std::string& settings_path, const std::string& policy_path) {
  auto settings = config::load_settings(settings_path);
  config::load_policy(policy_path, settings);
  std::cout << settings_path << ": good\n";
  if (!policy_path.empty()) std::cout << policy_path << ": good\n";
  std::cout << "\npolicy settings (type, default, meaning):\n";
  for (const auto& k : config::default_variables())
    std::cout << "  " << k.name << " (" << k.type << ") = " << k.expression << "   # " << k.meaning << '\n';
  std::cout << "\nnames for expressions, with their values here:\n" << config::describe_names(settings);
  return 0;
}

int run_command_line(int argc, char** argv) {
  CLI::App app{"beaconsill: a cluster scheduler"};
  app.set_version_flag("--version", std::string("beaconsill ") + BEACONSILL_VERSION);
  std::string settings, policy;
  app.add_option("--config", settings, "the settings file (TOML)");
  app.add_option("--policy", policy, "the operators' policy file (name = expression)");
  auto* check_command =
      app.add_subcommand("check", "check settings and policy, and list what the policy can say");
  check_command->add_option("--config", settings, "the settings file (TOML)")->required();
  check_command->add_option("--policy", policy, "the operators' policy file");
  app.footer("LOG_LEVEL sets the log on standard error: error, info (default) or debug.");
  CLI11_PARSE(app, argc, argv);
  init_logging();
  try {
    if (check_command->parsed()) return check(settings, policy);
    if (settings.empty()) {
      std::cerr << "--config is required; see --help\n";
      return 2;
    }
    return run(settings, policy);
  } catch (const config::ConfigError& e) {
    std::cerr << e.what() << '\n';
    return 2;
  } catch (const std::exception& e) {
    spdlog::critical("{}", e.what());
    return 1;
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_command_line(argc, argv);
  } catch (const std::exception& e) {
    std::fputs(e.what(), stderr);
    return 1;
  }
}
