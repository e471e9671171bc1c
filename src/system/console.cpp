#include "system/console.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <thread>
#include <utility>

#include "agreement/codec.hpp"
#include "directory/codec.hpp"
#include "events/events.hpp"
#include "policy/policy.hpp"
#include "settings/settings.hpp"
#include "storage/inspect.hpp"
#include "system/caller.hpp"
#include "system/command.hpp"
#include "system/json.hpp"
#include "util/number.hpp"

namespace curlewdoor::system {
namespace {

constexpr std::string_view kHostsRecord = "hosts", kGatewaysRecord = "gateways";  // Node::KeepHosts

using json::AddText;
using json::AddTo;
using json::Document;

constexpr char kReadPath[] = "/v1/config/read", kReplacePath[] = "/v1/config/replace";
constexpr double kMostTimeout = 3600;  // seconds

// How a command ends that isn't done.
struct Ending {
  ExitCode code;
  std::string text;
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file || file.bad()) throw Ending{kUsage, path + ": can't be read"};
  return text;
}

std::shared_ptr<const policy::Policy> ReadPolicy(const std::string& path) {
  std::string text = ReadFile(path);
  try {
    return policy::Policy::Read(std::move(text));
  } catch (const policy::PolicyError& error) {
    throw Ending{kRefused, path + ": " + error.what()};
  }
}

std::string Counts(const policy::Policy& policy) {
  return "version " + std::to_string(policy.version()) + ": " + std::to_string(policy.routes().size()) +
         " routes, " + std::to_string(policy.services().size()) + " services, " +
         std::to_string(policy.tenants().size()) + " tenants";
}

std::string NumberText(double value) {
  char text[40];
  std::snprintf(text, sizeof text, std::abs(value) < 1e15 && value == std::floor(value) ? "%.0f" : "%.6g",
                value);
  return text;
}

std::string HexText(std::uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016" PRIx64, value);
  return text;
}

// Columns as wide as they need to be.
class Table {
 public:
  explicit Table(std::vector<std::string> head) { Row(std::move(head)); }
  void Row(std::vector<std::string> cells) {
    widths_.resize(std::max(widths_.size(), cells.size()));
    for (std::size_t i = 0; i < cells.size(); ++i) {
      if (cells[i].empty()) cells[i] = "-";
      widths_[i] = std::max(widths_[i], cells[i].size());
    }
    rows_.push_back(std::move(cells));
  }
  void Print(std::ostream& out) const {
    for (const auto& row : rows_) {
      std::string line;
      for (std::size_t i = 0; i < row.size(); ++i) {
        line += row[i];
        if (i + 1 < row.size()) line.append(widths_[i] - row[i].size() + 2, ' ');
      }
      out << line << "\n";
    }
  }

 private:
  std::vector<std::size_t> widths_;
  std::vector<std::vector<std::string>> rows_;
};

// What came as JSON, for a table.
class Value {
 public:
  explicit Value(const cJSON* json) : json_(json) {}
  Value operator[](const char* name) const {
    return Value(json_ != nullptr ? cJSON_GetObjectItemCaseSensitive(json_, name) : nullptr);
  }
  std::string Text() const {
    if (json_ == nullptr || cJSON_IsNull(json_)) return "-";
    if (cJSON_IsString(json_)) return json_->valuestring;
    if (cJSON_IsBool(json_)) return cJSON_IsTrue(json_) ? "yes" : "no";
    return cJSON_IsNumber(json_) ? NumberText(json_->valuedouble) : "?";
  }
  std::string Brief() const {  // of seconds
    return json_ != nullptr && cJSON_IsNumber(json_) ? NumberText(std::round(json_->valuedouble * 10) / 10)
                                                     : Text();
  }
  bool here() const { return json_ != nullptr && !cJSON_IsNull(json_); }
  template <typename Do>
  void ForEach(Do&& act) const {
    const cJSON* each = nullptr;
    cJSON_ArrayForEach(each, json_) act(Value(each));
  }

