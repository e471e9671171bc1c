#include "agreement/codec.hpp"

#include <algorithm>
#include <exception>
#include <msgpack.hpp>
#include <stdexcept>
#include <utility>

namespace curlewdoor::agreement {
namespace {

// Of messages. Processes of format 1 (a register that keeps the highest value, without ballots) and of this
// format refuse each other's messages.
constexpr std::uint64_t kMessageFormat = 2;
// Of stored records. Format 1 has no ballots or outcomes and can still be read.
constexpr std::uint64_t kFormat1 = 1, kStateFormat = 2;
constexpr std::uint64_t kBootstrapFormat = 1;  // of bootstrap messages and stored bootstrap state
constexpr std::size_t kOutcomeBytes = 25;      // of one encoded outcome
constexpr std::uint64_t kMaxSequence = std::uint64_t{1} << 60;  // no core lives long enough to reach it
constexpr std::uint64_t kPageSlots = kMaxOutcomes / kOutcomesPerPage + 2;

// Every struct is encoded as an array of its fields. Pack() and Parse() mirror each other. Fields that a
// later version adds at the end are ignored; a change that must not be ignored, in a message or in storage,
// needs another format number.
using Packer = msgpack::packer<msgpack::sbuffer>;

void Pack(Packer& p, std::uint64_t value) { p.pack_uint64(value); }
void Pack(Packer& p, std::uint32_t value) { p.pack_uint32(value); }
void Pack(Packer& p, bool value) { value ? p.pack_true() : p.pack_false(); }
void Pack(Packer& p, const std::string& text) {
  p.pack_bin(static_cast<std::uint32_t>(text.size()));
  p.pack_bin_body(text.data(), static_cast<std::uint32_t>(text.size()));
}
template <typename T>
void Pack(Packer& p, const std::vector<T>& items);
template <typename T>
void Pack(Packer& p, const std::optional<T>& item);
template <typename... T>
void PackFields(Packer& p, const T&... fields);

void Pack(Packer& p, const std::vector<PutOutcome>& outcomes);

void Pack(Packer& p, const Incarnation& v) { PackFields(p, v.node, v.number); }
void Pack(Packer& p, const Member& v) { PackFields(p, v.incarnation, v.address); }
void Pack(Packer& p, const ConfigValue& v) { PackFields(p, v.version, v.text); }
void Pack(Packer& p, const Ballot& v) { PackFields(p, v.round, v.tag); }
void Pack(Packer& p, const Stamp& v) { PackFields(p, v.epoch, v.ballot); }
void Pack(Packer& p, const OutcomeLog& v) { PackFields(p, v.first, v.highest_evicted, v.entries); }
void Pack(Packer& p, const Record& v) { PackFields(p, v.value, v.outcome_log); }
void Pack(Packer& p, const AcceptedProposal& v) { PackFields(p, v.ballot, v.members); }
void Pack(Packer& p, const Membership& v) { PackFields(p, v.epoch, v.members, v.initial_size); }
void Pack(Packer& p, const MembershipOffer& v) { PackFields(p, v.members); }
void Pack(Packer& p, const MembershipOfferReply& v) { PackFields(p, v.offer_accepted, v.never_participates); }
void Pack(Packer& p, const InstallEpoch& v) { PackFields(p, v.members, v.initial_size, v.stamp, v.record); }
void Pack(Packer& p, const StatusQuery& v) { PackFields(p, v.committed); }
void Pack(Packer& p, const StatusReply& v) {
  PackFields(p, v.sealed, v.installed_epoch, v.held, v.committed);
}
void Pack(Packer& p, const RecordRequest& v) { PackFields(p, v.stamp); }
void Pack(Packer& p, const RecordReply& v) { PackFields(p, v.stamp, v.chosen, v.record); }
void Pack(Packer& p, const RegisterPrepare& v) { PackFields(p, v.ballot); }
void Pack(Packer& p, const bootstrap::BootstrapPrepare& v) { PackFields(p, v.ballot); }
void Pack(Packer& p, const bootstrap::BootstrapPromise& v) {
  PackFields(p, v.seed, v.requested, v.promised, v.accepted);
}
void Pack(Packer& p, const bootstrap::BootstrapAccept& v) { PackFields(p, v.ballot, v.members); }
void Pack(Packer& p, const bootstrap::BootstrapAccepted& v) {
  PackFields(p, v.seed, v.requested, v.promised);
}
void Pack(Packer& p, const bootstrap::BootstrapChosen& v) { PackFields(p, v.members); }
void Pack(Packer& p, const RegisterPromise& v) { PackFields(p, v.ok, v.promised, v.held); }
void Pack(Packer& p, const RegisterAccept& v) {
  PackFields(p, v.ballot, v.base, v.added_outcomes, v.value, v.snapshot);
}
void Pack(Packer& p, const RegisterAccepted& v) { PackFields(p, v.ok, v.needs_snapshot, v.promised); }
void Pack(Packer& p, const EpochPrepare& v) { PackFields(p, v.ballot); }
void Pack(Packer& p, const EpochPromise& v) { PackFields(p, v.ok, v.ballot, v.accepted); }
void Pack(Packer& p, const EpochAccept& v) { PackFields(p, v.ballot, v.members); }
void Pack(Packer& p, const EpochAccepted& v) { PackFields(p, v.ok, v.ballot, v.held); }

void AppendWord(std::string& bytes, std::uint64_t word) {
  for (int i = 0; i < 8; ++i) bytes.push_back(static_cast<char>(word >> (8 * i)));
}
// One byte string for all outcomes, because there may be thousands of them.
std::string PackOutcomes(const PutOutcome* outcomes, std::size_t count) {
  std::string bytes;
  bytes.reserve(count * kOutcomeBytes);
  for (const PutOutcome* each = outcomes; each != outcomes + count; ++each) {
    AppendWord(bytes, each->version);
    AppendWord(bytes, each->digest.high);
    AppendWord(bytes, each->digest.low);
    bytes.push_back(each->took_effect ? 1 : 0);
  }
  return bytes;
}
void Pack(Packer& p, const std::vector<PutOutcome>& outcomes) {
  Pack(p, PackOutcomes(outcomes.data(), outcomes.size()));
}

template <typename T>
void Pack(Packer& p, const std::vector<T>& items) {
  p.pack_array(static_cast<std::uint32_t>(items.size()));
  for (const T& item : items) Pack(p, item);
}
template <typename T>
void Pack(Packer& p, const std::optional<T>& item) {
  if (item) {
    Pack(p, *item);
  } else {
    p.pack_nil();
  }
}
template <typename... T>
void PackFields(Packer& p, const T&... fields) {
  p.pack_array(sizeof...(fields));
  (Pack(p, fields), ...);
}

struct DecodeError : std::runtime_error {
  DecodeError() : std::runtime_error("malformed encoding") {}
};

using Object = msgpack::object;

void Parse(const Object& o, std::uint64_t& value) {
  if (o.type != msgpack::type::POSITIVE_INTEGER) throw DecodeError();
  value = o.via.u64;
}
void Parse(const Object& o, std::uint32_t& value) {
  std::uint64_t value64 = 0;
  Parse(o, value64);
  if (value64 > 0xffffffffu) throw DecodeError();
  value = static_cast<std::uint32_t>(value64);
}
void Parse(const Object& o, bool& value) {
  if (o.type != msgpack::type::BOOLEAN) throw DecodeError();
  value = o.via.boolean;
}
void Parse(const Object& o, std::string& text, std::size_t max_size = kMaxNameBytes) {
  if (o.type != msgpack::type::BIN || o.via.bin.size > max_size) throw DecodeError();
  text.assign(o.via.bin.ptr, o.via.bin.size);
}
template <typename T>
void Parse(const Object& o, std::vector<T>& items);
template <typename T>
void Parse(const Object& o, std::optional<T>& item);
template <typename... T>
void ParseFields(const Object& o, T&... fields);

void Parse(const Object& o, std::vector<PutOutcome>& outcomes);

void Parse(const Object& o, Incarnation& v) { ParseFields(o, v.node, v.number); }
void Parse(const Object& o, Member& v) { ParseFields(o, v.incarnation, v.address); }
void Parse(const Object& o, ConfigValue& v) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size < 2) throw DecodeError();
  Parse(o.via.array.ptr[0], v.version);
  Parse(o.via.array.ptr[1], v.text, kMaxTextBytes);
}
void Parse(const Object& o, Ballot& v) { ParseFields(o, v.round, v.tag); }
void Parse(const Object& o, Stamp& v) { ParseFields(o, v.epoch, v.ballot); }
void Parse(const Object& o, OutcomeLog& v) {
  ParseFields(o, v.first, v.highest_evicted, v.entries);
  if (v.first > kMaxSequence) throw DecodeError();
}
void Parse(const Object& o, Record& v) {
  ParseFields(o, v.value, v.outcome_log);
  v = MakeRecord(std::move(v.value), std::move(v.outcome_log));
}
void Parse(const Object& o, AcceptedProposal& v) { ParseFields(o, v.ballot, v.members); }
void Parse(const Object& o, Membership& v) { ParseFields(o, v.epoch, v.members, v.initial_size); }
void Parse(const Object& o, MembershipOffer& v) { ParseFields(o, v.members); }
void Parse(const Object& o, MembershipOfferReply& v) {
  ParseFields(o, v.offer_accepted, v.never_participates);
}
void Parse(const Object& o, InstallEpoch& v) { ParseFields(o, v.members, v.initial_size, v.stamp, v.record); }
void Parse(const Object& o, StatusQuery& v) { ParseFields(o, v.committed); }
void Parse(const Object& o, StatusReply& v) {
  ParseFields(o, v.sealed, v.installed_epoch, v.held, v.committed);
}
void Parse(const Object& o, RecordRequest& v) { ParseFields(o, v.stamp); }
void Parse(const Object& o, RecordReply& v) { ParseFields(o, v.stamp, v.chosen, v.record); }
void Parse(const Object& o, RegisterPrepare& v) { ParseFields(o, v.ballot); }
void Parse(const Object& o, bootstrap::BootstrapPrepare& v) { ParseFields(o, v.ballot); }
void Parse(const Object& o, bootstrap::BootstrapPromise& v) {
  ParseFields(o, v.seed, v.requested, v.promised, v.accepted);
}
void Parse(const Object& o, bootstrap::BootstrapAccept& v) { ParseFields(o, v.ballot, v.members); }
void Parse(const Object& o, bootstrap::BootstrapAccepted& v) {
  ParseFields(o, v.seed, v.requested, v.promised);
}
void Parse(const Object& o, bootstrap::BootstrapChosen& v) { ParseFields(o, v.members); }
void Parse(const Object& o, RegisterPromise& v) { ParseFields(o, v.ok, v.promised, v.held); }
void Parse(const Object& o, RegisterAccept& v) {
  ParseFields(o, v.ballot, v.base, v.added_outcomes, v.value, v.snapshot);
  if (v.added_outcomes.size() > kMaxOutcomesPerBallot) throw DecodeError();
}
void Parse(const Object& o, RegisterAccepted& v) { ParseFields(o, v.ok, v.needs_snapshot, v.promised); }
void Parse(const Object& o, EpochPrepare& v) { ParseFields(o, v.ballot); }
void Parse(const Object& o, EpochPromise& v) { ParseFields(o, v.ok, v.ballot, v.accepted); }
void Parse(const Object& o, EpochAccept& v) { ParseFields(o, v.ballot, v.members); }
void Parse(const Object& o, EpochAccepted& v) { ParseFields(o, v.ok, v.ballot, v.held); }

