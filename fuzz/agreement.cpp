// Messages of the core's members, and what a member keeps in its storage. The first byte tells which.
#include <algorithm>
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

void CheckMessage(std::string_view bytes) {
  const auto message = DecodeMessage(bytes);
  if (!message) return;
  CheckMembers({message->from});
  if (const auto* offer = std::get_if<Offer>(&message->body)) CheckMembers(offer->members);
  if (const auto* start = std::get_if<Start>(&message->body)) CheckMembers(start->members);
  if (const auto* accept = std::get_if<Accept>(&message->body)) CheckMembers(accept->members);
  if (const auto* store = std::get_if<Store>(&message->body))
    FUZZ_REQUIRE(store->value.text.size() <= kMostText);
  FUZZ_REQUIRE(DecodeMessage(Encode(*message)) == message);
}

void CheckRecords(const std::optional<std::string>& state, const std::optional<std::string>& value) {
  const auto read = DecodeState(state, value);
  if (!read) return;
  CheckMembers(read->roster.members);
  if (read->accepted) CheckMembers(read->accepted->members);
  FUZZ_REQUIRE(read->bound.size() <= kMostMembers);
  FUZZ_REQUIRE(DecodeState(EncodeState(*read), EncodeValue(read->value)) == read);
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
      return CheckRecords(rest, std::nullopt);
    case 'v':
      return CheckRecords(std::nullopt, rest);
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
