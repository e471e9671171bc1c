#include "handover/frames.hpp"

#include <cstring>

#include "util/bytes.hpp"

namespace curlewdoor::handover {
namespace {

constexpr std::size_t kHead = 5;

// One list of fields for both ways.
template <typename Codec>
void Fields(Codec& codec, PassedClient& client) {
  codec(client.age, client.served_any, client.continued, client.read);
}
template <typename Codec>
void Fields(Codec& codec, PassedLink& link) {
  codec(link.host, link.address.ip, link.address.port, link.idle);
}
template <typename Codec>
void Fields(Codec& codec, PassedStream& stream) {
  codec(stream.request_class, stream.chunked, stream.close_after, stream.read, stream.written);
}
template <typename Codec>
void Fields(Codec& codec, PassedStreamLink& link) {
  codec(link.host, link.address.ip, link.address.port, link.rest);
}
template <typename Codec>
void Fields(Codec& codec, HostId& host) {
  codec(host);
}

template <typename Value>
std::string Write(Value value) {
  Writer writer;
  Fields(writer, value);
  return writer.bytes;
}
template <typename Value>
std::optional<Value> Read(std::string_view payload) {
  Value value;
  Reader reader(payload);
  Fields(reader, value);
  return reader.done() ? std::optional(value) : std::nullopt;
}

}  // namespace

std::string Encode(Kind kind, std::string_view payload) {
  std::string frame(kHead, static_cast<char>(kind));
  const auto size = static_cast<std::uint32_t>(payload.size());
  std::memcpy(frame.data(), &size, sizeof size);
  return frame.append(payload);
}

std::optional<Frame> TakeFrame(std::string& bytes, bool& broken) {
  if (bytes.size() < kHead) return std::nullopt;
  std::uint32_t size = 0;
  std::memcpy(&size, bytes.data(), sizeof size);
  const auto kind = static_cast<std::uint8_t>(bytes[4]);
  broken = size > kMostFrame || kind < 1 || kind > kLastKind;
  if (broken || bytes.size() < kHead + size) return std::nullopt;
  Frame frame{static_cast<Kind>(kind), bytes.substr(kHead, size)};
  bytes.erase(0, kHead + size);
  return frame;
}

std::string Encode(const PassedClient& client) { return Write(client); }
std::string Encode(const PassedLink& link) { return Write(link); }
std::string Encode(const PassedStream& stream) { return Write(stream); }
std::string Encode(const PassedStreamLink& link) { return Write(link); }
std::string Encode(HostId host) { return Write(host); }

std::optional<PassedClient> DecodeClient(std::string_view payload) {
  auto client = Read<PassedClient>(payload);
  return client && client->age >= Duration::zero() ? client : std::nullopt;
}

std::optional<PassedLink> DecodeLink(std::string_view payload) {
  auto link = Read<PassedLink>(payload);
  return link && link->idle >= Duration::zero() ? link : std::nullopt;
}

std::optional<PassedStream> DecodeStream(std::string_view payload) { return Read<PassedStream>(payload); }
std::optional<PassedStreamLink> DecodeStreamLink(std::string_view payload) {
  return Read<PassedStreamLink>(payload);
}
std::optional<HostId> DecodeHost(std::string_view payload) { return Read<HostId>(payload); }

}  // namespace curlewdoor::handover