 private:
  const cJSON* json_;
};

// ---- What two configurations differ in ----------------------------------------------------------------

struct Item {
  std::vector<std::pair<std::string, std::string>> fields;
  std::set<std::string> keys;  // never shown
};
using Items = std::map<std::string, Item>;

std::string ServicesOf(const policy::Policy& policy, const policy::Route& route) {
  std::string text;
  for (const policy::Part& part : route.parts) {
    if (!text.empty()) text += ",";
    text += policy.services()[part.service].name;
    if (route.parts.size() > 1) text += ":" + NumberText(part.weight);
  }
  return text;
}

std::string RouteName(const policy::Route& route) { return route.host + route.prefix; }

Items Routes(const policy::Policy& policy) {
  Items items;
  for (const policy::Route& route : policy.routes())
    items[RouteName(route)].fields = {
        {"name", route.name},
        {"service", ServicesOf(policy, route)},
        {"route_type", route.repeat == policy::Repeat::kIdempotent ? "idempotent" : "non_idempotent"},
        {"timeout_ms", std::to_string(route.timeout.count())},
        {"target_latency_ms", std::to_string(route.target_latency.count())},
        {"priority", std::to_string(route.priority)},
        {"max_attempts", std::to_string(route.max_attempts)},
        {"public_access", route.public_access ? "yes" : "no"}};
  return items;
}

Items Services(const policy::Policy& policy) {
  Items items;
  for (const policy::Service& service : policy.services())
    items[service.name].fields = {{"health_check", service.health_check},
                                  {"max_connections", std::to_string(service.max_connections)},
                                  {"protocol", service.protocol},
                                  {"tls_enabled", service.tls_enabled ? "yes" : "no"}};
  return items;
}

Items Tenants(const policy::Policy& policy) {
  Items items;
  for (const policy::Tenant& tenant : policy.tenants()) {
    Item& item = items[tenant.name];
    item.fields = {{"priority", tenant.priority ? std::to_string(*tenant.priority) : "-"},
                   {"rate_per_s", NumberText(tenant.rate_per_s)},
                   {"burst_size", NumberText(tenant.burst_size)}};
    item.keys.insert(tenant.api_keys.begin(), tenant.api_keys.end());
  }
  return items;
}

Items LimitsOf(const policy::Policy& policy) {
  const policy::Limits& limits = policy.limits();
  Items items;
  items["limits"].fields = {{"max_header_bytes", std::to_string(limits.max_header_bytes)},
                            {"max_body_bytes", std::to_string(limits.max_body_bytes)},
                            {"header_timeout_ms", std::to_string(limits.header_timeout.count())},
                            {"idle_timeout_ms", std::to_string(limits.idle_timeout.count())},
                            {"keys_needed", policy.has_tenants() ? "yes" : "no"}};
  return items;
}

struct Changed {
  std::string name;
  std::vector<std::array<std::string, 3>> fields;  // field, from, to
};
struct Difference {
  std::vector<std::string> added, removed;
  std::vector<Changed> changed;
  bool empty() const { return added.empty() && removed.empty() && changed.empty(); }
};

Difference Compare(const Items& before, const Items& after) {
  Difference difference;
  for (const auto& [name, item] : before)
    if (!after.contains(name)) difference.removed.push_back(name);
  for (const auto& [name, item] : after) {
    const auto found = before.find(name);
    if (found == before.end()) {
      difference.added.push_back(name);
      continue;
    }
    const Item& old = found->second;
    Changed changed{name, {}};
    for (std::size_t i = 0; i < item.fields.size(); ++i)
      if (old.fields[i].second != item.fields[i].second)
        changed.fields.push_back({item.fields[i].first, old.fields[i].second, item.fields[i].second});
    if (old.keys != item.keys) {
      std::vector<std::string> gone, come;
      std::set_difference(old.keys.begin(), old.keys.end(), item.keys.begin(), item.keys.end(),
                          std::back_inserter(gone));
      std::set_difference(item.keys.begin(), item.keys.end(), old.keys.begin(), old.keys.end(),
                          std::back_inserter(come));
      changed.fields.push_back(
          {"api_keys", std::to_string(gone.size()) + " removed", std::to_string(come.size()) + " added"});
    }
    if (!changed.fields.empty()) difference.changed.push_back(std::move(changed));
  }
  return difference;
}

// ---- The commands -------------------------------------------------------------------------------------

class Console {
 public:
  Console(const ConsoleOptions& options, std::ostream& out) : options_(options), out_(out) {}

