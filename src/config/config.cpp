#include "config/config.hpp"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "duty/duty_manager.hpp"
#include "fleet/message.hpp"
#include "util/hash.hpp"
#include "util/number.hpp"
#include "wire/codec.hpp"

namespace curlewdoor::config {
namespace {

using nlohmann::json;

constexpr int kLeastSockets = 128;
constexpr int kMostSockets = 1'000'000;

enum class Precedence { kEnvironment, kFile };  // which goes before the other, where both tell

// Reads parts of the file; remembers the first that is faulty.
class Reader {
 public:
  Reader(const json& file, const Environment& environment, Precedence first, std::string& error)
      : file_(file), environment_(environment), first_(first), error_(error) {}

  void Fail(std::string_view key, std::string_view what) {
    if (error_.empty()) error_.append(key).append(": ").append(what);
  }

  const json* Find(const char* key) const {
    const auto it = file_.find(key);
    return it != file_.end() && !it->is_null() ? &*it : nullptr;
  }

  // A text that the environment may give instead.
  std::optional<std::string> Text(const char* key, const char* variable) {
    const json* value = Find(key);
    if (variable != nullptr && (first_ == Precedence::kEnvironment || value == nullptr))
      if (const auto it = environment_.find(variable); it != environment_.end()) return it->second;
    if (value == nullptr) return std::nullopt;
    if (value->is_string()) return value->get<std::string>();
    Fail(key, "is not a text");
    return std::nullopt;
  }

  curlewdoor::Address Address(const char* key, const char* variable) {
    const auto text = Text(key, variable);
    if (!text)
      Fail(key, variable != nullptr ? fmt::format("is missing, and so is {}", variable) : "is missing");
    const auto address = ParseAddress(text.value_or(""));
    if (!address) Fail(key, fmt::format("is not an IPv4 address with a port: {}", text.value_or("")));
    return address.value_or(curlewdoor::Address{});
  }

  template <typename Value>
  Value Limit(const char* key, Value least, Value most, Value absent) {
    return Number("limits", key, least, most, absent);
  }
  // A number within an object of the top level.
  template <typename Value>
  Value Number(const char* object, const char* key, Value least, Value most, Value absent) {
    const json* found = Find(object);
    if (found == nullptr) return absent;
    const std::string path = fmt::format("{}.{}", object, key);
    if (!found->is_object()) return Fail(object, "is not an object"), absent;
    const auto it = found->find(key);
    if (it == found->end()) return absent;
    if (!it->is_number()) return Fail(path, "is not a number"), absent;
    const double value = it->get<double>();
    if (value < static_cast<double>(least) || value > static_cast<double>(most))
      return Fail(path, fmt::format("is out of range: {}", it->dump())), absent;
    return static_cast<Value>(value);
  }

 private:
  const json& file_;
  const Environment& environment_;
  const Precedence first_;
  std::string& error_;
};

// Hexadecimal, as the platform gives it.
std::uint64_t ReadSeed(Reader& reader) {
  const auto text = reader.Text("seed", nullptr).value_or("0");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error == std::errc{} && end == text.data() + text.size()) return seed;
  return StableHash(text);
}

std::string Scalar(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return text;
}

// Nested JSON to the path=value pairs of the simulator's wire, whose field code reads both.
void Flatten(const json& value, const std::string& path,
             std::vector<std::pair<std::string, std::string>>& out) {
  const std::string prefix = path.empty() ? path : fmt::format("{}.", path);
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) Flatten(inner, prefix + key, out);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    out.emplace_back(prefix + "count", std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i) Flatten(value[i], prefix + std::to_string(i), out);
  } else if (value.is_array()) {
    std::string joined;
    for (const json& each : value) {
      if (!joined.empty()) joined += ',';
      joined += Scalar(each);
    }
    out.emplace_back(path, joined);
  } else {
    out.emplace_back(path, Scalar(value));
  }
}

// Paths of all keys, but for what stands in the list of hosts.
std::set<std::string> KeysOf(const json& value, const std::string& path) {
  std::set<std::string> keys;
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) {
      const std::string own = path.empty() ? key : fmt::format("{}.{}", path, key);
      keys.insert(own);
      if (own != "known") keys.merge(KeysOf(inner, own));
    }
  } else if (value.is_array() && !value.empty()) {
    keys = KeysOf(value.front(), path + "[]");
    for (const json& item : value) {
      const auto of_item = KeysOf(item, path + "[]");
      std::erase_if(keys, [&](const std::string& key) { return !of_item.contains(key); });
    }
  }
  return keys;
}

