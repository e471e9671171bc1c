// The walk over all interleavings (core_probe.hpp says of what), and what each state has to keep.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <unordered_map>
#include <vector>

#include "checker_state.hpp"
#include "trace_text.hpp"

namespace curlewdoor::agreement {
namespace {

class Checker {
 public:
  Checker(Options::Fault fault, Limits limits) : limits_(std::move(limits)) {
    options_.fault = fault;
    options_.read_rounds = 0;  // a read that finds a ballot at work takes one itself at once
    told_ = limits_.leaves > 0      ? CoreProbe::Told::kAll
            : limits_.proposals > 1 ? CoreProbe::Told::kInstalled
                                    : CoreProbe::Told::kNothing;
  }

  // Empty: every promise was kept. Otherwise what was broken, and how it came to that.
  std::string Run() {
    auto begun = std::chrono::steady_clock::now();
    std::vector<std::uint16_t> frontier, next;  // each: its size, then its words
    std::uint32_t first = 0;
    Push(frontier, Begin());
    nodes_.push_back({0, 0});
    std::string broken;
    for (depth_ = 0; depth_ < limits_.depth && !frontier.empty() && broken.empty(); ++depth_) {
      if (nodes_.size() > limits_.states) break;
      next.clear();
      auto next_first = static_cast<std::uint32_t>(nodes_.size());
      std::uint32_t node = first;
      for (std::size_t at = 0; at < frontier.size() && broken.empty(); ++node) {
        std::size_t size = frontier[at++];
        World world = World::Of(frontier.data() + at, size);
        at += size;
        for (const Action& action : Actions(world)) {
          World after = world;
          std::string wrong;
          if (!Apply(after, action, wrong)) continue;
          auto words = after.Pack();
          std::string_view bytes(reinterpret_cast<const char*>(words.data()), 2 * words.size());
          if (wrong.empty() && !seen_.Add(StableHash(bytes))) continue;
          nodes_.push_back({node, action.Code()});
          if (!wrong.empty()) {
            broken = wrong + Trace();
            break;
          }
          Push(next, after);
        }
      }
      frontier.swap(next);
      first = next_first;
    }
    complete_ = frontier.empty();
    seconds_ = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    return broken;
  }

  std::string Figures() const {
    std::ostringstream text;
    text << nodes_.size() << " states to depth " << depth_ << (complete_ ? " (all there are), " : ", ")
         << locals_.size() << " of one machine, " << mails_.size() << " messages, " << seconds_ << " s";
    return text.str();
  }
  std::size_t states() const { return nodes_.size(); }

 private:
  struct Node {
    std::uint32_t parent, action;
  };

  static void Push(std::vector<std::uint16_t>& to, const World& world) {
    auto words = world.Pack();
    to.push_back(static_cast<std::uint16_t>(words.size()));
    to.insert(to.end(), words.begin(), words.end());
  }

  World Begin() {
    State state;
    state.roster.epoch = 1;
    for (std::size_t i = 0; i < 3; ++i) state.roster.members.push_back(MemberOf(i, 1));
    state.roster.first_size = 3;
    World world;
    for (std::size_t i = 0; i < kMachines; ++i) {
      Local local;
      if (i < 3) local.disk = DiskOf(i < 2 && limits_.seeded ? Seeded(state) : state);
      Step step;
      Start(i, local, step);
      world.local[i] = Intern(i, std::move(local));
    }
    world.left = {static_cast<std::uint16_t>(limits_.proposals), static_cast<std::uint16_t>(limits_.crashes),
                  static_cast<std::uint16_t>(limits_.hangs),     static_cast<std::uint16_t>(limits_.wipes),
                  static_cast<std::uint16_t>(limits_.views),     static_cast<std::uint16_t>(limits_.retries),
                  static_cast<std::uint16_t>(limits_.leaves)};
    if (limits_.seeded) world.numbers = {0, 1, 1}, world.floor = 2;
    return world;
  }
  static State Seeded(State state) {
    state.value = {2, TextOf(2, 1)};
    state.ledger.Append({2, ContentDigest(TextOf(2, 1)), true});
    state.ledger.Append({1, ContentDigest(TextOf(1, 1)), false});
    state.stamp = {1, {1, 1}};
    state.register_promised = {1, 1};
    return state;
  }
  static Disk DiskOf(const State& state) {
    Disk disk;
    for (auto& [key, bytes] : EncodeAll(state)) disk[key] = bytes;
    return disk;
  }