std::uint64_t WordAt(const char* bytes) {
  std::uint64_t word = 0;
  for (int i = 0; i < 8; ++i)
    word |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  return word;
}
void Parse(const Object& o, std::vector<PutOutcome>& outcomes) {
  if (o.type != msgpack::type::BIN || o.via.bin.size > kMaxOutcomes * kOutcomeBytes) throw DecodeError();
  if (o.via.bin.size % kOutcomeBytes != 0) throw DecodeError();
  outcomes.resize(o.via.bin.size / kOutcomeBytes);
  const char* at = o.via.bin.ptr;
  for (PutOutcome& each : outcomes) {
    if (at[24] != 0 && at[24] != 1) throw DecodeError();
    each = {WordAt(at), {WordAt(at + 8), WordAt(at + 16)}, at[24] == 1};
    at += kOutcomeBytes;
  }
}

template <typename T>
void Parse(const Object& o, std::vector<T>& items) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size > kMaxMembers) throw DecodeError();
  items.resize(o.via.array.size);
  for (std::uint32_t i = 0; i < o.via.array.size; ++i) Parse(o.via.array.ptr[i], items[i]);
}
template <typename T>
void Parse(const Object& o, std::optional<T>& item) {
  if (o.is_nil()) {
    item.reset();
  } else {
    Parse(o, item.emplace());
  }
}
template <typename... T>
void ParseFields(const Object& o, T&... fields) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size < sizeof...(fields)) throw DecodeError();
  const Object* next = o.via.array.ptr;
  (Parse(*next++, fields), ...);
}