  void Run() {
    const auto& words = options_.words;
    for (const Command& command : Commands()) {
      const std::size_t named = command.second[0] == '\0' ? 1 : 2;
      if (words.empty() || words[0] != command.first) continue;
      if (named == 2 && (words.size() < 2 || words[1] != command.second)) continue;
      const std::size_t more = words.size() - named;
      if (more < command.least || more > command.most) break;
      what_ = more > 0 ? words[named] : std::string();
      return command.run(*this);
    }
    std::string text;
    for (const std::string& word : words) text += word + " ";
    throw Ending{kUsage, text + "isn't a command; there are: " + kConsoleCommands};
  }

 private:
  struct Command {
    const char* first;
    const char* second;
    std::size_t least, most;  // words that follow
    void (*run)(Console&);
  };
  static const std::vector<Command>& Commands() {
    static const std::vector<Command> commands{
        {"core", "show", 0, 0, [](Console& c) { c.ShowCore(); }},
        {"core", "forget", 1, 1, [](Console& c) { c.ForgetInCore(); }},
        {"hosts", "show", 0, 0, [](Console& c) { c.ShowHosts(); }},
        {"tenant", "show", 1, 1, [](Console& c) { c.ShowTenant(); }},
        {"gateways", "show", 0, 0, [](Console& c) { c.ShowGateways(); }},
        {"figures", "", 0, 0, [](Console& c) { c.ShowFigures(); }},
        {"config", "show", 0, 0, [](Console& c) { c.ShowConfig(); }},
        {"config", "status", 0, 0, [](Console& c) { c.ShowConfigStatus(); }},
        {"config", "push", 1, 1, [](Console& c) { c.PushConfig(); }},
        {"config", "diff", 1, 1, [](Console& c) { c.DiffConfig(); }},
        {"events", "", 0, 1, [](Console& c) { c.ShowEvents(); }},
        {"storage", "verify", 1, 1, [](Console& c) { c.LookAtStorage(false); }},
        {"storage", "dump", 1, 1, [](Console& c) { c.LookAtStorage(true); }},
        {"shelf", "verify", 1, 1, [](Console& c) { c.LookAtStorage(false); }},  // the names until 0.3
        {"shelf", "dump", 1, 1, [](Console& c) { c.LookAtStorage(true); }},
        {"check-settings", "", 0, 1, [](Console& c) { c.CheckSettings(); }},
        {"check-config", "", 1, 1, [](Console& c) { c.CheckConfig(); }},
        {"version", "", 0, 0, [](Console& c) { c.ShowVersion(); }}};
    return commands;
  }

  std::vector<Address> Addresses() const {
    std::vector<Address> addresses;
    const auto add = [&](const Address& address) {
      if (std::find(addresses.begin(), addresses.end(), address) == addresses.end())
        addresses.push_back(address);
    };
    for (const std::string& text : options_.addresses) {
      const auto address = ParseAddress(text);
      if (!address) throw Ending{kUsage, "--address " + text + ": not ip:port"};
      add(*address);
    }
    if (!addresses.empty()) return addresses;
    try {
      const auto settings = settings::LoadSettings(options_.settings);
      if (auto control = settings.listen_addresses.control_plane) {
        if (control->ip == 0) control->ip = settings.ip_address;
        add(*control);
      }
      for (const Address& seed : settings.seed_nodes) add(seed);
    } catch (const settings::SettingsError& error) {
      throw Ending{kUsage, std::string(error.what()) + "; tell whom to ask by --address"};
    }
    if (addresses.empty())
      throw Ending{kUsage, options_.settings + ": names nobody to ask; tell whom by --address"};
    return addresses;
  }

  Caller MakeCaller() const {
    return Caller(Addresses(),
                  std::chrono::milliseconds(std::max(1, static_cast<int>(options_.timeout_s * 1000))));
  }

  static std::string Refusal(const CallAnswer& answer) {
    std::string text = answer.body.substr(0, 1000);
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.pop_back();
    return answer.from.ToText() + " answers " + std::to_string(answer.status) +
           (text.empty() ? "" : ": " + text);
  }

