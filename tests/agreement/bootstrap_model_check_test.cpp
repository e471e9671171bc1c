// Model check of real bootstrappers over all interleavings: one to three seeds, with and without a disk,
// proposers that see different machines, and others after a restart, crashes with and without the unsynced
// write, and disks that stall. A sent message may arrive at any time, repeatedly, or never, so partitions,
// loss, duplication and delay need no actions of their own. Time does not advance: views and pauses only
// decide when a process proposes, which is always allowed here. A process that has ended comes back with
// `bootstrap` false: with its disk it continues its bootstrap, without one it takes no part.
//
// Bootstrappers are shared between states, and the effect of one input on one of them is computed once.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <sstream>
#include <unordered_map>

#include "../seen_states.hpp"
#include "agreement/bootstrapper.hpp"
#include "agreement/codec.hpp"

namespace curlewdoor::agreement::bootstrap {

namespace {

const Time kNow = Time{} + std::chrono::hours(1);

void Append(std::string& bytes, std::uint64_t value) {
  bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
}

}  // namespace

// Access to the private state of a bootstrapper.
struct BootstrapperProbe {
  // Removes differences without meaning: times, counters, and the state of the random generator, which
  // becomes a function of `run` (different in each incarnation of a process) and of the round.
  static void Normalize(Bootstrapper& bootstrapper, std::uint64_t run) {
    bootstrapper.dropped_ = 0;
    bootstrapper.consecutive_refusals_ = 0;
    bootstrapper.next_attempt_at_ = {};
    bootstrapper.random_.seed(run * 1000 + bootstrapper.highest_round_);
    const std::uint64_t base = bootstrapper.written_version_;
    bootstrapper.state_version_ -= base;
    bootstrapper.written_version_ = 0;
    bootstrapper.writing_version_ = bootstrapper.writing_ ? bootstrapper.writing_version_ - base : 0;
    for (auto& waiting : bootstrapper.pending_replies_) waiting.version -= base;
  }
  static std::string StateKey(const Bootstrapper& bootstrapper) {
    std::string bytes = EncodeBootstrapState(bootstrapper.state_);
    Append(bytes, bootstrapper.state_version_);
    Append(bytes, bootstrapper.writing_ ? 1 + bootstrapper.writing_version_ : 0);
    for (const auto& waiting : bootstrapper.pending_replies_) {
      Append(bytes, waiting.version);
      Append(bytes, waiting.reply.peer);
      bytes += Encode(waiting.reply.message);
    }
    Append(bytes, bootstrapper.highest_round_ * 2 + (bootstrapper.proposes_ ? 1 : 0));
    if (const auto& attempt = bootstrapper.attempt_) {
      Append(bytes, attempt->ballot.round);
      Append(bytes, attempt->ballot.tag);
      Append(bytes, attempt->votes * 2 + (attempt->accepting ? 1u : 0u));
      bytes += EncodeBootstrapState({{}, {}, attempt->best});
      bytes += Encode(BootstrapMessage{{}, BootstrapChosen{attempt->members}});
    }
    return bytes;
  }
  static bool Propose(Bootstrapper& bootstrapper, BootstrapOutput& out) {
    if (!bootstrapper.proposes_ || bootstrapper.attempt_) return false;
    bootstrapper.StartAttempt(kNow, out);
    bootstrapper.ProcessPending(kNow, out);
    return true;
  }
  static bool AwaitsReply(const Bootstrapper& bootstrapper, const Ballot& ballot, bool accepting) {
    const auto& attempt = bootstrapper.attempt_;
    return attempt && attempt->ballot == ballot && attempt->accepting == accepting;
  }
};

namespace {

std::string NameOf(std::size_t machine) { return std::string(1, static_cast<char>('a' + machine)); }
std::uint32_t IpOf(std::size_t machine) { return 0x0a000001u + static_cast<std::uint32_t>(machine); }
Member MemberOf(std::size_t machine) {
  Member member;
  member.incarnation = {NameOf(machine), 1};
  member.address = "10.0.0." + std::to_string(machine + 1) + ":7101";
  return member;
}
std::string NamesOf(const std::vector<Member>& members) {
  std::string names;
  for (const Member& member : members) names += member.incarnation.node;
  return names;
}

struct MachineConfig {
  bool is_seed = false, has_disk = true, proposes = false;
  std::vector<std::size_t> visible{}, visible_after_restart{};  // machines in its view
};

struct Scenario {
  const char* name = "";
  std::vector<MachineConfig> machines;
  int attempts = 2, crashes = 1, stalls = 0;
  bool is_exhaustive = true;  // all states are reached within the bound
  bool loses_memory = false;  // a process that has lost its memory answers again
};

constexpr std::size_t kMaxMachines = 5;
enum Kind : std::uint32_t { kDeliver, kPropose, kSync, kCrash };
enum Variant : std::uint32_t {
  kSynced,
  kLost,
  kPersisted,
  kStalls
};  // what happens to the write that the action starts

struct Action {
  Kind kind = kDeliver;
  Variant variant = kSynced;
  std::uint32_t machine = 0, message_id = 0;
  std::uint32_t Code() const { return kind | variant << 2 | machine << 4 | message_id << 7; }
  static Action Of(std::uint32_t code) {
    return {Kind(code & 3), Variant(code >> 2 & 3), code >> 4 & 7, code >> 7};
  }
};

// A machine: its process and its disk.
struct MachineState {
  std::shared_ptr<Bootstrapper> bootstrapper;  // null: this incarnation takes no part
  std::optional<BootstrapState> disk, write;   // `write`: the disk stalls on it
  std::uint64_t run = 0;
  std::vector<AcceptedProposal> accepted{};  // since the last sync
};

struct Transition {
  bool valid = false;
  std::uint32_t machine_state = 0;
  std::vector<std::uint16_t> sent;
  std::vector<AcceptedProposal> votes;  // of this seed: sent to others or stored
  std::vector<std::vector<Member>> chosen_members;
};

struct SentMessage {
  std::uint32_t from = 0, to = 0;  // indices of machines
  BootstrapMessage message;
};

struct SystemState {
  std::array<std::uint32_t, kMaxMachines> machine_ids{};
  std::array<std::uint16_t, 3> budget{};  // attempts, crashes, stalls
  std::uint16_t chosen = 0;               // the id of the chosen list; 0: none yet
  std::vector<std::uint16_t> votes;       // by ballot: a bit per seed that has accepted it
  std::vector<std::uint16_t> in_flight;   // sorted