  // ---- One machine ----

  static State OnDisk(const Local& local) {
    return DecodeState([&local](const std::string& key) -> std::optional<std::string> {
             auto found = local.disk.find(key);
             return found == local.disk.end() ? std::nullopt : std::optional(found->second);
           })
        .value();
  }

  // A process on what the disk holds.
  void Start(std::size_t i, Local& local, Step& step) {
    ++local.run;
    local.write.reset();
    std::uint64_t seed = (local.run * 10 + local.life) * 10 + i;
    local.core = std::make_shared<Core>(MemberOf(i, local.life), false, OnDisk(local), options_, seed);
    Out out;
    std::vector<Seen> view;
    for (std::size_t k = 0; k < kMachines; ++k) {
      for (std::uint64_t life : {1u, 2u}) view.push_back({MemberOf(k, life), true});
    }
    local.core->OnView(kNow, view, out);
    if (local.life > 1 && local.core->roster().epoch == 0) CoreProbe::Ping(*local.core, out);
    Take(i, local, out, step, false);
  }

  std::uint32_t Intern(std::size_t i, Local local) {
    CoreProbe::Plain(*local.core, (local.run * 10 + local.life) * 10 + i, local.write, told_);
    std::string key = CoreProbe::Key(*local.core);
    Append(key, local.run * 8 + local.life * 2 + local.gone);
    Append(key, i);
    for (const auto& [name, bytes] : local.disk) key += bytes;
    if (local.write) {
      for (const auto& [name, bytes] : local.write->records) key += bytes;
    }
    auto [found, is_new] = local_ids_.try_emplace(std::move(key), static_cast<std::uint32_t>(locals_.size()));
    if (!is_new) return found->second;
    State state = OnDisk(local);
    local.disk_epoch = state.roster.epoch;
    local.disk_roster = state.roster.members;
    local.disk_version = state.value.version;
    local.disk_stamp = state.stamp;
    local.disk_record = EncodeValue(state.value);
    for (const auto& [name, page] : EncodePages(state.ledger, 0)) local.disk_record += page;
    local.disk_contents = {};
    for (const OrderOutcome& outcome : state.ledger.entries)
      local.disk_contents.at(outcome.version) = ContentOf(outcome.version, outcome.digest);
    if (state.value.version > 0)
      local.disk_contents.at(state.value.version) =
          ContentOf(state.value.version, ContentDigest(state.value.text));
    local.disk_accepted = state.accepted ? state.accepted->members : std::vector<Member>{};
    locals_.push_back(std::move(local));
    return found->second;
  }

  void Take(std::size_t i, Local& local, Out& out, Step& step, bool to_start) {
    for (Sending& s : out.sends) {
      const bool query = std::holds_alternative<Query>(s.message.body);
      if (query && s.message.epoch > 0 && CoreProbe::IsPing(*local.core, s.message.id)) continue;
      const bool told = std::holds_alternative<QueryReply>(s.message.body);
      if (told && told_ == CoreProbe::Told::kNothing && s.message.id == 0 && to_start) continue;
      std::uint32_t to = 0;
      while (MemberOf(to, 1).address != s.to.address) ++to;
      std::string key = std::to_string(to) + Encode(s.message);
      auto [found, is_new] = mail_ids_.try_emplace(std::move(key), static_cast<std::uint16_t>(mails_.size()));
      if (is_new) mails_.push_back({static_cast<std::uint32_t>(i), to, std::move(s.message)});
      if (mails_.size() > 65000) throw std::runtime_error("too many messages");
      step.sent.push_back(found->second);
    }
    for (Done& d : out.done) step.done.push_back(std::move(d));
    for (Write& w : out.writes) local.write = std::move(w);
  }

  const Step& StepOf(std::uint32_t id, const Action& action) {
    auto [found, is_new] = steps_.try_emplace(static_cast<std::uint64_t>(id) << 32 | action.Code(), Step{});
    if (is_new) found->second = MakeStep(id, action);
    return found->second;
  }

