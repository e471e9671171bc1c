// A look at the disk of a stopped member: whether every record can be read, and what they hold.
#include <charconv>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <string>

#include "agreement/codec.hpp"
#include "console/command_error.hpp"
#include "console/commands.hpp"
#include "console/table.hpp"
#include "coordination/replica_message.hpp"
#include "coordination/state_machine.hpp"
#include "policy/policy.hpp"
#include "registry_replication/record.hpp"
#include "service_registry/codec.hpp"
#include "storage/inspect.hpp"
#include "system/json.hpp"
#include "util/number.hpp"

namespace curlewdoor::console {
namespace {

using system::json::AddTo;
using system::json::Document;

constexpr std::string_view kLifeRecord = "life", kHostsRecord = "hosts", kGatewaysRecord = "gateways",
                           kLeavesRecord = "leaves";
constexpr std::size_t kLifeDigits = 16;
constexpr char kLifeOfBootstrap = 'b';  // behind the digits

struct StoppedMember {
  std::string directory, life;
  storage::Records records;
  agreement::CoreState state;
  bool member = false;
};

// Where a record lies that can't be taken, for CommandError.
CommandError BadRecord(const std::string& directory, const std::string& what) {
  return CommandError(kRefused, directory + ": record " + what);
}

storage::Records ReadRecords(const std::string& directory) {
  try {
    return storage::ReadOfflineStorage(directory);
  } catch (const storage::StorageError& error) {
    throw CommandError(kRefused, error.what());
  }
}

// Its own, or that of the data directory in which it lies.
std::string CoreDirectory(const std::string& directory) {
  const std::string inner = directory + "/core";
  return storage::StorageEmpty(directory) && !storage::StorageEmpty(inner) ? inner : directory;
}

using RecordsByKey = std::map<std::string, std::string, std::less<>>;

bool AreHosts(std::string_view bytes) {
  return service_registry::Decode(bytes, std::chrono::steady_clock::now()).has_value();
}

bool AreLeaves(std::string_view bytes) {
  const auto kept = registry_replication::Decode(bytes);
  return kept && AreHosts(kept->leaves);
}

// Throws for a record that is none of a core member's, and for hosts, leaves and gateways that can't be read.
void CheckRecords(const std::string& directory, const RecordsByKey& records) {
  for (const auto& [key, bytes] : records) {
    if (key == kLifeRecord || key == agreement::kStateKey || key == agreement::kValueKey) continue;
    if (key.starts_with(agreement::kPageKeyPrefix) || key.starts_with(coordination::kReplicaKeyPrefix))
      continue;
    if (key == agreement::kBootstrapKey) {
      if (!agreement::DecodeBootstrapState(bytes)) throw BadRecord(directory, "founding: can't be read");
      continue;
    }
    if (key == kHostsRecord) {
      if (!AreHosts(bytes)) throw BadRecord(directory, "hosts: can't be read");
    } else if (key == kLeavesRecord) {
      if (!AreLeaves(bytes)) throw BadRecord(directory, "leaves: can't be read");
    } else if (key == kGatewaysRecord) {
      if (std::uint32_t gateways = 0; !ParseNumber(bytes, gateways))
        throw BadRecord(directory, "gateways: not a number");
    } else {
      throw CommandError(kRefused, directory + ": a record that is none of ours, of " +
                                       std::to_string(key.size()) + " bytes of key");
    }
  }
}

std::optional<std::string> Find(const RecordsByKey& records, std::string_view key) {
  const auto found = records.find(key);
  return found != records.end() ? std::optional(found->second) : std::nullopt;
}

// The number of the disk's life; nullopt: not a life.
std::optional<std::uint64_t> ParseLife(const std::string& life) {
  const bool sized =
      life.size() == kLifeDigits || (life.size() == kLifeDigits + 1 && life.back() == kLifeOfBootstrap);
  if (!sized) return std::nullopt;
  std::uint64_t disk = 0;
  const char* const end = life.data() + kLifeDigits;
  if (std::from_chars(life.data(), end, disk, 16).ptr != end) return std::nullopt;
  return disk;
}

void CheckValue(const std::string& directory, const agreement::ConfigValue& value) {
  if (value.version == 0) return;
  try {
    if (policy::Policy::Read(value.text)->version() != value.version)
      throw BadRecord(directory, "value: the text has another version");
  } catch (const policy::PolicyError& error) {
    throw BadRecord(directory, std::string("value: ") + error.what());
  }
}

// The log and its snapshot, of the life that wrote them.
void CheckLog(const std::string& directory, std::uint64_t disk, const RecordsByKey& records) {
  const auto log =
      coordination::DecodeReplicaState(disk, [&](const std::string& key) { return Find(records, key); });
  coordination::StateMachine state({});
  if (!log || (!log->snapshot.empty() && !state.Restore(log->snapshot)))
    throw BadRecord(directory, "coordination: the log of locks, numbers and keys can't be read");
}

StoppedMember ReadMember(const std::string& told) {
  StoppedMember read;
  read.directory = CoreDirectory(told);
  read.records = ReadRecords(read.directory);
  const RecordsByKey records(read.records.begin(), read.records.end());
  CheckRecords(read.directory, records);
  const auto life = Find(records, kLifeRecord);
  if (!life) throw BadRecord(read.directory, "life: missing");
  const auto disk = ParseLife(*life);
  if (!disk) throw BadRecord(read.directory, "life: not a life");
  read.life = *life;
  auto state = agreement::DecodeState([&](const std::string& key) { return Find(records, key); });
  if (!state) throw BadRecord(read.directory, "state or value: can't be read");
  read.state = std::move(*state);
  for (const agreement::Member& member : read.state.membership.members)
    read.member = read.member || member.incarnation.number == *disk;
  CheckValue(read.directory, read.state.value);
  CheckLog(read.directory, *disk, records);
  return read;
}

void AddMembers(cJSON* list, const std::vector<agreement::Member>& members) {
  for (const agreement::Member& member : members)
    AddTo(list)
        .Text("name", member.incarnation.node)
        .Text("life", HexText(member.incarnation.number))
        .Text("address", member.address);
}

void AddDetails(Document& document, const StoppedMember& read) {
  const agreement::CoreState& state = read.state;
  AddMembers(document.List("roster"), state.membership.members);
  document.Number("promised_round", static_cast<double>(state.promised.round));
  if (state.accepted) AddMembers(document.List("accepted"), state.accepted->members);
  cJSON* records = document.List("records");
  for (const auto& [key, bytes] : read.records)
    AddTo(records).Text("key", key).Number("bytes", static_cast<double>(bytes.size()));
}

void PrintJson(const StoppedMember& read, bool detailed, std::ostream& out) {
  const agreement::CoreState& state = read.state;
  Document document;
  document.Text("directory", read.directory).Text("life", read.life).Flag("member", read.member);
  document.Number("epoch", static_cast<double>(state.membership.epoch));
  document.Flag("sealed", state.accepted.has_value());
  document.Number("version", static_cast<double>(state.value.version));
  if (detailed) AddDetails(document, read);
  out << document.Print(true);
}

void PrintSummary(const StoppedMember& read, std::ostream& out) {
  const agreement::CoreState& state = read.state;
  out << read.directory << ": good, " << read.records.size() << " records\n";
  out << "life " << read.life << ", epoch " << state.membership.epoch << ", member "
      << (read.member ? "yes" : "no") << ", sealed " << (state.accepted ? "yes" : "no") << ", version "
      << state.value.version << "\n";
}

void PrintDetails(const StoppedMember& read, std::ostream& out) {
  const agreement::CoreState& state = read.state;
  Table members({"name", "life", "address"});
  for (const agreement::Member& member : state.membership.members)
    members.Row({member.incarnation.node, HexText(member.incarnation.number), member.address});
  members.Print(out);
  out << "promised round " << state.promised.round << "\n";
  if (state.accepted) {
    out << "accepted successor, round " << state.accepted->ballot.round << ":";
    for (const agreement::Member& member : state.accepted->members) out << " " << member.incarnation.node;
    out << "\n";
  }
  Table records({"record", "bytes"});
  for (const auto& [key, bytes] : read.records) records.Row({key, std::to_string(bytes.size())});
  records.Print(out);
}

}  // namespace

void VerifyStorage(Session& session) {
  const StoppedMember read = ReadMember(session.argument());
  if (session.options().json) {
    PrintJson(read, false, session.out());
  } else {
    PrintSummary(read, session.out());
  }
}

void DumpStorage(Session& session) {
  const StoppedMember read = ReadMember(session.argument());
  if (session.options().json && session.options().keys) {
    const agreement::ConfigValue& value = read.state.value;
    if (value.version == 0) throw CommandError(kRefused, read.directory + ": holds no configuration");
    session.out() << value.text;
  } else if (session.options().json) {
    PrintJson(read, true, session.out());
  } else {
    PrintSummary(read, session.out());
    PrintDetails(read, session.out());
  }
}

}  // namespace curlewdoor::console
