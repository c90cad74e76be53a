// Entry point of the program: parses the command line, loads the settings and the policy, and runs a
// controller until SIGINT or SIGTERM.
#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <utility>

#include "base/log.h"
#include "controller/controller.h"

namespace {

using namespace beaconsill;

// Exit statuses of the process.
constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kBadUsage = 2;  // invalid command line, settings or policy

int run_controller(const std::string& settings_path, const std::string& policy_path) {
  auto settings = config::load_settings(settings_path);
  auto policy = config::load_policy(policy_path, settings);
  asio::io_context io_context(1);
  SystemClock clock;
  controller::Controller controller(io_context, clock, std::move(settings), policy);
  asio::signal_set signals(io_context, SIGINT, SIGTERM);
  signals.async_wait([&](std::error_code error, int) {
    if (!error) controller.stop();
  });
  controller.start();
  io_context.run();
  return kSuccess;
}

int check_configuration(const std::string& settings_path, const std::string& policy_path) {
  auto settings = config::load_settings(settings_path);
  config::load_policy(policy_path, settings);
  std::cout << settings_path << ": valid\n";
  if (!policy_path.empty()) std::cout << policy_path << ": valid\n";
  std::cout << "\npolicy variables (type, default, meaning):\n";
  for (const auto& variable : config::default_variables())
    std::cout << "  " << variable.name << " (" << variable.type << ") = " << variable.expression << "   # "
              << variable.meaning << '\n';
  std::cout << "\nnames that expressions can use, with their values for these settings:\n"
            << config::describe_names(settings);
  return kSuccess;
}

int run_command_line(int argc, char** argv) {
  CLI::App app{"beaconsill: a cluster scheduler"};
  app.set_version_flag("--version", std::string("beaconsill ") + BEACONSILL_VERSION);
  std::string settings_path, policy_path;
  app.add_option("--config", settings_path, "path of the settings file (TOML)");
  app.add_option("--policy", policy_path, "path of the policy file (lines of the form: name = expression)");
  auto* check_command = app.add_subcommand(
      "check", "validate the settings and the policy, and list the policy variables and expression names");
  check_command->add_option("--config", settings_path, "path of the settings file (TOML)")->required();
  check_command->add_option("--policy", policy_path, "path of the policy file");
  app.footer(
      "The environment variable LOG_LEVEL sets the level of the log on standard error: error, info (default) "
      "or debug.");
  CLI11_PARSE(app, argc, argv);
  init_logging();
  try {
    if (check_command->parsed()) return check_configuration(settings_path, policy_path);
    if (settings_path.empty()) {
      std::cerr << "the option --config is required; see --help\n";
      return kBadUsage;
    }
    return run_controller(settings_path, policy_path);
  } catch (const config::ConfigError& error) {
    std::cerr << error.what() << '\n';
    return kBadUsage;
  } catch (const std::exception& error) {
    spdlog::critical("controller_failed reason=\"{}\"", error.what());
    return kFailure;
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_command_line(argc, argv);
  } catch (const std::exception& error) {
    std::fputs(error.what(), stderr);
    return kFailure;
  }
}
