#include "system/founding_host.hpp"

#include <utility>

#include "agreement/codec.hpp"
#include "events/events.hpp"
#include "system/message.hpp"

namespace curlewdoor::system {
namespace {

agreement::bootstrap::BootstrapOptions OptionsOf(std::size_t least_members) {
  agreement::bootstrap::BootstrapOptions options;
  options.min_members = least_members;
  return options;
}

std::string BytesOf(const agreement::bootstrap::BootstrapMessage& message) {
  return Encode(FoundingBytes{agreement::Encode(message)});
}

}  // namespace

FoundingHost::FoundingHost(Link& link, Owner& owner, const Address& self,
                           agreement::bootstrap::BootstrapState state, bool durable,
                           std::size_t least_members, std::uint64_t seed)
    : link_(link),
      owner_(owner),
      self_(self),
      founding_(self.ip, std::move(state), durable, OptionsOf(least_members), seed) {}

agreement::bootstrap::BootstrapState FoundingHost::FirstState(const settings::NodeSettings& settings) {
  std::vector<std::uint32_t> seeds;
  for (const Address& seed : settings.seed_nodes) seeds.push_back(seed.ip);
  return {agreement::bootstrap::MakeAcceptorSet(seeds, settings.ip_address), {}, {}};
}

void FoundingHost::SetCandidate(agreement::Member self) { founding_.SetCandidate(Now(), std::move(self)); }

void FoundingHost::OnBytes(Link::Stream& from, std::string_view bytes) {
  const auto message = agreement::DecodeBootstrap(bytes);
  if (!message) return events::Say(events::Event::kMessageRefused, "of the first start");
  agreement::bootstrap::BootstrapOutput out;
  founding_.OnMessage(Now(), from.number, *message, out);
  Carry(std::move(out));
}

void FoundingHost::OnWritten(bool ok) {
  agreement::bootstrap::BootstrapOutput out;
  founding_.OnWritten(Now(), ok, out);
  Carry(std::move(out));
}

void FoundingHost::Tick() {
  agreement::bootstrap::BootstrapOutput out;
  founding_.Tick(Now(), out);
  Carry(std::move(out));
}

void FoundingHost::AddTargets(std::vector<Address>& targets) const {
  if (!founding_.proposes()) return;
  for (const std::uint32_t seed : founding_.state().acceptors)
    if (seed != self_.ip) targets.push_back(LinkOf(seed));
}

void FoundingHost::Carry(agreement::bootstrap::BootstrapOutput out) {
  for (const auto& [seed, message] : out.requests) Send(LinkOf(seed), message);
  for (const auto& [stream, message] : out.replies) Reply(stream, message);
  for (const auto& [member, message] : out.announcements)
    if (const auto address = ParseAddress(member.address)) Send(*address, message);
  if (out.write && !owner_.KeepFounding(agreement::EncodeBootstrapState(*out.write))) OnWritten(false);
  if (out.chosen_members) owner_.OnFounded(std::move(*out.chosen_members));
}

void FoundingHost::Send(const Address& to, const agreement::bootstrap::BootstrapMessage& message) {
  if (Link::Stream* stream = link_.To(to)) stream->Send(BytesOf(message));
}

void FoundingHost::Reply(std::uint64_t stream, const agreement::bootstrap::BootstrapMessage& message) {
  link_.ForEach([&](Link::Stream& each) {
    if (each.number == stream) each.Send(BytesOf(message));
  });
}

}  // namespace curlewdoor::system