  Step MakeStep(std::uint32_t id, const Action& action) {
    Step step;
    std::size_t i = action.machine;
    Local local = locals_[id];
    bool hung = local.write.has_value();
    if (action.kind == kCrash || action.kind == kWipe) {
      if (action.variant == kKept && !hung) return step;
      if (hung && action.variant == kKept) Keep(local);
      if (action.kind == kWipe) {
        local.disk.clear();
        ++local.life;
      }
      Start(i, local, step);
      step.local = Intern(i, std::move(local));
      step.valid = true;
      return step;
    }
    local.core = std::make_shared<Core>(*local.core);
    Core& core = *local.core;
    Out out;
    bool to_start = false;
    switch (action.kind) {
      case kDeliver: {
        const Message& message = mails_[action.what].message;
        to_start = std::holds_alternative<InstallEpoch>(message.body);
        core.OnMessage(kNow, message, out);
        break;
      }
      case kPut:
        core.Put(kNow, 100 + action.what, OrderOf(action.what), out);
        break;
      case kGet:
        core.Get(kNow, 200 + action.what, out);
        break;
      case kPropose: {
        if (!CoreProbe::MayPropose(core)) return step;
        std::vector<Member> members = core.roster().members;
        if (action.what < kMachines) {
          std::size_t place = 0;
          while (place < members.size() && members[place].life.node != NameOf(action.what)) ++place;
          if (place == members.size() || members[place].life == core.self().life) return step;
          members[place] = MemberOf(3, 1);
        } else if (action.what < 2 * kMachines) {  // the same machine with its new disk
          std::size_t place = 0;
          while (place < members.size() && members[place] != MemberOf(action.what - kMachines, 1)) ++place;
          if (place == members.size()) return step;
          members[place].life.disk = 2;
        } else {
          members.push_back(MemberOf(3, 1));
        }
        for (std::size_t k = 0; k + 1 < members.size(); ++k) {
          if (members[k].life.node == members.back().life.node) return step;
        }
        CoreProbe::Propose(core, members, out);
        break;
      }
      case kSync:
        if (!hung) return step;
        break;
      case kRetry:
        if (!CoreProbe::MayRetry(core)) return step;
        CoreProbe::Retry(core, out);
        break;
      case kLeave:
        if (hung || !CoreProbe::HandedOver(core)) return step;
        local.gone = true;
        step.local = Intern(i, std::move(local));
        step.valid = true;
        return step;
      case kView: {
        std::vector<Seen> view{{MemberOf(i, local.life), true}};
        core.OnView(kNow, view, out);
        break;
      }
      default:
        return step;
    }
    if (hung && action.kind != kSync) {
      if (action.variant != kSynced) return step;
      Take(i, local, out, step, to_start);
    } else {
      Take(i, local, out, step, to_start);
      if (action.variant != kSynced && !local.write) return step;
      if (action.variant == kSynced) {
        while (local.write) {
          Keep(local);
          std::uint64_t write = local.write->id;
          local.write.reset();
          Out more;
          core.OnWritten(kNow, write, true, more);
          Take(i, local, more, step, to_start);
        }
      } else if (action.variant != kHangs) {
        if (action.variant == kKept) Keep(local);
        Start(i, local, step);
      }
    }
    step.local = Intern(i, std::move(local));
    step.valid = true;
    return step;
  }
  Value OrderOf(std::uint32_t what) const {
    const Order& order = limits_.orders[what];
    return {order.version, TextOf(order.version, order.content)};
  }
  static void Keep(Local& local) {
    for (const auto& [key, bytes] : local.write->records) local.disk[key] = bytes;
  }

  // ---- All of them ----

