#include "fleetkit/stage.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "util/hash.hpp"

namespace curlewdoor::fleetkit {
namespace {

// Periods after a gateway or a link was not wholly there in which others may still take it for dead.
constexpr double kExcusedPeriods = 40;

}  // namespace

bool Result::AllHeld() const {
  return std::all_of(verdicts.begin(), verdicts.end(), [](const Verdict& v) { return v.broken.empty(); });
}

std::string TextReport(const Result& result) {
  std::string text = fmt::format("{}, seed {}, {}\n", result.scenario, result.seed,
                                 result.real ? "real processes" : "virtual time");
  for (const Wait& wait : result.waits) {
    text += wait.took >= 0
                ? fmt::format("  {:7.2f} s  {}: seen by all after {:.2f} s", wait.at, wait.what, wait.took)
                : fmt::format("  {:7.2f} s  {}: NOT SEEN within {:g} s: {}", wait.at, wait.what, wait.within,
                              wait.missing);
    if (wait.first >= 0)
      text += fmt::format(" (first told after {:.2f}, last {:.2f})", wait.first, wait.last);
    text += '\n';
  }
  for (const auto& [name, value] : result.figures) text += fmt::format("  {:32} {:.4g}\n", name, value);
  for (const Verdict& verdict : result.verdicts)
    text += verdict.broken.empty() ? fmt::format("  {:10} held\n", verdict.property)
                                   : fmt::format("  {:10} BROKEN: {}\n", verdict.property, verdict.broken);
  return text;
}

Stage::Stage(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario), random_(standin::MakeRandom(seed, "fleet stage")) {
  const auto all = static_cast<std::size_t>(scenario.processes());
  gateways_.resize(all);
  for (int g = 0; g < scenario.gateways; ++g) gateways_[static_cast<std::size_t>(g)].name = NameOf(g);
  for (std::size_t t = static_cast<std::size_t>(scenario.gateways); t < all; ++t) gateways_[t].twin = true;
  links_.resize(all * all);
  parted_at_.assign(all * all, -1e9);
  next_twin_ = scenario.gateways;
  result_.scenario = scenario.name;
  result_.seed = seed;
  // Voters count by their own clocks: a stopped holder's lease ends at the latest so long after its stop.
  constexpr double kSlack_s = 0.0005;  // of the times that gateways tell
  for (int voter = 0; scenario.duties && voter < scenario.duties->voters; ++voter) voters_.push_back(voter);
  if (scenario.duties)
    duties_.emplace(scenario.duties->lease_ms / 1000 * (1 - scenario.duties->clock_bound) /
                        (1 + scenario.duties->clock_bound) * (1 + scenario.clock_rate),
                    kSlack_s);
  result_.verdicts = {{"agreed", ""}, {"alive", ""}, {"left", ""}, {"running", ""}};
  if (scenario.duties) result_.verdicts.push_back({"held", ""});
}

const LinkTrouble& Stage::link(int from, int to) const {
  return links_[static_cast<std::size_t>(from) * gateways_.size() + static_cast<std::size_t>(to)];
}

std::optional<double> Stage::NextDue() const {
  if (done_) return std::nullopt;
  std::optional<double> due;
  const auto take = [&](double at) { due = due ? std::min(*due, at) : at; };
  if (phase_ == Phase::kBefore) take(begins_);
  if (phase_ == Phase::kExpecting) take(expects_from_ + result_.waits.back().within + 0.001);
  for (const Due& each : due_) take(each.at);
  for (const Trouble& trouble : troubles_)
    if (trouble.ends >= 0) take(trouble.ends);
  return due;
}

// ---- Faults -------------------------------------------------------------------------------------------

void Stage::Look(double now, const std::vector<Seen>& seen, Hand& hand) {
  if (done_) return;
  for (std::size_t g = 0; g < seen.size(); ++g)
    if (seen[g].answered && seen[g].holds > 0) holder_ = static_cast<int>(g);
  if (std::exchange(first_, false)) {
    result_.waits.push_back({"the start", now, -1, scenario_.first_within_s});
    for (int g = 0; g < scenario_.started; ++g) Do(now, g, FaultKind::kGatewayStart, hand);
    phase_ = Phase::kExpecting;
    expects_from_ = now;
  }
  const auto over = [&](const Trouble& trouble) { return trouble.ends >= 0 && now >= trouble.ends; };
  if (std::any_of(troubles_.begin(), troubles_.end(), over)) {
    SetLinks(now);
    std::erase_if(troubles_, over);
    SetLinks(now);
  }
  for (std::size_t i = 0; i < due_.size();) {
    if (now < due_[i].at) {
      ++i;
      continue;
    }
    const Due due = due_[i];
    due_.erase(due_.begin() + static_cast<std::ptrdiff_t>(i));
    Do(now, due.process, due.what, hand);
  }
  if (phase_ == Phase::kBefore && now >= begins_) Begin(now, hand);
  if (phase_ == Phase::kDoing && due_.empty() && now >= expects_from_) phase_ = Phase::kExpecting;
  if (phase_ != Phase::kExpecting || !due_.empty()) return;
  Wait& wait = result_.waits.back();
  const Expect expect = fault_ > 0         ? scenario_.faults[fault_ - 1].expect
                        : scenario_.duties ? Expect::kHeld
                                           : Expect::kAgreed;
  std::string missing = expect == Expect::kAgreed    ? Disagreement(seen)
                        : expect != Expect::kNothing ? Holding(seen, expect)
                                                     : "";
  if (missing.empty()) {
    wait.took = now - expects_from_;
    return Next(now);
  }
  if (now <= expects_from_ + wait.within) return;
  wait.missing = missing;
  Break(expect == Expect::kAgreed ? "agreed" : "held",
        fmt::format("{} s after {} at {:.2f} s: {}", wait.within, wait.what, wait.at, missing));
  done_ = true;
}

void Stage::Next(double now) {
  if (fault_ == scenario_.faults.size()) {
    done_ = true;
    return;
  }
  const Fault& fault = scenario_.faults[fault_];
  begins_ = now + standin::Uniform(random_, fault.after_s.low, fault.after_s.high);
  phase_ = Phase::kBefore;
}

std::vector<int> Stage::Resolve(const std::vector<int>& who) const {
  std::vector<int> found;
  for (int g : who) {
    if (g == kLast) {
      found.insert(found.end(), last_.begin(), last_.end());
    } else if (g != kHolder) {
      found.push_back(g);
    } else if (holder_) {
      found.push_back(*holder_);
    }
  }
  return found;
}

// Empty: it is as expected. Who was cut off or stopped may believe in its lease until that has run out: two
// that say so at once here are no breach, which the judge of duties looks for.
std::string Stage::Holding(const std::vector<Seen>& seen, Expect expect) const {
  std::size_t holders = 0;
  bool struck = false;
  for (std::size_t g = 0; g < seen.size(); ++g)
    if (seen[g].answered && gateways_[g].running && !gateways_[g].stopped && seen[g].holds > 0) {
      ++holders;
      struck = struck || std::find(last_.begin(), last_.end(), static_cast<int>(g)) != last_.end();
    }
  if (expect == Expect::kKept && holders == 1 && !struck) return "the duty has moved";
  if (expect == Expect::kMoved && holders == 1 && struck) return "the duty has not moved";
  if (expect != Expect::kUnheld && holders != 1) return fmt::format("the duty is held by {}", holders);
  if (expect == Expect::kUnheld && holders != 0) return "the duty is held still";
  return "";
}

std::vector<int> Stage::Choose(const Fault& fault) {
  if (fault.part == 0) return Resolve(fault.who);
  // A start strikes those that are not there, everything else those that are.
  std::vector<int> able;
  for (int g = 0; g < scenario_.gateways; ++g) {
    const Gateway& gateway = gateways_[static_cast<std::size_t>(g)];
    const bool fits = fault.kind == FaultKind::kGatewayStart      ? !gateway.running
                      : fault.kind == FaultKind::kGatewayContinue ? gateway.stopped
                                                                  : gateway.running && !gateway.stopped;
    if (fits) able.push_back(g);
  }
  std::shuffle(able.begin(), able.end(), random_);
  const auto count = static_cast<std::size_t>(fault.part * scenario_.gateways + 0.5);
  able.resize(std::min(able.size(), std::max<std::size_t>(1, count)));
  return able;
}

void Stage::Begin(double now, Hand& hand) {
  const Fault& fault = scenario_.faults[fault_++];
  const FaultWord& word = WordOf(fault.kind);
  const std::vector<int> who = Choose(fault), to = Resolve(fault.to);
  if (!who.empty()) last_ = to.empty() ? who : to;
  std::string text(word.word);
  for (std::size_t i = 0; i < who.size() && i < 4; ++i)
    text += " " + gateways_[static_cast<std::size_t>(who[i])].name;
  if (who.size() > 4) text += fmt::format(" and {} more", who.size() - 4);
  result_.waits.push_back({text, now, -1, fault.within_s});
  phase_ = Phase::kDoing;
  expects_from_ = now;
  if (fault.kind == FaultKind::kLinkHeal) {
    SetLinks(now);
    troubles_.clear();
    SetLinks(now);
  } else if (word.of_links) {
    Trouble trouble{fault.kind,
                    fault.size,
                    std::vector<char>(gateways_.size()),
                    std::vector<char>(gateways_.size(), to.empty()),
                    fault.both,
                    fault.for_s > 0 ? now + fault.for_s : -1};
    for (int g : who) trouble.from[static_cast<std::size_t>(g)] = 1;
    for (int g : to) trouble.to[static_cast<std::size_t>(g)] = 1;
    // A group cut off from all others: within the group everything passes.
    if (to.empty() && fault.kind == FaultKind::kLinkCut)
      for (int g : who) trouble.to[static_cast<std::size_t>(g)] = 0;
    troubles_.push_back(std::move(trouble));
    SetLinks(now);
    expects_from_ += fault.for_s;
  } else if (fault.kind == FaultKind::kDutyVoters) {
    hand.SetVoters(who, std::exchange(voters_, who));
  } else if (fault.kind == FaultKind::kDutyVotersEnd) {
    hand.SetVoters(voters_, {});
  } else if (fault.kind == FaultKind::kLedgerHeal) {
    for (int g = 0; g < scenario_.gateways; ++g) hand.HoldLedger(g, false);
  } else if (fault.kind != FaultKind::kWait) {
    double at = now;
    for (int g : who) {
      due_.push_back({at, g, fault.kind});
      if (fault.kind == FaultKind::kGatewayStop && fault.for_s > 0)
        due_.push_back({at + fault.for_s, g, FaultKind::kGatewayContinue});
      at += fault.wave_s;
    }
    expects_from_ += fault.wave_s * static_cast<double>(who.empty() ? 0 : who.size() - 1) + fault.for_s;
    for (std::size_t i = 0; i < due_.size();) {
      if (due_[i].at > now) {
        ++i;
        continue;
      }
      const Due due = due_[i];
      due_.erase(due_.begin() + static_cast<std::ptrdiff_t>(i));
      Do(now, due.process, due.what, hand);
    }
  }
}

void Stage::Do(double now, int process, FaultKind what, Hand& hand) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  const bool of_duties = what == FaultKind::kDutyHandOver || what == FaultKind::kLedgerHold;
  if (what != FaultKind::kGatewayStart && what != FaultKind::kGatewayTwin && !of_duties)
    gateway.troubled_at = now;
  const auto ends = [&] { ends_[gateway.name] = result_.waits.size() - 1; };
  switch (what) {
    case FaultKind::kGatewayRestart:
      if (duties_) duties_->Gone(now, process);
      hand.Kill(process);
      gateway.stopped = false;
      gateway.running = true;
      return hand.Start(process, gateway.name);
    case FaultKind::kGatewayStart:
      if (gateway.running) return;
      gateway.running = true;
      return hand.Start(process, gateway.name);
    case FaultKind::kGatewayKill:
      if (!gateway.running) return;
      gateway.running = gateway.stopped = false;
      ends();
      if (duties_) duties_->Gone(now, process);
      return hand.Kill(process);
    case FaultKind::kGatewayTerm:
      if (!gateway.running) return;
      gateway.running = false;
      ends();
      return hand.Term(process);
    case FaultKind::kGatewayStop:
      if (!gateway.running) return;
      gateway.stopped = true;
      ends();
      if (duties_) duties_->Stopped(now, process);
      return hand.Stop(process);
    case FaultKind::kGatewayContinue:
      if (!gateway.running) return;
      gateway.stopped = false;
      if (duties_) duties_->Continued(now, process);
      return hand.Continue(process);
    case FaultKind::kGatewayUpgrade:
      if (gateway.running && !gateway.stopped) hand.Upgrade(process);
      return;
    case FaultKind::kGatewayTwin: {
      const int twin = next_twin_++;
      Gateway& other = gateways_[static_cast<std::size_t>(twin)];
      other.name = gateway.name;
      other.running = true;
      return hand.Start(twin, gateway.name);
    }
    case FaultKind::kDutyHandOver:
      if (holder_) hand.HandOver(*holder_, process);
      return;
    case FaultKind::kLedgerHold:
      return hand.HoldLedger(process, true);
    default:
      return;
  }
}