  CallAnswer Get(const std::string& path) const {
    CallAnswer answer = MakeCaller().Get(path);
    if (answer.status != 200) throw Ending{kRefused, Refusal(answer)};
    return answer;
  }

  // An answer of ours under `path`, shown by `show` unless it is wanted as it is.
  template <typename Show>
  void Report(const std::string& path, Show&& show) {
    const CallAnswer answer = Get(std::string(kReportPaths) + path);
    const json::Owned json(cJSON_ParseWithLength(answer.body.data(), answer.body.size()));
    if (json == nullptr) throw Ending{kRefused, answer.from.ToText() + ": its answer isn't JSON"};
    if (options_.json) {
      out_ << json::Print(json.get(), true);
    } else {
      show(Value(json.get()));
    }
  }

  void ShowCore() {
    Report("core", [this](const Value& core) {
      out_ << "core as seen by " << core["node"].Text() << ": epoch " << core["epoch"].Text() << ", member "
           << core["member"].Text() << ", majority " << core["majority"].Text() << ", sealed "
           << core["sealed"].Text() << ", committed version " << core["committed_version"].Text() << "\n";
      Table table({"name", "life", "address", "state", "same life", "linked"});
      core["members"].ForEach([&](const Value& m) {
        table.Row({m["name"].Text(), m["life"].Text(), m["address"].Text(), m["state"].Text(),
                   m["life_seen"].Text(), m["linked"].Text()});
      });
      table.Print(out_);
    });
  }

