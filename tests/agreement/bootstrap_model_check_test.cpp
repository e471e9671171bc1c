// All interleavings of real founders: one to three seeds, with and without a disk, proposers that see other
// machines each and again others after a restart, crashes with and without the write that isn't synced, disks
// that hang. A message that was sent may arrive at any time, often, or never, so cuts, losses, copies and
// late ones need no steps of their own. Time stands still: views and pauses only decide when a founder
// proposes; here it may always. A process that ended comes back with `bootstrap` false: with its disk as the
// founder that it was, without one as none.
//
// The founders of a state are shared with other states, and what one input does to one is worked out once.
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

namespace curlewdoor::agreement::founding {

namespace {

const Time kNow = Time{} + std::chrono::hours(1);

void Append(std::string& bytes, std::uint64_t value) {
  bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
}

}  // namespace

struct FoundingProbe {
  // Takes out what differs without a meaning: times, counters, and the state of the random numbers, which
  // becomes a function of `run` (unlike in each life of a process) and of the round.
  static void Plain(Founding& founding, std::uint64_t run) {
    founding.dropped_ = 0;
    founding.refusals_ = 0;
    founding.begin_after_ = {};
    founding.random_.seed(run * 1000 + founding.highest_round_);
    const std::uint64_t base = founding.written_version_;
    founding.state_version_ -= base;
    founding.written_version_ = 0;
    founding.writing_version_ = founding.writing_ ? founding.writing_version_ - base : 0;
    for (auto& waiting : founding.waiting_) waiting.version -= base;
  }
  static std::string Key(const Founding& founding) {
    std::string bytes = EncodeFoundingState(founding.state_);
    Append(bytes, founding.state_version_);
    Append(bytes, founding.writing_ ? 1 + founding.writing_version_ : 0);
    for (const auto& waiting : founding.waiting_) {
      Append(bytes, waiting.version);
      Append(bytes, waiting.reply.peer);
      bytes += Encode(waiting.reply.message);
    }
    Append(bytes, founding.highest_round_ * 2 + (founding.proposes_ ? 1 : 0));
    if (const auto& attempt = founding.attempt_) {
      Append(bytes, attempt->ballot.round);
      Append(bytes, attempt->ballot.tag);
      Append(bytes, attempt->votes * 2 + (attempt->accepting ? 1u : 0u));
      bytes += EncodeFoundingState({{}, {}, attempt->best});
      bytes += Encode(Message{{}, Chosen{attempt->members}});
    }
    return bytes;
  }
  static bool Begin(Founding& founding, Out& out) {
    if (!founding.proposes_ || founding.attempt_) return false;
    founding.Begin(kNow, out);
    founding.Settle(kNow, out);
    return true;
  }
  static bool Awaits(const Founding& founding, const Ballot& ballot, bool accepting) {
    const auto& attempt = founding.attempt_;
    return attempt && attempt->ballot == ballot && attempt->accepting == accepting;
  }
};

namespace {

std::string NameOf(std::size_t machine) { return std::string(1, static_cast<char>('a' + machine)); }
std::uint32_t IpOf(std::size_t machine) { return 0x0a000001u + static_cast<std::uint32_t>(machine); }
Member MemberOf(std::size_t machine) {
  Member member;
  member.life = {NameOf(machine), 1};
  member.address = "10.0.0." + std::to_string(machine + 1) + ":7101";
  return member;
}
std::string NamesOf(const std::vector<Member>& members) {
  std::string names;
  for (const Member& member : members) names += member.life.node;
  return names;
}

struct Machine {
  bool is_seed = false, has_disk = true, proposes = false;
  std::vector<std::size_t> sees{}, sees_later{};  // in the first life, and after a restart
};

struct Scene {
  const char* name = "";
  std::vector<Machine> machines;
  int attempts = 2, crashes = 1, hangs = 0;
  bool is_whole = true;  // every state there is, within the bound
  bool amnesia = false;  // who has lost its memory answers again
};

constexpr std::size_t kMostMachines = 5;
enum Kind : std::uint32_t { kDeliver, kBegin, kSync, kCrash };
enum Variant : std::uint32_t { kSynced, kLost, kKept, kHangs };  // the write that the step begins

struct Action {
  Kind kind = kDeliver;
  Variant variant = kSynced;
  std::uint32_t machine = 0, mail = 0;
  std::uint32_t Code() const { return kind | variant << 2 | machine << 4 | mail << 7; }
  static Action Of(std::uint32_t code) {
    return {Kind(code & 3), Variant(code >> 2 & 3), code >> 4 & 7, code >> 7};
  }
};

// One machine: its process and its disk.
struct Local {
  std::shared_ptr<Founding> founding;  // none: this life takes no part
  std::optional<State> disk, write;    // `write`: the disk hangs on it
  std::uint64_t run = 0;
  std::vector<Accepting> accepted{};  // since the last sync
};

struct Step {
  bool valid = false;
  std::uint32_t local = 0;
  std::vector<std::uint16_t> sent;
  std::vector<Accepting> votes;  // of this seed: told to others, or kept for good
  std::vector<std::vector<Member>> founded;
};

struct Mail {
  std::uint32_t from = 0, to = 0;  // machines
  Message message;
};

struct World {
  std::array<std::uint32_t, kMostMachines> local{};
  std::array<std::uint16_t, 3> left{};  // attempts, crashes, hangs
  std::uint16_t chosen = 0;             // the list that was, by number; 0: none yet
  std::vector<std::uint16_t> votes;     // by ballot: the seeds that have accepted, by bit
  std::vector<std::uint16_t> mail;      // sorted