template <typename AnyBody, std::size_t... I>
void ParseBody(const Object& o, std::uint64_t kind, AnyBody& body, std::index_sequence<I...>) {
  bool found = ((kind == I && (Parse(o, body.template emplace<I>()), true)) || ...);
  if (!found) throw DecodeError();
}

// A first pass without allocation: rejects input with more items than a valid message can have, or with item
// types that are never used.
struct StructureCheck : msgpack::null_visitor {
  std::uint32_t items = 0;
  bool start_array(std::uint32_t count) {
    items += count <= kMaxMembers ? count : kMaxItems;
    return items < kMaxItems;
  }
  bool start_map(std::uint32_t) { return false; }
  bool visit_str(const char*, std::uint32_t) { return false; }
  bool visit_ext(const char*, std::uint32_t) { return false; }
  static constexpr std::uint32_t kMaxItems = 1024;
};

// The strings of the result refer to `bytes`.
msgpack::object_handle Unpack(std::string_view bytes) {
  std::size_t end = 0;
  StructureCheck check;
  if (!msgpack::parse(bytes.data(), bytes.size(), end, check) || end != bytes.size()) throw DecodeError();
  end = 0;
  auto handle = msgpack::unpack(
      bytes.data(), bytes.size(), end, [](msgpack::type::object_type, std::size_t, void*) { return true; },
      nullptr, msgpack::unpack_limit(kMaxMembers + 1, 0, 0, kMaxTextBytes, 0, 12));
  if (end != bytes.size()) throw DecodeError();
  return handle;
}

