#include "agreement/codec.hpp"

#include <exception>
#include <msgpack.hpp>
#include <stdexcept>
#include <utility>

namespace curlewdoor::agreement {
namespace {

constexpr std::uint64_t kFormat = 1;

// Every struct is an array of its fields. Put() and Take() mirror each other. Fields of a later version stand
// behind and are passed over; what may not be passed over, in a message or in storage, needs another
// kFormat.
using Packer = msgpack::packer<msgpack::sbuffer>;

void Put(Packer& p, std::uint64_t value) { p.pack_uint64(value); }
void Put(Packer& p, std::uint32_t value) { p.pack_uint32(value); }
void Put(Packer& p, bool value) { value ? p.pack_true() : p.pack_false(); }
void Put(Packer& p, const std::string& text) {
  p.pack_bin(static_cast<std::uint32_t>(text.size()));
  p.pack_bin_body(text.data(), static_cast<std::uint32_t>(text.size()));
}
template <typename T>
void Put(Packer& p, const std::vector<T>& items);
template <typename T>
void Put(Packer& p, const std::optional<T>& item);
template <typename... T>
void PutAll(Packer& p, const T&... fields);

void Put(Packer& p, const Life& v) { PutAll(p, v.node, v.disk); }
void Put(Packer& p, const Member& v) { PutAll(p, v.life, v.address); }
void Put(Packer& p, const Value& v) { PutAll(p, v.version, v.text); }
void Put(Packer& p, const Rank& v) { PutAll(p, v.version, v.hash); }
void Put(Packer& p, const Ballot& v) { PutAll(p, v.round, v.tag); }
void Put(Packer& p, const Accepting& v) { PutAll(p, v.ballot, v.members); }
void Put(Packer& p, const Roster& v) { PutAll(p, v.epoch, v.members, v.first_size); }
void Put(Packer& p, const Offer& v) { PutAll(p, v.members); }
void Put(Packer& p, const OfferTaken& v) { PutAll(p, v.taken, v.never); }
void Put(Packer& p, const Start& v) { PutAll(p, v.members, v.first_size, v.value); }
void Put(Packer& p, const Store& v) { PutAll(p, v.value); }
void Put(Packer& p, const Stored& v) { PutAll(p, v.taken, v.held); }
void Put(Packer& p, const Ask& v) { PutAll(p, v.above, v.committed); }
void Put(Packer& p, const Told& v) { PutAll(p, v.sealed, v.kept, v.committed, v.value); }
void Put(Packer& p, const Prepare& v) { PutAll(p, v.ballot); }
void Put(Packer& p, const Promised& v) { PutAll(p, v.ok, v.ballot, v.accepted); }
void Put(Packer& p, const Accept& v) { PutAll(p, v.ballot, v.members, v.above); }
void Put(Packer& p, const Accepted& v) { PutAll(p, v.ok, v.ballot, v.value); }
void Put(Packer& p, const founding::Prepare& v) { PutAll(p, v.ballot); }
void Put(Packer& p, const founding::Promise& v) { PutAll(p, v.seed, v.asked, v.promised, v.accepted); }
void Put(Packer& p, const founding::Accept& v) { PutAll(p, v.ballot, v.members); }
void Put(Packer& p, const founding::Accepted& v) { PutAll(p, v.seed, v.asked, v.promised); }
void Put(Packer& p, const founding::Chosen& v) { PutAll(p, v.members); }

template <typename T>
void Put(Packer& p, const std::vector<T>& items) {
  p.pack_array(static_cast<std::uint32_t>(items.size()));
  for (const T& item : items) Put(p, item);
}
template <typename T>
void Put(Packer& p, const std::optional<T>& item) {
  if (item) {
    Put(p, *item);
  } else {
    p.pack_nil();
  }
}
template <typename... T>
void PutAll(Packer& p, const T&... fields) {
  p.pack_array(sizeof...(fields));
  (Put(p, fields), ...);
}

struct Foreign : std::runtime_error {
  Foreign() : std::runtime_error("foreign bytes") {}
};

using Object = msgpack::object;

void Take(const Object& o, std::uint64_t& value) {
  if (o.type != msgpack::type::POSITIVE_INTEGER) throw Foreign();
  value = o.via.u64;
}
void Take(const Object& o, std::uint32_t& value) {
  std::uint64_t wide = 0;
  Take(o, wide);
  if (wide > 0xffffffffu) throw Foreign();
  value = static_cast<std::uint32_t>(wide);
}
void Take(const Object& o, bool& value) {
  if (o.type != msgpack::type::BOOLEAN) throw Foreign();
  value = o.via.boolean;
}
void Take(const Object& o, std::string& text, std::size_t most = kMostName) {
  if (o.type != msgpack::type::BIN || o.via.bin.size > most) throw Foreign();
  text.assign(o.via.bin.ptr, o.via.bin.size);
}
template <typename T>
void Take(const Object& o, std::vector<T>& items);
template <typename T>
void Take(const Object& o, std::optional<T>& item);
template <typename... T>
void TakeAll(const Object& o, T&... fields);

void Take(const Object& o, Life& v) { TakeAll(o, v.node, v.disk); }
void Take(const Object& o, Member& v) { TakeAll(o, v.life, v.address); }
void Take(const Object& o, Value& v) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size < 2) throw Foreign();
  Take(o.via.array.ptr[0], v.version);
  Take(o.via.array.ptr[1], v.text, kMostText);
}
void Take(const Object& o, Rank& v) { TakeAll(o, v.version, v.hash); }
void Take(const Object& o, Ballot& v) { TakeAll(o, v.round, v.tag); }
void Take(const Object& o, Accepting& v) { TakeAll(o, v.ballot, v.members); }
void Take(const Object& o, Roster& v) { TakeAll(o, v.epoch, v.members, v.first_size); }
void Take(const Object& o, Offer& v) { TakeAll(o, v.members); }
void Take(const Object& o, OfferTaken& v) { TakeAll(o, v.taken, v.never); }
void Take(const Object& o, Start& v) { TakeAll(o, v.members, v.first_size, v.value); }
void Take(const Object& o, Store& v) { TakeAll(o, v.value); }
void Take(const Object& o, Stored& v) { TakeAll(o, v.taken, v.held); }
void Take(const Object& o, Ask& v) { TakeAll(o, v.above, v.committed); }
void Take(const Object& o, Told& v) { TakeAll(o, v.sealed, v.kept, v.committed, v.value); }
void Take(const Object& o, Prepare& v) { TakeAll(o, v.ballot); }
void Take(const Object& o, Promised& v) { TakeAll(o, v.ok, v.ballot, v.accepted); }
void Take(const Object& o, Accept& v) { TakeAll(o, v.ballot, v.members, v.above); }
void Take(const Object& o, Accepted& v) { TakeAll(o, v.ok, v.ballot, v.value); }
void Take(const Object& o, founding::Prepare& v) { TakeAll(o, v.ballot); }
void Take(const Object& o, founding::Promise& v) { TakeAll(o, v.seed, v.asked, v.promised, v.accepted); }
void Take(const Object& o, founding::Accept& v) { TakeAll(o, v.ballot, v.members); }
void Take(const Object& o, founding::Accepted& v) { TakeAll(o, v.seed, v.asked, v.promised); }
void Take(const Object& o, founding::Chosen& v) { TakeAll(o, v.members); }

