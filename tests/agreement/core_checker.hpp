// Explores all interleavings (described in core_probe.hpp) and checks the guarantees in each state.
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
  Checker(CoreOptions::Fault fault, Limits limits) : limits_(std::move(limits)) {
    options_.fault = fault;
    options_.max_read_rounds = 0;  // a read that meets a ballot in progress starts its own at once
    tracked_reports_ = limits_.leaves > 0      ? CoreProbe::Tracked::kAll
                       : limits_.proposals > 1 ? CoreProbe::Tracked::kInstalled
                                               : CoreProbe::Tracked::kNothing;
  }

  // Empty: every guarantee was kept. Otherwise the violation and the trace that leads to it.
  std::string Run() {
    auto started = std::chrono::steady_clock::now();
    std::vector<std::uint16_t> frontier, next;  // per state: its size, then its words
    std::uint32_t first = 0;
    Push(frontier, InitialState());
    nodes_.push_back({0, 0});
    std::string failure;
    for (depth_ = 0; depth_ < limits_.depth && !frontier.empty() && failure.empty(); ++depth_) {
      if (nodes_.size() > limits_.states) break;
      next.clear();
      auto next_first = static_cast<std::uint32_t>(nodes_.size());
      std::uint32_t node = first;
      for (std::size_t at = 0; at < frontier.size() && failure.empty(); ++node) {
        std::size_t size = frontier[at++];
        SystemState system = SystemState::Of(frontier.data() + at, size);
        at += size;
        for (const Action& action : EnabledActions(system)) {
          SystemState after = system;
          std::string violation;
          if (!Apply(after, action, violation)) continue;
          auto words = after.Pack();
          std::string_view bytes(reinterpret_cast<const char*>(words.data()), 2 * words.size());
          if (violation.empty() && !seen_.Add(StableHash(bytes))) continue;
          nodes_.push_back({node, action.Code()});
          if (!violation.empty()) {
            failure = violation + Trace();
            break;
          }
          Push(next, after);
        }
      }
      frontier.swap(next);
      first = next_first;
    }
    complete_ = frontier.empty();
    seconds_ = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    return failure;
  }

  std::string Statistics() const {
    std::ostringstream text;
    text << nodes_.size() << " states to depth " << depth_ << (complete_ ? " (all there are), " : ", ")
         << machine_states_.size() << " of one machine, " << messages_.size() << " messages, " << seconds_
         << " s";
    return text.str();
  }
  std::size_t states() const { return nodes_.size(); }

 private:
  struct Node {
    std::uint32_t parent, action;
  };

  static void Push(std::vector<std::uint16_t>& to, const SystemState& system) {
    auto words = system.Pack();
    to.push_back(static_cast<std::uint16_t>(words.size()));
    to.insert(to.end(), words.begin(), words.end());
  }

  SystemState InitialState() {
    CoreState state;
    state.membership.epoch = 1;
    for (std::size_t i = 0; i < 3; ++i) state.membership.members.push_back(MemberOf(i, 1));
    state.membership.initial_size = 3;
    SystemState system;
    for (std::size_t i = 0; i < kMachines; ++i) {
      MachineState machine_state;
      if (i < 3) machine_state.disk = DiskOf(i < 2 && limits_.seeded ? Seeded(state) : state);
      Transition transition;
      StartProcess(i, machine_state, transition);
      system.machines[i] = Intern(i, std::move(machine_state));
    }
    system.budget = {
        static_cast<std::uint16_t>(limits_.proposals), static_cast<std::uint16_t>(limits_.crashes),
        static_cast<std::uint16_t>(limits_.stalls),    static_cast<std::uint16_t>(limits_.wipes),
        static_cast<std::uint16_t>(limits_.views),     static_cast<std::uint16_t>(limits_.retries),
        static_cast<std::uint16_t>(limits_.leaves)};
    if (limits_.seeded) system.versions = {0, 1, 1}, system.acknowledged = 2;
    return system;
  }
  static CoreState Seeded(CoreState state) {
    state.value = {2, TextOf(2, 1)};
    state.outcome_log.Append({2, ContentDigest(TextOf(2, 1)), true});
    state.outcome_log.Append({1, ContentDigest(TextOf(1, 1)), false});
    state.stamp = {1, {1, 1}};
    state.register_promised = {1, 1};
    return state;
  }
  static Disk DiskOf(const CoreState& state) {
    Disk disk;
    for (auto& [key, bytes] : EncodeAll(state)) disk[key] = bytes;
    return disk;
  }

  // ---- Single machines ----

  static CoreState OnDisk(const MachineState& machine_state) {
    return DecodeState([&machine_state](const std::string& key) -> std::optional<std::string> {
             auto found = machine_state.disk.find(key);
             return found == machine_state.disk.end() ? std::nullopt : std::optional(found->second);
           })
        .value();
  }

  // Starts a process with the state on its disk.
  void StartProcess(std::size_t i, MachineState& machine_state, Transition& transition) {
    ++machine_state.run;
    machine_state.write.reset();
    std::uint64_t seed = (machine_state.run * 10 + machine_state.incarnation) * 10 + i;
    machine_state.core = std::make_shared<Core>(MemberOf(i, machine_state.incarnation), false,
                                                OnDisk(machine_state), options_, seed);
    CoreOutput out;
    std::vector<ObservedMachine> view;
    for (std::size_t k = 0; k < kMachines; ++k) {
      for (std::uint64_t incarnation : {1u, 2u}) view.push_back({MemberOf(k, incarnation), true});
    }
    machine_state.core->OnView(kNow, view, out);
    if (machine_state.incarnation > 1 && machine_state.core->membership().epoch == 0)
      CoreProbe::Ping(*machine_state.core, out);
    Collect(i, machine_state, out, transition, false);
  }

  std::uint32_t Intern(std::size_t i, MachineState machine_state) {
    CoreProbe::Normalize(*machine_state.core, (machine_state.run * 10 + machine_state.incarnation) * 10 + i,
                         machine_state.write, tracked_reports_);
    std::string key = CoreProbe::StateKey(*machine_state.core);
    Append(key, machine_state.run * 8 + machine_state.incarnation * 2 + machine_state.departed);
    Append(key, i);
    for (const auto& [name, bytes] : machine_state.disk) key += bytes;
    if (machine_state.write) {
      for (const auto& [name, bytes] : machine_state.write->records) key += bytes;
    }
    auto [found, is_new] =
        machine_state_ids_.try_emplace(std::move(key), static_cast<std::uint32_t>(machine_states_.size()));
    if (!is_new) return found->second;
    CoreState state = OnDisk(machine_state);
    machine_state.disk_epoch = state.membership.epoch;
    machine_state.disk_members = state.membership.members;
    machine_state.disk_version = state.value.version;
    machine_state.disk_stamp = state.stamp;
    machine_state.disk_record = EncodeValue(state.value);
    for (const auto& [name, page] : EncodePages(state.outcome_log, 0)) machine_state.disk_record += page;
    machine_state.disk_contents = {};
    for (const PutOutcome& outcome : state.outcome_log.entries)
      machine_state.disk_contents.at(outcome.version) = ContentOf(outcome.version, outcome.digest);
    if (state.value.version > 0)
      machine_state.disk_contents.at(state.value.version) =
          ContentOf(state.value.version, ContentDigest(state.value.text));
    machine_state.disk_accepted = state.accepted ? state.accepted->members : std::vector<Member>{};
    machine_states_.push_back(std::move(machine_state));
    return found->second;
  }

  void Collect(std::size_t i, MachineState& machine_state, CoreOutput& out, Transition& transition,
               bool to_start) {
    for (OutgoingMessage& s : out.sends) {
      const bool query = std::holds_alternative<StatusQuery>(s.message.body);
      if (query && s.message.epoch > 0 && CoreProbe::IsPing(*machine_state.core, s.message.id)) continue;
      const bool status_reply = std::holds_alternative<StatusReply>(s.message.body);
      if (status_reply && tracked_reports_ == CoreProbe::Tracked::kNothing && s.message.id == 0 && to_start)
        continue;
      std::uint32_t to = 0;
      while (MemberOf(to, 1).address != s.to.address) ++to;
      std::string key = std::to_string(to) + Encode(s.message);
      auto [found, is_new] =
          message_ids_.try_emplace(std::move(key), static_cast<std::uint16_t>(messages_.size()));
      if (is_new) messages_.push_back({static_cast<std::uint32_t>(i), to, std::move(s.message)});
      if (messages_.size() > 65000) throw std::runtime_error("too many messages");
      transition.sent.push_back(found->second);
    }
    for (CallResult& d : out.results) transition.results.push_back(std::move(d));
    for (StorageWrite& w : out.writes) machine_state.write = std::move(w);
  }

  const Transition& TransitionFor(std::uint32_t id, const Action& action) {
    auto [found, is_new] =
        transitions_.try_emplace(static_cast<std::uint64_t>(id) << 32 | action.Code(), Transition{});
    if (is_new) found->second = MakeTransition(id, action);
    return found->second;
  }

  Transition MakeTransition(std::uint32_t id, const Action& action) {
    Transition transition;
    std::size_t i = action.machine;
    MachineState machine_state = machine_states_[id];
    bool write_stalled = machine_state.write.has_value();
    if (action.kind == kCrash || action.kind == kWipe) {
      if (action.variant == kPersisted && !write_stalled) return transition;
      if (write_stalled && action.variant == kPersisted) PersistWrite(machine_state);
      if (action.kind == kWipe) {
        machine_state.disk.clear();
        ++machine_state.incarnation;
      }
      StartProcess(i, machine_state, transition);
      transition.machine_state = Intern(i, std::move(machine_state));
      transition.valid = true;
      return transition;
    }
    machine_state.core = std::make_shared<Core>(*machine_state.core);
    Core& core = *machine_state.core;
    CoreOutput out;
    bool to_start = false;
    switch (action.kind) {
      case kDeliver: {
        const CoreMessage& message = messages_[action.argument].message;
        to_start = std::holds_alternative<InstallEpoch>(message.body);
        core.OnMessage(kNow, message, out);
        break;
      }
      case kPut:
        core.Put(kNow, 100 + action.argument, PlannedValue(action.argument), out);
        break;
      case kGet:
        core.Get(kNow, 200 + action.argument, out);
        break;
      case kPropose: {
        if (!CoreProbe::MayPropose(core)) return transition;
        std::vector<Member> members = core.membership().members;
        if (action.argument < kMachines) {
          std::size_t place = 0;
          while (place < members.size() && members[place].incarnation.node != NameOf(action.argument))
            ++place;
          if (place == members.size() || members[place].incarnation == core.self().incarnation)
            return transition;
          members[place] = MemberOf(3, 1);
        } else if (action.argument < 2 * kMachines) {  // the same machine with its new disk
          std::size_t place = 0;
          while (place < members.size() && members[place] != MemberOf(action.argument - kMachines, 1))
            ++place;
          if (place == members.size()) return transition;
          members[place].incarnation.number = 2;
        } else {
          members.push_back(MemberOf(3, 1));
        }
        for (std::size_t k = 0; k + 1 < members.size(); ++k) {
          if (members[k].incarnation.node == members.back().incarnation.node) return transition;
        }
        CoreProbe::Propose(core, members, out);
        break;
      }
      case kSync:
        if (!write_stalled) return transition;
        break;
      case kRetry:
        if (!CoreProbe::MayRetry(core)) return transition;
        CoreProbe::Retry(core, out);
        break;
      case kLeave:
        if (write_stalled || !CoreProbe::HandedOver(core)) return transition;
        machine_state.departed = true;
        transition.machine_state = Intern(i, std::move(machine_state));
        transition.valid = true;
        return transition;
      case kView: {
        std::vector<ObservedMachine> view{{MemberOf(i, machine_state.incarnation), true}};
        core.OnView(kNow, view, out);
        break;
      }
      default:
        return transition;
    }
    if (write_stalled && action.kind != kSync) {
      if (action.variant != kSynced) return transition;
      Collect(i, machine_state, out, transition, to_start);
    } else {
      Collect(i, machine_state, out, transition, to_start);
      if (action.variant != kSynced && !machine_state.write) return transition;
      if (action.variant == kSynced) {
        while (machine_state.write) {
          PersistWrite(machine_state);
          std::uint64_t write = machine_state.write->id;
          machine_state.write.reset();
          CoreOutput more;
          core.OnWritten(kNow, write, true, more);
          Collect(i, machine_state, more, transition, to_start);
        }
      } else if (action.variant != kStalls) {
        if (action.variant == kPersisted) PersistWrite(machine_state);
        StartProcess(i, machine_state, transition);
      }
    }
    transition.machine_state = Intern(i, std::move(machine_state));
    transition.valid = true;
    return transition;
  }
  ConfigValue PlannedValue(std::uint32_t argument) const {
    const PlannedPut& planned = limits_.planned_puts[argument];
    return {planned.version, TextOf(planned.version, planned.content)};
  }
  static void PersistWrite(MachineState& machine_state) {
    for (const auto& [key, bytes] : machine_state.write->records) machine_state.disk[key] = bytes;
  }

  // ---- Whole system ----

  std::vector<Action> EnabledActions(const SystemState& system) const {
    std::vector<Action> actions;
    auto add = [&](Kind kind, std::uint32_t machine, std::uint32_t argument) {
      actions.push_back({kind, kSynced, machine, argument});
      if (machine_states_[system.machines[machine]].write) return;
      if (system.budget[1] > 0) {
        actions.push_back({kind, kLost, machine, argument});
        actions.push_back({kind, kPersisted, machine, argument});
      }
      if (system.budget[2] > 0) actions.push_back({kind, kStalls, machine, argument});
    };
    for (std::uint16_t message_id : system.in_flight) add(kDeliver, messages_[message_id].to, message_id);
    for (std::uint32_t i = 0; i < limits_.planned_puts.size(); ++i) {
      const auto machine = static_cast<std::uint32_t>(limits_.planned_puts[i].machine);
      if (!(system.puts >> i & 1)) add(kPut, machine, i);
    }
    for (std::uint32_t i = 0; i < limits_.gets.size(); ++i) {
      if (!system.gets[i].started && system.acknowledged > 0)
        actions.push_back({kGet, kSynced, static_cast<std::uint32_t>(limits_.gets[i]), i});
    }
    if (system.budget[0] > 0) {
      for (std::size_t each : limits_.proposers) {
        auto proposer = static_cast<std::uint32_t>(each);
        for (std::uint32_t out = 0; out < kMachines; ++out) {
          if (out != proposer && limits_.wipes == 0) add(kPropose, proposer, out);
          if (machine_states_[system.machines[out]].incarnation > 1) add(kPropose, proposer, kMachines + out);
        }
        if (limits_.allow_growth) add(kPropose, proposer, 2 * kMachines);
      }
    }
    for (std::uint32_t i = 0; i < kMachines; ++i) {
      if (machine_states_[system.machines[i]].write) actions.push_back({kSync, kSynced, i, 0});
      if (system.budget[1] > 0) {
        actions.push_back({kCrash, kSynced, i, 0});
        actions.push_back({kCrash, kPersisted, i, 0});
      }
      if (system.budget[3] > 0 && machine_states_[system.machines[i]].incarnation == 1 &&
          MayLoseDisk(system, i))
        actions.push_back({kWipe, kSynced, i, 0});
      if (system.budget[4] > 0) actions.push_back({kView, kSynced, i, 0});
      if (system.budget[5] > 0) add(kRetry, i, 0);
      if (system.budget[6] > 0 && i < 3) actions.push_back({kLeave, kSynced, i, 0});
    }
    std::erase_if(
        actions, [&](const Action& each) { return machine_states_[system.machines[each.machine]].departed; });
    return actions;
  }

  // Whether a disk may be lost: in every membership that is or may come into force, at most one of three
  // members has lost its disk.
  bool MayLoseDisk(const SystemState& system, std::size_t i) const {
    if (limits_.leaves > 0) return i < 3;  // one of the remaining members; leaving is not a loss
    std::map<std::uint64_t, std::vector<Member>> epochs;
    std::map<Incarnation, std::uint64_t> reached;
    for (std::size_t k = 0; k < kMachines; ++k) {
      const MachineState& machine_state = machine_states_[system.machines[k]];
      reached[MemberOf(k, machine_state.incarnation).incarnation] = machine_state.disk_epoch;
      epochs[machine_state.disk_epoch] = machine_state.disk_members;
      if (!machine_state.disk_accepted.empty())
        epochs.try_emplace(machine_state.disk_epoch + 1, machine_state.disk_accepted);
    }
    epochs.erase(0);
    for (auto it = epochs.rbegin(); it != epochs.rend(); ++it) {
      std::size_t lost = 0, in_force = 0;
      bool listed = false;
      for (const Member& member : it->second) {
        bool own =
            member.incarnation == MemberOf(i, machine_states_[system.machines[i]].incarnation).incarnation;
        auto found = reached.find(member.incarnation);
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

  bool Apply(SystemState& system, const Action& action, std::string& violation) {
    const Transition& transition = TransitionFor(system.machines[action.machine], action);
    if (!transition.valid) return false;
    if (action.kind == kPropose) CheckChange(system, action.machine, violation);
    if (action.kind == kRetry) --system.budget[5];
    if (action.kind == kLeave) --system.budget[6];
    bool crash = action.kind == kCrash || action.variant == kLost || action.variant == kPersisted;
    if (crash) --system.budget[1];
    if (action.variant == kStalls) --system.budget[2];
    if (action.kind == kPropose) --system.budget[0];
    if (action.kind == kWipe) --system.budget[3];
    if (action.kind == kView) --system.budget[4];
    if (action.kind == kPut) system.puts |= static_cast<std::uint16_t>(1u << action.argument);
    if (action.kind == kGet) system.gets[action.argument] = {system.acknowledged, true, false};
    system.machines[action.machine] = transition.machine_state;
    for (std::uint16_t message_id : transition.sent) {
      auto at = std::lower_bound(system.in_flight.begin(), system.in_flight.end(), message_id);
      if (at == system.in_flight.end() || *at != message_id) system.in_flight.insert(at, message_id);
    }
    std::erase_if(system.in_flight,
                  [&](std::uint16_t message_id) { return IsIrrelevant(system, messages_[message_id]); });
    for (const CallResult& done : transition.results) End(system, done, violation);
    CheckMachine(system, action.machine, violation);
    return true;
  }

  // Delivering it would change nothing, or nothing that matters.
  bool IsIrrelevant(const SystemState& system, const SentMessage& envelope) const {
    const MachineState& to = machine_states_[system.machines[envelope.to]];
    const MachineState& from = machine_states_[system.machines[envelope.from]];
    const CoreMessage& m = envelope.message;
    if (to.departed) return true;
    const auto* status_reply = std::get_if<StatusReply>(&m.body);
    const bool query = std::holds_alternative<StatusQuery>(m.body),
               announcement = status_reply != nullptr && m.id == 0;
    if (std::holds_alternative<InstallEpoch>(m.body)) return m.epoch <= to.disk_epoch;
    if (m.epoch < to.disk_epoch && !announcement && !(query && m.epoch == 0)) return true;
    if (m.epoch < to.disk_epoch && m.epoch < from.disk_epoch) return true;
    if (query) return m.epoch > 0 && !CoreProbe::AwaitsReply(*from.core, m.id);
    if (std::holds_alternative<RecordRequest>(m.body)) return !CoreProbe::AwaitsReply(*from.core, m.id);
    if (announcement && m.epoch == to.disk_epoch)
      return tracked_reports_ == CoreProbe::Tracked::kNothing ||
             CoreProbe::KnowsHolding(*to.core, m.from.incarnation, status_reply->installed_epoch, {});
    if (announcement) return false;
    const auto* accepted = std::get_if<RegisterAccepted>(&m.body);
    if (accepted != nullptr && accepted->ok && tracked_reports_ == CoreProbe::Tracked::kAll)
      return CoreProbe::KnowsHolding(*to.core, m.from.incarnation, m.epoch, {m.epoch, accepted->promised});
    const bool reply =
        status_reply != nullptr || accepted != nullptr || std::holds_alternative<RegisterPromise>(m.body) ||
        std::holds_alternative<RecordReply>(m.body) || std::holds_alternative<EpochPromise>(m.body) ||
        std::holds_alternative<EpochAccepted>(m.body);
    return reply && !CoreProbe::AwaitsReply(*to.core, m.id);
  }

  // A version belongs to the first content that was confirmed or reported to be in force.
  static void Confirm(SystemState& system, std::uint64_t version, int content, std::string& violation) {
    std::uint16_t& number = system.versions.at(version);
    const std::string name = std::to_string(version);
    if ((number & 3) != 0 && (number & 3) != content)
      violation = "two contents are confirmed under version " + name;
    if (number >> 2 & content) violation = "confirmed a refused content of version " + name;
    if ((number & 3) == 0) number = static_cast<std::uint16_t>(number | content);
  }

  void End(SystemState& system, const CallResult& done, std::string& violation) const {
    const bool confirmed = done.outcome == CallOutcome::kInForce || done.outcome == CallOutcome::kSuperseded;
    if (!confirmed && done.outcome != CallOutcome::kConflict) return;
    auto version = static_cast<std::uint16_t>(done.value.version);
    if (version > 0) Confirm(system, version, ContentOf(version, done.digest), violation);
    if (done.call >= 200) {
      PendingGet& get = system.gets[done.call - 200];
      get.ended = true;
      if (version < get.acknowledged)
        violation = "acknowledged " + std::to_string(get.acknowledged) + ", read " + std::to_string(version);
      system.acknowledged = std::max(system.acknowledged, version);
      return;
    }
    const PlannedPut& planned = limits_.planned_puts[done.call - 100];
    if (done.outcome == CallOutcome::kConflict) {
      std::uint16_t& number = system.versions.at(planned.version);
      if ((number & 3) == planned.content)
        violation = "refused the confirmed content of version " + std::to_string(planned.version);
      number = static_cast<std::uint16_t>(number | planned.content << 2);
      return;
    }
    if (version < planned.version) violation = "a put ended with an older version";
    Confirm(system, planned.version, planned.content, violation);
    system.acknowledged = std::max(system.acknowledged, version);
  }

  // The next membership change may begin only once a majority has this epoch on disk.
  void CheckChange(const SystemState& system, std::size_t machine, std::string& violation) const {
    const MachineState& machine_state = machine_states_[system.machines[machine]];
    const Membership& membership = machine_state.core->membership();
    if (machine_state.core->sealed()) return;
    std::size_t holders = 0;
    for (std::size_t k = 0; k < kMachines; ++k) {
      const MachineState& each = machine_states_[system.machines[k]];
      const bool member = std::any_of(membership.members.begin(), membership.members.end(),
                                      [&](const Member& m) { return m == MemberOf(k, each.incarnation); });
      holders += member && each.disk_epoch >= membership.epoch ? 1 : 0;
    }
    if (2 * holders <= membership.members.size())
      violation = "a membership change begins, but a majority of epoch " + std::to_string(membership.epoch) +
                  " has not installed it yet";
  }

  static bool HasAllConfirmed(const SystemState& system, const MachineState& machine_state) {
    for (std::size_t version = 1; version < kMaxVersions; ++version) {
      const int confirmed = system.versions[version] & 3;
      if (confirmed != 0 && machine_state.disk_contents[version] != confirmed) return false;
    }
    return machine_state.disk_version >= system.acknowledged;
  }

  void CheckMachine(SystemState& system, std::size_t machine, std::string& violation) {
    const MachineState& machine_state = machine_states_[system.machines[machine]];
    const Record& committed = machine_state.core->committed_record();
    const auto version = static_cast<std::uint16_t>(committed.value.version);
    if (version > 0) Confirm(system, version, ContentOf(version, committed.digest), violation);
    system.acknowledged = std::max(system.acknowledged, version);
    const Record& held = CoreProbe::HeldOf(*machine_state.core);
    if (held.value.version > 0 && ContentOf(held.value.version, held.digest) == 0)
      violation = "holds a value that was never put";
    CheckMembership(system, CoreProbe::StateOf(*machine_state.core).membership, violation);
    CheckDisks(system, machine, violation);
  }

  void CheckMembership(SystemState& system, const Membership& membership, std::string& violation) {
    if (membership.epoch == 0) return;
    if (membership.epoch >= system.memberships.size()) throw std::runtime_error("too many epochs");
    auto id = MembershipId(membership.members);
    auto& known = system.memberships[membership.epoch];
    if (known != 0 && known != id)
      violation = "two memberships of epoch " + std::to_string(membership.epoch) + ": " +
                  NamesOf(known_memberships_[known - 1]) + " and " + NamesOf(membership.members);
    known = id;
  }

  // Two records with the same stamp are equal. No majority of the newest epoch lacks a confirmed version, and
  // at least one disk has all of them.
  void CheckDisks(const SystemState& system, std::size_t machine, std::string& violation) const {
    const MachineState& machine_state = machine_states_[system.machines[machine]];
    std::uint64_t newest = 0;
    bool some = false;
    for (std::size_t k = 0; k < kMachines; ++k) {
      const MachineState& each = machine_states_[system.machines[k]];
      if (each.departed) continue;
      newest = std::max(newest, each.disk_epoch);
      some = some || HasAllConfirmed(system, each);
      const bool equal =
          each.disk_record == machine_state.disk_record || each.disk_stamp != machine_state.disk_stamp;
      if (violation.empty() && !equal) violation = "two records with the same stamp";
    }
    std::size_t without = 0, size = 0;
    for (std::size_t k = 0; k < kMachines; ++k) {
      const MachineState& each = machine_states_[system.machines[k]];
      if (each.disk_epoch != newest || each.departed) continue;
      size = each.disk_members.size();
      bool member = std::any_of(each.disk_members.begin(), each.disk_members.end(),
                                [&](const Member& m) { return m == MemberOf(k, each.incarnation); });
      if (member && !HasAllConfirmed(system, each)) ++without;
    }
    if (!violation.empty()) return;
    if (!some) violation = "no disk has everything that was confirmed";
    if (2 * without > size)
      violation = "a majority of epoch " + std::to_string(newest) +
                  " lacks something confirmed up to version " + std::to_string(system.acknowledged);
  }

  std::uint16_t MembershipId(const std::vector<Member>& members) {
    auto found = std::find(known_memberships_.begin(), known_memberships_.end(), members);
    if (found == known_memberships_.end()) found = known_memberships_.insert(found, members);
    return static_cast<std::uint16_t>(found - known_memberships_.begin() + 1);
  }

  // ---- Traces ----

  std::string Trace() const {
    std::vector<std::uint32_t> codes;
    for (std::size_t node = nodes_.size() - 1; node != 0; node = nodes_[node].parent)
      codes.push_back(nodes_[node].action);
    std::string text;
    for (auto it = codes.rbegin(); it != codes.rend(); ++it)
      text += "\n    " + Describe(Action::Of(*it), messages_, limits_);
    return text;
  }

  Limits limits_;
  CoreOptions options_;
  CoreProbe::Tracked tracked_reports_ = CoreProbe::Tracked::kNothing;
  std::vector<MachineState> machine_states_;
  std::unordered_map<std::string, std::uint32_t> machine_state_ids_;
  std::vector<SentMessage> messages_;
  std::unordered_map<std::string, std::uint16_t> message_ids_;
  std::unordered_map<std::uint64_t, Transition> transitions_;
  std::vector<std::vector<Member>> known_memberships_;
  std::vector<Node> nodes_;
  Seen64 seen_;
  int depth_ = 0;
  bool complete_ = false;
  double seconds_ = 0;
};

}  // namespace
}  // namespace curlewdoor::agreement