std::string ToString(const msgpack::sbuffer& buffer) { return {buffer.data(), buffer.size()}; }

}  // namespace

std::string Encode(const CoreMessage& message) {
  msgpack::sbuffer buffer(256);
  Packer p(buffer);
  p.pack_array(6);
  Pack(p, kMessageFormat);
  Pack(p, message.from);
  Pack(p, message.id);
  Pack(p, message.epoch);
  Pack(p, static_cast<std::uint64_t>(message.body.index()));
  std::visit([&p](const auto& body) { Pack(p, body); }, message.body);
  return ToString(buffer);
}

std::optional<CoreMessage> DecodeMessage(std::string_view bytes) try {
  auto handle = Unpack(bytes);
  const Object& o = handle.get();
  if (o.type != msgpack::type::ARRAY || o.via.array.size < 6) return std::nullopt;
  const Object* field = o.via.array.ptr;
  std::uint64_t format = 0, kind = 0;
  CoreMessage message;
  Parse(field[0], format);
  if (format != kMessageFormat) return std::nullopt;
  Parse(field[1], message.from);
  Parse(field[2], message.id);
  Parse(field[3], message.epoch);
  Parse(field[4], kind);
  ParseBody(field[5], kind, message.body, std::make_index_sequence<std::variant_size_v<CoreMessageBody>>());
  return message;
} catch (const std::exception&) {
  return std::nullopt;
}