  std::vector<Action> Actions(const World& world) const {
    std::vector<Action> actions;
    auto add = [&](Kind kind, std::uint32_t machine, std::uint32_t what) {
      actions.push_back({kind, kSynced, machine, what});
      if (locals_[world.local[machine]].write) return;
      if (world.left[1] > 0) {
        actions.push_back({kind, kLost, machine, what});
        actions.push_back({kind, kKept, machine, what});
      }
      if (world.left[2] > 0) actions.push_back({kind, kHangs, machine, what});
    };
    for (std::uint16_t mail : world.mail) add(kDeliver, mails_[mail].to, mail);
    for (std::uint32_t i = 0; i < limits_.orders.size(); ++i) {
      const auto machine = static_cast<std::uint32_t>(limits_.orders[i].machine);
      if (!(world.puts >> i & 1)) add(kPut, machine, i);
    }
    for (std::uint32_t i = 0; i < limits_.gets.size(); ++i) {
      if (!world.gets[i].begun && world.floor > 0)
        actions.push_back({kGet, kSynced, static_cast<std::uint32_t>(limits_.gets[i]), i});
    }
    if (world.left[0] > 0) {
      for (std::size_t each : limits_.proposers) {
        auto proposer = static_cast<std::uint32_t>(each);
        for (std::uint32_t out = 0; out < kMachines; ++out) {
          if (out != proposer && limits_.wipes == 0) add(kPropose, proposer, out);
          if (locals_[world.local[out]].life > 1) add(kPropose, proposer, kMachines + out);
        }
        if (limits_.grow) add(kPropose, proposer, 2 * kMachines);
      }
    }
    for (std::uint32_t i = 0; i < kMachines; ++i) {
      if (locals_[world.local[i]].write) actions.push_back({kSync, kSynced, i, 0});
      if (world.left[1] > 0) {
        actions.push_back({kCrash, kSynced, i, 0});
        actions.push_back({kCrash, kKept, i, 0});
      }
      if (world.left[3] > 0 && locals_[world.local[i]].life == 1 && MayLose(world, i))
        actions.push_back({kWipe, kSynced, i, 0});
      if (world.left[4] > 0) actions.push_back({kView, kSynced, i, 0});
      if (world.left[5] > 0) add(kRetry, i, 0);
      if (world.left[6] > 0 && i < 3) actions.push_back({kLeave, kSynced, i, 0});
    }
    std::erase_if(actions, [&](const Action& each) { return locals_[world.local[each.machine]].gone; });
    return actions;
  }

  // In every roster that may be in force or come, no more than one of three has lost its disk.
  bool MayLose(const World& world, std::size_t i) const {
    if (limits_.leaves > 0) return i < 3;  // one of those that stay, whoever has left by order
    std::map<std::uint64_t, std::vector<Member>> epochs;
    std::map<Life, std::uint64_t> reached;
    for (std::size_t k = 0; k < kMachines; ++k) {
      const Local& local = locals_[world.local[k]];
      reached[MemberOf(k, local.life).life] = local.disk_epoch;
      epochs[local.disk_epoch] = local.disk_roster;
      if (!local.disk_accepted.empty()) epochs.try_emplace(local.disk_epoch + 1, local.disk_accepted);
    }
    epochs.erase(0);
    for (auto it = epochs.rbegin(); it != epochs.rend(); ++it) {
      std::size_t lost = 0, in_force = 0;
      bool listed = false;
      for (const Member& member : it->second) {
        bool own = member.life == MemberOf(i, locals_[world.local[i]].life).life;
        auto found = reached.find(member.life);
        listed = listed || own;
        if (own || found == reached.end()) ++lost;
        if (found != reached.end() && found->second >= it->first) ++in_force;
      }
      if (!listed) ++lost;
      if (lost > 1) return false;
      if (2 * in_force > it->second.size()) return true;
    }
    return false;
  }

  bool Apply(World& world, const Action& action, std::string& wrong) {
    const Step& step = StepOf(world.local[action.machine], action);
    if (!step.valid) return false;
    if (action.kind == kPropose) LookAtChange(world, action.machine, wrong);
    if (action.kind == kRetry) --world.left[5];
    if (action.kind == kLeave) --world.left[6];
    bool crash = action.kind == kCrash || action.variant == kLost || action.variant == kKept;
    if (crash) --world.left[1];
    if (action.variant == kHangs) --world.left[2];
    if (action.kind == kPropose) --world.left[0];
    if (action.kind == kWipe) --world.left[3];
    if (action.kind == kView) --world.left[4];
    if (action.kind == kPut) world.puts |= static_cast<std::uint16_t>(1u << action.what);
    if (action.kind == kGet) world.gets[action.what] = {world.floor, true, false};
    world.local[action.machine] = step.local;
    for (std::uint16_t mail : step.sent) {
      auto at = std::lower_bound(world.mail.begin(), world.mail.end(), mail);
      if (at == world.mail.end() || *at != mail) world.mail.insert(at, mail);
    }
    std::erase_if(world.mail, [&](std::uint16_t mail) { return Idle(world, mails_[mail]); });
    for (const Done& done : step.done) End(world, done, wrong);
    Look(world, action.machine, wrong);
    return true;
  }