// What no request can do without. Texts that hold a number are none here.
void CheckClasses(Reader& reader, const json& settings) {
  const auto positive = [](const json& value) { return value.is_number() && value.get<double>() > 0; };
  const auto classes = settings.find("request_classes");
  if (classes != settings.end() && classes->is_array()) {
    std::set<std::string> names;
    for (std::size_t i = 0; i < classes->size(); ++i) {
      const json& item = (*classes)[i];
      const auto path = [&](const char* key) {
        return fmt::format("settings.request_classes[{}].{}", i, key);
      };
      for (const char* key : {"name", "effect", "aim_ns", "deadline_ns"})
        if (!item.is_object() || !item.contains(key)) return reader.Fail(path(key), "is missing");
      for (const char* key : {"aim_ns", "deadline_ns"})
        if (!positive(item[key])) reader.Fail(path(key), "is not a positive number: " + item[key].dump());
      if (!item["name"].is_string() || item["name"].get<std::string>().empty())
        return reader.Fail(path("name"), "is not a name");
      if (!names.insert(item["name"].get<std::string>()).second) reader.Fail(path("name"), "stands twice");
    }
  }
  const auto limits = settings.find("limits");
  if (limits == settings.end() || !limits->is_object() || !limits->contains("max_attempts"))
    return reader.Fail("settings.limits.max_attempts", "is missing");
  const json& attempts = (*limits)["max_attempts"];
  if (!attempts.is_number_integer() || !positive(attempts))
    reader.Fail("settings.limits.max_attempts", "is not a positive whole number: " + attempts.dump());
}

void ReadSettings(Reader& reader, Settings& settings) {
  const json* nested = reader.Find("settings");
  if (nested == nullptr) return reader.Fail("settings", "is missing");
  if (!nested->is_object()) return reader.Fail("settings", "is not an object");
  CheckClasses(reader, *nested);
  std::vector<std::pair<std::string, std::string>> flat;
  Flatten(*nested, "", flat);
  for (const auto& [path, text] : flat)
    if (!wire::ApplySetting(path, text, settings))
      reader.Fail(fmt::format("settings.{}", path), fmt::format("has a bad value: {}", text));
  if (settings.classes.empty()) reader.Fail("settings.request_classes", "names no class");
  if (settings.plans.empty()) reader.Fail("settings.tariffs", "names no plan");
  if (settings.gateways < 1) reader.Fail("settings.siblings", "is below 1");
  if (settings.own_index < 0 || settings.own_index >= settings.gateways)
    reader.Fail("settings.me", "is not below siblings");
  if (settings.limits.connect_timeout <= Duration::zero())
    reader.Fail("settings.limits.dial_timeout_ns", "is not above 0");
  if (settings.limits.connection_idle <= Duration::zero())
    reader.Fail("settings.limits.conn_idle_ns", "is not above 0");
  if (settings.counter.available && settings.counter.timeout <= Duration::zero())
    reader.Fail("settings.domain.count_wait_ns", "is not above 0");
}

constexpr std::size_t kMostSeeds = 16;

bool IsFleetName(const std::string& text) {
  return !text.empty() && text.size() <= fleet::kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~' && c != ','; });
}

