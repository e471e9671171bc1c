#include "agreement/codec.hpp"

#include <algorithm>
#include <exception>
#include <msgpack.hpp>
#include <stdexcept>
#include <utility>

namespace curlewdoor::agreement {
namespace {

// Of messages. 1: a register of the highest value; such a process and this one refuse each other's messages.
constexpr std::uint64_t kMessageFormat = 2;
// Of records on the disk. 1: without ballots and outcomes; still read.
constexpr std::uint64_t kFirstFormat = 1, kFormat = 2;
constexpr std::uint64_t kFoundingFormat = 1;                     // of the first start, messages and records
constexpr std::size_t kOutcomeBytes = 25;                        // of one outcome of an order
constexpr std::uint64_t kMostSequence = std::uint64_t{1} << 60;  // no core lives so long
constexpr std::uint64_t kPageSlots = kOutcomesKept / kOutcomesPerPage + 2;

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

void Put(Packer& p, const std::vector<OrderOutcome>& outcomes);

void Put(Packer& p, const Life& v) { PutAll(p, v.node, v.disk); }
void Put(Packer& p, const Member& v) { PutAll(p, v.life, v.address); }
void Put(Packer& p, const Value& v) { PutAll(p, v.version, v.text); }
void Put(Packer& p, const Ballot& v) { PutAll(p, v.round, v.tag); }
void Put(Packer& p, const Stamp& v) { PutAll(p, v.epoch, v.ballot); }
void Put(Packer& p, const Ledger& v) { PutAll(p, v.first, v.forgotten_below, v.entries); }
void Put(Packer& p, const Record& v) { PutAll(p, v.value, v.ledger); }
void Put(Packer& p, const Accepting& v) { PutAll(p, v.ballot, v.members); }
void Put(Packer& p, const Roster& v) { PutAll(p, v.epoch, v.members, v.first_size); }
void Put(Packer& p, const Offer& v) { PutAll(p, v.members); }
void Put(Packer& p, const OfferTaken& v) { PutAll(p, v.taken, v.never); }
void Put(Packer& p, const InstallEpoch& v) { PutAll(p, v.members, v.first_size, v.stamp, v.record); }
void Put(Packer& p, const Query& v) { PutAll(p, v.committed); }
void Put(Packer& p, const QueryReply& v) { PutAll(p, v.sealed, v.installed, v.held, v.committed); }
void Put(Packer& p, const Fetch& v) { PutAll(p, v.stamp); }
void Put(Packer& p, const Fetched& v) { PutAll(p, v.stamp, v.chosen, v.record); }
void Put(Packer& p, const Prepare& v) { PutAll(p, v.ballot); }
void Put(Packer& p, const founding::Prepare& v) { PutAll(p, v.ballot); }
void Put(Packer& p, const founding::Promise& v) { PutAll(p, v.seed, v.asked, v.promised, v.accepted); }
void Put(Packer& p, const founding::Accept& v) { PutAll(p, v.ballot, v.members); }
void Put(Packer& p, const founding::Accepted& v) { PutAll(p, v.seed, v.asked, v.promised); }
void Put(Packer& p, const founding::Chosen& v) { PutAll(p, v.members); }
void Put(Packer& p, const Promised& v) { PutAll(p, v.ok, v.promised, v.held); }
void Put(Packer& p, const Accept& v) { PutAll(p, v.ballot, v.base, v.added, v.value, v.whole); }
void Put(Packer& p, const Accepted& v) { PutAll(p, v.ok, v.needs_whole, v.promised); }
void Put(Packer& p, const PrepareEpoch& v) { PutAll(p, v.ballot); }
void Put(Packer& p, const EpochPromised& v) { PutAll(p, v.ok, v.ballot, v.accepted); }
void Put(Packer& p, const AcceptEpoch& v) { PutAll(p, v.ballot, v.members); }
void Put(Packer& p, const EpochAccepted& v) { PutAll(p, v.ok, v.ballot, v.held); }

void PutWord(std::string& bytes, std::uint64_t word) {
  for (int i = 0; i < 8; ++i) bytes.push_back(static_cast<char>(word >> (8 * i)));
}
// In one string: a ledger is of thousands.
std::string BytesOf(const OrderOutcome* outcomes, std::size_t count) {
  std::string bytes;
  bytes.reserve(count * kOutcomeBytes);
  for (const OrderOutcome* each = outcomes; each != outcomes + count; ++each) {
    PutWord(bytes, each->version);
    PutWord(bytes, each->digest.high);
    PutWord(bytes, each->digest.low);
    bytes.push_back(each->took_effect ? 1 : 0);
  }
  return bytes;
}
void Put(Packer& p, const std::vector<OrderOutcome>& outcomes) {
  Put(p, BytesOf(outcomes.data(), outcomes.size()));
}

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

void Take(const Object& o, std::vector<OrderOutcome>& outcomes);

void Take(const Object& o, Life& v) { TakeAll(o, v.node, v.disk); }
void Take(const Object& o, Member& v) { TakeAll(o, v.life, v.address); }
void Take(const Object& o, Value& v) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size < 2) throw Foreign();
  Take(o.via.array.ptr[0], v.version);
  Take(o.via.array.ptr[1], v.text, kMostText);
}
void Take(const Object& o, Ballot& v) { TakeAll(o, v.round, v.tag); }
void Take(const Object& o, Stamp& v) { TakeAll(o, v.epoch, v.ballot); }
void Take(const Object& o, Ledger& v) {
  TakeAll(o, v.first, v.forgotten_below, v.entries);
  if (v.first > kMostSequence) throw Foreign();
}
void Take(const Object& o, Record& v) {
  TakeAll(o, v.value, v.ledger);
  v = RecordOf(std::move(v.value), std::move(v.ledger));
}
void Take(const Object& o, Accepting& v) { TakeAll(o, v.ballot, v.members); }
void Take(const Object& o, Roster& v) { TakeAll(o, v.epoch, v.members, v.first_size); }
void Take(const Object& o, Offer& v) { TakeAll(o, v.members); }
void Take(const Object& o, OfferTaken& v) { TakeAll(o, v.taken, v.never); }
void Take(const Object& o, InstallEpoch& v) { TakeAll(o, v.members, v.first_size, v.stamp, v.record); }
void Take(const Object& o, Query& v) { TakeAll(o, v.committed); }
void Take(const Object& o, QueryReply& v) { TakeAll(o, v.sealed, v.installed, v.held, v.committed); }
void Take(const Object& o, Fetch& v) { TakeAll(o, v.stamp); }
void Take(const Object& o, Fetched& v) { TakeAll(o, v.stamp, v.chosen, v.record); }
void Take(const Object& o, Prepare& v) { TakeAll(o, v.ballot); }
void Take(const Object& o, founding::Prepare& v) { TakeAll(o, v.ballot); }
void Take(const Object& o, founding::Promise& v) { TakeAll(o, v.seed, v.asked, v.promised, v.accepted); }
void Take(const Object& o, founding::Accept& v) { TakeAll(o, v.ballot, v.members); }
void Take(const Object& o, founding::Accepted& v) { TakeAll(o, v.seed, v.asked, v.promised); }
void Take(const Object& o, founding::Chosen& v) { TakeAll(o, v.members); }
void Take(const Object& o, Promised& v) { TakeAll(o, v.ok, v.promised, v.held); }
void Take(const Object& o, Accept& v) {
  TakeAll(o, v.ballot, v.base, v.added, v.value, v.whole);
  if (v.added.size() > kMostAdded) throw Foreign();
}
void Take(const Object& o, Accepted& v) { TakeAll(o, v.ok, v.needs_whole, v.promised); }
void Take(const Object& o, PrepareEpoch& v) { TakeAll(o, v.ballot); }
void Take(const Object& o, EpochPromised& v) { TakeAll(o, v.ok, v.ballot, v.accepted); }
void Take(const Object& o, AcceptEpoch& v) { TakeAll(o, v.ballot, v.members); }
void Take(const Object& o, EpochAccepted& v) { TakeAll(o, v.ok, v.ballot, v.held); }