std::string EncodeState(const CoreState& state, const OutcomeLog& log) {
  msgpack::sbuffer buffer(256);
  Packer p(buffer);
  const std::uint64_t end = log.end();
  PackFields(p, kStateFormat, state.membership, state.promised, state.accepted, state.accepted_proposers,
             state.register_promised, state.stamp, log.first, end, log.highest_evicted);
  return ToString(buffer);
}

std::string EncodeValue(const ConfigValue& value) {
  msgpack::sbuffer buffer(64 + value.text.size());
  Packer p(buffer);
  PackFields(p, kFormat1, value);  // unchanged since format 1
  return ToString(buffer);
}

std::string PageKey(std::uint64_t page) { return kPageKeyPrefix + std::to_string(page % kPageSlots); }

std::string EncodePage(const OutcomeLog& log, std::uint64_t page) {
  const std::uint64_t begin = std::max(log.first, page * kOutcomesPerPage);
  const std::uint64_t end = std::min(log.end(), (page + 1) * kOutcomesPerPage);
  msgpack::sbuffer buffer(64 + kOutcomesPerPage * kOutcomeBytes);
  Packer p(buffer);
  PackFields(p, kFormat1, begin, PackOutcomes(log.entries.data() + (begin - log.first), end - begin));
  return ToString(buffer);
}

std::vector<std::pair<std::string, std::string>> EncodePages(const OutcomeLog& log, std::uint64_t from) {
  std::vector<std::pair<std::string, std::string>> pages;
  const std::uint64_t begin = std::max(from, log.first), end = log.end();
  for (std::uint64_t page = begin / kOutcomesPerPage; page * kOutcomesPerPage < end; ++page)
    pages.emplace_back(PageKey(page), EncodePage(log, page));
  return pages;
}

std::vector<std::pair<std::string, std::string>> EncodeAll(const CoreState& state) {
  auto records = EncodePages(state.outcome_log, state.outcome_log.first);
  records.emplace_back(kStateKey, EncodeState(state, state.outcome_log));
  records.emplace_back(kValueKey, EncodeValue(state.value));
  return records;
}

namespace {

// Appends the outcomes numbered `begin` to below `end` from a page. A page may also hold earlier ones, which
// were still kept when it was written.
void ParsePage(std::string_view bytes, std::uint64_t begin, std::uint64_t end, OutcomeLog& log) {
  auto handle = Unpack(bytes);
  std::uint64_t format = 0, first = 0;
  std::vector<PutOutcome> outcomes;
  ParseFields(handle.get(), format, first, outcomes);
  if (format != kFormat1 || first > begin || first + outcomes.size() < end) throw DecodeError();
  for (std::uint64_t at = begin; at < end; ++at) log.entries.push_back(outcomes[at - first]);
}

void ReadPages(const ReadRecord& read, std::uint64_t end, OutcomeLog& log) {
  if (log.first > kMaxSequence || end < log.first || end - log.first > kMaxOutcomes) throw DecodeError();
  for (std::uint64_t at = log.first; at < end;) {
    const std::uint64_t page = at / kOutcomesPerPage;
    const std::uint64_t next = std::min(end, (page + 1) * kOutcomesPerPage);
    const auto bytes = read(PageKey(page));
    if (!bytes) throw DecodeError();
    ParsePage(*bytes, at, next, log);
    at = next;
  }
}

// A state record of format 1: only the content of the value's own version is known, not that of lower ones.
void ParseLegacyState(const Object& o, CoreState& state) {
  std::uint64_t format = 0;
  ParseFields(o, format, state.membership, state.promised, state.accepted, state.accepted_proposers);
  state.stamp = LegacyStamp(state.value);
  state.outcome_log.highest_evicted = state.value.version > 0 ? state.value.version - 1 : 0;
}

}  // namespace

