// curlewdoor-kit: rehearsals, searches, load and single stand-ins on the command line.
#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fleetkit/virtual_fleet.hpp"
#include "playing/fleet_rig.hpp"
#include "playing/load.hpp"
#include "playing/socket_run.hpp"
#include "playing/stand.hpp"
#include "rehearsal/report.hpp"
#include "rehearsal/scenario.hpp"
#include "rehearsal/search.hpp"
#include "rehearsal/virtual_run.hpp"

namespace curlewdoor {
namespace {

namespace options = boost::program_options;

constexpr int kHeld = 0, kBroken = 1, kBadUsage = 2, kNotJudged = 3;

struct BadUsage : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Given {
  std::string command;
  std::vector<std::string> words;  // behind the command
  std::string json, html, seeds, program, logs, listen, discovery = "127.0.0.1:1", counter = "127.0.0.1:1";
  std::vector<std::string> nodes;
  std::optional<std::uint64_t> seed;
  int gateways = 0, gateway = 0;
  unsigned threads = 0;
  double work_ms = 50, calls_per_s = 1e6, seconds = 0;
  bool in_virtual = false, on_sockets = false;
  playing::LoadOptions load;
};

rehearsal::Scenario Load(const Given& given) {
  if (given.words.size() != 1) throw BadUsage(given.command + " takes one file");
  std::string error;
  auto scenario = rehearsal::LoadScenario(given.words[0], error);
  if (!scenario) throw BadUsage(error);
  if (given.gateways > 0) scenario->gateways = given.gateways;
  return std::move(*scenario);
}

Address ReadAddress(const std::string& text, const char* what) {
  const auto address = ParseAddress(text);
  if (!address) throw BadUsage(fmt::format("{} \"{}\" is not an IPv4 address with a port", what, text));
  return *address;
}

// What a file may say and this way of playing it can't do: gateways that --gateways leaves out, and faults of
// a network that sockets on loopback do not have.
void CheckPlayable(const rehearsal::Scenario& scenario, bool on_sockets) {
  for (const rehearsal::Fault& fault : scenario.faults) {
    const rehearsal::FaultWord& word = rehearsal::WordOf(fault.kind);
    const bool of_network = word.target == rehearsal::Target::kNetwork;
    if (on_sockets && of_network)
      throw BadUsage(fmt::format("fault {} needs a network of its own: play it with --virtual", word.word));
    if (!of_network && word.target != rehearsal::Target::kGateway) continue;
    for (const std::string& name : fault.names) {
      bool found = false;
      for (int g = 0; g < scenario.gateways && !found; ++g) found = name == rehearsal::GatewayName(g);
      if (!found) throw BadUsage(fmt::format("fault {} names {}: --gateways leaves it out", word.word, name));
    }
  }
}

// A line that is written over, on a terminal only.
class ProgressLine {
 public:
  ~ProgressLine() {
    if (shown_) fmt::print(stderr, "\r\033[K");
  }
  void Show(const std::string& text) {
    if (::isatty(STDERR_FILENO) == 0) return;
    shown_ = true;
    fmt::print(stderr, "\r\033[K{}", text);
    std::fflush(stderr);
  }

