#include "console/console.hpp"

#include <ostream>
#include <utility>

#include "console/command_error.hpp"
#include "console/commands.hpp"
#include "console/session.hpp"

namespace curlewdoor::console {

namespace {

constexpr double kMostTimeout = 3600;  // seconds

struct Command {
  const char* first;
  const char* second;                   // "": one word names it
  std::size_t least_words, most_words;  // that follow the name
  void (*run)(Session&);

  std::size_t words_of_name() const { return second[0] == '\0' ? 1 : 2; }
  bool Names(const std::vector<std::string>& words) const {
    if (words.size() < words_of_name() || words[0] != first) return false;
    return words_of_name() == 1 || words[1] == second;
  }
};

constexpr Command kCommands[] = {{"core", "show", 0, 0, &ShowCore},
                                 {"core", "forget", 1, 1, &ForgetInCore},
                                 {"hosts", "show", 0, 0, &ShowHosts},
                                 {"tenant", "show", 1, 1, &ShowTenant},
                                 {"gateways", "show", 0, 0, &ShowGateways},
                                 {"figures", "", 0, 0, &ShowFigures},
                                 {"coordination", "show", 0, 0, &ShowCoordination},
                                 {"lock", "begin", 3, 3, &BeginLock},
                                 {"lock", "renew", 4, 4, &RenewLock},
                                 {"lock", "finish", 3, 3, &FinishLock},
                                 {"number", "take", 1, 1, &TakeNumber},
                                 {"key", "read", 1, 1, &ReadKey},
                                 {"key", "put", 2, 3, &PutKey},
                                 {"watch", "", 1, 3, &WatchGroup},
                                 {"config", "show", 0, 0, &ShowConfig},
                                 {"config", "status", 0, 0, &ShowConfigStatus},
                                 {"config", "push", 1, 1, &PushConfig},
                                 {"config", "diff", 1, 1, &DiffConfig},
                                 {"events", "", 0, 1, &ShowEvents},
                                 {"storage", "verify", 1, 1, &VerifyStorage},
                                 {"storage", "dump", 1, 1, &DumpStorage},
                                 {"shelf", "verify", 1, 1, &VerifyStorage},  // the names until 0.3
                                 {"shelf", "dump", 1, 1, &DumpStorage},
                                 {"check-settings", "", 0, 1, &CheckSettings},
                                 {"check-config", "", 1, 1, &CheckConfig},
                                 {"version", "", 0, 0, &ShowVersion}};

// The command that these words name, with as many behind the name as it takes.
const Command& FindCommand(const std::vector<std::string>& words) {
  for (const Command& command : kCommands) {
    if (!command.Names(words)) continue;
    const std::size_t more = words.size() - command.words_of_name();
    if (more < command.least_words || more > command.most_words) break;
    return command;
  }
  std::string text;
  for (const std::string& word : words) text += word + " ";
  throw CommandError(kUsage, text + "isn't a command; there are: " + kConsoleCommands);
}

void RunCommand(const ConsoleOptions& options, std::ostream& out) {
  const Command& command = FindCommand(options.words);
  const std::size_t name = command.words_of_name();
  Session session(options, {options.words.begin() + static_cast<std::ptrdiff_t>(name), options.words.end()},
                  out);
  command.run(session);
}

}  // namespace

int RunConsole(const ConsoleOptions& options, std::ostream& out, std::ostream& err) {
  const auto end = [&](ExitCode code, const std::string& text) {
    err << "curlewdoor-system: " << text << "\n";
    return code;
  };
  if (!(options.timeout_s > 0) || options.timeout_s > kMostTimeout)
    return end(kUsage, "--timeout: more than 0 and at most 3600 seconds");
  try {
    RunCommand(options, out);
  } catch (const CommandError& error) {
    return end(error.code, error.what());
  } catch (const system::NoAnswer& none) {
    return end(kNobody, std::string("nobody answered: ") + none.what());
  }
  out.flush();
  return out ? kDone : end(kRefused, "the output can't be written");
}

}  // namespace curlewdoor::console
