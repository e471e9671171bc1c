// The commands of the command line but for `run`: questions to running gateways, and looks at files.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace curlewdoor::console {

enum ExitCode : int { kDone = 0, kRefused = 1, kUsage = 2, kNobody = 3 };

struct ConsoleOptions {
  std::vector<std::string> words;      // the command, and what it is about
  std::vector<std::string> addresses;  // of control, "ip:port"; none: those that the settings file names
  std::string settings;                // that file
  bool json = false;
  bool keys = false;   // `config show --json`, `storage dump --json`: the document itself
  bool force = false;  // `core forget`
  double timeout_s = 5;
};

inline constexpr char kConsoleCommands[] =
    "core show | core forget NAME | hosts show | tenant show NAME | gateways show | figures | "
    "coordination show | lock begin NAME HOLDER HOLD_MS | lock renew NAME HOLDER FENCE HOLD_MS | "
    "lock finish NAME HOLDER FENCE | number take NAME | key read NAME | key put NAME VALUE [REVISION] | "
    "watch GROUP [AFTER [WAIT_MS]] | config show | "
    "config status | "
    "config push FILE | config diff FILE | events [NUMBER] | storage verify DIR | storage dump DIR | "
    "check-settings [FILE] | "
    "check-config FILE | version";

// Runs one; gives an ExitCode.
int RunConsole(const ConsoleOptions& options, std::ostream& out, std::ostream& err);

}  // namespace curlewdoor::console
