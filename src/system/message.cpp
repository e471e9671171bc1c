#include "system/message.hpp"

#include <algorithm>
#include <msgpack.hpp>

namespace curlewdoor::system {
namespace {

// The fields of each message, in the order on the wire.
auto Fields(Hello& m) { return std::tie(m.name, m.counted, m.fetches); }
auto Fields(Clock& m) { return std::tie(m.asked_us, m.told_us); }
auto Fields(Hosts& m) { return std::tie(m.batch); }
auto Fields(Refreshed& m) { return std::tie(m.beats); }
auto Fields(ReplicateHosts& m) { return std::tie(m.number, m.batch); }
auto Fields(HostsReplicated& m) {
  return std::tie(m.number, m.incarnation, m.epoch, m.complete_epoch, m.votes);
}
auto Fields(Put& m) { return std::tie(m.number, m.version, m.text); }
auto Fields(Get& m) { return std::tie(m.number); }
auto Fields(Done& m) { return std::tie(m.number, m.status, m.body); }
auto Fields(Config& m) { return std::tie(m.version, m.text); }
auto Fields(Members& m) { return std::tie(m.epoch, m.members, m.gateways); }
auto Fields(AddUnits& m) {
  return std::tie(m.number, m.tenant, m.count, m.lifetime_us, m.amount, m.clock_us, m.use, m.held_share,
                  m.window_began_us);
}
auto Fields(Total& m) { return std::tie(m.number, m.counted, m.total, m.share); }
auto Fields(CoreBytes& m) { return std::tie(m.bytes); }
auto Fields(Digest& m) { return std::tie(m.hosts); }
auto Fields(AskHosts& m) { return std::tie(m.number); }
auto Fields(FoundingBytes& m) { return std::tie(m.bytes); }
auto Fields(Announce& m) { return std::tie(m.epoch, m.version, m.digest); }
auto Fields(Fetch& m) {
  return std::tie(m.number, m.epoch, m.base_version, m.base_digest, m.version, m.digest, m.offset);
}
auto Fields(Fetched& m) {
  return std::tie(m.number, m.outcome, m.version, m.digest, m.size, m.offset, m.bytes);
}
auto Fields(RegistryQuery& m) { return std::tie(m.asked_us, m.epoch, m.watermark); }
auto Fields(RegistryAnswer& m) {
  return std::tie(m.asked_us, m.incarnation, m.epoch, m.complete_epoch, m.votes, m.watermark);
}

auto Fields(CoordinationBytes& m) { return std::tie(m.bytes); }
auto Fields(CoordinationCall& m) { return std::tie(m.number, m.call, m.proven_renewals); }
auto Fields(CoordinationReply& m) { return std::tie(m.number, m.reply); }
auto Fields(CoordinationLeader& m) { return std::tie(m.term, m.name); }
auto Fields(CoordinationForget& m) { return std::tie(m.number); }

// Fields that an earlier version doesn't send: they keep what they begin with.
template <typename Message>
constexpr std::size_t kLater = 0;
template <>
constexpr std::size_t kLater<Hello> = 1;
template <>
constexpr std::size_t kLater<RegistryQuery> = 1;
template <>
constexpr std::size_t kLater<RegistryAnswer> = 1;
template <>
constexpr std::size_t kLater<Members> = 1;
template <>
constexpr std::size_t kLater<HostsReplicated> = 4;
template <>
constexpr std::size_t kLater<AddUnits> = 3;
template <>
constexpr std::size_t kLater<Total> = 1;
template <>
constexpr std::size_t kLater<CoordinationCall> = 1;

template <typename T>
bool Sound(const T&) {
  return true;
}
bool Sound(std::int64_t micros) { return micros >= -kMostMicros && micros <= kMostMicros; }
bool Sound(double amount) { return amount >= -kMostAmount && amount <= kMostAmount; }  // not a NaN either

// The bytes of a message, packed without a copy.
class Sink {
 public:
  explicit Sink(std::size_t size) { bytes_.reserve(size); }
  void write(const char* at, std::size_t size) { bytes_.append(at, size); }
  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

constexpr std::size_t kUsualSize = 256;  // of a message but for its long text
template <typename T>
std::size_t TextIn(const T&) {
  return 0;
}
std::size_t TextIn(const std::string& text) { return text.size(); }

template <std::size_t kIndex>
std::optional<Message> Read(std::size_t kind, const msgpack::object& body) {
  if constexpr (kIndex == std::variant_size_v<Message>) {
    return std::nullopt;
  } else {
    if (kind != kIndex) return Read<kIndex + 1>(kind, body);
    std::variant_alternative_t<kIndex, Message> message;
    auto fields = Fields(message);
    constexpr std::size_t kFields = std::tuple_size_v<decltype(fields)>;
    constexpr std::size_t kLeast = kFields - kLater<std::variant_alternative_t<kIndex, Message>>;
    // More fields than are known here are a later minor version's.
    if (body.type != msgpack::type::ARRAY || body.via.array.size < kLeast) return std::nullopt;
    std::size_t at = 0;
    const auto take = [&](auto& each) {
      if (at < body.via.array.size) body.via.array.ptr[at].convert(each);
      ++at;
    };
    std::apply([&](auto&... each) { (take(each), ...); }, fields);
    if (!std::apply([](const auto&... each) { return (Sound(each) && ...); }, fields)) return std::nullopt;
    return Message(std::move(message));
  }
}

}  // namespace

std::string Encode(const Message& message) {
  return std::visit(
      [&](const auto& each) {
        auto fields = Fields(const_cast<std::remove_cvref_t<decltype(each)>&>(each));
        const std::size_t text =
            std::apply([](const auto&... field) { return (TextIn(field) + ... + 0); }, fields);
        Sink sink(kUsualSize + text);
        msgpack::packer<Sink> packer(sink);
        packer.pack_array(3);
        packer.pack(kLinkVersion);
        packer.pack(message.index());
        packer.pack_array(std::tuple_size_v<decltype(fields)>);
        std::apply([&](const auto&... field) { (packer.pack(field), ...); }, fields);
        return sink.Take();
      },
      message);
}

std::optional<Message> Decode(std::string_view bytes) {
  try {
    const msgpack::unpack_limit limit(std::min(2 * kMostRefreshed, bytes.size()), 16, bytes.size(),
                                      bytes.size(), 0, 8);
    std::size_t at = 0;
    // What is text stays in `bytes` until it is converted.
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), at, [](auto, std::size_t, void*) { return true; }, nullptr, limit);
    const msgpack::object& whole = handle.get();
    if (at != bytes.size() || whole.type != msgpack::type::ARRAY || whole.via.array.size < 3)
      return std::nullopt;
    if (whole.via.array.ptr[0].as<std::uint8_t>() != kLinkVersion) return std::nullopt;
    return Read<0>(whole.via.array.ptr[1].as<std::size_t>(), whole.via.array.ptr[2]);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

bool IsOfLaterKind(std::string_view bytes) {
  constexpr unsigned char kArray = 0x90,
                          kMostSmall = 0x7f;  // of msgpack: a short array, the largest byte number
  if (bytes.size() < 3) return false;
  const auto head = static_cast<unsigned char>(bytes[0]), kind = static_cast<unsigned char>(bytes[2]);
  return (head & 0xf0) == kArray && (head & 0x0f) >= 3 && bytes[1] == kLinkVersion &&
         kind >= std::variant_size_v<Message> && kind <= kMostSmall;
}

}  // namespace curlewdoor::system