  std::vector<std::uint16_t> Pack() const {
    std::vector<std::uint16_t> words;
    for (const std::uint32_t id : local) {
      words.push_back(static_cast<std::uint16_t>(id));
      words.push_back(static_cast<std::uint16_t>(id >> 16));
    }
    words.insert(words.end(), left.begin(), left.end());
    words.push_back(chosen);
    words.push_back(static_cast<std::uint16_t>(votes.size()));
    words.insert(words.end(), votes.begin(), votes.end());
    words.insert(words.end(), mail.begin(), mail.end());
    return words;
  }
  static World Of(const std::uint16_t* at, std::size_t size) {
    World world;
    const std::uint16_t* end = at + size;
    for (auto& id : world.local) {
      id = at[0] | static_cast<std::uint32_t>(at[1]) << 16;
      at += 2;
    }
    for (auto& left : world.left) left = *at++;
    world.chosen = *at++;
    const std::size_t ballots = *at++;
    world.votes.assign(at, at + ballots);
    world.mail.assign(at + ballots, end);
    return world;
  }
};

class Checker {
 public:
  Checker(Scene scene, Options::Fault fault, std::size_t most_states)
      : scene_(std::move(scene)), most_states_(most_states) {
    options_.fault = fault;
    options_.settle = options_.prepare_after = Duration::zero();
    for (std::size_t i = 0; i < scene_.machines.size(); ++i)
      if (scene_.machines[i].is_seed) electorate_.push_back(IpOf(i));
  }