 private:
  bool shown_ = false;
};

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  out.close();
  if (!out) throw std::runtime_error("can't write " + path);
}

int Rehearse(const Given& given, const char* own_path) {
  if (given.in_virtual && given.on_sockets) throw BadUsage("--virtual or --sockets, not both");
  const rehearsal::Scenario scenario = Load(given);
  const std::uint64_t seed = given.seed.value_or(scenario.seed);
  const bool on_sockets = given.on_sockets;
  CheckPlayable(scenario, on_sockets);
  rehearsal::RunResult result;
  if (on_sockets) {
    playing::SocketOptions how;
    how.gateway_program = given.program.empty() ? playing::GatewayProgramBeside(own_path) : given.program;
    how.log_folder = given.logs;
    ProgressLine progress;
    how.on_progress = [&](double at) {
      progress.Show(
          fmt::format("{}: {:.0f} of {:.0f} s", scenario.name, std::max(0.0, at), scenario.length_s));
    };
    result = playing::SocketRun(scenario, seed, how).Play();
  } else {
    result = rehearsal::VirtualRun(scenario, seed, true).Play();
  }
  fmt::print("{}", rehearsal::TextReport(result));
  if (!given.json.empty()) WriteFile(given.json, rehearsal::JsonReport(result).dump(1) + "\n");
  if (!given.html.empty()) {
    WriteFile(given.html, rehearsal::HtmlReport(result));
    fmt::print("report: {}\n", given.html);
  }
  if (!result.not_judged.empty()) return kNotJudged;
  return result.AllHeld() ? kHeld : kBroken;
}

std::pair<std::uint64_t, std::uint64_t> ReadSeeds(const std::string& text) {
  constexpr std::uint64_t kMostSeeds = 1'000'000;
  const auto dots = text.find("..");
  std::uint64_t first = 0, last = 0;
  try {
    if (dots == std::string::npos) throw std::invalid_argument("no dots");
    first = std::stoull(text.substr(0, dots));
    last = std::stoull(text.substr(dots + 2));
  } catch (const std::exception&) {
    throw BadUsage(fmt::format("--seeds \"{}\" is not of the form 1..1000", text));
  }
  if (last < first || last - first >= kMostSeeds) throw BadUsage("--seeds must rise, over a million at most");
  return {first, last};
}

nlohmann::json Json(const fleetkit::Result& result) {
  nlohmann::json json{{"scenario", result.scenario},
                      {"seed", result.seed},
                      {"real", result.real},
                      {"held", result.AllHeld()}};
  for (const auto& verdict : result.verdicts) json["verdicts"][verdict.property] = verdict.broken;
  for (const auto& [name, value] : result.figures) json["figures"][name] = value;
  for (const auto& wait : result.waits)
    json["waits"].push_back({{"what", wait.what},
                             {"at", wait.at},
                             {"took", wait.took},
                             {"within", wait.within},
                             {"first", wait.first},
                             {"last", wait.last},
                             {"missing", wait.missing}});
  return json;
}

// Several gateways that see one another: with real processes, or in virtual time, there with many seeds too.
int Fleet(const Given& given, const char* own_path) {
  if (given.words.size() != 1) throw BadUsage("fleet takes one file");
  std::string error;
  auto scenario = fleetkit::LoadScenario(given.words[0], error);
  if (!scenario) throw BadUsage(error);
  const int most =
      given.in_virtual || !given.seeds.empty() ? fleetkit::kMostGateways : fleetkit::kMostProcesses;
  if (given.gateways > most) throw BadUsage(fmt::format("--gateways {} is over {}", given.gateways, most));
  if (given.gateways > 0) {
    for (const fleetkit::Fault& fault : scenario->faults)
      for (int g : fault.who)
        if (g >= given.gateways)
          throw BadUsage(fmt::format("a fault names {}: --gateways leaves it out", fleetkit::NameOf(g)));
    scenario->gateways = scenario->started = scenario->size = given.gateways;
    scenario->seeds = std::min(scenario->seeds, given.gateways);
  }
  const std::string again = fmt::format("curlewdoor-kit fleet {}", given.words[0]);
  if (!given.seeds.empty()) {
    const auto [first, last] = ReadSeeds(given.seeds);
    std::uint64_t broken = 0;
    double worst = 0;
    std::uint64_t worst_seed = first, told_dead = 0, datagrams = 0, bytes = 0;
    double seconds = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
      fleetkit::VirtualFleet fleet(*scenario, seed);
      const auto result = fleet.Play(given.seconds);
      told_dead += fleet.told_dead();
      datagrams += fleet.traffic().datagrams;
      bytes += fleet.traffic().bytes;
      seconds += fleet.now();
      if (!result.AllHeld() && ++broken <= 3)
        fmt::print("{}{}  again: {} --virtual --seed {}\n", fleetkit::TextReport(result), fleet.Views(),
                   again, seed);
      if (result.waits.back().took > worst) {
        worst = result.waits.back().took;
        worst_seed = seed;
      }
    }
    fmt::print(
        "{}: {} seeds, {} broken; agreed again {:.2f} s after the last fault at the latest (seed {})\n",
        scenario->name, last - first + 1, broken, worst, worst_seed);
    const double gateway_seconds = seconds * scenario->gateways;
    fmt::print(
        "told dead though there: {}; datagrams {:.2f} and bytes {:.0f} a second a gateway; {:.0f} s played\n",
        told_dead, static_cast<double>(datagrams) / gateway_seconds,
        static_cast<double>(bytes) / gateway_seconds, seconds);
    return broken == 0 ? kHeld : kBroken;
  }
  const std::uint64_t seed = given.seed.value_or(scenario->seed);
  fleetkit::Result result;
  std::string views;
  if (given.in_virtual) {
    fleetkit::VirtualFleet fleet(*scenario, seed);
    result = fleet.Play();
    views = fleet.Views();
  } else {
    const std::string program =
        given.program.empty() ? playing::GatewayProgramBeside(own_path) : given.program;
    result = playing::FleetRig(*scenario, seed, {program, given.logs}).Play();
  }
  fmt::print("{}", fleetkit::TextReport(result));
  if (!result.AllHeld())
    fmt::print("{}  again: {} {}--seed {}\n  logs: {}\n", views, again, given.in_virtual ? "--virtual " : "",
               seed, given.logs.empty() ? "not kept; --logs FOLDER keeps them" : given.logs);
  if (!given.json.empty()) WriteFile(given.json, Json(result).dump(1) + "\n");
  return result.AllHeld() ? kHeld : kBroken;
}