  // It would change nothing, or nothing that counts.
  bool Idle(const World& world, const Mail& mail) const {
    const Local& to = locals_[world.local[mail.to]];
    const Local& from = locals_[world.local[mail.from]];
    const Message& m = mail.message;
    if (to.gone) return true;
    const auto* told = std::get_if<QueryReply>(&m.body);
    const bool query = std::holds_alternative<Query>(m.body), news = told != nullptr && m.id == 0;
    if (std::holds_alternative<InstallEpoch>(m.body)) return m.epoch <= to.disk_epoch;
    if (m.epoch < to.disk_epoch && !news && !(query && m.epoch == 0)) return true;
    if (m.epoch < to.disk_epoch && m.epoch < from.disk_epoch) return true;
    if (query) return m.epoch > 0 && !CoreProbe::Awaits(*from.core, m.id);
    if (std::holds_alternative<Fetch>(m.body)) return !CoreProbe::Awaits(*from.core, m.id);
    if (news && m.epoch == to.disk_epoch)
      return told_ == CoreProbe::Told::kNothing ||
             CoreProbe::KnowsHolding(*to.core, m.from.life, told->installed, {});
    if (news) return false;
    const auto* accepted = std::get_if<Accepted>(&m.body);
    if (accepted != nullptr && accepted->ok && told_ == CoreProbe::Told::kAll)
      return CoreProbe::KnowsHolding(*to.core, m.from.life, m.epoch, {m.epoch, accepted->promised});
    const bool reply = told != nullptr || accepted != nullptr || std::holds_alternative<Promised>(m.body) ||
                       std::holds_alternative<Fetched>(m.body) ||
                       std::holds_alternative<EpochPromised>(m.body) ||
                       std::holds_alternative<EpochAccepted>(m.body);
    return reply && !CoreProbe::Awaits(*to.core, m.id);
  }

  // A number belongs to the first content that was confirmed, or told to be in force.
  static void Confirm(World& world, std::uint64_t version, int content, std::string& wrong) {
    std::uint16_t& number = world.numbers.at(version);
    const std::string name = std::to_string(version);
    if ((number & 3) != 0 && (number & 3) != content) wrong = "two contents are confirmed under " + name;
    if (number >> 2 & content) wrong = "confirmed what was refused under " + name;
    if ((number & 3) == 0) number = static_cast<std::uint16_t>(number | content);
  }

  void End(World& world, const Done& done, std::string& wrong) const {
    const bool confirmed = done.outcome == Outcome::kKept || done.outcome == Outcome::kOlder;
    if (!confirmed && done.outcome != Outcome::kConflict) return;
    auto version = static_cast<std::uint16_t>(done.value.version);
    if (version > 0) Confirm(world, version, ContentOf(version, done.digest), wrong);
    if (done.call >= 200) {
      Open& get = world.gets[done.call - 200];
      get.ended = true;
      if (version < get.floor)
        wrong = "acknowledged " + std::to_string(get.floor) + ", read " + std::to_string(version);
      world.floor = std::max(world.floor, version);
      return;
    }
    const Order& order = limits_.orders[done.call - 100];
    if (done.outcome == Outcome::kConflict) {
      std::uint16_t& number = world.numbers.at(order.version);
      if ((number & 3) == order.content)
        wrong = "refused what is confirmed under " + std::to_string(order.version);
      number = static_cast<std::uint16_t>(number | order.content << 2);
      return;
    }
    if (version < order.version) wrong = "a put ended with an older version";
    Confirm(world, order.version, order.content, wrong);
    world.floor = std::max(world.floor, version);
  }

  // The next change of members begins only when a majority holds this epoch on its disks.
  void LookAtChange(const World& world, std::size_t machine, std::string& wrong) const {
    const Local& local = locals_[world.local[machine]];
    const Roster& roster = local.core->roster();
    if (local.core->sealed()) return;
    std::size_t holders = 0;
    for (std::size_t k = 0; k < kMachines; ++k) {
      const Local& each = locals_[world.local[k]];
      const bool member = std::any_of(roster.members.begin(), roster.members.end(),
                                      [&](const Member& m) { return m == MemberOf(k, each.life); });
      holders += member && each.disk_epoch >= roster.epoch ? 1 : 0;
    }
    if (2 * holders <= roster.members.size())
      wrong =
          "a change begins, and a majority of epoch " + std::to_string(roster.epoch) + " doesn't hold it yet";
  }