void Stage::SetLinks(double now) {
  const std::size_t all = gateways_.size();
  std::fill(links_.begin(), links_.end(), LinkTrouble{});
  for (const Trouble& trouble : troubles_) {
    for (std::size_t i = 0; i < all; ++i) {
      for (std::size_t j = 0; j < all; ++j) {
        if (i == j) continue;
        const bool forth = trouble.from[i] != 0 && trouble.to[j] != 0;
        const bool back = trouble.both && trouble.from[j] != 0 && trouble.to[i] != 0;
        if (!forth && !back) continue;
        LinkTrouble& link = links_[i * all + j];
        if (trouble.kind == FaultKind::kLinkCut) link.cut = true;
        if (trouble.kind == FaultKind::kLinkLoss) link.loss = std::max(link.loss, trouble.size);
        if (trouble.kind == FaultKind::kLinkRepeat) link.repeat = std::max(link.repeat, trouble.size);
        if (trouble.kind == FaultKind::kLinkReorder) link.reorder = std::max(link.reorder, trouble.size);
        if (trouble.kind == FaultKind::kLinkCorrupt) link.corrupt = std::max(link.corrupt, trouble.size);
        if (trouble.kind == FaultKind::kLinkDelay) link.delay_s = std::max(link.delay_s, trouble.size);
      }
    }
  }
  const std::vector<int> parts = Components();
  for (std::size_t i = 0; i < all; ++i)
    for (std::size_t j = 0; j < all; ++j)
      if (parts[i] != parts[j]) parted_at_[i * all + j] = now;
}

