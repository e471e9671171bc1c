// The command line of the whole gateway, curlewdoor-system.
#include <ev.h>
#include <malloc.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>

#include "events/events.hpp"
#include "policy/policy.hpp"
#include "settings/settings.hpp"
#include "system/node.hpp"

namespace {

constexpr char kSettingsVariable[] = "CURLEWDOOR_NODE_FILE";
constexpr char kSettingsPath[] = "/etc/curlewdoor/settings.yaml";

std::string SettingsPath() {
  const char* told = std::getenv(kSettingsVariable);
  return told != nullptr && *told != '\0' ? told : kSettingsPath;
}

int RunGateway(const std::string& path, const std::string& level) {
  using namespace curlewdoor;
  // Small arenas: memory is the dear price, and there is one thread that counts.
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 64 * 1024);
  mallopt(M_MMAP_THRESHOLD, 64 * 1024);
  std::signal(SIGPIPE, SIG_IGN);
  events::Begin(level);
  try {
    struct ev_loop* loop = ev_default_loop(EVFLAG_AUTO);
    if (loop == nullptr) throw std::runtime_error("no event loop");
    std::random_device device;
    const std::uint64_t seed = std::uint64_t{device()} << 32 | device();
    {
      system::Node node(loop, settings::LoadSettings(path), path, seed);
      ev_run(loop, 0);
    }
    events::Say(events::Event::kEnded, "");
    // Without the libraries' own ends: the log's pool of threads is waited for without end on some systems
    // (docs/questions.md), and the platform's grace is over then.
    std::_Exit(0);
  } catch (const std::exception& error) {
    events::Say(events::Event::kFailed, error.what());
    return 1;
  }
}

int CheckConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << path << ": can't be read\n";
    return 2;
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  try {
    const auto policy = curlewdoor::policy::Policy::Read(text);
    std::cout << path << ": version " << policy->version() << ", " << policy->routes().size() << " routes, "
              << policy->services().size() << " services, " << policy->tenants().size() << " tenants\n";
    return 0;
  } catch (const curlewdoor::policy::PolicyError& error) {
    std::cerr << path << ": " << error.what() << "\n";
    return 1;
  }
}

int CheckSettings(const std::string& path) {
  try {
    const auto settings = curlewdoor::settings::LoadSettings(path);
    std::cout << path << ": " << settings.node_name << " in " << settings.zone << "\n";
    return 0;
  } catch (const curlewdoor::settings::SettingsError& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("A complete api gateway: data plane, hosts, configuration and count in one process.",
                        ' ', CURLEWDOOR_VERSION);
    TCLAP::UnlabeledValueArg<std::string> command(
        "command", "run gateway | check-settings FILE | check-config FILE | version", true, "", "COMMAND",
        line);
    TCLAP::UnlabeledValueArg<std::string> what("what", "a role, or a file", false, "", "ROLE|FILE", line);
    TCLAP::ValueArg<std::string> settings("s", "settings", "the settings file", false, SettingsPath(), "FILE",
                                          line);
    TCLAP::ValueArg<std::string> level("l", "log-level", "debug, info, warn or error", false, "info", "LEVEL",
                                       line);
    line.parse(argc, argv);
    const std::string& name = command.getValue();
    if (name == "version") {
      std::cout << "curlewdoor-system " << CURLEWDOOR_VERSION << "\n";
      return 0;
    }
    if (name == "run" && what.getValue() == "gateway")
      return RunGateway(settings.getValue(), level.getValue());
    if (name == "check-settings") return CheckSettings(what.isSet() ? what.getValue() : settings.getValue());
    if (name == "check-config" && what.isSet()) return CheckConfig(what.getValue());
    std::cerr << "curlewdoor-system: " << name << " " << what.getValue() << ": not known; see --help\n";
    return 2;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "curlewdoor-system: " << error.error() << " " << error.argId() << "\n";
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "curlewdoor-system: " << error.what() << "\n";
    return 2;
  }
}
