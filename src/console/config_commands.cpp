// The operator's configuration: what is in force, what a file would change, and the order to take it.
#include <fstream>
#include <iterator>
#include <memory>
#include <ostream>
#include <string>
#include <utility>

#include "console/command_error.hpp"
#include "console/commands.hpp"
#include "console/config_diff.hpp"
#include "console/table.hpp"
#include "policy/policy.hpp"
#include "system/json.hpp"

namespace curlewdoor::console {
namespace {

using system::CallAnswer;
using system::Caller;
using system::json::AddText;
using system::json::AddTo;
using system::json::Document;

constexpr char kReadPath[] = "/v1/config/read", kReplacePath[] = "/v1/config/replace";

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file || file.bad()) throw CommandError(kUsage, path + ": can't be read");
  return text;
}

std::shared_ptr<const policy::Policy> ReadPolicy(const std::string& path) {
  std::string text = ReadFile(path);
  try {
    return policy::Policy::Read(std::move(text));
  } catch (const policy::PolicyError& error) {
    throw CommandError(kRefused, path + ": " + error.what());
  }
}

std::string Counts(const policy::Policy& policy) {
  return "version " + std::to_string(policy.version()) + ": " + std::to_string(policy.routes().size()) +
         " routes, " + std::to_string(policy.services().size()) + " services, " +
         std::to_string(policy.tenants().size()) + " tenants";
}

std::shared_ptr<const policy::Policy> ReadAnswer(const CallAnswer& answer) {
  try {
    return policy::Policy::Read(answer.body);
  } catch (const policy::PolicyError& error) {
    throw CommandError(kRefused, answer.from.ToText() + " has " + error.what());
  }
}

// The document as it is kept, without tenants' keys.
void PrintConfigJson(const std::string& text, std::ostream& out) {
  const system::json::Owned json(cJSON_ParseWithLength(text.data(), text.size()));
  cJSON *tenant = nullptr, *key = nullptr;
  cJSON_ArrayForEach(tenant, cJSON_GetObjectItemCaseSensitive(json.get(), "tenants")) {
    cJSON* keys = cJSON_GetObjectItemCaseSensitive(tenant, "api_keys");
    cJSON_ArrayForEach(key, keys) if (cJSON_IsString(key)) cJSON_SetValuestring(key, "");
  }
  out << system::json::Print(json.get(), true);
}

void PrintConfig(const policy::Policy& policy, std::ostream& out) {
  out << Counts(policy) << "\n";
  Table routes({"route", "service", "type", "timeout ms", "attempts"});
  for (const policy::Route& route : policy.routes())
    routes.Row({RouteName(route), ServicesOf(policy, route), RepeatText(route.type),
                std::to_string(route.timeout.count()), std::to_string(route.max_attempts)});
  routes.Print(out);
  if (policy.tenants().empty()) return;
  Table tenants({"tenant", "rate per s", "burst", "keys"});
  for (const policy::Tenant& tenant : policy.tenants())
    tenants.Row({tenant.name, NumberText(tenant.rate_per_s), NumberText(tenant.burst_size),
                 std::to_string(tenant.api_keys.size())});
  tenants.Print(out);
}

// What a gateway has in force after a push; nullptr: it didn't say.
std::shared_ptr<const policy::Policy> ReadBack(const Caller& caller) {
  try {
    const CallAnswer answer = caller.Get(kReadPath);
    return answer.status == 200 ? ReadAnswer(answer) : nullptr;
  } catch (const system::NoAnswer&) {
    return nullptr;
  }
}

// The answer to a push is the same for one that changes nothing: what is kept tells.
void RefuseUnlessKept(const std::string& path, const policy::Policy& pushed, const policy::Policy* kept) {
  if (kept == nullptr || kept->text() == pushed.text() || kept->version() < pushed.version()) return;
  throw CommandError(kRefused, path + ": version " + std::to_string(pushed.version()) +
                                   " changes nothing: version " + std::to_string(kept->version()) +
                                   (kept->version() == pushed.version() ? " with another text" : "") +
                                   " is kept");
}