  // Ordered at the first member that can; then whoever is asked has to have the roster without it in force.
  void ForgetInCore() {
    const Caller caller = MakeCaller();
    const auto ends = std::chrono::steady_clock::now() +
                      std::chrono::milliseconds(static_cast<int>(options_.timeout_s * 1000));
    std::string path = std::string(kReportPaths).append(kForgetPath) + EncodeName(what_);
    if (options_.force) path += kForced;
    const CallAnswer ordered = caller.Post(path, {});
    if (ordered.status != 200) throw Ending{kRefused, Refusal(ordered)};
    // Asked where it was ordered: that one is a member.
    const Caller there({ordered.from}, std::chrono::milliseconds(1000));
    while (std::chrono::steady_clock::now() < ends) {
      const CallAnswer answer = there.Get(std::string(kReportPaths) + "core");
      const json::Owned json(cJSON_ParseWithLength(answer.body.data(), answer.body.size()));
      const Value core(json.get());
      bool listed = false;
      std::size_t members = 0;
      core["members"].ForEach([&](const Value& m) {
        ++members;
        listed = listed || m["name"].Text() == what_;
      });
      if (members > 0 && !listed) {
        out_ << what_ << " is forgotten: epoch " << core["epoch"].Text() << " of " << members << " members\n";
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    throw Ending{kNobody, what_ + ": ordered, and not in force yet; look at core show"};
  }

  void ShowHosts() {
    Report("hosts", [this](const Value& hosts) {
      out_ << "hosts: " << hosts["count"].Text() << ", refused " << hosts["refused"].Text() << "\n";
      Table table({"service", "id", "address", "zone", "state", "slots", "sequence", "heard s ago"});
      hosts["hosts"].ForEach([&](const Value& h) {
        table.Row({h["service"].Text(), h["id"].Text(), h["address"].Text(), h["zone"].Text(),
                   h["state"].Text(), h["slots"].Text(), h["sequence"].Text(), h["heard_s_ago"].Brief()});
      });
      table.Print(out_);
    });
  }

  void ShowTenant() {
    Report("tenants/" + EncodeName(what_), [this](const Value& tenant) {
      Table table({"tenant", tenant["name"].Text()});
      for (const char* name : {"keys", "priority", "rate_per_s", "burst_size"})
        table.Row({name, tenant[name].Text()});
      if (tenant["here"].here()) {
        for (const char* name : {"level", "held", "lease", "share", "window"})
          table.Row({name, tenant["here"][name].Text()});
      } else {
        table.Row({"here", "no request of it came to this gateway of late"});
      }
      const Value holder = tenant["holder"];
      table.Row({"counted by", holder.here() ? holder["name"].Text() + " " + holder["address"].Text() +
                                                   " reached " + holder["reached"].Text()
                                             : "nobody"});
      table.Print(out_);
    });
  }

  void ShowGateways() {
    Report("gateways", [this](const Value& view) {
      out_ << "gateways: " << view["alive"].Text() << " alive, settled " << view["settled"].Text();
      if (view["refused"].here()) out_ << ", this one stays outside: " << view["refused"].Text();
      out_ << "\n";
      Table table({"name", "state", "address", "core", "here", "for s", "said by"});
      view["gateways"].ForEach([&](const Value& g) {
        table.Row({g["name"].Text(), g["state"].Text(), g["address"].Text(), g["core"].Text(),
                   g["here"].Text(), g["since_s"].Brief(), g["by"].Text()});
      });
      table.Print(out_);
    });
  }

  void ShowFigures() {
    const CallAnswer answer = Get(std::string(kReportPaths) + "figures");
    if (!options_.json) {
      out_ << answer.body;
      return;
    }
    Document document;
    cJSON* list = document.List("figures");
    std::string_view rest = answer.body;
    while (!rest.empty()) {
      const std::string_view line = rest.substr(0, rest.find('\n'));
      rest.remove_prefix(std::min(rest.size(), line.size() + 1));
      const auto blank = line.rfind(' ');
      double value = 0;
      if (line.starts_with('#') || blank == std::string_view::npos ||
          !ParseNumber(line.substr(blank + 1), value))
        continue;
      const std::string_view name = line.substr(0, std::min(line.find('{'), blank));
      json::Object each = AddTo(list);
      each.Text("name", std::string(name));
      if (name.size() < blank)
        each.Text("labels", std::string(line.substr(name.size(), blank - name.size())));
      each.Number("value", value);
    }
    out_ << document.Print(true);
  }

  void ShowConfigStatus() {
    Report("config/status", [this](const Value& status) {
      out_ << "version in force here " << status["version_in_force"].Text() << " since "
           << status["since"].Text() << ", committed " << status["version_committed"].Text() << ", ready "
           << status["ready"].Text() << "\n";
    });
  }

  void ShowConfig() {
    const CallAnswer answer = MakeCaller().Get(kReadPath);
    if (answer.status == 404) throw Ending{kRefused, answer.from.ToText() + ": no configuration is kept yet"};
    if (answer.status != 200) throw Ending{kRefused, Refusal(answer)};
    if (options_.json && options_.keys) {
      out_ << answer.body;
      return;
    }
    const auto policy = ReadAnswer(answer);
    if (options_.json) {
      const json::Owned json(cJSON_ParseWithLength(answer.body.data(), answer.body.size()));
      cJSON *tenant = nullptr, *key = nullptr;
      cJSON_ArrayForEach(tenant, cJSON_GetObjectItemCaseSensitive(json.get(), "tenants")) {
        cJSON* keys = cJSON_GetObjectItemCaseSensitive(tenant, "api_keys");
        cJSON_ArrayForEach(key, keys) if (cJSON_IsString(key)) cJSON_SetValuestring(key, "");
      }
      out_ << json::Print(json.get(), true);
      return;
    }
    out_ << Counts(*policy) << "\n";
    Table routes({"route", "service", "type", "timeout ms", "attempts"});
    for (const policy::Route& route : policy->routes())
      routes.Row({RouteName(route), ServicesOf(*policy, route),
                  route.repeat == policy::Repeat::kIdempotent ? "idempotent" : "non_idempotent",
                  std::to_string(route.timeout.count()), std::to_string(route.max_attempts)});
    routes.Print(out_);
    if (policy->tenants().empty()) return;
    Table tenants({"tenant", "rate per s", "burst", "keys"});
    for (const policy::Tenant& tenant : policy->tenants())
      tenants.Row({tenant.name, NumberText(tenant.rate_per_s), NumberText(tenant.burst_size),
                   std::to_string(tenant.api_keys.size())});
    tenants.Print(out_);
  }

  static std::shared_ptr<const policy::Policy> ReadAnswer(const CallAnswer& answer) {
    try {
      return policy::Policy::Read(answer.body);
    } catch (const policy::PolicyError& error) {
      throw Ending{kRefused, answer.from.ToText() + " has " + error.what()};
    }
  }

  void PushConfig() {
    const auto policy = ReadPolicy(what_);
    const Caller caller = MakeCaller();
    const CallAnswer answer = caller.Post(kReplacePath, policy->text());
    if (answer.status != 200) throw Ending{kRefused, Refusal(answer)};
    // The answer is the same for one that changes nothing: what is kept tells.
    std::string kept = "not read back";
    std::uint64_t version = 0;
    bool same = true;
    try {
      const CallAnswer read = caller.Get(kReadPath);
      if (read.status == 200) {
        const auto now = ReadAnswer(read);
        version = now->version();
        same = now->text() == policy->text();
        kept = "kept";
      }
    } catch (const NoAnswer&) {
    }
    if (!same && version >= policy->version())
      throw Ending{kRefused, what_ + ": version " + std::to_string(policy->version()) +
                                 " changes nothing: version " + std::to_string(version) +
                                 (version == policy->version() ? " with another text" : "") + " is kept"};
    if (options_.json) {
      Document document;
      document.Text("taken_by", answer.from.ToText())
          .Number("version", static_cast<double>(policy->version()));
      document.Flag("read_back", version > 0);
      out_ << document.Print(true);
    } else {
      out_ << what_ << ": version " << policy->version() << " taken by " << answer.from.ToText() << ", "
           << kept << "\n";
    }
  }

  void DiffConfig() {
    const auto after = ReadPolicy(what_);
    const CallAnswer answer = MakeCaller().Get(kReadPath);
    if (answer.status != 200 && answer.status != 404) throw Ending{kRefused, Refusal(answer)};
    const auto before = answer.status == 200 ? ReadAnswer(answer) : nullptr;
    using Pick = Items (*)(const policy::Policy&);
    const std::vector<std::pair<const char*, Pick>> kinds{
        {"route", &Routes}, {"service", &Services}, {"tenant", &Tenants}, {"limits", &LimitsOf}};
    std::vector<std::pair<const char*, Difference>> all;
    for (const auto& [kind, pick] : kinds)
      all.emplace_back(kind, Compare(before != nullptr ? pick(*before) : Items{}, pick(*after)));
    options_.json ? PrintDiffJson(before.get(), *after, all) : PrintDiff(before.get(), *after, all);
  }

  using Differences = std::vector<std::pair<const char*, Difference>>;

  void PrintDiff(const policy::Policy* before, const policy::Policy& after, const Differences& all) {
    const std::uint64_t now = before != nullptr ? before->version() : 0;
    out_ << "version " << (before != nullptr ? std::to_string(now) : "none") << " -> " << after.version()
         << (after.version() <= now ? " (not above: a push would change nothing)" : "") << "\n";
    bool any = false;
    for (const auto& [kind, difference] : all) {
      any = any || !difference.empty();
      for (const std::string& name : difference.removed) out_ << "- " << kind << " " << name << "\n";
      for (const std::string& name : difference.added) out_ << "+ " << kind << " " << name << "\n";
      for (const Changed& changed : difference.changed)
        for (const auto& [field, from, to] : changed.fields)
          out_ << "~ " << kind << " " << changed.name << " " << field << ": " << from << " -> " << to << "\n";
    }
    if (!any) out_ << "no difference in routes, services, tenants and limits\n";
  }

  void PrintDiffJson(const policy::Policy* before, const policy::Policy& after, const Differences& all) {
    Document document;
    before != nullptr ? document.Number("version_in_force", static_cast<double>(before->version()))
                      : document.None("version_in_force");
    document.Number("version", static_cast<double>(after.version()));
    for (const auto& [kind, difference] : all) {
      json::Object each = document.Inner(kind);
      cJSON* added = each.List("added");
      for (const std::string& name : difference.added) AddText(added, name);
      cJSON* removed = each.List("removed");
      for (const std::string& name : difference.removed) AddText(removed, name);
      cJSON* list = each.List("changed");
      for (const Changed& changed : difference.changed)
        for (const auto& [field, from, to] : changed.fields)
          AddTo(list).Text("name", changed.name).Text("field", field).Text("from", from).Text("to", to);
    }
    out_ << document.Print(true);
  }

  void ShowEvents() {
    int number = 0;
    if (!what_.empty() && !ParseNumber(std::string_view(what_), number))
      throw Ending{kUsage, what_ + ": not a number"};
    Document document;
    cJSON* list = document.List("events");
    Table table({"number", "level", "name", "meaning"});
    bool any = false;
    for (const events::Entry& entry : events::kEntries) {
      if (!what_.empty() && static_cast<int>(entry.event) != number) continue;
      any = true;
      const std::string level(events::LevelName(entry.level)), name(entry.name), meaning(entry.meaning);
      table.Row({std::to_string(static_cast<int>(entry.event)), level, name, meaning});
      json::Object each = AddTo(list);
      each.Number("number", static_cast<int>(entry.event)).Text("level", level);
      each.Text("name", name).Text("meaning", meaning);
    }
    if (!any) throw Ending{kUsage, what_ + ": no event has that number"};
    options_.json ? static_cast<void>(out_ << document.Print(true)) : table.Print(out_);
  }

  // ---- A storage ----

  struct StorageLook {
    std::string directory, life;
    storage::Records records;
    agreement::State state;
    bool member = false;
  };

  static StorageLook ReadStorage(std::string directory) {
    const auto there = [](const std::string& path) { return !storage::StorageEmpty(path); };
    if (!there(directory) && there(directory + "/core")) directory += "/core";  // the data directory
    StorageLook look;
    look.directory = directory;
    try {
      look.records = storage::ReadStopped(directory);
    } catch (const storage::StorageError& error) {
      throw Ending{kRefused, error.what()};
    }
    std::optional<std::string> life, state, value;
    for (const auto& [key, bytes] : look.records) {
      if (key == "life") {
        life = bytes;
      } else if (key == agreement::kStateKey) {
        state = bytes;
      } else if (key == agreement::kValueKey) {
        value = bytes;
      } else if (key == kHostsRecord) {
        if (!directory::Decode(bytes, std::chrono::steady_clock::now()))
          throw Ending{kRefused, directory + ": record hosts: can't be read"};
      } else if (key == kGatewaysRecord) {
        if (std::uint32_t gateways = 0; !ParseNumber(bytes, gateways))
          throw Ending{kRefused, directory + ": record gateways: not a number"};
      } else {
        throw Ending{kRefused, directory + ": a record that is none of ours, of " +
                                   std::to_string(key.size()) + " bytes of key"};
      }
    }
    std::uint64_t disk = 0;
    const bool sized = life && (life->size() == 16 || (life->size() == 17 && life->back() == 'b'));
    const bool hex =
        sized && std::from_chars(life->data(), life->data() + 16, disk, 16).ptr == life->data() + 16;
    if (!hex) throw Ending{kRefused, directory + ": record life: " + (life ? "not a life" : "missing")};
    look.life = *life;
    const auto decoded = agreement::DecodeState(state, value);
    if (!decoded) throw Ending{kRefused, directory + ": record state or value: can't be read"};
    look.state = *decoded;
    for (const agreement::Member& member : look.state.roster.members)
      look.member = look.member || member.life.disk == disk;
    const agreement::Value& kept = look.state.value;
    if (kept.version == 0) return look;
    try {
      if (policy::Policy::Read(kept.text)->version() != kept.version)
        throw Ending{kRefused, directory + ": record value: the text has another version"};
    } catch (const policy::PolicyError& error) {
      throw Ending{kRefused, directory + ": record value: " + error.what()};
    }
    return look;
  }

  void LookAtStorage(bool dump) {
    const StorageLook look = ReadStorage(what_);
    const agreement::State& state = look.state;
    if (dump && options_.json && options_.keys) {
      if (state.value.version == 0) throw Ending{kRefused, look.directory + ": holds no configuration"};
      out_ << state.value.text;
      return;
    }
    if (options_.json) return PrintStorageJson(look, dump);
    out_ << look.directory << ": good, " << look.records.size() << " records\n";
    out_ << "life " << look.life << ", epoch " << state.roster.epoch << ", member "
         << (look.member ? "yes" : "no") << ", sealed " << (state.accepted ? "yes" : "no") << ", version "
         << state.value.version << "\n";
    if (!dump) return;
    Table members({"name", "life", "address"});
    for (const agreement::Member& member : state.roster.members)
      members.Row({member.life.node, HexText(member.life.disk), member.address});
    members.Print(out_);
    out_ << "promised round " << state.promised.round << "\n";
    if (state.accepted) {
      out_ << "accepted successor, round " << state.accepted->ballot.round << ":";
      for (const agreement::Member& member : state.accepted->members) out_ << " " << member.life.node;
      out_ << "\n";
    }
    Table records({"record", "bytes"});
    for (const auto& [key, bytes] : look.records) records.Row({key, std::to_string(bytes.size())});
    records.Print(out_);
  }

  void PrintStorageJson(const StorageLook& look, bool dump) {
    const agreement::State& state = look.state;
    Document document;
    document.Text("directory", look.directory).Text("life", look.life).Flag("member", look.member);
    document.Number("epoch", static_cast<double>(state.roster.epoch));
    document.Flag("sealed", state.accepted.has_value());
    document.Number("version", static_cast<double>(state.value.version));
    if (dump) {
      const auto add = [](cJSON* list, const std::vector<agreement::Member>& members) {
        for (const agreement::Member& member : members)
          AddTo(list)
              .Text("name", member.life.node)
              .Text("life", HexText(member.life.disk))
              .Text("address", member.address);
      };
      add(document.List("roster"), state.roster.members);
      document.Number("promised_round", static_cast<double>(state.promised.round));
      if (state.accepted) add(document.List("accepted"), state.accepted->members);
      cJSON* records = document.List("records");
      for (const auto& [key, bytes] : look.records)
        AddTo(records).Text("key", key).Number("bytes", static_cast<double>(bytes.size()));
    }
    out_ << document.Print(true);
  }

  // ---- Files ----

  void CheckSettings() {
    const std::string path = what_.empty() ? options_.settings : what_;
    try {
      const auto settings = settings::LoadSettings(path);
      if (options_.json) {
        Document document;
        document.Text("file", path).Text("node_name", settings.node_name).Text("zone", settings.zone);
        out_ << document.Print(true);
      } else {
        out_ << path << ": " << settings.node_name << " in " << settings.zone << "\n";
      }
    } catch (const settings::SettingsError& error) {
      throw Ending{kRefused, error.what()};
    }
  }

  void CheckConfig() {
    const auto policy = ReadPolicy(what_);
    if (!options_.json) {
      out_ << what_ << ": " << Counts(*policy) << "\n";
      return;
    }
    Document document;
    document.Text("file", what_).Number("version", static_cast<double>(policy->version()));
    document.Number("routes", static_cast<double>(policy->routes().size()));
    document.Number("services", static_cast<double>(policy->services().size()));
    document.Number("tenants", static_cast<double>(policy->tenants().size()));
    out_ << document.Print(true);
  }

  void ShowVersion() {
    if (!options_.json) {
      out_ << "curlewdoor-system " << CURLEWDOOR_VERSION << "\n";
      return;
    }
    Document document;
    document.Text("version", CURLEWDOOR_VERSION);
    out_ << document.Print(true);
  }

  const ConsoleOptions& options_;
  std::ostream& out_;
  std::string what_;  // the word behind the command
};

}  // namespace

int RunConsole(const ConsoleOptions& options, std::ostream& out, std::ostream& err) {
  const auto end = [&](ExitCode code, const std::string& text) {
    err << "curlewdoor-system: " << text << "\n";
    return code;
  };
  if (!(options.timeout_s > 0) || options.timeout_s > kMostTimeout)
    return end(kUsage, "--timeout: more than 0 and at most 3600 seconds");
  try {
    Console(options, out).Run();
  } catch (const Ending& ending) {
    return end(ending.code, ending.text);
  } catch (const NoAnswer& none) {
    return end(kNobody, std::string("nobody answered: ") + none.what());
  }
  out.flush();
  return out ? kDone : end(kRefused, "the output can't be written");
}

}  // namespace curlewdoor::system
