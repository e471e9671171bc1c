#include "fleetkit/scenario.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <filesystem>

#include "rehearsal/toml_table.hpp"

namespace curlewdoor::fleetkit {
namespace {

using rehearsal::Table;

constexpr double kLongestWait = 3600;
constexpr double kLongestLoad = 600;  // clients ask no longer

Span Between(Table& table, std::string_view key, Span absent, double most) {
  const auto range = table.Between(key, {absent.low, absent.high}, 0, most);
  return {range.low, range.high};
}

// "gateway-3" as 3.
std::vector<int> Gateways(Table& table, std::string_view key, const Scenario& scenario) {
  std::vector<int> found;
  for (const std::string& name : table.Texts(key)) {
    int which = name == "holder" && scenario.duties ? kHolder : name == "last" ? kLast : -1;
    for (int g = 0; g < scenario.gateways && which == -1; ++g)
      if (NameOf(g) == name) which = g;
    if (which == -1) table.Fail(key, fmt::format("names {}, and there is no such gateway", name));
    if (std::find(found.begin(), found.end(), which) != found.end()) table.Fail(key, name + " stands twice");
    found.push_back(which);
  }
  return found;
}

Fault ReadFault(Table table, const Scenario& scenario) {
  Fault fault;
  const std::string word = table.Text("kind", "");
  const auto& words = FaultWords();
  const auto known =
      std::find_if(words.begin(), words.end(), [&](const FaultWord& w) { return w.word == word; });
  if (known == words.end()) {
    std::string all;
    for (const FaultWord& each : words) all += (all.empty() ? "" : ", ") + std::string(each.word);
    table.Fail("kind", fmt::format("is \"{}\", and must be one of {}", word, all));
    return fault;
  }
  fault.kind = known->kind;
  fault.after_s = Between(table, "after_s", {}, kLongestWait);
  const bool targets = fault.kind != FaultKind::kWait && fault.kind != FaultKind::kLinkHeal &&
                       fault.kind != FaultKind::kLedgerHeal && fault.kind != FaultKind::kDutyVotersEnd;
  const bool of_duties = fault.kind == FaultKind::kDutyHandOver || fault.kind == FaultKind::kLedgerHold ||
                         fault.kind == FaultKind::kLedgerHeal || fault.kind == FaultKind::kDutyVoters ||
                         fault.kind == FaultKind::kDutyVotersEnd;
  if (of_duties && !scenario.duties) table.Fail("kind", fmt::format("{} needs [duties]", word));
  if (targets) {
    fault.who = Gateways(table, known->of_links ? "from" : "names", scenario);
    fault.part = table.Number("part", 0, 0.001, 1);
    if (fault.who.empty() == (fault.part == 0))
      table.Fail("kind", fmt::format("{} needs either {} or part", word, known->of_links ? "from" : "names"));
  }
  if (known->of_links && targets) {
    fault.to = Gateways(table, "to", scenario);
    fault.both = table.Flag("both", true);
  }
  if (!known->size.empty()) {
    if (!table.Has("size")) table.Fail("size", fmt::format("is missing: {}", known->size));
    fault.size = table.Number("size", 0, known->least, known->most);
  }
  if ((known->of_links && targets) || fault.kind == FaultKind::kGatewayStop)
    fault.for_s = table.Number("for_s", 0, 0.01, kLongestWait);
  if (!known->of_links && targets) fault.wave_s = table.Number("wave_s", 0, 0, 60);
  constexpr std::array<std::pair<std::string_view, Expect>, 6> kExpected{{{"nothing", Expect::kNothing},
                                                                          {"agreed", Expect::kAgreed},
                                                                          {"held", Expect::kHeld},
                                                                          {"moved", Expect::kMoved},
                                                                          {"kept", Expect::kKept},
                                                                          {"unheld", Expect::kUnheld}}};
  fault.expect = table.Word("expect", scenario.duties ? Expect::kHeld : Expect::kAgreed, kExpected);
  if (fault.expect >= Expect::kHeld && !scenario.duties) table.Fail("expect", "needs [duties]");
  fault.within_s = table.Number("within_s", 10, 0.1, kLongestWait);
  table.RefuseOthers();
  return fault;
}

// The rehearsal that is played beside it, from the same folder. What befalls gateways stands in one file
// only.
std::optional<rehearsal::Scenario> ReadLoad(Table& table, const std::string& path) {
  const std::string name = table.Text("load", "");
  if (name.empty()) return std::nullopt;
  std::string error;
  auto load = rehearsal::LoadScenario((std::filesystem::path(path).parent_path() / name).string(), error);
  if (!load) return table.Fail("load", error), std::nullopt;
  for (const rehearsal::Fault& fault : load->faults)
    if (rehearsal::WordOf(fault.kind).target == rehearsal::Target::kGateway)
      table.Fail("load", fmt::format("{} has a fault {}: gateways' faults stand here", name,
                                     rehearsal::WordOf(fault.kind).word));
  load->length_s = kLongestLoad;
  return load;
}

std::optional<Duties> ReadDuties(Table& table, const Scenario& scenario) {
  if (!table.Has("duties")) return std::nullopt;
  Table inner = table.Inner("duties");
  Duties duties;
  duties.voters = inner.Whole("voters", std::min(3, scenario.gateways), 1, std::min(7, scenario.gateways));
  if (duties.voters % 2 == 0) inner.Fail("voters", "is an even number");
  duties.lease_ms = inner.Number("lease_ms", duties.lease_ms, 2 * scenario.probe_ms, 600'000);
  duties.clock_bound = inner.Number("clock_bound", duties.clock_bound, 0.0001, 0.1);
  duties.record_ms = inner.Number("record_ms", duties.record_ms, 20, 60'000);
  inner.RefuseOthers();
  return duties;
}

std::optional<Scenario> Read(const toml::table& file, const std::string& path, std::string& error) {
  Table table(&file, "", path, error);
  Scenario scenario;
  scenario.name = table.Text("name", "");
  if (scenario.name.empty()) table.Fail("name", "is missing");
  scenario.shows = table.Text("shows", "");
  scenario.seed = static_cast<std::uint64_t>(table.Whole("seed", 1, 0, 2'000'000'000));
  scenario.gateways = table.Whole("gateways", 5, 1, kMostGateways);
  scenario.started = table.Whole("started", scenario.gateways, 1, scenario.gateways);
  scenario.seeds = table.Whole("seeds", std::min(2, scenario.gateways), 1, std::min(16, scenario.gateways));
  scenario.size = table.Whole("size", scenario.gateways, 1, kMostGateways);
  if (scenario.size < scenario.seeds) table.Fail("size", "is below the number of seeds");
  scenario.probe_ms = table.Number("probe_ms", scenario.probe_ms, 50, 60'000);
  scenario.lifeguard = table.Flag("lifeguard", true);
  scenario.first_within_s = table.Number("within_s", 10, 0.1, kLongestWait);
  Table clocks = table.Inner("clocks");
  scenario.clock_rate = clocks.Number("rate", 0, 0, 0.1);
  scenario.clock_offset_s = clocks.Number("offset_s", 0, 0, 3600);
  clocks.RefuseOthers();
  scenario.duties = ReadDuties(table, scenario);
  if (!table.Has("duties")) table.Find("duties");
  for (Table& each : table.Inners("fault")) {
    scenario.faults.push_back(ReadFault(each, scenario));
    if (scenario.faults.back().kind == FaultKind::kGatewayTwin)
      scenario.twins += static_cast<int>(scenario.faults.back().who.size());
    if (scenario.faults.size() > kMostFaults)
      table.Fail("fault", fmt::format("are more than {}", kMostFaults));
  }
  scenario.load = ReadLoad(table, path);
  if (scenario.load && scenario.twins > 0) table.Fail("load", "can't be played beside gateway_twin");
  table.RefuseOthers();
  if (!error.empty()) return std::nullopt;
  return scenario;
}

}  // namespace

const std::vector<FaultWord>& FaultWords() {
  static const std::vector<FaultWord> words{
      {FaultKind::kGatewayKill, "gateway_kill", false, "", 0, 0, "SIGKILL"},
      {FaultKind::kGatewayStop, "gateway_stop", false, "", 0, 0, "SIGSTOP, until for_s or gateway_continue"},
      {FaultKind::kGatewayContinue, "gateway_continue", false, "", 0, 0, "SIGCONT"},
      {FaultKind::kGatewayTerm, "gateway_term", false, "", 0, 0, "SIGTERM"},
      {FaultKind::kGatewayStart, "gateway_start", false, "", 0, 0, "starts, the first time or again"},
      {FaultKind::kGatewayRestart, "gateway_restart", false, "", 0, 0, "SIGKILL, and a new life at once"},
      {FaultKind::kGatewayUpgrade, "gateway_upgrade", false, "", 0, 0, "a second process takes over"},
      {FaultKind::kGatewayTwin, "gateway_twin", false, "", 0, 0, "another process under the same name"},
      {FaultKind::kLinkCut, "link_cut", true, "", 0, 0, "nothing passes"},
      {FaultKind::kLinkLoss, "link_loss", true, "part of the datagrams", 0.001, 1, "datagrams are lost"},
      {FaultKind::kLinkRepeat, "link_repeat", true, "part of the datagrams", 0.001, 1, "come twice"},
      {FaultKind::kLinkReorder, "link_reorder", true, "part of the datagrams", 0.001, 1,
       "come up to 0.3 s later"},
      {FaultKind::kLinkCorrupt, "link_corrupt", true, "part of the datagrams", 0.001, 1,
       "come with changed bytes"},
      {FaultKind::kLinkDelay, "link_delay", true, "seconds", 0.001, 10, "come later"},
      {FaultKind::kLinkHeal, "link_heal", true, "", 0, 0, "ends all troubles of links"},
      {FaultKind::kDutyHandOver, "duty_handover", false, "", 0, 0,
       "the holder hands its duty to this gateway"},
      {FaultKind::kDutyVoters, "duty_voters", false, "", 0, 0, "these vote, beside the list in force"},
      {FaultKind::kDutyVotersEnd, "duty_voters_end", false, "", 0, 0, "and that list goes"},
      {FaultKind::kLedgerHold, "ledger_hold", false, "", 0, 0,
       "what it sends to the ledger stays on its way"},
      {FaultKind::kLedgerHeal, "ledger_heal", false, "", 0, 0, "what was held arrives at the ledger"},
      {FaultKind::kWait, "wait", false, "", 0, 0, "nothing breaks"}};
  return words;
}

const FaultWord& WordOf(FaultKind kind) {
  const auto& words = FaultWords();
  return *std::find_if(words.begin(), words.end(), [&](const FaultWord& word) { return word.kind == kind; });
}

std::string NameOf(int gateway) { return fmt::format("gateway-{}", gateway); }

std::vector<std::string> NamesOf(const std::vector<int>& gateways) {
  std::vector<std::string> names;
  for (int gateway : gateways) names.push_back(NameOf(gateway));
  return names;
}

std::optional<Scenario> ParseScenario(std::string_view text, const std::string& path, std::string& error) {
  return rehearsal::ParseWith(&Read, text, path, error);
}

std::optional<Scenario> LoadScenario(const std::string& path, std::string& error) {
  const auto text = rehearsal::ReadText(path, error);
  return text ? ParseScenario(*text, path, error) : std::nullopt;
}

}  // namespace curlewdoor::fleetkit