std::optional<CoreState> DecodeState(const ReadRecord& read) try {
  CoreState state;
  std::uint64_t format = 0;
  if (const auto value = read(kValueKey)) {
    auto handle = Unpack(*value);
    ParseFields(handle.get(), format, state.value);
    if (format != kFormat1) return std::nullopt;
  }
  const auto bytes = read(kStateKey);
  if (!bytes) {
    state.stamp = LegacyStamp(state.value);
    return state;
  }
  auto handle = Unpack(*bytes);
  ParseFields(handle.get(), format);
  if (format == kFormat1) {
    ParseLegacyState(handle.get(), state);
    return state;
  }
  if (format != kStateFormat) return std::nullopt;
  std::uint64_t end = 0;
  ParseFields(handle.get(), format, state.membership, state.promised, state.accepted,
              state.accepted_proposers, state.register_promised, state.stamp, state.outcome_log.first, end,
              state.outcome_log.highest_evicted);
  ReadPages(read, end, state.outcome_log);
  return state;
} catch (const std::exception&) {
  return std::nullopt;
}

std::optional<CoreState> DecodeState(const std::optional<std::string>& state,
                                     const std::optional<std::string>& value) {
  return DecodeState([&](const std::string& key) {
    return key == kStateKey ? state : key == kValueKey ? value : std::nullopt;
  });
}

std::string Encode(const bootstrap::BootstrapMessage& message) {
  msgpack::sbuffer buffer(256);
  Packer p(buffer);
  p.pack_array(4);
  Pack(p, kBootstrapFormat);
  Pack(p, message.acceptors);
  Pack(p, static_cast<std::uint64_t>(message.body.index()));
  std::visit([&p](const auto& body) { Pack(p, body); }, message.body);
  return ToString(buffer);
}

std::optional<bootstrap::BootstrapMessage> DecodeBootstrap(std::string_view bytes) try {
  auto handle = Unpack(bytes);
  const Object& o = handle.get();
  if (o.type != msgpack::type::ARRAY || o.via.array.size < 4) return std::nullopt;
  const Object* field = o.via.array.ptr;
  std::uint64_t format = 0, kind = 0;
  bootstrap::BootstrapMessage message;
  Parse(field[0], format);
  if (format != kBootstrapFormat) return std::nullopt;
  Parse(field[1], message.acceptors);
  Parse(field[2], kind);
  constexpr auto kKinds = std::variant_size_v<bootstrap::BootstrapMessageBody>;
  ParseBody(field[3], kind, message.body, std::make_index_sequence<kKinds>());
  return message;
} catch (const std::exception&) {
  return std::nullopt;
}

std::string EncodeBootstrapState(const bootstrap::BootstrapState& state) {
  msgpack::sbuffer buffer(256);
  Packer p(buffer);
  PackFields(p, kBootstrapFormat, state.acceptors, state.promised, state.accepted);
  return ToString(buffer);
}

std::optional<bootstrap::BootstrapState> DecodeBootstrapState(std::string_view bytes) try {
  bootstrap::BootstrapState state;
  std::uint64_t format = kBootstrapFormat;
  auto handle = Unpack(bytes);
  ParseFields(handle.get(), format, state.acceptors, state.promised, state.accepted);
  if (format != kBootstrapFormat) return std::nullopt;
  return state;
} catch (const std::exception&) {
  return std::nullopt;
}

}  // namespace curlewdoor::agreement
