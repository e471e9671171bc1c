// What gateways say to each other on the link: values, and as bytes (msgpack). A message of another major
// version, cut, too large or not a message at all is none; nothing here throws. Old and new processes talk
// while a system is upgraded: fields are added behind, and are passed over by who doesn't know them, as are
// new kinds (up to number 127). What an older process must not pass over needs another kLinkVersion.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace curlewdoor::system {

inline constexpr std::uint8_t kLinkVersion = 1;
inline constexpr std::size_t kMostRefreshed = 8192;  // of one message
// No message has a time or an amount beyond, above or below 0: sums of them stay sums.
inline constexpr std::int64_t kMostMicros = 4'000'000'000'000'000;  // 126 years
inline constexpr double kMostAmount = 1e15;

struct Hello {  // the first on each stream, both ways
  std::string name;
  bool counted = false;  // a member of the core, or one that may become one
  bool fetches = false;  // takes Announce and fetches; else it is sent Config whole (versions before 0.5)
};
struct Clock {  // a question, and its answer with the other side's time
  std::int64_t asked_us = 0;
  std::int64_t told_us = -1;  // below 0: a question
};
struct Hosts {  // entries of the directory (service_registry/codec.hpp) that have changed
  std::string batch;
};
struct Refreshed {  // hosts that have beaten and said nothing new: id, sequence
  std::vector<std::pair<std::string, std::uint64_t>> beats;
};
// The same as Hosts; owed: a HostsReplicated, once all that are reached have been sent it and, where a host
// leaves, the disk holds it.
struct ReplicateHosts {
  std::uint64_t number = 0;
  std::string batch;
};
struct HostsReplicated {  // versions that know no votes send the number alone
  std::uint64_t number = 0;
  std::uint64_t incarnation = 0, epoch = 0,
                complete_epoch = 0;  // registry_replication::MemberStatus of the sender
  bool votes = false;
};
struct Put {  // an operator's configuration, checked; owed: a Done
  std::uint64_t number = 0, version = 0;
  std::string text;
};
struct Get {
  std::uint64_t number = 0;
};
struct Done {
  std::uint64_t number = 0;
  int status = 0;
  std::string body;
};
struct Config {  // in force
  std::uint64_t version = 0;
  std::string text;
};
struct Members {  // of the core: name, disk's life, address of its link
  std::uint64_t epoch = 0;
  std::vector<std::tuple<std::string, std::uint64_t, std::string>> members;
  std::uint32_t gateways = 0;  // that were last seen at work; 0: not told
};
struct AddUnits {  // to a tenant's count; owed: a Total
  std::uint64_t number = 0;
  std::string tenant;
  std::uint64_t count = 0;  // its name
  std::int64_t lifetime_us = 0;
  double amount = 0;
  std::int64_t clock_us = 0;         // the holder's time, as the asker has it: its windows go by that
  double use = 0, held_share = 0;    // quota::ShareReport
  std::int64_t window_began_us = 0;  // by the holder's time; 0: not told
};
struct Total {
  std::uint64_t number = 0;
  bool counted = false;  // false: nothing was added
  double total = 0;
  double share = 0;  // of the quota, allocated to the asker
};
struct CoreBytes {  // of the agreement
  std::string bytes;
};

struct Digest {  // of all hosts that are here; whoever has another one asks
  std::uint64_t hosts = 0;
};
struct AskHosts {  // owed: Hosts, all of them
  std::uint64_t number = 0;
};

struct FoundingBytes {  // of the first start (agreement/bootstrapper.hpp)
  std::string bytes;
};

// A configuration is named by its version and the digest of its text (StableHash).
struct Announce {  // by a member in contact with a majority: this one is chosen
  std::uint64_t epoch = 0, version = 0, digest = 0;
};
struct Fetch {                          // the newest configuration, or the next piece of one; owed: a Fetched
  std::uint64_t number = 0, epoch = 0;  // the asker's epoch: owed Members too, if it is an old one
  std::uint64_t base_version = 0, base_digest = 0;  // a difference to this text will do; 0: to none
  std::uint64_t version = 0, digest = 0;            // 0: the newest; else that of the earlier pieces
  std::uint64_t offset = 0;                         // bytes of it that were taken already
};
enum class FetchOutcome : std::uint8_t {
  kNotNow,   // not of the core, or no majority has answered: another member may do better
  kCurrent,  // the base is the newest
  kDelta,    // bytes of a difference to the base (util/text_delta.hpp)
  kWhole     // bytes of the text
};
struct Fetched {
  std::uint64_t number = 0;
  std::uint8_t outcome = 0;  // of FetchOutcome; a later version may have more
  std::uint64_t version = 0, digest = 0;
  std::uint64_t size = 0, offset = 0;  // of all bytes that the outcome names, and where these begin
  std::string bytes;
};

// Owed: a RegistryAnswer, behind all news of hosts that the member held when the question came.
struct RegistryQuery {
  std::int64_t asked_us = 0;    // by the asker's clock
  std::uint64_t epoch = 0;      // that the asker knows: owed Members too, if it is an old one
  std::uint64_t watermark = 0;  // that the asker knows; 0: not told
};
struct RegistryAnswer {
  std::int64_t asked_us = 0;
  std::uint64_t incarnation = 0, epoch = 0,
                complete_epoch = 0;  // registry_replication::MemberStatus of the sender
  bool votes = false;
  std::uint64_t watermark = 0;
};

// Of coordination (docs/coordination.md): between replicas of the log, as bytes of
// coordination::ReplicaMessage.
struct CoordinationBytes {
  std::string bytes;
};
// An application's call (coordination::Call), to a member; owed: a CoordinationReply.
struct CoordinationCall {
  std::uint64_t number = 0;
  std::string call;
  std::int64_t proven_renewals = -1;  // coordination::ProvenRenewals of a release; below 0: not told
};
struct CoordinationReply {  // coordination::Reply
  std::uint64_t number = 0;
  std::string reply;
};
struct CoordinationLeader {  // by the member that leads, to all that want news
  std::uint64_t term = 0;
  std::string name;
};
struct CoordinationForget {  // nobody waits for the reply to this call any more
  std::uint64_t number = 0;
};

// In the order of their numbers on the wire: new ones come behind.
using Message = std::variant<Hello, Clock, Hosts, Refreshed, ReplicateHosts, HostsReplicated, Put, Get, Done,
                             Config, Members, AddUnits, Total, CoreBytes, Digest, AskHosts, FoundingBytes,
                             Announce, Fetch, Fetched, RegistryQuery, RegistryAnswer, CoordinationBytes,
                             CoordinationCall, CoordinationReply, CoordinationLeader, CoordinationForget>;

std::string Encode(const Message& message);
std::optional<Message> Decode(std::string_view bytes);
// Of what is no message here: whether it is one of a kind that only later versions know.
bool IsOfLaterKind(std::string_view bytes);

}  // namespace curlewdoor::system