// ---- What is true -------------------------------------------------------------------------------------

// Gateways that can reach each other, if need be by way of others: those of one number. Below 0: not there.
std::vector<int> Stage::Components() const {
  const std::size_t all = gateways_.size();
  std::vector<int> parts(all, -1);
  const auto there = [&](std::size_t g) {
    return gateways_[g].running && !gateways_[g].stopped && !gateways_[g].twin;
  };
  int next = 0;
  for (std::size_t start = 0; start < all; ++start) {
    if (parts[start] >= 0 || !there(start)) continue;
    std::vector<std::size_t> open{start};
    parts[start] = next;
    while (!open.empty()) {
      const std::size_t at = open.back();
      open.pop_back();
      for (std::size_t other = 0; other < all; ++other) {
        if (parts[other] >= 0 || !there(other)) continue;
        if (links_[at * all + other].cut || links_[other * all + at].cut) continue;
        parts[other] = next;
        open.push_back(other);
      }
    }
    ++next;
  }
  return parts;
}

// Empty: each gateway's view holds exactly those that it can reach, in the lives that these say they live.
std::string Stage::Disagreement(const std::vector<Seen>& seen) const {
  const std::vector<int> parts = Components();
  std::map<int, std::uint64_t> truth;
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    if (gateways_[g].twin && gateways_[g].running && !seen[g].refused)
      return fmt::format("the second {} is not refused", gateways_[g].name);
    if (parts[g] < 0) continue;
    if (!seen[g].answered) return fmt::format("{} does not answer", gateways_[g].name);
    truth[parts[g]] += StableHash(gateways_[g].name, seen[g].boot);
  }
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    if (parts[g] < 0) continue;
    if (seen[g].view != truth[parts[g]])
      return fmt::format("{} sees {:016x} and not {:016x}", gateways_[g].name, seen[g].view, truth[parts[g]]);
    if (!seen[g].settled) return fmt::format("{} has not settled", gateways_[g].name);
  }
  return "";
}

