// Locks, numbers, keys and watches, as an application calls for them: for looking, and for trying things out.
#include <limits>
#include <ostream>
#include <string>

#include "console/command_error.hpp"
#include "console/commands.hpp"
#include "console/table.hpp"
#include "system/command.hpp"
#include "system/json.hpp"
#include "util/number.hpp"

namespace curlewdoor::console {
namespace {

using system::CallAnswer;
using system::json::Document;

double WholeOf(const std::string& text, const char* name) {
  std::uint64_t value = 0;
  if (!ParseNumber(text, value)) throw CommandError(kUsage, std::string(name) + ": not a whole number");
  return static_cast<double>(value);
}

std::string Path(const char* kind, const std::string& name, const char* verb = "") {
  return std::string("/v1/") + kind + "/" + system::EncodeName(name) + verb;
}

// Prints what came with a 200. A 409, 410 or 412 is told as the refusal that it is.
void Print(Session& session, const CallAnswer& answer) {
  if (answer.status == 409) throw CommandError(kRefused, "another holds the lock, or the hold is lost");
  if (answer.status == 410) throw CommandError(kRefused, "the history doesn't go back so far");
  if (answer.status == 412) throw CommandError(kRefused, "the key has another revision: " + answer.body);
  if (answer.status != 200) throw CommandError(kRefused, Refusal(answer));
  session.out() << answer.body;
  if (!answer.body.ends_with('\n')) session.out() << "\n";
}

void Post(Session& session, const std::string& path, const Document& body) {
  Print(session, session.MakeCaller().Post(path, body.Print()));
}

}  // namespace

void ShowCoordination(Session& session) {
  session.Report("coordination", [&session](const JsonView& view) {
    session.out() << "coordination as seen by " << view["node"].Text() << ": on " << view["on"].Text()
                  << ", leader " << view["leader"].Text() << ", leads " << view["leads"].Text() << ", term "
                  << view["term"].Text() << ", entries " << view["log_begin"].Text() << " to "
                  << view["log_end"].Text() << ", applied " << view["applied"].Text() << "\n";
    Table voters({"voter", "life", "address"});
    view["voters"].ForEach([&](const JsonView& each) {
      voters.Row({each["name"].Text(), each["life"].Text(), each["address"].Text()});
    });
    voters.Print(session.out());
    Table locks({"lock", "holder", "fence", "hold ms"});
    view["locks"].ForEach([&](const JsonView& each) {
      locks.Row({each["name"].Text(), each["holder"].Text(), each["fence"].Text(), each["hold_ms"].Text()});
    });
    locks.Print(session.out());
  });
}

void BeginLock(Session& session) {
  const auto& words = session.arguments();
  Document body;
  body.Text("holder", words[1]).Number("hold_ms", WholeOf(words[2], "HOLD_MS"));
  Post(session, Path("locks", words[0], "/begin"), body);
}

void RenewLock(Session& session) {
  const auto& words = session.arguments();
  Document body;
  body.Text("holder", words[1]).Number("fence", WholeOf(words[2], "FENCE"));
  body.Number("hold_ms", WholeOf(words[3], "HOLD_MS"));
  Post(session, Path("locks", words[0], "/heartbeat"), body);
}

void FinishLock(Session& session) {
  const auto& words = session.arguments();
  Document body;
  body.Text("holder", words[1]).Number("fence", WholeOf(words[2], "FENCE"));
  Post(session, Path("locks", words[0], "/finish"), body);
}

void TakeNumber(Session& session) { Post(session, Path("numbers", session.argument()), Document()); }

void ReadKey(Session& session) {
  Print(session, session.MakeCaller().Get(Path("cells", session.argument(), "/read")));
}

void PutKey(Session& session) {
  const auto& words = session.arguments();
  Document body;
  body.Text("value", words[1]);
  if (words.size() > 2) body.Number("enabled", WholeOf(words[2], "REVISION"));
  Post(session, Path("cells", words[0], "/replace"), body);
}

void WatchGroup(Session& session) {
  const auto& words = session.arguments();
  std::string path = Path("watch", words[0]);
  if (words.size() > 1)
    path += "?after=" + std::to_string(static_cast<std::uint64_t>(WholeOf(words[1], "AFTER")));
  if (words.size() > 2)
    path += "&wait_ms=" + std::to_string(static_cast<std::uint64_t>(WholeOf(words[2], "WAIT_MS")));
  Print(session, session.MakeCaller().Get(path));
}

}  // namespace curlewdoor::console