void PrintDiff(const policy::Policy* before, const policy::Policy& after, const Differences& all,
               std::ostream& out) {
  const std::uint64_t now = before != nullptr ? before->version() : 0;
  out << "version " << (before != nullptr ? std::to_string(now) : "none") << " -> " << after.version()
      << (after.version() <= now ? " (not above: a push would change nothing)" : "") << "\n";
  bool any = false;
  for (const auto& [kind, difference] : all) {
    any = any || !difference.empty();
    for (const std::string& name : difference.removed) out << "- " << kind << " " << name << "\n";
    for (const std::string& name : difference.added) out << "+ " << kind << " " << name << "\n";
    for (const ChangedItem& changed : difference.changed)
      for (const auto& [field, from, to] : changed.fields)
        out << "~ " << kind << " " << changed.name << " " << field << ": " << from << " -> " << to << "\n";
  }
  if (!any) out << "no difference in routes, services, tenants and limits\n";
}

void PrintDiffJson(const policy::Policy* before, const policy::Policy& after, const Differences& all,
                   std::ostream& out) {
  Document document;
  before != nullptr ? document.Number("version_in_force", static_cast<double>(before->version()))
                    : document.None("version_in_force");
  document.Number("version", static_cast<double>(after.version()));
  for (const auto& [kind, difference] : all) {
    system::json::Object each = document.Inner(kind);
    cJSON* added = each.List("added");
    for (const std::string& name : difference.added) AddText(added, name);
    cJSON* removed = each.List("removed");
    for (const std::string& name : difference.removed) AddText(removed, name);
    cJSON* list = each.List("changed");
    for (const ChangedItem& changed : difference.changed)
      for (const auto& [field, from, to] : changed.fields)
        AddTo(list).Text("name", changed.name).Text("field", field).Text("from", from).Text("to", to);
  }
  out << document.Print(true);
}

}  // namespace

void ShowConfigStatus(Session& session) {
  session.Report("config/status", [&session](const JsonView& status) {
    session.out() << "version in force here " << status["version_in_force"].Text() << " since "
                  << status["since"].Text() << ", committed " << status["version_committed"].Text()
                  << ", ready " << status["ready"].Text() << "\n";
  });
}

void ShowConfig(Session& session) {
  const CallAnswer answer = session.MakeCaller().Get(kReadPath);
  if (answer.status == 404)
    throw CommandError(kRefused, answer.from.ToText() + ": no configuration is kept yet");
  if (answer.status != 200) throw CommandError(kRefused, Refusal(answer));
  if (session.options().json && session.options().keys) {
    session.out() << answer.body;
    return;
  }
  const auto policy = ReadAnswer(answer);
  if (session.options().json) {
    PrintConfigJson(answer.body, session.out());
  } else {
    PrintConfig(*policy, session.out());
  }
}

void PushConfig(Session& session) {
  const std::string& path = session.argument();
  const auto policy = ReadPolicy(path);
  const Caller caller = session.MakeCaller();
  const CallAnswer answer = caller.Post(kReplacePath, policy->text());
  if (answer.status == 409) throw CommandError(kRefused, session.argument() + ": " + Conflict(answer));
  if (answer.status != 200) throw CommandError(kRefused, Refusal(answer));
  const auto kept = ReadBack(caller);
  RefuseUnlessKept(path, *policy, kept.get());
  if (session.options().json) {
    Document document;
    document.Text("taken_by", answer.from.ToText())
        .Number("version", static_cast<double>(policy->version()))
        .Flag("read_back", kept != nullptr);
    session.out() << document.Print(true);
  } else {
    session.out() << path << ": version " << policy->version() << " taken by " << answer.from.ToText() << ", "
                  << (kept != nullptr ? "kept" : "not read back") << "\n";
  }
}

void DiffConfig(Session& session) {
  const auto after = ReadPolicy(session.argument());
  const CallAnswer answer = session.MakeCaller().Get(kReadPath);
  if (answer.status != 200 && answer.status != 404) throw CommandError(kRefused, Refusal(answer));
  const auto before = answer.status == 200 ? ReadAnswer(answer) : nullptr;
  const Differences differences = CompareConfigs(before.get(), *after);
  if (session.options().json) {
    PrintDiffJson(before.get(), *after, differences, session.out());
  } else {
    PrintDiff(before.get(), *after, differences, session.out());
  }
}

void CheckConfig(Session& session) {
  const auto policy = ReadPolicy(session.argument());
  if (!session.options().json) {
    session.out() << session.argument() << ": " << Counts(*policy) << "\n";
    return;
  }
  Document document;
  document.Text("file", session.argument()).Number("version", static_cast<double>(policy->version()));
  document.Number("routes", static_cast<double>(policy->routes().size()));
  document.Number("services", static_cast<double>(policy->services().size()));
  document.Number("tenants", static_cast<double>(policy->tenants().size()));
  session.out() << document.Print(true);
}

}  // namespace curlewdoor::console
