// Messages of the core's members, and what a member keeps in its storage. The first byte tells which.
#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "agreement/codec.hpp"
#include "target.hpp"

namespace curlewdoor::agreement {
namespace {

void CheckMembers(const std::vector<Member>& members) {
  FUZZ_REQUIRE(members.size() <= kMaxMembers);
  for (const Member& member : members)
    FUZZ_REQUIRE(member.incarnation.node.size() <= kMaxNameBytes && member.address.size() <= kMaxNameBytes);
}

void CheckRecord(const Record& record) {
  FUZZ_REQUIRE(record.value.text.size() <= kMaxTextBytes);
  FUZZ_REQUIRE(record.outcome_log.entries.size() <= kMaxOutcomes);
}

void CheckMessage(std::string_view bytes) {
  const auto message = DecodeMessage(bytes);
  if (!message) return;
  CheckMembers({message->from});
  if (const auto* offer = std::get_if<MembershipOffer>(&message->body)) CheckMembers(offer->members);
  if (const auto* install = std::get_if<InstallEpoch>(&message->body)) CheckMembers(install->members);
  if (const auto* accept = std::get_if<EpochAccept>(&message->body)) CheckMembers(accept->members);
  if (const auto* accept = std::get_if<RegisterAccept>(&message->body)) {
    FUZZ_REQUIRE(accept->added_outcomes.size() <= kMaxOutcomesPerBallot);
    if (accept->value) FUZZ_REQUIRE(accept->value->text.size() <= kMaxTextBytes);
  }
  if (const auto* fetched = std::get_if<RecordReply>(&message->body)) CheckRecord(fetched->record);
  FUZZ_REQUIRE(DecodeMessage(Encode(*message)) == message);
}

void CheckRecords(const ReadRecord& read_record) {
  const auto read = DecodeState(read_record);
  if (!read) return;
  CheckMembers(read->membership.members);
  if (read->accepted) CheckMembers(read->accepted->members);
  FUZZ_REQUIRE(read->accepted_proposers.size() <= kMaxMembers);
  FUZZ_REQUIRE(read->outcome_log.entries.size() <= kMaxOutcomes);
  std::map<std::string, std::string> written;
  for (auto& [key, bytes] : EncodeAll(*read)) written[key] = bytes;
  const auto again = DecodeState([&](const std::string& key) -> std::optional<std::string> {
    const auto found = written.find(key);
    return found == written.end() ? std::nullopt : std::optional(found->second);
  });
  FUZZ_REQUIRE(again == read);
}

// Every page is the given one.
void CheckPages(const std::string& page) {
  CoreState state;
  for (std::uint64_t version = 1; version <= kOutcomesPerPage; ++version)
    state.outcome_log.Append({version, {}, true});
  CheckRecords([&](const std::string& key) -> std::optional<std::string> {
    if (key == kStateKey) return EncodeState(state);
    return key == kValueKey ? std::nullopt : std::optional(page);
  });
}

void CheckBootstrap(std::string_view bytes) {
  const auto message = DecodeBootstrap(bytes);
  if (!message) return;
  FUZZ_REQUIRE(message->acceptors.size() <= bootstrap::kMaxSeeds);
  if (const auto* accept = std::get_if<bootstrap::BootstrapAccept>(&message->body))
    CheckMembers(accept->members);
  if (const auto* chosen = std::get_if<bootstrap::BootstrapChosen>(&message->body))
    CheckMembers(chosen->members);
  FUZZ_REQUIRE(DecodeBootstrap(Encode(*message)) == message);
}

void CheckBootstrapState(std::string_view bytes) {
  const auto state = DecodeBootstrapState(bytes);
  if (state) FUZZ_REQUIRE(DecodeBootstrapState(EncodeBootstrapState(*state)) == state);
}

}  // namespace

void Check(std::string_view bytes) {
  if (bytes.empty()) return;
  const std::string rest(bytes.substr(1));
  switch (bytes[0]) {
    case 'm':
      return CheckMessage(rest);
    case 's':
    case 'v':
      return CheckRecords([&](const std::string& key) -> std::optional<std::string> {
        return key == (bytes[0] == 's' ? kStateKey : kValueKey) ? std::optional(rest) : std::nullopt;
      });
    case 'p':
      return CheckPages(rest);
    case 'f':
      return CheckBootstrap(rest);
    case 'g':
      return CheckBootstrapState(rest);
    default:
      return;
  }
}

}  // namespace curlewdoor::agreement

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  curlewdoor::agreement::Check(curlewdoor::fuzz::View(data, size));
  return 0;
}