std::uint64_t WordAt(const char* bytes) {
  std::uint64_t word = 0;
  for (int i = 0; i < 8; ++i)
    word |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  return word;
}
void Take(const Object& o, std::vector<OrderOutcome>& outcomes) {
  if (o.type != msgpack::type::BIN || o.via.bin.size > kOutcomesKept * kOutcomeBytes) throw Foreign();
  if (o.via.bin.size % kOutcomeBytes != 0) throw Foreign();
  outcomes.resize(o.via.bin.size / kOutcomeBytes);
  const char* at = o.via.bin.ptr;
  for (OrderOutcome& each : outcomes) {
    if (at[24] != 0 && at[24] != 1) throw Foreign();
    each = {WordAt(at), {WordAt(at + 8), WordAt(at + 16)}, at[24] == 1};
    at += kOutcomeBytes;
  }
}

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
  Put(p, kMessageFormat);
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
  if (format != kMessageFormat) return std::nullopt;
  Take(field[1], message.from);
  Take(field[2], message.id);
  Take(field[3], message.epoch);
  Take(field[4], kind);
  TakeBody(field[5], kind, message.body, std::make_index_sequence<std::variant_size_v<Body>>());
  return message;
} catch (const std::exception&) {
  return std::nullopt;
}

std::string EncodeState(const State& state, const Ledger& ledger) {
  msgpack::sbuffer buffer(256);
  Packer p(buffer);
  const std::uint64_t end = ledger.end();
  PutAll(p, kFormat, state.roster, state.promised, state.accepted, state.bound, state.register_promised,
         state.stamp, ledger.first, end, ledger.forgotten_below);
  return Text(buffer);
}

std::string EncodeValue(const Value& value) {
  msgpack::sbuffer buffer(64 + value.text.size());
  Packer p(buffer);
  PutAll(p, kFirstFormat, value);  // as ever
  return Text(buffer);
}

std::string PageKey(std::uint64_t page) { return kPageKeys + std::to_string(page % kPageSlots); }