  // Empty: every promise was kept. Otherwise what was broken, and how it came to that.
  std::string Run() {
    const auto begun = std::chrono::steady_clock::now();
    std::vector<std::uint16_t> frontier, next;  // each: its size, then its words
    std::uint32_t first = 0;
    Push(frontier, Begin());
    nodes_.push_back({0, 0});
    std::string broken;
    for (depth_ = 0; !frontier.empty() && broken.empty() && nodes_.size() <= most_states_; ++depth_) {
      next.clear();
      const auto next_first = static_cast<std::uint32_t>(nodes_.size());
      std::uint32_t node = first;
      for (std::size_t at = 0; at < frontier.size() && broken.empty(); ++node) {
        const std::size_t size = frontier[at++];
        const World world = World::Of(frontier.data() + at, size);
        at += size;
        for (const Action& action : Actions(world)) {
          World after = world;
          std::string wrong;
          if (!Apply(after, action, wrong)) continue;
          const auto words = after.Pack();
          const std::string_view bytes(reinterpret_cast<const char*>(words.data()), 2 * words.size());
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
    is_whole_ = frontier.empty();
    seconds_ = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    return broken;
  }

  std::string Figures() const {
    std::ostringstream text;
    text << nodes_.size() << " states to depth " << depth_ << (is_whole_ ? " (all there are), " : ", ")
         << founded_ << " ways to found, " << locals_.size() << " of one machine, " << mails_.size()
         << " messages, " << seconds_ << " s";
    return text.str();
  }
  std::size_t states() const { return nodes_.size(); }
  std::size_t founded() const { return founded_; }
  bool is_whole() const { return is_whole_; }

 private:
  struct Node {
    std::uint32_t parent, action;
  };

  static void Push(std::vector<std::uint16_t>& to, const World& world) {
    const auto words = world.Pack();
    to.push_back(static_cast<std::uint16_t>(words.size()));
    to.insert(to.end(), words.begin(), words.end());
  }

  World Begin() {
    World world;
    for (std::size_t i = 0; i < scene_.machines.size(); ++i) {
      Local local;
      if (scene_.machines[i].has_disk) local.disk = State{electorate_, {}, {}};
      Start(i, local);
      world.local[i] = Intern(i, std::move(local));
    }
    world.left = {static_cast<std::uint16_t>(scene_.attempts), static_cast<std::uint16_t>(scene_.crashes),
                  static_cast<std::uint16_t>(scene_.hangs)};
    return world;
  }

  // ---- One machine ----

  std::uint64_t RunOf(std::size_t i, const Local& local) const { return local.run * 10 + i; }

  // A process on what the disk holds.
  void Start(std::size_t i, Local& local) {
    const Machine& machine = scene_.machines[i];
    const bool is_first = local.run++ == 0;
    local.write.reset();
    local.accepted.clear();
    local.founding.reset();
    if (!is_first && !machine.has_disk && !scene_.amnesia) return;
    State state = machine.has_disk ? *local.disk : State{electorate_, {}, {}};
    local.founding = std::make_shared<Founding>(IpOf(i), std::move(state), machine.has_disk, options_, 0);
    if (!machine.proposes) return;
    local.founding->SetCandidate(kNow, MemberOf(i));
    std::vector<Seen> view;
    for (const std::size_t seen : is_first ? machine.sees : machine.sees_later)
      view.push_back({MemberOf(seen), true});
    local.founding->OnView(kNow, view);
  }

  std::uint32_t Intern(std::size_t i, Local local) {
    if (!local.write && !local.accepted.empty())
      local.accepted.erase(local.accepted.begin(), local.accepted.end() - 1);
    std::string key;
    for (const Accepting& each : local.accepted) key += EncodeFoundingState({{}, each.ballot, each});
    if (local.founding) {
      FoundingProbe::Plain(*local.founding, RunOf(i, local));
      key = FoundingProbe::Key(*local.founding);
    }
    Append(key, RunOf(i, local));
    if (local.disk) key += EncodeFoundingState(*local.disk);
    if (local.write) key += EncodeFoundingState(*local.write);
    const auto [found, is_new] =
        local_ids_.try_emplace(std::move(key), static_cast<std::uint32_t>(locals_.size()));
    if (is_new) locals_.push_back(std::move(local));
    return found->second;
  }

  void Send(std::size_t from, std::size_t to, Message message, Step& step) {
    const std::string key = NameOf(from) + NameOf(to) + Encode(message);
    const auto [found, is_new] = mail_ids_.try_emplace(key, static_cast<std::uint16_t>(mails_.size()));
    if (is_new) mails_.push_back({static_cast<std::uint32_t>(from), static_cast<std::uint32_t>(to), message});
    if (mails_.size() > 65'000) throw std::runtime_error("too many messages");
    step.sent.push_back(found->second);
  }

  void Take(std::size_t i, Local& local, Out& out, Step& step) {
    const auto& accepted = local.founding->state().accepted;
    if (accepted && (local.accepted.empty() || local.accepted.back() != *accepted))
      local.accepted.push_back(*accepted);
    for (ToSeed& each : out.requests) Send(i, each.seed - IpOf(0), std::move(each.message), step);
    for (ToPeer& each : out.replies) {
      if (const auto* accepted = std::get_if<Accepted>(&each.message.body)) Tell(local, *accepted, step);
      Send(i, each.peer - 1, std::move(each.message), step);
    }
    for (ToMember& each : out.announcements)
      Send(i, static_cast<std::size_t>(each.member.life.node[0] - 'a'), std::move(each.message), step);
    if (out.founded) step.founded.push_back(std::move(*out.founded));
    if (out.write) local.write = std::move(out.write);
  }

  // What is told counts, whatever the disk holds by then.
  static void Tell(const Local& local, const Accepted& accepted, Step& step) {
    if (accepted.promised != accepted.asked) return;
    for (const Accepting& each : local.accepted)
      if (each.ballot == accepted.asked) step.votes.push_back(each);
  }

  const Step& StepOf(std::uint32_t id, const Action& action) {
    const auto [found, is_new] =
        steps_.try_emplace(static_cast<std::uint64_t>(id) << 32 | action.Code(), Step{});
    if (is_new) found->second = MakeStep(id, action);
    return found->second;
  }

  Step MakeStep(std::uint32_t id, const Action& action) {
    Step step;
    const std::size_t i = action.machine;
    Local local = locals_[id];
    const bool hung = local.write.has_value();
    if (action.kind == kCrash) {
      if (action.variant == kKept && !hung) return step;
      if (action.variant == kKept) Keep(i, local, step);
      Start(i, local);
      step.local = Intern(i, std::move(local));
      step.valid = true;
      return step;
    }
    if (!local.founding) return step;
    local.founding = std::make_shared<Founding>(*local.founding);
    Out out;
    if (action.kind == kDeliver) {
      const Mail& mail = mails_[action.mail];
      local.founding->OnMessage(kNow, mail.from + 1, mail.message, out);
    }
    if (action.kind == kBegin && !FoundingProbe::Begin(*local.founding, out)) return step;
    if (action.kind == kSync && !hung) return step;
    if (hung && action.kind != kSync && action.variant != kSynced) return step;
    Take(i, local, out, step);
    if (!scene_.machines[i].has_disk) Vote(i, local.founding->state(), step);
    if (!hung || action.kind == kSync) {
      if (action.variant != kSynced && !local.write) return step;
      if (action.variant == kSynced) {
        while (local.write) Sync(i, local, step);
      } else if (action.variant != kHangs) {
        if (action.variant == kKept) Keep(i, local, step);
        Start(i, local);
      }
    }
    step.local = Intern(i, std::move(local));
    step.valid = true;
    return step;
  }

  void Sync(std::size_t i, Local& local, Step& step) {
    Keep(i, local, step);
    Out out;
    local.founding->OnWritten(kNow, true, out);
    Take(i, local, out, step);
  }

  void Keep(std::size_t i, Local& local, Step& step) const {
    local.disk = std::exchange(local.write, std::nullopt);
    Vote(i, *local.disk, step);
  }
  void Vote(std::size_t i, const State& state, Step& step) const {
    if (scene_.machines[i].is_seed && state.accepted) step.votes.push_back(*state.accepted);
  }

  // ---- All of them ----

  std::vector<Action> Actions(const World& world) const {
    std::vector<Action> actions;
    const auto add = [&](Kind kind, std::uint32_t machine, std::uint32_t mail) {
      actions.push_back({kind, kSynced, machine, mail});
      if (!scene_.machines[machine].has_disk || locals_[world.local[machine]].write) return;
      if (world.left[1] > 0) {
        actions.push_back({kind, kLost, machine, mail});
        actions.push_back({kind, kKept, machine, mail});
      }
      if (world.left[2] > 0) actions.push_back({kind, kHangs, machine, mail});
    };
    for (const std::uint16_t mail : world.mail) add(kDeliver, mails_[mail].to, mail);
    for (std::uint32_t i = 0; i < scene_.machines.size(); ++i) {
      if (scene_.machines[i].proposes && world.left[0] > 0) add(kBegin, i, 0);
      if (locals_[world.local[i]].write) actions.push_back({kSync, kSynced, i, 0});
      if (world.left[1] == 0) continue;
      actions.push_back({kCrash, kSynced, i, 0});
      actions.push_back({kCrash, kKept, i, 0});
    }
    return actions;
  }

  bool Apply(World& world, const Action& action, std::string& wrong) {
    const Step& step = StepOf(world.local[action.machine], action);
    if (!step.valid) return false;
    if (action.kind == kBegin) --world.left[0];
    if (action.kind == kCrash || action.variant == kLost || action.variant == kKept) --world.left[1];
    if (action.variant == kHangs) --world.left[2];
    world.local[action.machine] = step.local;
    for (const std::uint16_t mail : step.sent) {
      const auto at = std::lower_bound(world.mail.begin(), world.mail.end(), mail);
      if (at == world.mail.end() || *at != mail) world.mail.insert(at, mail);
    }
    std::erase_if(world.mail, [&](std::uint16_t mail) { return IsIdle(world, mails_[mail]); });
    for (const Accepting& vote : step.votes) OnVote(world, action.machine, vote, wrong);
    for (const auto& members : step.founded) OnFounded(world, members, wrong);
    return true;
  }

  // It would change nothing.
  bool IsIdle(const World& world, const Mail& mail) const {
    const Local& to = locals_[world.local[mail.to]];
    const Body& body = mail.message.body;
    if (!to.founding) return true;
    if (const auto* promise = std::get_if<Promise>(&body))
      return !FoundingProbe::Awaits(*to.founding, promise->asked, false);
    if (const auto* accepted = std::get_if<Accepted>(&body))
      return !FoundingProbe::Awaits(*to.founding, accepted->asked, true);
    // A request whose sender has gone on: what it does to the acceptor still counts.
    return std::holds_alternative<Chosen>(body) && world.chosen != 0;
  }

  // No two lists may ever have more than half of the seeds.
  void OnVote(World& world, std::size_t seed, const Accepting& vote, std::string& wrong) {
    const std::size_t ballot = BallotId(vote);
    if (world.votes.size() <= ballot) world.votes.resize(ballot + 1);
    world.votes[ballot] |= static_cast<std::uint16_t>(1u << seed);
    if (IsMajority(world.votes[ballot])) SetChosen(world, vote.members, wrong);
  }

  void OnFounded(World& world, const std::vector<Member>& members, std::string& wrong) {
    ++founded_;
    SetChosen(world, members, wrong);
    bool is_chosen = false;
    for (std::size_t ballot = 0; ballot < world.votes.size(); ++ballot)
      is_chosen = is_chosen || (ballots_[ballot].members == members && IsMajority(world.votes[ballot]));
    if (wrong.empty() && !is_chosen) wrong = "a minority of the seeds has founded " + NamesOf(members);
  }

  void SetChosen(World& world, const std::vector<Member>& members, std::string& wrong) {
    auto found = std::find(lists_.begin(), lists_.end(), members);
    if (found == lists_.end()) found = lists_.insert(found, members);
    const auto list = static_cast<std::uint16_t>(found - lists_.begin() + 1);
    if (world.chosen != 0 && world.chosen != list)
      wrong = "two cores: " + NamesOf(lists_[world.chosen - 1u]) + " and " + NamesOf(members);
    if (wrong.empty()) world.chosen = list;
  }

  bool IsMajority(std::uint16_t votes) const {
    return 2 * static_cast<std::size_t>(std::popcount(votes)) > electorate_.size();
  }

  std::size_t BallotId(const Accepting& accepting) {
    const auto found = std::find(ballots_.begin(), ballots_.end(), accepting);
    const auto at = static_cast<std::size_t>(found - ballots_.begin());
    if (found == ballots_.end()) ballots_.push_back(accepting);
    return at;
  }

  // ---- Telling ----

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
                                            ", crashes, its write is there", ", its disk hangs"};
    static const char* const kBodies[] = {"prepare", "promise", "accept", "accepted", "chosen"};
    std::string text = NameOf(action.machine);
    if (action.kind == kBegin) text += " proposes";
    if (action.kind == kSync) return text + " has synced";
    if (action.kind == kCrash)
      return text + (action.variant == kKept ? " crashes, its write is there" : " crashes");
    if (action.kind == kDeliver) {
      const Mail& mail = mails_[action.mail];
      text += std::string(" takes ") + kBodies[mail.message.body.index()] + " of " + NameOf(mail.from);
      if (const auto* prepare = std::get_if<Prepare>(&mail.message.body))
        text += ", round " + std::to_string(prepare->ballot.round);
      if (const auto* accept = std::get_if<Accept>(&mail.message.body))
        text += ", round " + std::to_string(accept->ballot.round) + ", " + NamesOf(accept->members);
    }
    return text + kVariants[action.variant];
  }

  const Scene scene_;
  const std::size_t most_states_;
  Options options_;
  Electorate electorate_;
  std::vector<Local> locals_;
  std::unordered_map<std::string, std::uint32_t> local_ids_;
  std::vector<Mail> mails_;
  std::unordered_map<std::string, std::uint16_t> mail_ids_;
  std::unordered_map<std::uint64_t, Step> steps_;
  std::vector<Accepting> ballots_;
  std::vector<std::vector<Member>> lists_;
  std::vector<Node> nodes_;
  Seen64 seen_;
  std::size_t founded_ = 0;
  int depth_ = 0;
  bool is_whole_ = false;
  double seconds_ = 0;
};

// More by hand: CURLEWDOOR_STATES=n of each scene, as far as memory goes.
std::size_t MostStates(std::size_t otherwise) {
  const char* states = std::getenv("CURLEWDOOR_STATES");
  return states != nullptr ? std::strtoull(states, nullptr, 10) : otherwise;
}

// Seeds a, b and c; each proposer sees another part of the machines, as on two sides of a cut.
Scene ThreeSeeds(const char* name, std::vector<bool> disks, std::vector<std::size_t> proposers) {
  Scene scene;
  scene.name = name;
  for (std::size_t i = 0; i < 4; ++i) {
    Machine machine;
    machine.is_seed = i < 3;
    machine.has_disk = i >= disks.size() || disks[i];
    machine.proposes = std::find(proposers.begin(), proposers.end(), i) != proposers.end();
    machine.sees = {i, (i + 1) % 4};
    machine.sees_later = {i, (i + 2) % 4};
    scene.machines.push_back(machine);
  }
  return scene;
}

Scene FewSeeds(const char* name, std::size_t seeds, bool with_disks) {
  Scene scene = ThreeSeeds(name, {}, {0, 1, 2});
  for (std::size_t i = 0; i < scene.machines.size(); ++i) {
    scene.machines[i].is_seed = i < seeds;
    scene.machines[i].has_disk = with_disks || i >= seeds;
  }
  return scene;
}

std::vector<Scene> Scenes() {
  std::vector<Scene> scenes{ThreeSeeds("two proposers, a crash", {}, {0, 1}),
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
  scenes[2].crashes = 0, scenes[2].hangs = 1;
  scenes[4].crashes = 2;
  scenes[5].attempts = 3, scenes[5].crashes = 0;
  scenes[6].attempts = 3;
  scenes[7].crashes = 2, scenes[7].attempts = 3;
  scenes[9].crashes = 2;
  scenes[5].is_whole = false;  // 2,758,330 states
  return scenes;
}

BOOST_AUTO_TEST_CASE(no_interleaving_founds_two_cores_or_one_by_a_minority) {
  for (const Scene& scene : Scenes()) {
    Checker checker(scene, Options::Fault::kNone, MostStates(220'000));
    const std::string broken = checker.Run();
    BOOST_TEST_MESSAGE(scene.name << ": " << checker.Figures());
    BOOST_CHECK_MESSAGE(broken.empty(), scene.name << ": " << broken);
    BOOST_TEST(checker.founded() > 0u);
    BOOST_TEST((checker.is_whole() || !scene.is_whole), scene.name);
  }
}

BOOST_AUTO_TEST_CASE(every_founder_that_does_wrong_is_caught_with_a_trace) {
  Scene amnesia = ThreeSeeds("an acceptor without its memory votes again", {true, true, false}, {0, 1});
  amnesia.amnesia = true;
  struct Mutant {
    Scene scene;
    Options::Fault fault;
  };
  const std::vector<Mutant> mutants{
      {amnesia, Options::Fault::kNone},
      {ThreeSeeds("more than half of the seeds that are seen", {}, {0, 3}), Options::Fault::kMajorityOfSeen},
      {ThreeSeeds("a promise that isn't synced", {}, {0, 1}), Options::Fault::kReplyBeforeSync},
      {ThreeSeeds("a proposer that ignores what was accepted", {}, {0, 1}), Options::Fault::kIgnoreAccepted},
      {ThreeSeeds("an acceptor that takes an older ballot", {}, {0, 1}), Options::Fault::kAcceptOlder}};
  for (const Mutant& mutant : mutants) {
    Checker wrong(mutant.scene, mutant.fault, MostStates(2'000'000));
    const std::string broken = wrong.Run();
    BOOST_TEST_MESSAGE(mutant.scene.name << ": " << broken << "\n    (" << wrong.Figures() << ")");
    BOOST_CHECK_MESSAGE(!broken.empty(), mutant.scene.name << " is not noticed");
  }
}

}  // namespace
}  // namespace curlewdoor::agreement::founding