template <typename T>
void Take(const Object& o, std::vector<T>& items) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size > kMostMembers) throw Foreign();
  items.resize(o.via.array.size);
  for (std::uint32_t i = 0; i < o.via.array.size; ++i) Take(o.via.array.ptr[i], items[i]);
}
template <typename T>
void Take(const Object& o, std::optional<T>& item) {
  if (o.is_nil()) {
    item.reset();
  } else {
    Take(o, item.emplace());
  }
}
template <typename... T>
void TakeAll(const Object& o, T&... fields) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size < sizeof...(fields)) throw Foreign();
  const Object* next = o.via.array.ptr;
  (Take(*next++, fields), ...);
}

template <typename AnyBody, std::size_t... I>
void TakeBody(const Object& o, std::uint64_t kind, AnyBody& body, std::index_sequence<I...>) {
  bool known = ((kind == I && (Take(o, body.template emplace<I>()), true)) || ...);
  if (!known) throw Foreign();
}

// A first pass that allocates nothing: no more items than any message of ours has, and of our kinds alone.
struct Scan : msgpack::null_visitor {
  std::uint32_t items = 0;
  bool start_array(std::uint32_t count) {
    items += count <= kMostMembers ? count : kMostItems;
    return items < kMostItems;
  }
  bool start_map(std::uint32_t) { return false; }
  bool visit_str(const char*, std::uint32_t) { return false; }
  bool visit_ext(const char*, std::uint32_t) { return false; }
  static constexpr std::uint32_t kMostItems = 1024;
};