int Search(const Given& given) {
  const rehearsal::Scenario scenario = Load(given);
  CheckPlayable(scenario, false);
  const auto [first, last] = ReadSeeds(given.seeds);
  const unsigned threads =
      given.threads > 0 ? given.threads : std::max(1u, std::thread::hardware_concurrency());
  rehearsal::SearchResult result;
  {
    ProgressLine progress;
    const std::uint64_t all = last - first + 1;
    result = rehearsal::Search(scenario, first, last, threads, [&](std::uint64_t done) {
      if (done % 16 == 0) progress.Show(fmt::format("{} of {} seeds", done, all));
    });
  }
  fmt::print("{}", rehearsal::SearchReport(result, given.words[0]));
  return result.Broken() == 0 ? kHeld : kBroken;
}

int RunLoad(const Given& given) {
  if (given.words.size() != 1) throw BadUsage("load takes the address of a gateway");
  playing::LoadOptions how = given.load;
  how.target = ReadAddress(given.words[0], "target");
  if (how.rate <= 0 || how.seconds <= how.warm_up || how.connections < 1 || how.customers < 1)
    throw BadUsage("--rate, --connections and --customers must be above 0, and --seconds above --warm-up");
  how.seed = given.seed.value_or(1);
  ProgressLine progress;
  const auto result = playing::RunLoad(
      how, [&](double at) { progress.Show(fmt::format("{:.0f} of {:g} s", at, how.seconds)); });
  progress.Show("");
  fmt::print("{}", playing::LoadText(how, result));
  return kHeld;
}

int Stand(const Given& given) {
  const bool known = given.words.size() == 1 && (given.words[0] == "node" || given.words[0] == "counter" ||
                                                 given.words[0] == "discovery");
  if (!known) throw BadUsage("stand takes one of node, counter, discovery");
  playing::StandOptions how;
  how.what = given.words[0];
  how.listen = ReadAddress(given.listen.empty() ? "127.0.0.1:0" : given.listen, "--listen");
  how.work.mean = standin::FromSeconds(given.work_ms / 1000);
  how.counter.calls_per_s = given.calls_per_s;
  for (const std::string& node : given.nodes) how.nodes.push_back(ReadAddress(node, "--node"));
  how.seed = given.seed.value_or(1);
  playing::Stand(how);
  return kHeld;
}

