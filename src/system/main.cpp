// The command line of the whole gateway, curlewdoor-system.
#include <ev.h>
#include <malloc.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

#include "console/console.hpp"
#include "events/events.hpp"
#include "settings/settings.hpp"
#include "system/node.hpp"

namespace {

using namespace curlewdoor;

constexpr char kSettingsVariable[] = "CURLEWDOOR_NODE_FILE";
constexpr char kSettingsPath[] = "/etc/curlewdoor/settings.yaml";

std::string SettingsPath() {
  const char* told = std::getenv(kSettingsVariable);
  return told != nullptr && *told != '\0' ? told : kSettingsPath;
}

int RunGateway(const std::string& path, const std::string& level) {
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

int Run(int argc, char** argv) {
  TCLAP::CmdLine line("A complete api gateway: data plane, hosts, configuration and count in one process.",
                      ' ', CURLEWDOOR_VERSION);
  line.setExceptionHandling(false);
  TCLAP::UnlabeledMultiArg<std::string> words(
      "command", std::string("run gateway | ") + console::kConsoleCommands, true, "COMMAND", line);
  TCLAP::ValueArg<std::string> settings("s", "settings", "the settings file", false, SettingsPath(), "FILE",
                                        line);
  TCLAP::ValueArg<std::string> level("l", "log-level", "debug, info, warn or error", false, "info", "LEVEL",
                                     line);
  TCLAP::MultiArg<std::string> addresses(
      "a", "address", "a control address to ask, in place of the settings'", false, "IP:PORT", line);
  TCLAP::SwitchArg json("j", "json", "print JSON", line);
  TCLAP::SwitchArg keys(
      "k", "keys", "with --json of config show and storage dump: the document itself, with tenants' keys",
      line);
  TCLAP::SwitchArg force("f", "force",
                         "of core forget: also where the rest bears less, or another one is away", line);
  TCLAP::ValueArg<double> timeout("t", "timeout", "to wait for an answer", false, 5, "SECONDS", line);
  line.parse(argc, argv);
  const std::vector<std::string>& command = words.getValue();
  if (command == std::vector<std::string>{"run", "gateway"})
    return RunGateway(settings.getValue(), level.getValue());
  return console::RunConsole({command, addresses.getValue(), settings.getValue(), json.getValue(),
                              keys.getValue(), force.getValue(), timeout.getValue()},
                             std::cout, std::cerr);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const TCLAP::ExitException& exit) {  // --help, --version
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "curlewdoor-system: " << error.error() << " " << error.argId() << "\n";
  } catch (const std::exception& error) {
    std::cerr << "curlewdoor-system: " << error.what() << "\n";
  }
  return console::kUsage;
}