// ---- The judge ----------------------------------------------------------------------------------------

void Stage::Break(const std::string& property, const std::string& how) {
  for (Verdict& verdict : result_.verdicts)
    if (verdict.property == property && verdict.broken.empty()) verdict.broken = how;
}

void Stage::Told(double now, int observer, const std::string& name, std::string_view state) {
  int of = -1;
  for (std::size_t g = 0; g < gateways_.size(); ++g)
    if (!gateways_[g].twin && gateways_[g].name == name) of = static_cast<int>(g);
  if (of < 0 || (state != "dead" && state != "left")) return;
  const Gateway& gateway = gateways_[static_cast<std::size_t>(of)];
  const bool gone = !gateway.running || gateway.stopped;
  if (const auto it = ends_.find(name); gone && it != ends_.end()) {
    Wait& wait = result_.waits[it->second];
    const double took = now - wait.at;
    if (wait.first < 0) wait.first = took;
    wait.last = took;
  }
  if (gone) return;
  const double excused = kExcusedPeriods * scenario_.probe_ms / 1000;
  const std::size_t pair =
      static_cast<std::size_t>(observer) * gateways_.size() + static_cast<std::size_t>(of);
  const Gateway& teller = gateways_[static_cast<std::size_t>(observer)];
  const std::vector<int> parts = Components();
  const bool parted = parts[static_cast<std::size_t>(observer)] != parts[static_cast<std::size_t>(of)];
  const double since = std::max({gateway.troubled_at, teller.troubled_at, parted ? now : parted_at_[pair]});
  const std::string how = fmt::format("{} told {} {} at {:.2f} s", teller.name, name, state, now);
  if (state == "left" && now - since > excused) Break("left", how);
  if (state == "dead" && now - since > excused) Break("alive", how);
}

void Stage::Crashed(double now, int process, const std::string& how) {
  Break("running", fmt::format("{} ended by itself at {:.2f} s: {}",
                               gateways_[static_cast<std::size_t>(process)].name, now, how));
}

Result Stage::Finish(double now, bool real) {
  result_.real = real;
  if (duties_) duties_->Finish(now, result_.verdicts, result_.figures);
  if (!done_) Break("agreed", fmt::format("the play was ended at {:.2f} s", now));
  return result_;
}

}  // namespace curlewdoor::fleetkit