int Check(const Given& given) {
  if (given.words.size() != 1) throw BadUsage("check takes one file");
  std::string not_of_a_fleet;
  if (const auto fleet = fleetkit::LoadScenario(given.words[0], not_of_a_fleet)) {
    fmt::print("{}: {} gateways that see one another, {} of them from the start, {} faults\n", fleet->name,
               fleet->gateways, fleet->started, fleet->faults.size());
    return kHeld;
  }
  const rehearsal::Scenario scenario = Load(given);
  fmt::print(
      "{}: {} gateways, {} nodes, {} plans, {} faults, {:g} s; the fleet can do {:.0f} requests a second\n",
      scenario.name, scenario.gateways, scenario.fleet.nodes, scenario.plans.size(), scenario.faults.size(),
      scenario.length_s, scenario.Capacity());
  return kHeld;
}

// The configuration of one gateway of a scenario, to start it by hand.
int PrintConfig(const Given& given) {
  const rehearsal::Scenario scenario = Load(given);
  if (given.gateway < 0 || given.gateway >= scenario.gateways)
    throw BadUsage(fmt::format("--gateway {} is not below {}", given.gateway, scenario.gateways));
  const nlohmann::json none{{"rev", 0}, {"all", true}, {"targets", nlohmann::json::array()}};
  const auto config = rehearsal::GatewayConfig(scenario, given.gateway, given.seed.value_or(scenario.seed),
                                               {given.listen, given.discovery, given.counter}, none);
  fmt::print("{}\n", config.dump(1));
  return kHeld;
}

options::options_description Options(Given& given) {
  options::options_description all("Options");
  auto add = all.add_options();
  const auto text = [&](const char* name, std::string& place, const char* value, const char* what) {
    add(name, options::value(&place)->value_name(value), what);
  };
  add("seed",
      options::value<std::uint64_t>()->value_name("N")->notifier([&](std::uint64_t s) { given.seed = s; }),
      "in place of the file's");
  add("virtual", options::bool_switch(&given.in_virtual), "rehearse in virtual time (the default)");
  add("sockets", options::bool_switch(&given.on_sockets), "rehearse with real gateways on loopback");
  add("gateways", options::value(&given.gateways)->value_name("N"), "in place of the file's");
  text("json", given.json, "FILE", "also write the result as JSON");
  text("report", given.html, "FILE", "also write a page with plots");
  text("program", given.program, "PATH", "the gateway to play with; the one beside this program otherwise");
  text("logs", given.logs, "FOLDER", "keep the gateways' logs there");
  text("seeds", given.seeds, "A..B", "search: the seeds to play");
  add("play-on", options::value(&given.seconds)->value_name("S"),
      "fleet: in virtual time, so long behind the last fault");
  add("threads", options::value(&given.threads)->value_name("N"), "search: all cores otherwise");
  text("listen", given.listen, "ADDRESS", "stand, config: where to listen");
  text("discovery", given.discovery, "ADDRESS", "config: where discovery is");
  text("counter", given.counter, "ADDRESS", "config: where the counter is");
  add("gateway", options::value(&given.gateway)->value_name("N"), "config: which of the gateways");
  add("node", options::value(&given.nodes)->value_name("ADDRESS"),
      "stand discovery: a node to list; may be repeated");
  add("work-ms", options::value(&given.work_ms)->value_name("MS"),
      "stand node: mean work of a request; 0: none");
  add("calls-per-s", options::value(&given.calls_per_s)->value_name("N"), "stand counter: what it can serve");
  add("rate", options::value(&given.load.rate)->value_name("N"), "load: requests a second");
  add("ramp-to", options::value(&given.load.ramp_to)->value_name("N"), "load: rising to this by the end");
  add("seconds", options::value(&given.load.seconds)->value_name("S"), "load: how long");
  add("warm-up", options::value(&given.load.warm_up)->value_name("S"), "load: not counted at the start");
  add("connections", options::value(&given.load.connections)->value_name("N"), "load: at most");
  add("payload", options::value(&given.load.payload)->value_name("BYTES"), "load: a body, sent by POST");
  add("customers", options::value(&given.load.customers)->value_name("N"), "load: among so many customers");
  text("class", given.load.request_class, "NAME", "load: class of the requests");
  text("plan", given.load.plan, "NAME", "load: plan of the customers");
  add("help", "print this text");
  return all;
}

