// An upgrade goes node by node, so old and new processes talk, and a new one reads the old one's storage:
// bytes that an earlier version has written (golden/VERSION.txt, a name and hex a line) are read as what they
// were, and those of a later version, with fields behind ours, as what we know of them.
//
// To record the bytes of this version for the next one: CURLEWDOOR_RECORD=FILE golden_test.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <msgpack.hpp>
#include <sstream>

#include "agreement/codec.hpp"
#include "fleet/message.hpp"
#include "service_registry/codec.hpp"
#include "system/message.hpp"

namespace curlewdoor {
namespace {

constexpr char kFolder[] = CURLEWDOOR_TESTS_DIR "/system/golden/";
const service_registry::Time kNow{std::chrono::hours(1000)};

// Reads bytes and gives what was read, written by this version; nullopt: can't be read.
using Rewrite = std::function<std::optional<std::string>(const std::string&)>;
struct Sample {
  std::string name, bytes;
  Rewrite rewrite;
  std::vector<std::vector<std::size_t>> growing;  // paths of arrays that a later version may add a field to
};

agreement::Member MemberOf(const char* name) {
  agreement::Member member;
  member.incarnation.node = name;
  member.incarnation.number = 0x00c0ffee00c0ffeeULL;
  member.address = "10.8.0.31:7201";
  return member;
}

void AddLink(std::vector<Sample>& samples) {
  using namespace system;
  const std::vector<Message> messages{Hello{"lund-1", true},
                                      Clock{12, 34},
                                      Hosts{"batch"},
                                      Refreshed{{{"i-1", 7}, {"i-2", 8}}},
                                      ReplicateHosts{9, "batch"},
                                      HostsReplicated{9},
                                      Put{3, 8, "{}"},
                                      Get{4},
                                      Done{4, 503, "late"},
                                      Config{8, "{}"},
                                      Members{3, {{"lund-1", 77, "10.8.0.31:7201"}}},
                                      AddUnits{5, "cuka", 6, 2'000'000, 12.25, 77},
                                      Total{5, true, 99.5},
                                      CoreBytes{"core"},
                                      system::Digest{1234567},
                                      AskHosts{7},
                                      FoundingBytes{"founding"},
                                      Announce{3, 8, 77},
                                      Fetch{7, 3, 8, 77, 9, 78, 1024},
                                      Fetched{7, 2, 9, 78, 2048, 1024, "delta"},
                                      RegistryQuery{12, 3},
                                      RegistryAnswer{12, 77, 3, 3, true}};
  const Rewrite rewrite = [](const std::string& bytes) -> std::optional<std::string> {
    const auto message = Decode(bytes);
    return message ? std::optional(Encode(*message)) : std::nullopt;
  };
  for (const Message& message : messages)
    samples.push_back({"link-" + std::to_string(message.index()), Encode(message), rewrite, {{}, {2}}});
}

// A page of the outcomes 9 and 10, as the sample's.
std::optional<std::string> RewritePage(const std::string& bytes) {
  using namespace agreement;
  CoreState state;
  state.outcome_log = {9, 5, {{}, {}}};
  const auto read = DecodeState([&](const std::string& key) -> std::optional<std::string> {
    if (key == kStateKey) return EncodeState(state);
    return key == kValueKey ? std::nullopt : std::optional(bytes);
  });
  return read ? std::optional(EncodePages(read->outcome_log, 9).at(0).second) : std::nullopt;
}

void AddAgreement(std::vector<Sample>& samples) {
  using namespace agreement;
  const std::vector<Member> members{MemberOf("lund-1"), MemberOf("lund-2")};
  const ConfigValue value{8, "{}"};
  const AcceptedProposal accepting{{7, 8}, members};
  const Stamp stamp{3, {5, 6}};
  const std::vector<PutOutcome> outcomes{{7, {1, 2}, true}, {6, {3, 4}, false}};
  const Record record = MakeRecord(value, {9, 5, outcomes});
  const std::vector<CoreMessageBody> bodies{MembershipOffer{members},
                                            MembershipOfferReply{true, false},
                                            InstallEpoch{members, 2, stamp, record},
                                            StatusQuery{stamp},
                                            StatusReply{true, 3, stamp, {2, {1, 1}}},
                                            RecordRequest{stamp},
                                            RecordReply{stamp, true, record},
                                            RegisterPrepare{{5, 6}},
                                            RegisterPromise{true, {5, 6}, stamp},
                                            RegisterAccept{{5, 6}, stamp, outcomes, value, record},
                                            RegisterAccepted{true, false, {5, 6}},
                                            EpochPrepare{{5, 6}},
                                            EpochPromise{true, {5, 6}, accepting},
                                            EpochAccept{{5, 6}, members},
                                            EpochAccepted{true, {5, 6}, stamp}};
  const Rewrite rewrite = [](const std::string& bytes) -> std::optional<std::string> {
    const auto message = DecodeMessage(bytes);
    return message ? std::optional(Encode(*message)) : std::nullopt;
  };
  for (const CoreMessageBody& body : bodies) {
    CoreMessage message;
    message.from = members[0];
    message.id = 77;
    message.epoch = 3;
    message.body = body;
    samples.push_back({"core2-" + std::to_string(body.index()), Encode(message), rewrite, {{}, {1}, {5}}});
  }
  const bootstrap::AcceptorSet acceptors{0x0a08001f, 0x0a080020};
  const Rewrite rewrite_bootstrap = [](const std::string& bytes) -> std::optional<std::string> {
    const auto message = DecodeBootstrap(bytes);
    return message ? std::optional(Encode(*message)) : std::nullopt;
  };
  for (const bootstrap::BootstrapMessageBody& body : std::vector<bootstrap::BootstrapMessageBody>{
           bootstrap::BootstrapPrepare{{5, 6}},
           bootstrap::BootstrapPromise{0x0a08001f, {5, 6}, {7, 8}, accepting},
           bootstrap::BootstrapAccept{{5, 6}, members},
           bootstrap::BootstrapAccepted{0x0a08001f, {5, 6}, {7, 8}}, bootstrap::BootstrapChosen{members}})
    samples.push_back({"founding-" + std::to_string(body.index()),
                       Encode(bootstrap::BootstrapMessage{acceptors, body}),
                       rewrite_bootstrap,
                       {{}, {3}}});
  samples.push_back({"shelf-founding",
                     EncodeBootstrapState({acceptors, {7, 8}, accepting}),
                     [](const std::string& bytes) -> std::optional<std::string> {
                       const auto read = DecodeBootstrapState(bytes);
                       return read ? std::optional(EncodeBootstrapState(*read)) : std::nullopt;
                     },
                     {{}, {3}}});
  CoreState state;
  state.membership.epoch = 4;
  state.membership.members = members;
  state.membership.initial_size = 2;
  state.promised = {7, 8};
  state.accepted = accepting;
  state.accepted_proposers.push_back(members[1].incarnation);
  const Rewrite rewrite_state = [](const std::string& bytes) -> std::optional<std::string> {
    const auto read = DecodeState(bytes, std::nullopt);
    return read ? std::optional(EncodeState(*read)) : std::nullopt;
  };
  samples.push_back({"shelf-state", EncodeState(state), rewrite_state, {{}, {1}, {3}}});
  state.register_promised = {8, 9};
  state.stamp = stamp;
  samples.push_back({"shelf-state-2", EncodeState(state), rewrite_state, {{}, {1}, {3}}});
  const auto pages = EncodePages({9, 5, outcomes}, 9);
  samples.push_back({"shelf-outcomes", pages.at(0).second, RewritePage, {{}}});
  samples.push_back({"shelf-value",
                     EncodeValue(value),
                     [](const std::string& bytes) -> std::optional<std::string> {
                       const auto read = DecodeState(std::nullopt, bytes);
                       return read ? std::optional(EncodeValue(read->value)) : std::nullopt;
                     },
                     {{}, {1}}});
}

void AddHosts(std::vector<Sample>& samples) {
  service_registry::ServiceRegistry hosts;
  service_registry::Heartbeat beat;
  beat.service = "ware";
  beat.zone = "lund";
  beat.slots = 2;
  beat.sequence = 4;
  for (const char* id : {"i-1", "i-2", "i-3"}) {
    beat.id = id;
    beat.address = std::string("10.8.0.31:808") + id[2];
    hosts.Apply(kNow, beat);
  }
  hosts.Apply(kNow, service_registry::Deregistration{"i-2"});
  const Rewrite rewrite = [](const std::string& bytes) -> std::optional<std::string> {
    const auto entries = service_registry::Decode(bytes, kNow);
    return entries ? std::optional(service_registry::Encode(*entries, kNow)) : std::nullopt;
  };
  std::vector<service_registry::HostEntry> entries = hosts.All();
  const std::vector<std::vector<std::size_t>> growing{{}, {1, 0}, {1, 2}};
  samples.push_back({"hosts-stamped", service_registry::Encode(entries, kNow), rewrite, growing});
  for (service_registry::HostEntry& entry : entries)
    entry.stamp = 0;  // as versions before watermarks told them
  samples.push_back({"hosts", service_registry::Encode(entries, kNow), rewrite, growing});
}

void AddFleet(std::vector<Sample>& samples) {
  fleet::GossipMessage message;
  message.sender.name = "lund-1";
  message.sender.boot = 1'700'000'000'000;
  message.sender.address = {0x0a08001f, 7200};
  message.sender.metadata = "lund 0.4.0";
  message.sequence = 9;
  message.fingerprint = 77;
  message.rumours.push_back(message.sender);
  message.rumours.back().name = "lund-2";
  const Rewrite rewrite = [](const std::string& bytes) -> std::optional<std::string> {
    auto why = fleet::DropReason::kNone;
    const auto read = fleet::Decode(bytes, "system", why);
    return read ? std::optional(fleet::Encode(*read, "system")) : std::nullopt;
  };
  for (std::uint8_t kind = 1; kind <= fleet::kLastKind; ++kind) {
    message.kind = static_cast<fleet::MessageKind>(kind);
    samples.push_back({"fleet-" + std::to_string(kind), fleet::Encode(message, "system"), rewrite, {}});
  }
}

std::vector<Sample> Samples() {
  std::vector<Sample> samples;
  AddLink(samples);
  AddAgreement(samples);
  AddHosts(samples);
  AddFleet(samples);
  return samples;
}

std::string Hex(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    text.append({kDigits[byte >> 4], kDigits[byte & 15]});
  }
  return text;
}

std::string Bytes(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return bytes;
}

// Writes it again with a field more, nil, behind those of the array at `path`.
void Grow(const msgpack::object& from, const std::vector<std::size_t>& path, std::size_t depth, bool on_path,
          msgpack::packer<msgpack::sbuffer>& to) {
  if (!on_path || from.type != msgpack::type::ARRAY) {
    to.pack(from);
    return;
  }
  const bool here = depth == path.size();
  to.pack_array(from.via.array.size + (here ? 1 : 0));
  for (std::uint32_t i = 0; i < from.via.array.size; ++i)
    Grow(from.via.array.ptr[i], path, depth + 1, !here && path[depth] == i, to);
  if (here) to.pack_nil();
}

BOOST_AUTO_TEST_CASE(bytes_of_the_last_version_are_read_as_what_they_were) {
  const auto samples = Samples();
  if (const char* path = std::getenv("CURLEWDOOR_RECORD")) {
    std::ofstream file(path);
    for (const Sample& sample : samples) file << sample.name << " " << Hex(sample.bytes) << "\n";
  }
  std::map<std::string, const Sample*> by_name;
  for (const Sample& sample : samples) by_name[sample.name] = &sample;
  std::size_t read = 0, refused = 0;
  for (const char* recorded : {"0.4.0.txt", "ballots.txt"}) {
    std::ifstream file(std::string(kFolder) + recorded);
    for (std::string name, hex; file >> name >> hex;) {
      // The core's messages of before ballots: a register of another kind, so none of them may be taken.
      if (name.starts_with("core-")) {
        BOOST_TEST(!agreement::DecodeMessage(Bytes(hex)), name);
        ++refused;
        continue;
      }
      const auto found = by_name.find(name);
      BOOST_REQUIRE_MESSAGE(found != by_name.end(), name << " is gone: an old process may send it");
      BOOST_TEST((found->second->rewrite(Bytes(hex)) == found->second->bytes), name);
      ++read;
    }
  }
  BOOST_TEST(refused == 11u);
  BOOST_TEST(read >= 28u + 17u);
}

BOOST_AUTO_TEST_CASE(fields_of_a_later_version_are_passed_over) {
  for (const Sample& sample : Samples())
    for (const auto& path : sample.growing) {
      const auto whole = msgpack::unpack(sample.bytes.data(), sample.bytes.size());
      msgpack::sbuffer buffer;
      msgpack::packer<msgpack::sbuffer> packer(buffer);
      Grow(whole.get(), path, 0, true, packer);
      const std::string grown(buffer.data(), buffer.size());
      BOOST_REQUIRE(grown.size() > sample.bytes.size());
      BOOST_TEST((sample.rewrite(grown) == sample.bytes), sample.name << " at depth " << path.size());
    }
}

BOOST_AUTO_TEST_CASE(a_kind_of_a_later_version_is_told_from_foreign_bytes) {
  const std::string body = system::Encode(system::HostsReplicated{9}).substr(3);
  const auto later = [&](int kind, const std::string& head = std::string("\x93\x01", 2)) {
    const std::string bytes = head + static_cast<char>(kind) + body;
    return !system::Decode(bytes) && system::IsOfLaterKind(bytes);
  };
  constexpr int kKinds = std::variant_size_v<system::Message>;
  BOOST_TEST(later(kKinds));
  BOOST_TEST(later(127));
  BOOST_TEST(later(kKinds, std::string("\x94\x01", 2)));
  BOOST_TEST(!later(kKinds - 1));
  BOOST_TEST(!later(128));
  BOOST_TEST(!later(kKinds, std::string("\x93\x02", 2)));
  BOOST_TEST(!later(kKinds, std::string("\x92\x01", 2)));
  BOOST_TEST(!system::IsOfLaterKind("GET / HTTP/1.1\r\n"));
  BOOST_TEST(!system::IsOfLaterKind(""));
}

}  // namespace
}  // namespace curlewdoor
