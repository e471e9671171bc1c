// curlewdoor: the gateway's command line.
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "app/serve.hpp"
#include "config/config.hpp"

namespace curlewdoor {
namespace {

namespace options = boost::program_options;

constexpr int kOk = 0, kFailed = 1, kBadUsage = 2;

std::optional<config::Config> Load(const std::string& path) {
  std::string error;
  auto config = config::LoadConfig(path, config::ReadEnvironment(), error);
  if (!config) fmt::print(stderr, "curlewdoor: {}\n", error);
  return config;
}

int CheckConfig(const std::string& path) {
  const auto config = Load(path);
  if (!config) return kFailed;
  fmt::print("{}: {} classes, {} plans, gateway {} of {}, {} hosts known\n", config->name,
             config->settings.classes.size(), config->settings.plans.size(), config->settings.own_index,
             config->settings.gateways, config->known ? config->known->members.size() : 0);
  return kOk;
}

int Version() {
  fmt::print("curlewdoor {}\n", CURLEWDOOR_VERSION);
  return kOk;
}

void PrintHelp(std::FILE* out, const options::options_description& shown) {
  fmt::print(out,
             "Usage: curlewdoor COMMAND [OPTIONS]\n\n"
             "Commands:\n"
             "  serve         run the gateway until SIGTERM\n"
             "  check-config  read the configuration and tell what is wrong with it\n"
             "  version       print the version\n\n");
  std::string text;
  for (const auto& option : shown.options())
    text += fmt::format("  {:24}{}\n", option->format_name() + " " + option->format_parameter(),
                        option->description());
  fmt::print(out, "Options:\n{}", text);
}

int Main(int argc, char** argv) {
  std::string command, path;
  options::options_description shown;
  shown.add_options()("config", options::value(&path)->value_name("FILE"),
                      "the configuration, in place of the one that RELAY_CONFIG names")("help",
                                                                                        "print this text");
  options::options_description all;
  all.add(shown).add_options()("command", options::value(&command));
  options::positional_options_description positions;
  positions.add("command", 1);
  options::variables_map given;
  try {
    options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), given);
    options::notify(given);
  } catch (const options::error& error) {
    fmt::print(stderr, "curlewdoor: {}\n", error.what());
    return kBadUsage;
  }
  if (given.count("help") > 0) return PrintHelp(stdout, shown), kOk;
  if (command == "serve") return app::Serve(path);
  if (command == "check-config") return CheckConfig(path);
  if (command == "version") return Version();
  fmt::print(stderr, "curlewdoor: {}\n",
             command.empty() ? "no command" : fmt::format("unknown command: {}", command));
  PrintHelp(stderr, shown);
  return kBadUsage;
}

}  // namespace
}  // namespace curlewdoor

int main(int argc, char** argv) { return curlewdoor::Main(argc, argv); }