void PrintHelp(std::FILE* out, const options::options_description& all) {
  fmt::print(
      out,
      "Usage: curlewdoor-kit COMMAND [ARGUMENT] [OPTIONS]\n\n"
      "Commands:\n"
      "  rehearse FILE   play a rehearsal and judge the five rules\n"
      "  fleet FILE      play a rehearsal of gateways that see one another, with real ones or --virtual\n"
      "  search FILE     play it with many seeds in virtual time; show the worst\n"
      "  check FILE      read a rehearsal and tell what is wrong with it\n"
      "  config FILE     print the configuration of one of its gateways\n"
      "  load ADDRESS    open-loop load against a running gateway\n"
      "  stand WHAT      one stand-in alone: node, counter or discovery\n"
      "  faults          list the kinds of fault\n"
      "  version         print the version\n\n"
      "Exit: 0 all rules held, 1 one broken, 2 bad usage or file, 3 could not be judged.\n\n");
  for (const auto& option : all.options())
    fmt::print(out, "  {:24}{}\n", option->format_name() + " " + option->format_parameter(),
               option->description());
}

int ListFaults() {
  const auto line = [](std::string_view word, std::string_view does, std::string_view size) {
    fmt::print("  {:18}{}{}\n", word, does, size.empty() ? "" : fmt::format("; size: {}", size));
  };
  for (const rehearsal::FaultWord& word : rehearsal::FaultWords())
    fmt::print("  {:18}{}{}{}\n", word.word, word.does, word.lasts ? "; for" : "",
               word.size.empty() ? "" : fmt::format("; size: {}", word.size));
  fmt::print("Of gateways that see one another (fleet):\n");
  for (const fleetkit::FaultWord& word : fleetkit::FaultWords()) line(word.word, word.does, word.size);
  return kHeld;
}

int Run(const Given& given, const char* own_path) {
  if (given.command == "rehearse") return Rehearse(given, own_path);
  if (given.command == "fleet") return Fleet(given, own_path);
  if (given.command == "search") return Search(given);
  if (given.command == "check") return Check(given);
  if (given.command == "config") return PrintConfig(given);
  if (given.command == "load") return RunLoad(given);
  if (given.command == "stand") return Stand(given);
  if (given.command == "faults") return ListFaults();
  if (given.command == "version") return fmt::print("curlewdoor-kit {}\n", CURLEWDOOR_VERSION), kHeld;
  throw BadUsage(given.command.empty() ? "no command; see --help" : "unknown command: " + given.command);
}

int Main(int argc, char** argv) {
  spdlog::set_default_logger(spdlog::stderr_logger_mt("curlewdoor-kit"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l %v");
  Given given;
  options::options_description shown = Options(given), all;
  all.add(shown).add_options()("command", options::value(&given.command))("words",
                                                                          options::value(&given.words));
  options::positional_options_description positions;
  positions.add("command", 1).add("words", -1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
    options::notify(values);
    if (values.count("help") > 0) return PrintHelp(stdout, shown), kHeld;
    return Run(given, argv[0]);
  } catch (const BadUsage& error) {
    spdlog::error("what=\"{}\"", error.what());
    return kBadUsage;
  } catch (const options::error& error) {
    spdlog::error("what=\"{}\"", error.what());
    return kBadUsage;
  } catch (const std::exception& error) {
    spdlog::error("what=\"could not be played: {}\"", error.what());
    return kNotJudged;
  }
}

}  // namespace
}  // namespace curlewdoor

int main(int argc, char** argv) { return curlewdoor::Main(argc, argv); }