  std::vector<std::uint16_t> Pack() const {
    std::vector<std::uint16_t> words;
    for (const std::uint32_t id : machine_ids) {
      words.push_back(static_cast<std::uint16_t>(id));
      words.push_back(static_cast<std::uint16_t>(id >> 16));
    }
    words.insert(words.end(), budget.begin(), budget.end());
    words.push_back(chosen);
    words.push_back(static_cast<std::uint16_t>(votes.size()));
    words.insert(words.end(), votes.begin(), votes.end());
    words.insert(words.end(), in_flight.begin(), in_flight.end());
    return words;
  }
  static SystemState Of(const std::uint16_t* at, std::size_t size) {
    SystemState system;
    const std::uint16_t* end = at + size;
    for (auto& id : system.machine_ids) {
      id = at[0] | static_cast<std::uint32_t>(at[1]) << 16;
      at += 2;
    }
    for (auto& budget : system.budget) budget = *at++;
    system.chosen = *at++;
    const std::size_t ballots = *at++;
    system.votes.assign(at, at + ballots);
    system.in_flight.assign(at + ballots, end);
    return system;
  }
};

class Checker {
 public:
  Checker(Scenario scenario, BootstrapOptions::Fault fault, std::size_t most_states)
      : scenario_(std::move(scenario)), max_states_(most_states) {
    options_.fault = fault;
    options_.view_settle_time = options_.prepare_after = Duration::zero();
    for (std::size_t i = 0; i < scenario_.machines.size(); ++i)
      if (scenario_.machines[i].is_seed) electorate_.push_back(IpOf(i));
  }

