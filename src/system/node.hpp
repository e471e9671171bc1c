// One process of the system: puts the parts together and carries between them. Decides nothing of its own:
// who is there says fleet, which hosts there are directory, what is in force agreement, what becomes of a
// request Front.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "agreement/core.hpp"
#include "fleet/membership_protocol.hpp"
#include "memory/trim.hpp"
#include "net/fleet_link.hpp"
#include "quota/quota_counters.hpp"
#include "registry_replication/lease.hpp"
#include "registry_replication/replica.hpp"
#include "registry_replication/watermark.hpp"
#include "service_registry/command.hpp"
#include "service_registry/heartbeat_targets.hpp"
#include "service_registry/hosts_by_service.hpp"
#include "service_registry/service_registry.hpp"
#include "settings/settings.hpp"
#include "storage/storage.hpp"
#include "system/call_door.hpp"
#include "system/call_ends.hpp"
#include "system/command.hpp"
#include "system/config_feed.hpp"
#include "system/config_source.hpp"
#include "system/coordination_calls.hpp"
#include "system/coordination_host.hpp"
#include "system/core_calls.hpp"
#include "system/founding_host.hpp"
#include "system/front.hpp"
#include "system/link.hpp"
#include "system/message.hpp"
#include "system/node_limits.hpp"
#include "system/pause_watch.hpp"
#include "system/redundancy_watch.hpp"

