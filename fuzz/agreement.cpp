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
  FUZZ_REQUIRE(members.size() <= kMostMembers);
  for (const Member& member : members)
    FUZZ_REQUIRE(member.life.node.size() <= kMostName && member.address.size() <= kMostName);
}

void CheckRecord(const Record& record) {
  FUZZ_REQUIRE(record.value.text.size() <= kMostText);
  FUZZ_REQUIRE(record.ledger.entries.size() <= kOutcomesKept);
}

void CheckMessage(std::string_view bytes) {
  const auto message = DecodeMessage(bytes);
  if (!message) return;
  CheckMembers({message->from});
  if (const auto* offer = std::get_if<Offer>(&message->body)) CheckMembers(offer->members);
  if (const auto* install = std::get_if<InstallEpoch>(&message->body)) CheckMembers(install->members);
  if (const auto* accept = std::get_if<AcceptEpoch>(&message->body)) CheckMembers(accept->members);
  if (const auto* accept = std::get_if<Accept>(&message->body)) {
    FUZZ_REQUIRE(accept->added.size() <= kMostAdded);
    if (accept->value) FUZZ_REQUIRE(accept->value->text.size() <= kMostText);
  }
  if (const auto* fetched = std::get_if<Fetched>(&message->body)) CheckRecord(fetched->record);
  FUZZ_REQUIRE(DecodeMessage(Encode(*message)) == message);
}

void CheckRecords(const ReadRecord& read_record) {
  const auto read = DecodeState(read_record);
  if (!read) return;
  CheckMembers(read->roster.members);
  if (read->accepted) CheckMembers(read->accepted->members);
  FUZZ_REQUIRE(read->bound.size() <= kMostMembers);
  FUZZ_REQUIRE(read->ledger.entries.size() <= kOutcomesKept);
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
  State state;
  for (std::uint64_t version = 1; version <= kOutcomesPerPage; ++version)
    state.ledger.Append({version, {}, true});
  CheckRecords([&](const std::string& key) -> std::optional<std::string> {
    if (key == kStateKey) return EncodeState(state);
    return key == kValueKey ? std::nullopt : std::optional(page);
  });
}

void CheckFounding(std::string_view bytes) {
  const auto message = DecodeFounding(bytes);
  if (!message) return;
  FUZZ_REQUIRE(message->electorate.size() <= founding::kMostSeeds);
  if (const auto* accept = std::get_if<founding::Accept>(&message->body)) CheckMembers(accept->members);
  if (const auto* chosen = std::get_if<founding::Chosen>(&message->body)) CheckMembers(chosen->members);
  FUZZ_REQUIRE(DecodeFounding(Encode(*message)) == message);
}

void CheckFoundingState(std::string_view bytes) {
  const auto state = DecodeFoundingState(bytes);
  if (state) FUZZ_REQUIRE(DecodeFoundingState(EncodeFoundingState(*state)) == state);
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
      return CheckFounding(rest);
    case 'g':
      return CheckFoundingState(rest);
    default:
      return;
  }
}

}  // namespace curlewdoor::agreement

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  curlewdoor::agreement::Check(curlewdoor::fuzz::View(data, size));
  return 0;
}