std::string EncodePage(const Ledger& ledger, std::uint64_t page) {
  const std::uint64_t begin = std::max(ledger.first, page * kOutcomesPerPage);
  const std::uint64_t end = std::min(ledger.end(), (page + 1) * kOutcomesPerPage);
  msgpack::sbuffer buffer(64 + kOutcomesPerPage * kOutcomeBytes);
  Packer p(buffer);
  PutAll(p, kFirstFormat, begin, BytesOf(ledger.entries.data() + (begin - ledger.first), end - begin));
  return Text(buffer);
}

std::vector<std::pair<std::string, std::string>> EncodePages(const Ledger& ledger, std::uint64_t from) {
  std::vector<std::pair<std::string, std::string>> pages;
  const std::uint64_t begin = std::max(from, ledger.first), end = ledger.end();
  for (std::uint64_t page = begin / kOutcomesPerPage; page * kOutcomesPerPage < end; ++page)
    pages.emplace_back(PageKey(page), EncodePage(ledger, page));
  return pages;
}

std::vector<std::pair<std::string, std::string>> EncodeAll(const State& state) {
  auto records = EncodePages(state.ledger, state.ledger.first);
  records.emplace_back(kStateKey, EncodeState(state, state.ledger));
  records.emplace_back(kValueKey, EncodeValue(state.value));
  return records;
}

namespace {

// What a page holds of the outcomes from `begin` to below `end`. It may hold some before `begin`: it was
// written when they were still kept.
void TakePage(std::string_view bytes, std::uint64_t begin, std::uint64_t end, Ledger& ledger) {
  auto handle = Unpack(bytes);
  std::uint64_t format = 0, first = 0;
  std::vector<OrderOutcome> outcomes;
  TakeAll(handle.get(), format, first, outcomes);
  if (format != kFirstFormat || first > begin || first + outcomes.size() < end) throw Foreign();
  for (std::uint64_t at = begin; at < end; ++at) ledger.entries.push_back(outcomes[at - first]);
}

void TakePages(const ReadRecord& read, std::uint64_t end, Ledger& ledger) {
  if (ledger.first > kMostSequence || end < ledger.first || end - ledger.first > kOutcomesKept)
    throw Foreign();
  for (std::uint64_t at = ledger.first; at < end;) {
    const std::uint64_t page = at / kOutcomesPerPage;
    const std::uint64_t next = std::min(end, (page + 1) * kOutcomesPerPage);
    const auto bytes = read(PageKey(page));
    if (!bytes) throw Foreign();
    TakePage(*bytes, at, next, ledger);
    at = next;
  }
}

// A record of the time before ballots: what the value's number stands for is known, and of no lower one.
void TakeFirstFormat(const Object& o, State& state) {
  std::uint64_t format = 0;
  TakeAll(o, format, state.roster, state.promised, state.accepted, state.bound);
  state.stamp = LegacyStamp(state.value);
  state.ledger.forgotten_below = state.value.version > 0 ? state.value.version - 1 : 0;
}

}  // namespace

std::optional<State> DecodeState(const ReadRecord& read) try {
  State state;
  std::uint64_t format = 0;
  if (const auto value = read(kValueKey)) {
    auto handle = Unpack(*value);
    TakeAll(handle.get(), format, state.value);
    if (format != kFirstFormat) return std::nullopt;
  }
  const auto bytes = read(kStateKey);
  if (!bytes) {
    state.stamp = LegacyStamp(state.value);
    return state;
  }
  auto handle = Unpack(*bytes);
  TakeAll(handle.get(), format);
  if (format == kFirstFormat) {
    TakeFirstFormat(handle.get(), state);
    return state;
  }
  if (format != kFormat) return std::nullopt;
  std::uint64_t end = 0;
  TakeAll(handle.get(), format, state.roster, state.promised, state.accepted, state.bound,
          state.register_promised, state.stamp, state.ledger.first, end, state.ledger.forgotten_below);
  TakePages(read, end, state.ledger);
  return state;
} catch (const std::exception&) {
  return std::nullopt;
}

std::optional<State> DecodeState(const std::optional<std::string>& state,
                                 const std::optional<std::string>& value) {
  return DecodeState([&](const std::string& key) {
    return key == kStateKey ? state : key == kValueKey ? value : std::nullopt;
  });
}

std::string Encode(const founding::Message& message) {
  msgpack::sbuffer buffer(256);
  Packer p(buffer);
  p.pack_array(4);
  Put(p, kFoundingFormat);
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
  if (format != kFoundingFormat) return std::nullopt;
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
  PutAll(p, kFoundingFormat, state.electorate, state.promised, state.accepted);
  return Text(buffer);
}

std::optional<founding::State> DecodeFoundingState(std::string_view bytes) try {
  founding::State state;
  std::uint64_t format = kFoundingFormat;
  auto handle = Unpack(bytes);
  TakeAll(handle.get(), format, state.electorate, state.promised, state.accepted);
  if (format != kFoundingFormat) return std::nullopt;
  return state;
} catch (const std::exception&) {
  return std::nullopt;
}

}  // namespace curlewdoor::agreement