namespace curlewdoor::system {

class Node : net::FleetLink::Owner,
             Link::Owner,
             FoundingHost::Owner,
             CoreCalls::Owner,
             CoordinationHost::Owner,
             CoordinationCalls::Owner {
 public:
  // Throws std::runtime_error where it can't begin. `settings_path` is looked at again now and then.
  Node(struct ev_loop* loop, settings::NodeSettings settings, std::string settings_path, std::uint64_t seed);
  ~Node() override;

 private:
  using Steady = std::chrono::steady_clock::time_point;

  // A host's call that waits until other machines have what it said: any core member where it is news, a
  // majority of them where the host leaves.
  struct Replication {
    RequestId call;
    std::string host;
    bool leave = false;
    Steady ends, again;
    std::string batch;
    std::vector<std::uint64_t> streams;  // that it went out on
    registry_replication::LeaveVotes votes;
  };
  // An answer that is owed once the disk holds a leave; stream 0: to a replication of this process.
  struct OwedVote {
    std::uint64_t stream = 0, number = 0;
  };
  struct Adding {
    CounterName name;
    std::string member;  // that counts
    std::uint64_t stream = 0;
    Steady ends;
  };
  struct Offset {  // of another machine's clock
    Duration offset{}, round_trip{};
    Steady at;
  };
  struct CoreMember {
    std::string name;
    std::uint64_t disk = 0;
    Address address;
  };

  static Steady Now() { return std::chrono::steady_clock::now(); }
  static TimePoint Net(Steady at) { return TimePoint(at.time_since_epoch()); }

  // Fleet.
  void OnDatagram(std::string_view bytes) override;
  std::string OnExchange(std::string_view bytes) override;
  void OnExchangeEnd(const Address& with, std::string_view bytes) override;
  void ExecuteFleet(const fleet::ProtocolOutput& out);
  void OnView();
  static bool IsOfCore(const fleet::MemberRecord& record);
  static std::string ZoneOf(const fleet::MemberRecord& record);
  agreement::Location PlaceOf(const fleet::MemberRecord& record) const;
  int AtLeast(int gateways);
  void ConsiderCore();

  // Link.
  void OnUp(Link::Stream& stream) override;
  void OnFrame(Link::Stream& stream, std::string_view frame) override;
  void OnDown(Link::Stream& stream) override;
  // Whether a question that went out on these streams may be answered on this one.
  static bool WentOn(const std::vector<std::uint64_t>& streams, const Link::Stream& stream);
  void Handle(Link::Stream& stream, Hello& message);
  void Handle(Link::Stream& stream, Clock& message);
  void AskClock(Link::Stream& stream);
  void Handle(Link::Stream& stream, Hosts& message);
  void Handle(Link::Stream& stream, Refreshed& message);
  void Handle(Link::Stream& stream, Put& message);
  void Handle(Link::Stream& stream, Get& message);
  void Handle(Link::Stream& stream, Done& message);
  void Handle(Link::Stream& stream, Config& message);
  void Handle(Link::Stream& stream, Members& message);
  void Handle(Link::Stream& stream, AddUnits& message);
  void Handle(Link::Stream& stream, Total& message);
  void Handle(Link::Stream& stream, CoreBytes& message);
  void Handle(Link::Stream& stream, Digest& message);
  void Handle(Link::Stream& stream, AskHosts& message);
  void Handle(Link::Stream& stream, FoundingBytes& message);
  Link::Stream* NearCore();                // the core member that is reached soonest; nullptr: none
  void Broadcast(const Message& message);  // to all that wait for news
  // To all core members that are reached; the streams.
  std::vector<std::uint64_t> ToCore(const Message& message);

  // Calls from outside.
  void OnCall(CallDoor::Call call);
  void Execute(RequestId id, const service_registry::Heartbeat& beat);
  void Execute(RequestId id, const service_registry::Deregistration& leave);
  void Execute(RequestId id, service_registry::ReplaceConfig& put);
  void Execute(RequestId id, const service_registry::ReadConfig& read);
  void Execute(RequestId id, const ReportCore& report);  // and the rest: report.cpp
  void Execute(RequestId id, const ReportHosts& report);
  void Execute(RequestId id, const ReportTenant& report);
  void Execute(RequestId id, const ReportGateways& report);
  void Execute(RequestId id, const ReportFigures& report);
  void Execute(RequestId id, const ReportConfig& report);
  void Execute(RequestId id, const ReportCoordination& report);
  void Execute(RequestId id, const ForgetMember& order);
  void ReplyReport(RequestId id, const std::string& json);
  void ReplyBeat(RequestId id);
  void ReplyRefreshed(RequestId id, const service_registry::Heartbeat& beat);
  void UpdateHeartbeatTargets();
  void ReplyJson(RequestId id, int status, const std::string& body);
  // Where the answer to a call goes that another gateway has passed on.
  CoreCalls::Answer AnswerTo(const Link::Stream& stream, std::uint64_t number);
  std::vector<CoreCalls::Voter> ReachedVoters() override;
  bool KnowsMajority() const override { return had_majority_; }
  void SendTo(std::uint64_t stream, const Message& message) override;
  void PutHere(std::uint64_t number, std::uint64_t version, std::string text) override;
  void GetHere(std::uint64_t number) override;

  // Directory.
  enum class Merged {
    kUnreadable,
    kNotTaken,  // no room for it, or too old: one of them isn't held
    kNews,
    kLeave  // and it is held now
  };
  Merged MergeBatch(const std::string& batch);
  // What has changed since the last time, at most once a tick: told on by the core, taken over by the front.
  // Then those are answered that wait for it.
  void PublishHosts();
  std::uint64_t HostsDigest() const;
  void RelayLeaves(std::uint64_t after);

  // Registry: what is acknowledged to hosts, and by which list requests are sent (node_registry.cpp).
  void Handle(Link::Stream& stream, ReplicateHosts& message);
  void Handle(Link::Stream& stream, HostsReplicated& message);
  void Handle(Link::Stream& stream, RegistryQuery& message);
  void Handle(Link::Stream& stream, RegistryAnswer& message);
  void Replicate(RequestId id, const std::string& host, bool leave);
  void TickReplications();
  void SendAgain(std::uint64_t number, Replication& replication);
  void ConsiderAcknowledged(std::uint64_t number);
  void KeepLeaves();
  void OnLeavesKept(bool ok);
  void AnswerVotes(const std::vector<OwedVote>& owed);
  std::string EncodeLeaves(const registry_replication::ReplicaRecord& record) const;
  void RestoreLeaves(const std::string& bytes);
  void TickLease();
  void OnProof();
  void RaiseWatermark(std::uint64_t heard);
  void OnWatermark();
  void ConfirmHosts();
  void TellCompleteMembers();
  registry_replication::Membership RegistryRoster() const;
  registry_replication::MemberStatus OwnStanding() const;

  // Core.
  void OpenCore();
  std::uint64_t NewLifeInMemory();
  void TryOpenCore();  // a disk in trouble leaves a gateway without a core, for now
  void StartFleet();
  void ExecuteCore(agreement::CoreOutput out);
  void AnswerDone(agreement::CallResult& done);
  static std::string ConflictText(std::uint64_t sent, const agreement::CallResult& done);
  std::unique_ptr<FoundingHost> MakeFounding(agreement::bootstrap::BootstrapState state, bool durable);
  void OpenFounding(std::optional<agreement::bootstrap::BootstrapState> kept);
  bool KeepFounding(std::string state) override;
  void OnFounded(std::vector<agreement::Member> members) override;
  void OnStorage();
  void OnRoster(std::uint64_t epoch, std::vector<CoreMember> members);
  std::vector<CoreMember> RosterOfCore() const;  // as the agreement has it
  void LookAtMajority();
  void LookAtRedundancy();
  void TellSpread(const agreement::CoreStatus& status);
  void KeepHosts();  // on the disk: a core that comes back knows them before they beat again
  bool core_member() const { return core_ && core_->member(); }
  Message MembersNow() const;

  // Feed of configurations (node_feed.cpp).
  void Handle(Link::Stream& stream, Announce& message);
  void Handle(Link::Stream& stream, Fetch& message);
  void Handle(Link::Stream& stream, Fetched& message);
  void OnCommitted();
  void ApplyCommitted();  // in force here too, at most once in kApplyPause
  void AnnounceConfig();  // to all that want news, as AnnouncePace says
  void TellConfig(Link::Stream& stream);
  void ReadForFeed();
  void OnFeedRead(const agreement::CallResult& done);
  void FetchConfig();
  std::vector<ConfigFeed::Candidate> FeedCandidates();
  void SetInForce(ConfigId id, std::string text);
  // The age of the last proof that a majority of the core is reached; nullopt: there was none yet.
  std::optional<Duration> ContactAge() const;
  bool InContact() const;

  // Coordination: locks, numbers, keys and watches (node_coordination.cpp).
  bool Coordinates() const { return settings_.active_contracts.contains(kCoordinationContract); }
  void OpenCoordination(coordination::ReplicaState from_disk);
  bool TakeCoordinationCall(const CallDoor::Call& call);
  std::optional<coordination::Call> ReadCoordinationCall(const CallDoor::Call& call);
  void TickCoordination();
  void Handle(Link::Stream& stream, CoordinationBytes& message);
  void Handle(Link::Stream& stream, CoordinationCall& message);
  void Handle(Link::Stream& stream, CoordinationReply& message);
  void Handle(Link::Stream& stream, CoordinationLeader& message);
  void Handle(Link::Stream& stream, CoordinationForget& message);
  void SendToReplica(const agreement::Member& to, std::string bytes) override;
  bool WriteLog(coordination::RecordBatch records) override;
  void OnCoordinationReply(std::uint64_t number, coordination::Reply reply) override;
  void OnCoordinationLeader(std::uint64_t term, const std::string& name) override;
  std::vector<CoordinationCalls::Candidate> ReachedMembers() override;
  void CallHere(std::uint64_t number, const coordination::Call& call,
                coordination::ProvenRenewals proven) override;
  void ForgetHere(std::uint64_t number) override;

  // Count.
  const CoreMember* Holder(const std::string& tenant) const;
  void AddToCount(const std::string& tenant, const AddToCounter& call);
  Duration ClockOffset(const std::string& tenant) const;
  std::optional<quota::QuotaCounters::Added> AddHere(const std::string& tenant, const std::string& gateway,
                                                     const AddToCounter& call);
  // Adds that are out and are not answered any more.
  void FailAdds(const std::function<bool(const Adding&)>& failed);
  // Keeps the log's word of each member that counts: whether it answers.
  void NoteCounter(const std::string& member, bool counted);
  void LookWhoIsAway();
  static bool MayBeAtWork(const fleet::Member& member);

  // Life.
  void KeepHouse();
  void NoticePause(Steady now);
  bool ConfirmedSince(Steady then) const;
  void LookAtSettings();
  std::vector<Address> FleetSeeds() const;
  void LookWhetherAlone();
  void SetReady();

  // Its end (node_shutdown.cpp).
  void OnTerm();
  net::DrainSchedule DrainScheduleFrom(Steady term_at) const;
  void AdvanceShutdown(Steady now);
  void DeclineCalls();
  void End();
  std::string DescribeOpenWork() const;  // for the log

  struct ev_loop* loop_;
  settings::NodeSettings settings_;
  const std::string settings_path_;
  std::int64_t settings_stamp_ = 0;
  const bool bootstrap_;  // this process began with the whole system
  std::mt19937_64 rng_;
  const Address fleet_address_, link_address_;
  memory::Budget memory_;
  net::Descriptors front_descriptors_, link_descriptors_;

  std::unique_ptr<storage::Storage> storage_;
  std::optional<agreement::Core> core_;
  std::uint64_t disk_ = 0;
  std::string life_;  // its record in the storage
  bool life_kept_ = false, open_again_ = false;
  bool in_memory_ = false, volunteers_ = false;  // a core without a disk
  std::unique_ptr<net::IoWatcher> storage_io_;
  bool had_majority_ = false;
  RedundancyWatch redundancy_{kRedundancySettles};
  bool spread_short_ = false;     // as the log says
  std::uint64_t kept_hosts_ = 0;  // of the directory's journal
  // As long as the view isn't whole after a start: what the core last knew. 0: nothing.
  int least_gateways_ = 0, gateways_ = 1, kept_gateways_ = 0;
  bool gathered_ = false;
  bool keeping_hosts_ = false;

  std::unique_ptr<fleet::MembershipProtocol> fleet_;
  net::FleetLink fleet_link_;
  net::TimerWatcher fleet_timer_;
  std::uint64_t seen_view_ = 0;

  Link link_;
  std::map<std::string, Offset> offsets_;   // by machine
  std::unique_ptr<FoundingHost> founding_;  // of a process that began with the whole system
  std::uint64_t epoch_ = 0;
  std::vector<CoreMember> members_;  // of the core, in `epoch_`

  service_registry::ServiceRegistry directory_;
  service_registry::HostsByService by_service_;
  service_registry::HeartbeatTargets heartbeat_targets_;
  std::uint64_t told_hosts_ = 0;  // of the directory's journal
  std::vector<std::pair<std::string, std::uint64_t>> refreshed_;
  std::vector<RequestId> owed_beats_;  // answered with the next news

  PauseWatch pause_watch_{Now()};
  PauseWatch call_pause_watch_{Now(), kCallPause, kCallPauseDrained};  // of applications' calls
  registry_replication::Watermark watermark_;
  registry_replication::RegistryLease registry_lease_;
  std::optional<registry_replication::RegistryReplica> registry_replica_;  // of a process with a core
  std::vector<OwedVote> owed_votes_, votes_being_kept_;  // the latter: with the write under way
  std::optional<registry_replication::ReplicaRecord> record_being_kept_;  // of the write under way
  bool registry_proved_ = false;                                          // as the log says
  std::uint64_t leaves_acknowledged_ = 0, leaves_not_acknowledged_ = 0;

  std::optional<CoordinationHost> coordination_;  // of a process with a core
  CoordinationCalls coordination_calls_{*this, {}};
  CallEnds coordination_ends_;
  std::unordered_map<RequestId, std::uint64_t, IdHash> coordination_numbers_;  // of calls that wait here
  std::unordered_set<RequestId, IdHash> watches_;                              // of these
  CoreCalls core_calls_{*this, {}};
  std::unordered_map<std::uint64_t, Replication> replications_;
  std::unordered_map<std::uint64_t, Adding> addings_;
  std::uint64_t next_number_ = rng_();  // no two processes begin alike
  quota::QuotaCounters counts_;
  std::map<std::string, int> failed_adds_;                      // in a row, by the member that counts
  std::uint64_t adds_by_other_clock_ = 0, adds_elsewhere_ = 0;  // refused here

  // Of the latest order here, until it is refused or in force.
  std::shared_ptr<const policy::Policy> checked_;
  std::chrono::system_clock::time_point in_force_at_{};
  ConfigId in_force_;
  Steady applied_at_{};
  ConfigFeed feed_;
  ConfigSource source_;
  std::uint64_t feed_read_ = 0;  // the core's read that fetches wait for; 0: none
  Front front_;
  CallDoor control_, readiness_;
  bool ready_ = false, leaving_ = false;
  bool alone_ = false;  // as the log says
  Steady term_at_, started_at_;
  memory::Trimmer trimmer_;
  net::TimerWatcher house_timer_;
  net::PrepareWatcher reap_;
  net::SignalWatcher term_, interrupt_, hang_up_;
  int ticks_ = 0;
  Steady ticked_at_ = Now();
  std::optional<Steady> resumed_at_;  // from a pause, until the configuration is confirmed again
};

}  // namespace curlewdoor::system