  // Empty: every guarantee was kept. Otherwise the violation and the trace that leads to it.
  std::string Run() {
    const auto started = std::chrono::steady_clock::now();
    std::vector<std::uint16_t> frontier, next;  // per state: its size, then its words
    std::uint32_t first = 0;
    Push(frontier, InitialState());
    nodes_.push_back({0, 0});
    std::string failure;
    for (depth_ = 0; !frontier.empty() && failure.empty() && nodes_.size() <= max_states_; ++depth_) {
      next.clear();
      const auto next_first = static_cast<std::uint32_t>(nodes_.size());
      std::uint32_t node = first;
      for (std::size_t at = 0; at < frontier.size() && failure.empty(); ++node) {
        const std::size_t size = frontier[at++];
        const SystemState system = SystemState::Of(frontier.data() + at, size);
        at += size;
        for (const Action& action : EnabledActions(system)) {
          SystemState after = system;
          std::string violation;
          if (!Apply(after, action, violation)) continue;
          const auto words = after.Pack();
          const std::string_view bytes(reinterpret_cast<const char*>(words.data()), 2 * words.size());
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
    is_exhaustive_ = frontier.empty();
    seconds_ = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    return failure;
  }

  std::string Statistics() const {
    std::ostringstream text;
    text << nodes_.size() << " states to depth " << depth_ << (is_exhaustive_ ? " (all there are), " : ", ")
         << decisions_ << " decisions, " << machine_states_.size() << " of one machine, " << messages_.size()
         << " messages, " << seconds_ << " s";
    return text.str();
  }
  std::size_t states() const { return nodes_.size(); }
  std::size_t decisions() const { return decisions_; }
  bool is_exhaustive() const { return is_exhaustive_; }

 private:
  struct Node {
    std::uint32_t parent, action;
  };

  static void Push(std::vector<std::uint16_t>& to, const SystemState& system) {
    const auto words = system.Pack();
    to.push_back(static_cast<std::uint16_t>(words.size()));
    to.insert(to.end(), words.begin(), words.end());
  }

  SystemState InitialState() {
    SystemState system;
    for (std::size_t i = 0; i < scenario_.machines.size(); ++i) {
      MachineState machine_state;
      if (scenario_.machines[i].has_disk) machine_state.disk = BootstrapState{electorate_, {}, {}};
      StartProcess(i, machine_state);
      system.machine_ids[i] = Intern(i, std::move(machine_state));
    }
    system.budget = {static_cast<std::uint16_t>(scenario_.attempts),
                     static_cast<std::uint16_t>(scenario_.crashes),
                     static_cast<std::uint16_t>(scenario_.stalls)};
    return system;
  }

  // ---- Single machines ----

  std::uint64_t RunOf(std::size_t i, const MachineState& machine_state) const {
    return machine_state.run * 10 + i;
  }

  // Starts a process with the state on its disk.
  void StartProcess(std::size_t i, MachineState& machine_state) {
    const MachineConfig& machine = scenario_.machines[i];
    const bool is_first = machine_state.run++ == 0;
    machine_state.write.reset();
    machine_state.accepted.clear();
    machine_state.bootstrapper.reset();
    if (!is_first && !machine.has_disk && !scenario_.loses_memory) return;
    BootstrapState state = machine.has_disk ? *machine_state.disk : BootstrapState{electorate_, {}, {}};
    machine_state.bootstrapper =
        std::make_shared<Bootstrapper>(IpOf(i), std::move(state), machine.has_disk, options_, 0);
    if (!machine.proposes) return;
    machine_state.bootstrapper->SetCandidate(kNow, MemberOf(i));
    std::vector<ObservedMachine> view;
    for (const std::size_t seen : is_first ? machine.visible : machine.visible_after_restart)
      view.push_back({MemberOf(seen), true});
    machine_state.bootstrapper->OnView(kNow, view);
  }

  std::uint32_t Intern(std::size_t i, MachineState machine_state) {
    if (!machine_state.write && !machine_state.accepted.empty())
      machine_state.accepted.erase(machine_state.accepted.begin(), machine_state.accepted.end() - 1);
    std::string key;
    for (const AcceptedProposal& each : machine_state.accepted)
      key += EncodeBootstrapState({{}, each.ballot, each});
    if (machine_state.bootstrapper) {
      BootstrapperProbe::Normalize(*machine_state.bootstrapper, RunOf(i, machine_state));
      key = BootstrapperProbe::StateKey(*machine_state.bootstrapper);
    }
    Append(key, RunOf(i, machine_state));
    if (machine_state.disk) key += EncodeBootstrapState(*machine_state.disk);
    if (machine_state.write) key += EncodeBootstrapState(*machine_state.write);
    const auto [found, is_new] =
        machine_state_ids_.try_emplace(std::move(key), static_cast<std::uint32_t>(machine_states_.size()));
    if (is_new) machine_states_.push_back(std::move(machine_state));
    return found->second;
  }

  void Send(std::size_t from, std::size_t to, BootstrapMessage message, Transition& transition) {
    const std::string key = NameOf(from) + NameOf(to) + Encode(message);
    const auto [found, is_new] = message_ids_.try_emplace(key, static_cast<std::uint16_t>(messages_.size()));
    if (is_new)
      messages_.push_back({static_cast<std::uint32_t>(from), static_cast<std::uint32_t>(to), message});
    if (messages_.size() > 65'000) throw std::runtime_error("too many messages");
    transition.sent.push_back(found->second);
  }

  void Collect(std::size_t i, MachineState& machine_state, BootstrapOutput& out, Transition& transition) {
    const auto& accepted = machine_state.bootstrapper->state().accepted;
    if (accepted && (machine_state.accepted.empty() || machine_state.accepted.back() != *accepted))
      machine_state.accepted.push_back(*accepted);
    for (SeedRequest& each : out.requests) Send(i, each.seed - IpOf(0), std::move(each.message), transition);
    for (PeerReply& each : out.replies) {
      if (const auto* accepted = std::get_if<BootstrapAccepted>(&each.message.body))
        CountSentVote(machine_state, *accepted, transition);
      Send(i, each.peer - 1, std::move(each.message), transition);
    }
    for (MemberAnnouncement& each : out.announcements)
      Send(i, static_cast<std::size_t>(each.member.incarnation.node[0] - 'a'), std::move(each.message),
           transition);
    if (out.chosen_members) transition.chosen_members.push_back(std::move(*out.chosen_members));
    if (out.write) machine_state.write = std::move(out.write);
  }

  // A vote that was sent counts, whatever the disk holds by then.
  static void CountSentVote(const MachineState& machine_state, const BootstrapAccepted& accepted,
                            Transition& transition) {
    if (accepted.promised != accepted.requested) return;
    for (const AcceptedProposal& each : machine_state.accepted)
      if (each.ballot == accepted.requested) transition.votes.push_back(each);
  }

  const Transition& TransitionFor(std::uint32_t id, const Action& action) {
    const auto [found, is_new] =
        transitions_.try_emplace(static_cast<std::uint64_t>(id) << 32 | action.Code(), Transition{});
    if (is_new) found->second = MakeTransition(id, action);
    return found->second;
  }

  Transition MakeTransition(std::uint32_t id, const Action& action) {
    Transition transition;
    const std::size_t i = action.machine;
    MachineState machine_state = machine_states_[id];
    const bool write_stalled = machine_state.write.has_value();
    if (action.kind == kCrash) {
      if (action.variant == kPersisted && !write_stalled) return transition;
      if (action.variant == kPersisted) PersistWrite(i, machine_state, transition);
      StartProcess(i, machine_state);
      transition.machine_state = Intern(i, std::move(machine_state));
      transition.valid = true;
      return transition;
    }
    if (!machine_state.bootstrapper) return transition;
    machine_state.bootstrapper = std::make_shared<Bootstrapper>(*machine_state.bootstrapper);
    BootstrapOutput out;
    if (action.kind == kDeliver) {
      const SentMessage& envelope = messages_[action.message_id];
      machine_state.bootstrapper->OnMessage(kNow, envelope.from + 1, envelope.message, out);
    }
    if (action.kind == kPropose && !BootstrapperProbe::Propose(*machine_state.bootstrapper, out))
      return transition;
    if (action.kind == kSync && !write_stalled) return transition;
    if (write_stalled && action.kind != kSync && action.variant != kSynced) return transition;
    Collect(i, machine_state, out, transition);
    if (!scenario_.machines[i].has_disk) CountStoredVote(i, machine_state.bootstrapper->state(), transition);
    if (!write_stalled || action.kind == kSync) {
      if (action.variant != kSynced && !machine_state.write) return transition;
      if (action.variant == kSynced) {
        while (machine_state.write) Sync(i, machine_state, transition);
      } else if (action.variant != kStalls) {
        if (action.variant == kPersisted) PersistWrite(i, machine_state, transition);
        StartProcess(i, machine_state);
      }
    }
    transition.machine_state = Intern(i, std::move(machine_state));
    transition.valid = true;
    return transition;
  }

  void Sync(std::size_t i, MachineState& machine_state, Transition& transition) {
    PersistWrite(i, machine_state, transition);
    BootstrapOutput out;
    machine_state.bootstrapper->OnWritten(kNow, true, out);
    Collect(i, machine_state, out, transition);
  }

  void PersistWrite(std::size_t i, MachineState& machine_state, Transition& transition) const {
    machine_state.disk = std::exchange(machine_state.write, std::nullopt);
    CountStoredVote(i, *machine_state.disk, transition);
  }
  void CountStoredVote(std::size_t i, const BootstrapState& state, Transition& transition) const {
    if (scenario_.machines[i].is_seed && state.accepted) transition.votes.push_back(*state.accepted);
  }

  // ---- Whole system ----

  std::vector<Action> EnabledActions(const SystemState& system) const {
    std::vector<Action> actions;
    const auto add = [&](Kind kind, std::uint32_t machine, std::uint32_t message_id) {
      actions.push_back({kind, kSynced, machine, message_id});
      if (!scenario_.machines[machine].has_disk || machine_states_[system.machine_ids[machine]].write) return;
      if (system.budget[1] > 0) {
        actions.push_back({kind, kLost, machine, message_id});
        actions.push_back({kind, kPersisted, machine, message_id});
      }
      if (system.budget[2] > 0) actions.push_back({kind, kStalls, machine, message_id});
    };
    for (const std::uint16_t message_id : system.in_flight)
      add(kDeliver, messages_[message_id].to, message_id);
    for (std::uint32_t i = 0; i < scenario_.machines.size(); ++i) {
      if (scenario_.machines[i].proposes && system.budget[0] > 0) add(kPropose, i, 0);
      if (machine_states_[system.machine_ids[i]].write) actions.push_back({kSync, kSynced, i, 0});
      if (system.budget[1] == 0) continue;
      actions.push_back({kCrash, kSynced, i, 0});
      actions.push_back({kCrash, kPersisted, i, 0});
    }
    return actions;
  }

  bool Apply(SystemState& system, const Action& action, std::string& violation) {
    const Transition& transition = TransitionFor(system.machine_ids[action.machine], action);
    if (!transition.valid) return false;
    if (action.kind == kPropose) --system.budget[0];
    if (action.kind == kCrash || action.variant == kLost || action.variant == kPersisted) --system.budget[1];
    if (action.variant == kStalls) --system.budget[2];
    system.machine_ids[action.machine] = transition.machine_state;
    for (const std::uint16_t message_id : transition.sent) {
      const auto at = std::lower_bound(system.in_flight.begin(), system.in_flight.end(), message_id);
      if (at == system.in_flight.end() || *at != message_id) system.in_flight.insert(at, message_id);
    }
    std::erase_if(system.in_flight,
                  [&](std::uint16_t message_id) { return IsIrrelevant(system, messages_[message_id]); });
    for (const AcceptedProposal& vote : transition.votes) AddVote(system, action.machine, vote, violation);
    for (const auto& members : transition.chosen_members) CheckChosen(system, members, violation);
    return true;
  }

  // Delivering it would change nothing.
  bool IsIrrelevant(const SystemState& system, const SentMessage& envelope) const {
    const MachineState& to = machine_states_[system.machine_ids[envelope.to]];
    const BootstrapMessageBody& body = envelope.message.body;
    if (!to.bootstrapper) return true;
    if (const auto* promise = std::get_if<BootstrapPromise>(&body))
      return !BootstrapperProbe::AwaitsReply(*to.bootstrapper, promise->requested, false);
    if (const auto* accepted = std::get_if<BootstrapAccepted>(&body))
      return !BootstrapperProbe::AwaitsReply(*to.bootstrapper, accepted->requested, true);
    // A request still affects the acceptor after its sender has moved on.
    return std::holds_alternative<BootstrapChosen>(body) && system.chosen != 0;
  }

  // No two lists may ever be accepted by more than half of the seeds.
  void AddVote(SystemState& system, std::size_t seed, const AcceptedProposal& vote, std::string& violation) {
    const std::size_t ballot = BallotId(vote);
    if (system.votes.size() <= ballot) system.votes.resize(ballot + 1);
    system.votes[ballot] |= static_cast<std::uint16_t>(1u << seed);
    if (IsMajority(system.votes[ballot])) SetChosen(system, vote.members, violation);
  }

  void CheckChosen(SystemState& system, const std::vector<Member>& members, std::string& violation) {
    ++decisions_;
    SetChosen(system, members, violation);
    bool is_chosen = false;
    for (std::size_t ballot = 0; ballot < system.votes.size(); ++ballot)
      is_chosen = is_chosen || (ballots_[ballot].members == members && IsMajority(system.votes[ballot]));
    if (violation.empty() && !is_chosen)
      violation = "a minority of the seeds has started a core of " + NamesOf(members);
  }

  void SetChosen(SystemState& system, const std::vector<Member>& members, std::string& violation) {
    auto found = std::find(member_lists_.begin(), member_lists_.end(), members);
    if (found == member_lists_.end()) found = member_lists_.insert(found, members);
    const auto list = static_cast<std::uint16_t>(found - member_lists_.begin() + 1);
    if (system.chosen != 0 && system.chosen != list)
      violation = "two cores: " + NamesOf(member_lists_[system.chosen - 1u]) + " and " + NamesOf(members);
    if (violation.empty()) system.chosen = list;
  }

  bool IsMajority(std::uint16_t votes) const {
    return 2 * static_cast<std::size_t>(std::popcount(votes)) > electorate_.size();
  }

  std::size_t BallotId(const AcceptedProposal& accepting) {
    const auto found = std::find(ballots_.begin(), ballots_.end(), accepting);
    const auto at = static_cast<std::size_t>(found - ballots_.begin());
    if (found == ballots_.end()) ballots_.push_back(accepting);
    return at;
  }

  // ---- Traces ----

  std::string Trace() const {
    std::vector<std::uint32_t> codes;
    for (std::size_t node = nodes_.size() - 1; node != 0; node = nodes_[node].parent)
      codes.push_back(nodes_[node].action);
    std::string text;
    for (auto it = codes.rbegin(); it != codes.rend(); ++it) text += "\n    " + Describe(Action::Of(*it));
    return text;
  }

  std::string Describe(const Action& action) const {
    static const char* const kVariants[] = {"", ", crashes, its write is lost",
                                            ", crashes, its write is synced", ", its disk stalls"};
    static const char* const kBodies[] = {"prepare", "promise", "accept", "accepted", "chosen"};
    std::string text = NameOf(action.machine);
    if (action.kind == kPropose) text += " proposes";
    if (action.kind == kSync) return text + " has synced";
    if (action.kind == kCrash)
      return text + (action.variant == kPersisted ? " crashes, its write is synced" : " crashes");
    if (action.kind == kDeliver) {
      const SentMessage& envelope = messages_[action.message_id];
      text += std::string(" receives ") + kBodies[envelope.message.body.index()] + " from " +
              NameOf(envelope.from);
      if (const auto* prepare = std::get_if<BootstrapPrepare>(&envelope.message.body))
        text += ", round " + std::to_string(prepare->ballot.round);
      if (const auto* accept = std::get_if<BootstrapAccept>(&envelope.message.body))
        text += ", round " + std::to_string(accept->ballot.round) + ", " + NamesOf(accept->members);
    }
    return text + kVariants[action.variant];
  }

  const Scenario scenario_;
  const std::size_t max_states_;
  BootstrapOptions options_;
  AcceptorSet electorate_;
  std::vector<MachineState> machine_states_;
  std::unordered_map<std::string, std::uint32_t> machine_state_ids_;
  std::vector<SentMessage> messages_;
  std::unordered_map<std::string, std::uint16_t> message_ids_;
  std::unordered_map<std::uint64_t, Transition> transitions_;
  std::vector<AcceptedProposal> ballots_;
  std::vector<std::vector<Member>> member_lists_;
  std::vector<Node> nodes_;
  Seen64 seen_;
  std::size_t decisions_ = 0;
  int depth_ = 0;
  bool is_exhaustive_ = false;
  double seconds_ = 0;
};

// CURLEWDOOR_STATES sets the number of states per scenario, for deeper manual runs as far as memory allows.
std::size_t MaxStates(std::size_t fallback) {
  const char* states = std::getenv("CURLEWDOOR_STATES");
  return states != nullptr ? std::strtoull(states, nullptr, 10) : fallback;
}

// Seeds a, b and c; each proposer sees different machines, as on two sides of a partition.
Scenario ThreeSeeds(const char* name, std::vector<bool> disks, std::vector<std::size_t> proposers) {
  Scenario scenario;
  scenario.name = name;
  for (std::size_t i = 0; i < 4; ++i) {
    MachineConfig machine;
    machine.is_seed = i < 3;
    machine.has_disk = i >= disks.size() || disks[i];
    machine.proposes = std::find(proposers.begin(), proposers.end(), i) != proposers.end();
    machine.visible = {i, (i + 1) % 4};
    machine.visible_after_restart = {i, (i + 2) % 4};
    scenario.machines.push_back(machine);
  }
  return scenario;
}

Scenario FewSeeds(const char* name, std::size_t seeds, bool with_disks) {
  Scenario scenario = ThreeSeeds(name, {}, {0, 1, 2});
  for (std::size_t i = 0; i < scenario.machines.size(); ++i) {
    scenario.machines[i].is_seed = i < seeds;
    scenario.machines[i].has_disk = with_disks || i >= seeds;
  }
  return scenario;
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> scenarios{
      ThreeSeeds("two proposers, a crash", {}, {0, 1}),
      ThreeSeeds("a proposer that is no seed, a crash", {}, {0, 3}),
      ThreeSeeds("a disk that hangs", {}, {0, 1}),
      ThreeSeeds("seeds without disks, a crash", {false, false, false}, {0, 3}),
      ThreeSeeds("one seed without a disk, two crashes", {true, true, false}, {0, 1}),
      ThreeSeeds("three proposers", {}, {0, 1, 3}),
      ThreeSeeds("three attempts, a crash", {}, {0, 1}),
      FewSeeds("one seed, two crashes", 1, true),
      FewSeeds("one seed without a disk", 1, false),
      FewSeeds("two seeds, two crashes", 2, true),
      FewSeeds("two seeds without disks, a crash", 2, false)};
  scenarios[2].crashes = 0, scenarios[2].stalls = 1;
  scenarios[4].crashes = 2;
  scenarios[5].attempts = 3, scenarios[5].crashes = 0;
  scenarios[6].attempts = 3;
  scenarios[7].crashes = 2, scenarios[7].attempts = 3;
  scenarios[9].crashes = 2;
  scenarios[5].is_exhaustive = false;  // 2,758,330 states
  return scenarios;
}

BOOST_AUTO_TEST_CASE(no_interleaving_starts_two_cores_or_one_by_a_minority) {
  for (const Scenario& scenario : Scenarios()) {
    Checker checker(scenario, BootstrapOptions::Fault::kNone, MaxStates(220'000));
    const std::string failure = checker.Run();
    BOOST_TEST_MESSAGE(scenario.name << ": " << checker.Statistics());
    BOOST_CHECK_MESSAGE(failure.empty(), scenario.name << ": " << failure);
    BOOST_TEST(checker.decisions() > 0u);
    BOOST_TEST((checker.is_exhaustive() || !scenario.is_exhaustive), scenario.name);
  }
}

BOOST_AUTO_TEST_CASE(every_faulty_bootstrapper_is_caught_with_a_trace) {
  Scenario loses_memory =
      ThreeSeeds("an acceptor without its memory votes again", {true, true, false}, {0, 1});
  loses_memory.loses_memory = true;
  struct Mutant {
    Scenario scenario;
    BootstrapOptions::Fault fault;
  };
  const std::vector<Mutant> mutants{
      {loses_memory, BootstrapOptions::Fault::kNone},
      {ThreeSeeds("more than half of the seeds that are seen", {}, {0, 3}),
       BootstrapOptions::Fault::kMajorityOfVisible},
      {ThreeSeeds("a promise that isn't synced", {}, {0, 1}), BootstrapOptions::Fault::kReplyBeforeSync},
      {ThreeSeeds("a proposer that ignores what was accepted", {}, {0, 1}),
       BootstrapOptions::Fault::kIgnoreAccepted},
      {ThreeSeeds("an acceptor that takes an older ballot", {}, {0, 1}),
       BootstrapOptions::Fault::kAcceptOlder}};
  for (const Mutant& mutant : mutants) {
    Checker violation(mutant.scenario, mutant.fault, MaxStates(2'000'000));
    const std::string failure = violation.Run();
    BOOST_TEST_MESSAGE(mutant.scenario.name << ": " << failure << "\n    (" << violation.Statistics() << ")");
    BOOST_CHECK_MESSAGE(!failure.empty(), mutant.scenario.name << " is not noticed");
  }
}

}  // namespace
}  // namespace curlewdoor::agreement::bootstrap