  static bool Knows(const World& world, const Local& local) {
    for (std::size_t version = 1; version < kMostVersions; ++version) {
      const int confirmed = world.numbers[version] & 3;
      if (confirmed != 0 && local.disk_contents[version] != confirmed) return false;
    }
    return local.disk_version >= world.floor;
  }

  void Look(World& world, std::size_t machine, std::string& wrong) {
    const Local& local = locals_[world.local[machine]];
    const Record& committed = local.core->committed_record();
    const auto version = static_cast<std::uint16_t>(committed.value.version);
    if (version > 0) Confirm(world, version, ContentOf(version, committed.digest), wrong);
    world.floor = std::max(world.floor, version);
    const Record& held = CoreProbe::HeldOf(*local.core);
    if (held.value.version > 0 && ContentOf(held.value.version, held.digest) == 0)
      wrong = "holds what nobody put";
    LookAtRoster(world, CoreProbe::StateOf(*local.core).roster, wrong);
    LookAtDisks(world, machine, wrong);
  }

  void LookAtRoster(World& world, const Roster& roster, std::string& wrong) {
    if (roster.epoch == 0) return;
    if (roster.epoch >= world.rosters.size()) throw std::runtime_error("too many epochs");
    auto id = RosterId(roster.members);
    auto& known = world.rosters[roster.epoch];
    if (known != 0 && known != id)
      wrong = "two rosters of epoch " + std::to_string(roster.epoch) + ": " + NamesOf(rosters_[known - 1]) +
              " and " + NamesOf(roster.members);
    known = id;
  }

  // Two records of one stamp are equal. Of the newest epoch no majority is without what was confirmed, number
  // by number; and some disk knows all of it.
  void LookAtDisks(const World& world, std::size_t machine, std::string& wrong) const {
    const Local& local = locals_[world.local[machine]];
    std::uint64_t newest = 0;
    bool some = false;
    for (std::size_t k = 0; k < kMachines; ++k) {
      const Local& each = locals_[world.local[k]];
      if (each.gone) continue;
      newest = std::max(newest, each.disk_epoch);
      some = some || Knows(world, each);
      const bool equal = each.disk_record == local.disk_record || each.disk_stamp != local.disk_stamp;
      if (wrong.empty() && !equal) wrong = "two records of one stamp";
    }
    std::size_t without = 0, size = 0;
    for (std::size_t k = 0; k < kMachines; ++k) {
      const Local& each = locals_[world.local[k]];
      if (each.disk_epoch != newest || each.gone) continue;
      size = each.disk_roster.size();
      bool member = std::any_of(each.disk_roster.begin(), each.disk_roster.end(),
                                [&](const Member& m) { return m == MemberOf(k, each.life); });
      if (member && !Knows(world, each)) ++without;
    }
    if (!wrong.empty()) return;
    if (!some) wrong = "no disk knows all that was confirmed";
    if (2 * without > size)
      wrong = "a majority of epoch " + std::to_string(newest) +
              " doesn't know all that was confirmed up to " + std::to_string(world.floor);
  }

  std::uint16_t RosterId(const std::vector<Member>& members) {
    auto found = std::find(rosters_.begin(), rosters_.end(), members);
    if (found == rosters_.end()) found = rosters_.insert(found, members);
    return static_cast<std::uint16_t>(found - rosters_.begin() + 1);
  }

  // ---- Telling ----

  std::string Trace() const {
    std::vector<std::uint32_t> codes;
    for (std::size_t node = nodes_.size() - 1; node != 0; node = nodes_[node].parent)
      codes.push_back(nodes_[node].action);
    std::string text;
    for (auto it = codes.rbegin(); it != codes.rend(); ++it)
      text += "\n    " + Describe(Action::Of(*it), mails_, limits_);
    return text;
  }

  Limits limits_;
  Options options_;
  CoreProbe::Told told_ = CoreProbe::Told::kNothing;
  std::vector<Local> locals_;
  std::unordered_map<std::string, std::uint32_t> local_ids_;
  std::vector<Mail> mails_;
  std::unordered_map<std::string, std::uint16_t> mail_ids_;
  std::unordered_map<std::uint64_t, Step> steps_;
  std::vector<std::vector<Member>> rosters_;
  std::vector<Node> nodes_;
  Seen64 seen_;
  int depth_ = 0;
  bool complete_ = false;
  double seconds_ = 0;
};

}  // namespace
}  // namespace curlewdoor::agreement
