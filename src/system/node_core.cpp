// Node: the agreement core, its storage, and the configuration in force.
#include <algorithm>
#include <stdexcept>
#include <utility>

#include "agreement/codec.hpp"
#include "service_registry/codec.hpp"
#include "storage/memory_storage.hpp"
#include "system/json.hpp"
#include "system/node.hpp"
#include "system/node_limits.hpp"

namespace curlewdoor::system {

void Node::TryOpenCore() {
  open_again_ = false;
  if (!settings_.quorum_member && !volunteers_) return;
  try {
    OpenCore();
    if (fleet_ == nullptr) return;
    StartFleet();  // others are to see that it is of the core now, and to ask it for news
    link_.ForEach([](Link::Stream& stream) { stream.Close(); });
  } catch (const std::exception& error) {
    Say(Event::kStorageFailed, std::string(error.what()) + "; it is tried again, without a core meanwhile");
    coordination_.reset();
    storage_.reset();
    open_again_ = true;
  }
}

std::uint64_t Node::NewLifeInMemory() {
  std::vector<agreement::Incarnation> known;
  for (const CoreMember& member : members_) known.push_back({member.name, member.disk});
  const std::uint64_t by_clock = FirstLife(BootNow()) + rng_() % kLivesAtOnce;
  return agreement::NextIncarnationNumber(by_clock, settings_.node_name, known);
}

void Node::OpenCore() {
  // Without a disk of its own a member's life ends with the process.
  in_memory_ = settings_.data_directory.empty();
  const std::string directory = in_memory_ ? "memory" : settings_.data_directory + "/core";
  const bool empty = in_memory_ || storage::StorageEmpty(directory);
  if (in_memory_) {
    storage_ = std::make_unique<storage::MemoryStorage>();
  } else {
    storage_ = storage::OpenStorage(directory);
  }
  Say(Event::kStorageOpened, directory + (empty ? " (empty)" : ""));
  const auto life = storage_->Read("life");
  agreement::CoreState state;
  std::optional<agreement::bootstrap::BootstrapState> founding;
  bool first = bootstrap_;
  // A life that began with the whole system may still found it, whatever the settings say by now.
  const bool known = life && (life->size() == 16 || life->size() == 17);
  const auto record = [this](const std::string& key) { return storage_->Read(key); };
  auto read = known ? agreement::DecodeState(record) : std::nullopt;
  if (known) disk_ = std::strtoull(life->substr(0, 16).c_str(), nullptr, 16);
  // Whoever can't read its log has forgotten what it promised, as one that can't read its state.
  auto log = known && Coordinates() ? coordination::DecodeReplicaState(disk_, record)
                                    : std::optional(coordination::ReplicaState{});
  if (known && read && log) {
    life_ = *life;
    life_kept_ = true;
    first = life_.size() == 17;
    state = *read;
    if (const auto kept = storage_->Read(agreement::kBootstrapKey); kept && first)
      founding = agreement::DecodeBootstrapState(*kept);
    if (const auto gateways = storage_->Read(kGatewaysKey))
      least_gateways_ = std::clamp(std::atoi(gateways->c_str()), 0, kMostGateways);
    if (const auto hosts = storage_->Read(kHostsKey))
      if (const auto entries = service_registry::Decode(*hosts, Now()))
        for (const service_registry::HostEntry& entry : *entries) directory_.Merge(Now(), entry);
  } else {
    read.reset();
    log.emplace();
    // What can't be read is forgotten: another life, that has promised nothing and must be taken in first.
    if (known) Say(Event::kStorageDamaged, directory + ": its state can't be read; it begins another life");
    if (known || storage_->Read(agreement::kBootstrapKey)) first = false;
    if (!first) Say(Event::kWipedDisk, directory);
    disk_ = in_memory_ ? NewLifeInMemory() : rng_() | 1;
    life_ = Hex(disk_) + (first ? "b" : "");
    // A member without a disk may be the last one that knows what was acknowledged.
    if (const auto& policy = front_.policy(); in_memory_ && policy != nullptr)
      state.value = {policy->version(), policy->text()};
    storage::Records records = agreement::EncodeAll(state);
    records.emplace_back("life", life_);
    if (first && !founding_) {
      founding = FoundingHost::FirstState(settings_);
      records.emplace_back(agreement::kBootstrapKey, agreement::EncodeBootstrapState(*founding));
    }
    storage_->Write(0, std::move(records));
  }
  agreement::CoreOptions options;
  options.min_members = 2 * settings_.fault_tolerance.machine_failures + 1;
  options.volatile_members = in_memory_;
  options.wait_for_complete = !in_memory_;
  options.wanted_tolerance = {static_cast<int>(settings_.fault_tolerance.zones),
                              static_cast<int>(settings_.fault_tolerance.region_failures)};
  core_.emplace(agreement::Member{{settings_.node_name, disk_}, link_address_.ToText()}, false,
                std::move(state), options, rng_());
  if (core_->membership().epoch > epoch_) {
    epoch_ = core_->membership().epoch;
    members_ = RosterOfCore();
  }
  storage_io_ = std::make_unique<net::IoWatcher>(loop_, [this](int) { OnStorage(); });
  storage_io_->Want(storage_->fd(), EV_READ);
  if (Coordinates()) OpenCoordination(std::move(*log));
  OpenFounding(std::move(founding));
  record_being_kept_.reset();
  votes_being_kept_.clear();
  registry_replica_.emplace(registry_replication::MemberId{settings_.node_name, disk_});
  if (const auto leaves = known && read ? storage_->Read(kLeavesKey) : std::nullopt) RestoreLeaves(*leaves);
  registry_replica_->Adopt(Now(), RegistryRoster());
  registry_lease_.SetMembership(RegistryRoster());
}

std::vector<Node::CoreMember> Node::RosterOfCore() const {
  std::vector<CoreMember> members;
  for (const agreement::Member& member : core_->membership().members)
    if (const auto address = ParseAddress(member.address))
      members.push_back({member.incarnation.node, member.incarnation.number, *address});
  return members;
}

// A process that has answered from its memory goes on to do so.
void Node::OpenFounding(std::optional<agreement::bootstrap::BootstrapState> kept) {
  if (!founding_ && kept) founding_ = MakeFounding(std::move(*kept), true);
  if (founding_ && epoch_ == 0) founding_->SetCandidate(core_->self());
}

std::unique_ptr<FoundingHost> Node::MakeFounding(agreement::bootstrap::BootstrapState state, bool durable) {
  const auto least_members = 2 * settings_.fault_tolerance.machine_failures + 1;
  FoundingHost::Owner& owner = *this;
  return std::make_unique<FoundingHost>(link_, owner, link_address_, std::move(state), durable, least_members,
                                        rng_());
}

bool Node::KeepFounding(std::string state) {
  storage::Records records{{agreement::kBootstrapKey, std::move(state)}};
  if (!life_kept_) records.emplace_back("life", life_);
  return storage_->Write(kFoundingWrite, std::move(records));
}

void Node::OnFounded(std::vector<agreement::Member> members) {
  if (!core_) return;
  agreement::CoreOutput out;
  core_->BeginFirstEpoch(Now(), std::move(members), out);
  ExecuteCore(std::move(out));
}

void Node::OnStorage() {
  for (const storage::WriteResult& result : storage_->Drain()) {
    if (!result.ok) Say(Event::kStorageFailed, result.error);
    if (result.ok && result.id != kHostsWrite) life_kept_ = true;
    if (result.id == kLogWrite) {
      if (coordination_) coordination_->OnWritten(result.ok);
      continue;
    }
    if (result.id == kHostsWrite) {
      keeping_hosts_ = false;
      continue;
    }
    if (result.id == kLeavesWrite) {
      OnLeavesKept(result.ok);
      continue;
    }
    if (result.id == kFoundingWrite) {
      founding_->OnWritten(result.ok);
      continue;
    }
    agreement::CoreOutput out;
    core_->OnWritten(Now(), result.id, result.ok, out);
    ExecuteCore(std::move(out));
  }
}

void Node::ExecuteCore(agreement::CoreOutput out) {
  for (const std::string& note : out.log_messages) Say(Event::kSuccessorProposed, note);
  for (agreement::StorageWrite& write : out.writes) {
    // Where the first write was refused: nothing may be kept without the life that promised it.
    if (!life_kept_) write.records.emplace_back("life", life_);
    if (storage_->Write(write.id, std::move(write.records))) continue;
    agreement::CoreOutput failed;
    core_->OnWritten(Now(), write.id, false, failed);
    ExecuteCore(std::move(failed));
  }
  for (const agreement::OutgoingMessage& sending : out.sends) {
    const auto address = ParseAddress(sending.to.address);
    Link::Stream* stream = address ? link_.To(*address) : nullptr;
    if (stream != nullptr) stream->Send(Encode(CoreBytes{agreement::Encode(sending.message)}));
  }
  if (out.membership_changed) {
    OnRoster(core_->membership().epoch, RosterOfCore());
    if (coordination_) coordination_->SetRoster(core_->membership());
    OnView();
  }
  LookAtMajority();
  // Before any acknowledgement: what it acknowledges is then on its way to all.
  if (out.committed_changed) OnCommitted();
  for (agreement::CallResult& done : out.results) AnswerDone(done);
}

void Node::AnswerDone(agreement::CallResult& done) {
  using agreement::CallOutcome;
  if (done.call == feed_read_) return OnFeedRead(done);
  const CoreCalls::Call* call = core_calls_.Find(done.call);
  if (call == nullptr) return;
  const auto answer = [&](int status, std::string body) {
    core_calls_.OnAnsweredHere(Now(), done.call, status, std::move(body));
  };
  if (done.outcome == CallOutcome::kConflict) {
    Say(Event::kConfigConflict, "version " + std::to_string(call->version));
    return answer(409, ConflictText(call->version, done));
  }
  if (done.outcome != CallOutcome::kInForce && done.outcome != CallOutcome::kSuperseded)
    return answer(503, {});
  if (call->kind == CoreCalls::Kind::kOrder) {
    if (done.outcome == CallOutcome::kSuperseded)
      Say(Event::kConfigOvertaken, "by " + std::to_string(done.value.version));
    return answer(kConfirmed, "{}");
  }
  if (done.value.version == 0) return answer(404, "{}");
  answer(200, std::move(done.value.text));
}

// The number belongs to another content for good, so the same order would be refused for ever.
std::string Node::ConflictText(std::uint64_t sent, const agreement::CallResult& done) {
  json::Document body;
  body.Text("error", "conflict").Number("version_sent", static_cast<double>(sent));
  body.Number("version_in_force", static_cast<double>(done.value.version));
  body.Text("digest_in_force", ToText(done.digest));
  body.Text("message", "version " + std::to_string(sent) +
                           " belongs to another content; send the change under a number above " +
                           std::to_string(done.value.version));
  return body.Print();
}

void Node::KeepHosts() {
  if (!storage_ || keeping_hosts_ || (kept_hosts_ == directory_.version() && kept_gateways_ == gateways_))
    return;
  std::vector<service_registry::HostEntry> entries;
  for (service_registry::HostEntry& entry : directory_.All())
    if (!entry.removed()) entries.push_back(std::move(entry));
  if (!storage_->Write(kHostsWrite, {{kHostsKey, service_registry::Encode(entries, Now())},
                                     {kGatewaysKey, std::to_string(gateways_)}}))
    return;
  keeping_hosts_ = true;
  kept_hosts_ = directory_.version();
  kept_gateways_ = gateways_;
}

void Node::LookAtMajority() {
  const bool majority = core_member() && core_->learned() && core_->majority(Now());
  if (majority == had_majority_) return;
  had_majority_ = majority;
  Say(majority ? Event::kMajorityBack : Event::kNoMajority, "epoch " + std::to_string(epoch_));
  if (!majority) return counts_.Stop();
  counts_.Begin(Net(Now()));
  Say(Event::kCountBegun, "epoch " + std::to_string(epoch_));
  Broadcast(MembersNow());
  AnnounceConfig();
}

void Node::LookAtRedundancy() {
  if (!core_member()) return redundancy_.Reset();
  if (!core_->learned()) return;  // a new epoch: what was told before still stands
  const agreement::CoreStatus status = core_->Status(Now());
  TellSpread(status);
  const auto change = redundancy_.Look(Now(), status.further_losses);
  if (!change) return;
  const bool lost = change->now < change->before;
  Say(lost ? Event::kRedundancyLost : Event::kRedundancyBack,
      "epoch " + std::to_string(epoch_) + ": further losses borne " + std::to_string(change->now) +
          ", before " + std::to_string(change->before));
}

void Node::TellSpread(const agreement::CoreStatus& status) {
  const bool is_short = !status.tolerance.Covers(status.wanted);
  if (std::exchange(spread_short_, is_short) == is_short) return;
  Say(is_short ? Event::kSpreadShort : Event::kSpreadBack,
      "epoch " + std::to_string(status.epoch) + ": zones borne " + std::to_string(status.tolerance.zones) +
          " of " + std::to_string(status.wanted.zones) + ", regions borne " +
          std::to_string(status.tolerance.regions) + " of " + std::to_string(status.wanted.regions));
}

Message Node::MembersNow() const {
  Members message{epoch_, {}, static_cast<std::uint32_t>(gateways_)};
  for (const CoreMember& member : members_)
    message.members.emplace_back(member.name, member.disk, member.address.ToText());
  return message;
}

void Node::OnRoster(std::uint64_t epoch, std::vector<CoreMember> members) {
  if (epoch <= epoch_) return;
  epoch_ = epoch;
  members_ = std::move(members);
  registry_lease_.SetMembership(RegistryRoster());
  if (registry_replica_) registry_replica_->Adopt(Now(), RegistryRoster());
  if (founding_) founding_->StopProposing();
  std::string names;
  for (const CoreMember& member : members_) names += " " + member.name;
  Say(Event::kRosterInForce, "epoch " + std::to_string(epoch) + names);
  // Tenants' counts may have moved here, and nothing is known of what was added elsewhere: LookAtMajority()
  // begins them anew once the core has learned what is kept.
  OnView();
}

}  // namespace curlewdoor::system