// Every key of `fleet`, and what they mean together.
std::optional<Fleet> ReadFleet(Reader& reader, const std::string& own_name) {
  const json* found = reader.Find("fleet");
  if (found == nullptr) return std::nullopt;
  if (!found->is_object()) return reader.Fail("fleet", "is not an object"), std::nullopt;
  Fleet fleet;
  for (const auto& [key, value] : found->items()) {
    constexpr std::string_view kKnown[] = {"name", "listen", "advertise", "seeds", "size", "probe_ms"};
    if (std::find(std::begin(kKnown), std::end(kKnown), key) == std::end(kKnown))
      reader.Fail("fleet." + key, "is not known");
  }
  const auto text = [&](const char* key) -> std::optional<std::string> {
    const auto it = found->find(key);
    if (it == found->end()) return std::nullopt;
    if (it->is_string()) return it->get<std::string>();
    return reader.Fail(fmt::format("fleet.{}", key), "is not a text"), std::nullopt;
  };
  const auto address = [&](const std::string& key, const std::string& from, bool any_port) {
    const auto read = ParseAddress(from);
    if (!read) reader.Fail(key, fmt::format("is not an IPv4 address with a port: {}", from));
    if (read && read->ip == INADDR_ANY) reader.Fail(key, "is no address that others could send to");
    if (read && read->port == 0 && !any_port) reader.Fail(key, "has port 0");
    return read.value_or(Address{});
  };
  fleet.name = text("name").value_or("");
  if (!IsFleetName(fleet.name))
    reader.Fail("fleet.name", "is missing or no name of 1 to 64 plain characters");
  if (!IsFleetName(own_name)) reader.Fail("name", "must have 1 to 64 plain characters where fleet is given");
  const auto listen = text("listen");
  if (!listen) reader.Fail("fleet.listen", "is missing");
  fleet.listen = address("fleet.listen", listen.value_or(""), false);
  const auto advertise = text("advertise");
  fleet.advertise = advertise ? address("fleet.advertise", *advertise, false) : fleet.listen;
  if (const auto seeds = found->find("seeds"); seeds == found->end()) {
    reader.Fail("fleet.seeds", "is missing");
  } else if (!seeds->is_array() || seeds->size() > kMostSeeds) {
    reader.Fail("fleet.seeds", fmt::format("is not a list of at most {} addresses", kMostSeeds));
  } else {
    for (std::size_t i = 0; i < seeds->size(); ++i) {
      const std::string key = fmt::format("fleet.seeds[{}]", i);
      const json& each = (*seeds)[i];
      if (!each.is_string()) return reader.Fail(key, "is not a text"), std::nullopt;
      const Address seed = address(key, each.get<std::string>(), false);
      if (std::find(fleet.seeds.begin(), fleet.seeds.end(), seed) != fleet.seeds.end())
        reader.Fail(key, "stands twice");
      fleet.seeds.push_back(seed);
    }
  }
  if (!found->contains("size")) reader.Fail("fleet.size", "is missing");
  fleet.size = reader.Number<std::size_t>("fleet", "size", 1, fleet::kMaxMembers, 1);
  const json& size = found->contains("size") ? (*found)["size"] : json(1);
  if (!size.is_number_integer()) reader.Fail("fleet.size", "is not a whole number");
  if (fleet.size < fleet.seeds.size())
    reader.Fail("fleet.size", fmt::format("is {}, and there are {} seeds", fleet.size, fleet.seeds.size()));
  fleet.probe = std::chrono::milliseconds(reader.Number("fleet", "probe_ms", 50, 60'000, 500));
  return fleet;
}

// A list of names, each once.
std::vector<std::string> ReadNames(Reader& reader, const json& object, const char* key, std::size_t most,
                                   std::size_t longest) {
  std::vector<std::string> names;
  const std::string path = fmt::format("duty.{}", key);
  const auto list = object.find(key);
  if (list == object.end()) return names;
  if (!list->is_array() || list->size() > most)
    return reader.Fail(path, fmt::format("is not a list of at most {} names", most)), names;
  for (const json& each : *list) {
    const std::string name = each.is_string() ? each.get<std::string>() : "";
    if (!IsFleetName(name) || name.size() > longest)
      return reader.Fail(path,
                         fmt::format("holds no name of 1 to {} plain characters: {}", longest, each.dump())),
             names;
    if (std::find(names.begin(), names.end(), name) != names.end())
      reader.Fail(path, fmt::format("holds {} twice", name));
    names.push_back(name);
  }
  return names;
}

// Every key of `duty`, and what they mean together.
std::optional<Duty> ReadDuty(Reader& reader, const std::optional<Fleet>& fleet) {
  const json* found = reader.Find("duty");
  if (found == nullptr) return std::nullopt;
  if (!found->is_object()) return reader.Fail("duty", "is not an object"), std::nullopt;
  if (!fleet) return reader.Fail("duty", "is given, and fleet is not"), std::nullopt;
  Duty duty;
  for (const auto& [key, value] : found->items()) {
    constexpr std::string_view kKnown[] = {"voters",      "voters_before", "names",    "lease_ms",
                                           "clock_bound", "ledger",        "record_ms"};
    if (std::find(std::begin(kKnown), std::end(kKnown), key) == std::end(kKnown))
      reader.Fail("duty." + key, "is not known");
  }
  duty.voters = ReadNames(reader, *found, "voters", duty::kMaxVoters, fleet::kMaxNameBytes);
  duty.voters_before = ReadNames(reader, *found, "voters_before", duty::kMaxVoters, fleet::kMaxNameBytes);
  duty.names = ReadNames(reader, *found, "names", duty::kMaxDuties, duty::kMaxDutyNameBytes);
  if (duty.voters.empty()) reader.Fail("duty.voters", "is missing or empty");
  if (duty.names.empty()) reader.Fail("duty.names", "is missing or empty");
  for (const auto& [key, list] :
       {std::pair("duty.voters", &duty.voters), {"duty.voters_before", &duty.voters_before}}) {
    if (!list->empty() && list->size() % 2 == 0)
      reader.Fail(key, fmt::format("are {}: an odd number is needed", list->size()));
    if (list->size() > fleet->size)
      reader.Fail(key, fmt::format("are {}, and fleet.size is {}", list->size(), fleet->size));
  }
  for (const std::string& name : duty.names)
    if (name != "record") reader.Fail("duty.names", fmt::format("holds {}, and there is record alone", name));
  duty.lease = std::chrono::milliseconds(reader.Number("duty", "lease_ms", 100, 600'000, 3000));
  if (duty.lease < 2 * fleet->probe)
    reader.Fail("duty.lease_ms", fmt::format("is {}, below twice fleet.probe_ms", duty.lease.count()));
  duty.clock_bound = reader.Number("duty", "clock_bound", 0.0001, 0.1, 0.01);
  duty.record_every = std::chrono::milliseconds(reader.Number("duty", "record_ms", 20, 3'600'000, 10'000));
  if (const auto ledger = found->find("ledger"); ledger != found->end()) {
    const auto address = ledger->is_string() ? ParseAddress(ledger->get<std::string>()) : std::nullopt;
    if (!address || address->port == 0)
      reader.Fail("duty.ledger", fmt::format("is not an IPv4 address with a port: {}", ledger->dump()));
    duty.ledger = address;
  }
  if (!duty.ledger) reader.Fail("duty.ledger", "is missing, and duty.names holds record");
  return duty;
}

int SocketsAllowed(int configured) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return configured;
  return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, static_cast<rlim_t>(configured)));
}

}  // namespace

Environment ReadEnvironment() {
  Environment environment;
  for (const char* name : {"RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG", "RELAY_ADMIN",
                           "RELAY_LISTEN_FD", "TMPDIR"})
    if (const char* value = std::getenv(name); value != nullptr && *value != '\0') environment[name] = value;
  return environment;
}

namespace {

std::optional<Config> Parse(std::string_view text, const Environment& environment, Precedence first,
                            std::string& error) {
  error.clear();
  const json file = json::parse(text, nullptr, false);
  if (!file.is_object()) {
    error = "the configuration is not a JSON object";
    return std::nullopt;
  }
  Reader reader(file, environment, first, error);
  Config config;
  config.name = reader.Text("name", "RELAY_NAME").value_or("gateway");
  config.listen = reader.Address("listen", "RELAY_LISTEN");
  config.discovery = reader.Address("discovery", "RELAY_DISCOVERY");
  if (reader.Text("admin", "RELAY_ADMIN")) config.admin = reader.Address("admin", "RELAY_ADMIN");
  if (config.admin && *config.admin == config.listen && config.listen.port != 0)
    reader.Fail("admin", "is the address of listen");
  if (const auto it = environment.find("RELAY_LISTEN_FD"); it != environment.end()) {
    int fd = -1;
    if (!ParseNumber(it->second, fd) || fd < 3)
      reader.Fail("RELAY_LISTEN_FD", fmt::format("is not a descriptor above 2: {}", it->second));
    config.listen_fd = fd;
  }
  if (const auto it = environment.find("TMPDIR"); it != environment.end()) config.scratch = it->second;
  config.seed = ReadSeed(reader);
  config.cores = reader.Limit("cores", 0.01, 1024.0, config.cores);
  config.memory_mb = reader.Limit("memory_mb", 16, 1 << 24, config.memory_mb);
  config.sockets = SocketsAllowed(reader.Limit("sockets", kLeastSockets, kMostSockets, config.sockets));
  ReadSettings(reader, config.settings);
  const double slot_ms = reader.Number("counting", "presence_slot_ms", 50.0, 60'000.0, 0.0);
  config.settings.counting.presence_slot =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(slot_ms));
  if (slot_ms > 0 && !config.settings.counter.available)
    reader.Fail("counting.presence_slot_ms", "is given, and settings.domain.has_counter is not true");
  config.fleet = ReadFleet(reader, config.name);
  config.duty = ReadDuty(reader, config.fleet);
  config.keys = KeysOf(file, "");
  if (config.settings.counter.available) config.counter = reader.Address("counter", nullptr);
  if (const json* known = reader.Find("known")) {
    std::string what;
    config.known = ReadMembers(*known, what);
    if (!config.known) reader.Fail("known", what);
  }
  if (!error.empty()) return std::nullopt;
  return config;
}

// The name of the file, for messages, goes before what is wrong in it.
std::optional<Config> ReadFile(const std::string& given, const Environment& environment, Precedence first,
                               std::string& error) {
  std::string path = given;
  if (path.empty())
    if (const auto it = environment.find("RELAY_CONFIG"); it != environment.end()) path = it->second;
  if (path.empty()) {
    error = "no configuration: neither --config nor RELAY_CONFIG names a file";
    return std::nullopt;
  }
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    error = "can't read " + path;
    return std::nullopt;
  }
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  auto config = Parse(text, environment, first, error);
  if (!config) error = fmt::format("{}: {}", path, error);
  return config;
}

}  // namespace

std::optional<Config> ParseConfig(std::string_view text, const Environment& environment, std::string& error) {
  return Parse(text, environment, Precedence::kEnvironment, error);
}

std::optional<Config> LoadConfig(const std::string& path, const Environment& environment,
                                 std::string& error) {
  return ReadFile(path, environment, Precedence::kEnvironment, error);
}

std::optional<Config> ReloadConfig(const std::string& path, const Environment& environment,
                                   const Config& running, std::string& error) {
  auto next = ReadFile(path, environment, Precedence::kFile, error);
  if (!next) return std::nullopt;
  const std::string missing = MissingKey(running, *next);
  if (missing.empty()) return next;
  error = fmt::format("{}: {}: is missing, and the configuration in force has it", path, missing);
  return std::nullopt;
}

std::string MissingKey(const Config& running, const Config& next) {
  for (const std::string& key : running.keys)
    if (!next.keys.contains(key)) return key;
  return "";
}

Settings Retuned(const Config& running, const Config& next) {
  Settings settings = next.settings;
  settings.own_index = running.settings.own_index;
  settings.gateways = running.settings.gateways;
  settings.discovery = running.settings.discovery;
  settings.counting = running.settings.counting;
  settings.counter.available = running.settings.counter.available;
  return settings;
}

std::vector<std::string> NeedRestart(const Config& running, const Config& next) {
  std::vector<std::string> keys;
  if (next.listen != running.listen) keys.emplace_back("listen");
  if (next.admin != running.admin) keys.emplace_back("admin");
  if (next.sockets != running.sockets) keys.emplace_back("limits.sockets");
  if (next.settings.counting.presence_slot != running.settings.counting.presence_slot)
    keys.emplace_back("counting");
  if (next.fleet != running.fleet) keys.emplace_back("fleet");
  if (next.duty.has_value() != running.duty.has_value() ||
      (next.duty &&
       (next.duty->ledger != running.duty->ledger || next.duty->record_every != running.duty->record_every)))
    keys.emplace_back("duty");
  if (next.settings.own_index != running.settings.own_index) keys.emplace_back("settings.me");
  if (next.settings.gateways != running.settings.gateways) keys.emplace_back("settings.siblings");
  if (next.settings.discovery != running.settings.discovery) keys.emplace_back("settings.discovery");
  if (next.settings.counter.available != running.settings.counter.available)
    keys.emplace_back("settings.domain.has_counter");
  return keys;
}

}  // namespace curlewdoor::config
