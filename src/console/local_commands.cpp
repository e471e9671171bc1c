// What needs neither a gateway nor a disk: the catalogue of events, the settings file, the version.
#include <ostream>
#include <string>

#include "console/command_error.hpp"
#include "console/commands.hpp"
#include "console/table.hpp"
#include "events/events.hpp"
#include "settings/settings.hpp"
#include "system/json.hpp"
#include "util/number.hpp"

namespace curlewdoor::console {

using system::json::AddTo;
using system::json::Document;

void ShowEvents(Session& session) {
  int number = 0;
  if (!session.argument().empty() && !ParseNumber(std::string_view(session.argument()), number))
    throw CommandError(kUsage, session.argument() + ": not a number");
  Document document;
  cJSON* list = document.List("events");
  Table table({"number", "level", "name", "meaning"});
  bool any = false;
  for (const events::Entry& entry : events::kEntries) {
    if (!session.argument().empty() && static_cast<int>(entry.event) != number) continue;
    any = true;
    const std::string level(events::LevelName(entry.level)), name(entry.name), meaning(entry.meaning);
    table.Row({std::to_string(static_cast<int>(entry.event)), level, name, meaning});
    system::json::Object each = AddTo(list);
    each.Number("number", static_cast<int>(entry.event)).Text("level", level);
    each.Text("name", name).Text("meaning", meaning);
  }
  if (!any) throw CommandError(kUsage, session.argument() + ": no event has that number");
  if (session.options().json) {
    session.out() << document.Print(true);
  } else {
    table.Print(session.out());
  }
}

void CheckSettings(Session& session) {
  const std::string path = session.argument().empty() ? session.options().settings : session.argument();
  try {
    const auto settings = settings::LoadSettings(path);
    if (session.options().json) {
      Document document;
      document.Text("file", path).Text("node_name", settings.node_name).Text("zone", settings.zone);
      session.out() << document.Print(true);
    } else {
      session.out() << path << ": " << settings.node_name << " in " << settings.zone << "\n";
    }
  } catch (const settings::SettingsError& error) {
    throw CommandError(kRefused, error.what());
  }
}

void ShowVersion(Session& session) {
  if (!session.options().json) {
    session.out() << "curlewdoor-system " << CURLEWDOOR_VERSION << "\n";
    return;
  }
  Document document;
  document.Text("version", CURLEWDOOR_VERSION);
  session.out() << document.Print(true);
}

}  // namespace curlewdoor::console