// Strings stay where they are in `bytes`.
msgpack::object_handle Unpack(std::string_view bytes) {
  std::size_t end = 0;
  Scan scan;
  if (!msgpack::parse(bytes.data(), bytes.size(), end, scan) || end != bytes.size()) throw Foreign();
  end = 0;
  auto handle = msgpack::unpack(
      bytes.data(), bytes.size(), end, [](msgpack::type::object_type, std::size_t, void*) { return true; },
      nullptr, msgpack::unpack_limit(kMostMembers + 1, 0, 0, kMostText, 0, 12));
  if (end != bytes.size()) throw Foreign();
  return handle;
}

std::string Text(const msgpack::sbuffer& buffer) { return {buffer.data(), buffer.size()}; }

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer buffer(256);
  Packer p(buffer);
  p.pack_array(6);
  Put(p, kFormat);
  Put(p, message.from);
  Put(p, message.id);
  Put(p, message.epoch);
  Put(p, static_cast<std::uint64_t>(message.body.index()));
  std::visit([&p](const auto& body) { Put(p, body); }, message.body);
  return Text(buffer);
}

std::optional<Message> DecodeMessage(std::string_view bytes) try {
  auto handle = Unpack(bytes);
  const Object& o = handle.get();
  if (o.type != msgpack::type::ARRAY || o.via.array.size < 6) return std::nullopt;
  const Object* field = o.via.array.ptr;
  std::uint64_t format = 0, kind = 0;
  Message message;
  Take(field[0], format);
  if (format != kFormat) return std::nullopt;
  Take(field[1], message.from);
  Take(field[2], message.id);
  Take(field[3], message.epoch);
  Take(field[4], kind);
  TakeBody(field[5], kind, message.body, std::make_index_sequence<std::variant_size_v<Body>>());
  return message;
} catch (const std::exception&) {
  return std::nullopt;
}

std::string EncodeState(const State& state) {
  msgpack::sbuffer buffer(256);
  Packer p(buffer);
  PutAll(p, kFormat, state.roster, state.promised, state.accepted, state.bound);
  return Text(buffer);
}

std::string EncodeValue(const Value& value) {
  msgpack::sbuffer buffer(64 + value.text.size());
  Packer p(buffer);
  PutAll(p, kFormat, value);
  return Text(buffer);
}

std::optional<State> DecodeState(const std::optional<std::string>& state,
                                 const std::optional<std::string>& value) try {
  State result;
  std::uint64_t format = kFormat;
  if (state) {
    auto handle = Unpack(*state);
    TakeAll(handle.get(), format, result.roster, result.promised, result.accepted, result.bound);
    if (format != kFormat) return std::nullopt;
  }
  if (value) {
    auto handle = Unpack(*value);
    TakeAll(handle.get(), format, result.value);
    if (format != kFormat) return std::nullopt;
  }
  return result;
} catch (const std::exception&) {
  return std::nullopt;
}

std::string Encode(const founding::Message& message) {
  msgpack::sbuffer buffer(256);
  Packer p(buffer);
  p.pack_array(4);
  Put(p, kFormat);
  Put(p, message.electorate);
  Put(p, static_cast<std::uint64_t>(message.body.index()));
  std::visit([&p](const auto& body) { Put(p, body); }, message.body);
  return Text(buffer);
}

std::optional<founding::Message> DecodeFounding(std::string_view bytes) try {
  auto handle = Unpack(bytes);
  const Object& o = handle.get();
  if (o.type != msgpack::type::ARRAY || o.via.array.size < 4) return std::nullopt;
  const Object* field = o.via.array.ptr;
  std::uint64_t format = 0, kind = 0;
  founding::Message message;
  Take(field[0], format);
  if (format != kFormat) return std::nullopt;
  Take(field[1], message.electorate);
  Take(field[2], kind);
  constexpr auto kKinds = std::variant_size_v<founding::Body>;
  TakeBody(field[3], kind, message.body, std::make_index_sequence<kKinds>());
  return message;
} catch (const std::exception&) {
  return std::nullopt;
}

std::string EncodeFoundingState(const founding::State& state) {
  msgpack::sbuffer buffer(256);
  Packer p(buffer);
  PutAll(p, kFormat, state.electorate, state.promised, state.accepted);
  return Text(buffer);
}

std::optional<founding::State> DecodeFoundingState(std::string_view bytes) try {
  founding::State state;
  std::uint64_t format = kFormat;
  auto handle = Unpack(bytes);
  TakeAll(handle.get(), format, state.electorate, state.promised, state.accepted);
  if (format != kFormat) return std::nullopt;
  return state;
} catch (const std::exception&) {
  return std::nullopt;
}

}  // namespace curlewdoor::agreement
