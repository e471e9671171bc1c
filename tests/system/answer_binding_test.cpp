// A real Node on loopback beside a stand-in of the core: what it is told under the right number on the wrong
// stream answers nobody, what comes on the stream that was asked does.
#include <array>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "loop.hpp"
#include "net/socket_io.hpp"
#include "system/message.hpp"
#include "system/node.hpp"

namespace curlewdoor::system {
namespace {

constexpr std::uint32_t kNodeAddress = 0x7f000001, kCoreAddress = 0x7f000002;
constexpr char kConfiguration[] = R"({"config_version":7,"services":[],"backend_hosts":[]})";

constexpr std::uint16_t kPorts = 3;  // in a row: membership, peer connections, control

bool Free(std::uint16_t first) {
  std::vector<int> open;
  for (const std::uint32_t ip : {kNodeAddress, kCoreAddress})
    for (std::uint16_t i = 0; i < kPorts; ++i) {
      Address bound;
      std::string error;
      open.push_back(net::ListenOn({ip, static_cast<std::uint16_t>(first + i)}, bound, error));
    }
  bool free = true;
  for (const int fd : open) {
    free = free && fd >= 0;
    if (fd >= 0) ::close(fd);
  }
  return free;
}

// Below those that the system gives to whoever connects: other tests may hold most of them just now.
std::uint16_t FreePorts() {
  constexpr int kFirst = 12'000, kRange = 18'000;
  static int tried = ::getpid() * 37 % kRange;
  for (int i = 0; i < kRange; i += kPorts) {
    tried = (tried + kPorts) % kRange;
    if (const auto first = static_cast<std::uint16_t>(kFirst + tried); Free(first)) return first;
  }
  BOOST_FAIL("no three free ports in a row");
  return 0;
}

// The one member of the core, as far as the node can see; answers when told.
struct StandCore : Link::Owner {
  StandCore(Loop& loop, std::uint16_t port) : link(loop.get(), descriptors, *this, {}, 3) {
    std::string error;
    address = {kCoreAddress, port};
    BOOST_REQUIRE_MESSAGE(link.Listen(address, error), error);
  }
  void OnUp(Link::Stream& stream) override {
    if (!stream.dialled()) asker = &stream;
    stream.Send(Encode(Hello{"core", true}));
    stream.Send(Encode(Members{1, {{"core", 5, address.ToText()}}, 2}));
  }
  void OnFrame(Link::Stream& stream, std::string_view frame) override {
    const auto message = Decode(frame);
    if (!message) return;
    if (const auto* clock = std::get_if<Clock>(&*message); clock != nullptr && clock->told_us < 0)
      stream.Send(Encode(Clock{clock->asked_us, clock->asked_us}));
    if (const auto* put = std::get_if<Put>(&*message)) puts.push_back(put->number);
    if (const auto* get = std::get_if<Get>(&*message)) gets.push_back(get->number);
    if (const auto* tell = std::get_if<ReplicateHosts>(&*message)) tells.push_back(tell->number);
  }
  void OnDown(Link::Stream& stream) override {
    if (asker == &stream) asker = nullptr;
  }

  net::Descriptors descriptors{64};
  Address address;
  Link link;
  Link::Stream* asker = nullptr;  // the stream that the node dialled
  std::vector<std::uint64_t> puts, gets, tells;
};

struct Scene {
  Scene() {
    core = std::make_unique<StandCore>(loop, static_cast<std::uint16_t>(port + 1));
    settings::NodeSettings settings;
    settings.node_name = "g1";
    settings.ip_address = kNodeAddress;
    settings.zone = "here";
    settings.region = "land";
    settings.zones = {{"here", "land"}};
    settings.internal_ports = {port, static_cast<std::uint16_t>(port + 1)};
    settings.seed_nodes = {{kCoreAddress, port}};
    settings.listen_addresses.control_plane = Address{kNodeAddress, control};
    node = std::make_unique<Node>(loop.get(), settings, "none.yaml", 11);
    core->link.SetTargets({{kNodeAddress, static_cast<std::uint16_t>(port + 1)}});
    BOOST_REQUIRE(Until([&] { return core->asker != nullptr && Other() != nullptr; }));
  }
  bool Until(const std::function<bool()>& holds) {
    return loop.Until(holds, [&] { core->link.KeepHouse(); });
  }
  // The stream that the stand-in dialled: of the same process, and no question went out on it.
  Link::Stream* Other() { return core->link.To({kNodeAddress, core->address.port}); }
  static bool Answered(const Plain& plain) { return plain.came.find("HTTP/1.1 ") != std::string::npos; }
  // Asks until the node knows its core; then the call waits there, and its number is returned.
  std::uint64_t Ask(const std::string& request, const std::vector<std::uint64_t>& numbers) {
    const std::size_t before = numbers.size();
    for (int i = 0; i < 20 && numbers.size() == before; ++i) {
      call = std::make_unique<Plain>(loop.get(), control);
      call->Write(request);
      BOOST_REQUIRE(Until([&] { return numbers.size() > before || Answered(*call); }));
    }
    BOOST_REQUIRE(numbers.size() > before);
    return numbers.back();
  }
  // Answers on the other stream and, behind it, something that the node echoes: then both have been read.
  void SayOnOther(const Message& message) {
    Other()->Send(Encode(message));
    const std::size_t before = call->came.size();
    Plain probe(loop.get(), control);
    probe.Write("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_REQUIRE(Until([&] { return Answered(probe); }));
    for (int i = 0; i < 50; ++i) ev_run(loop.get(), EVRUN_NOWAIT);
    BOOST_TEST(call->came.size() == before);
  }
  void RequireAnswer(std::string_view status) {
    BOOST_REQUIRE(Until([&] { return Answered(*call); }));
    BOOST_TEST(call->came.substr(9, 3) == status);
  }

  Loop loop;
  const std::uint16_t port = FreePorts(), control = static_cast<std::uint16_t>(port + 2);
  std::unique_ptr<StandCore> core;
  std::unique_ptr<Node> node;
  std::unique_ptr<Plain> call;
};

std::string Post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

BOOST_AUTO_TEST_CASE(AnOrderIsAnsweredByTheStreamThatWasAsked) {
  Scene scene;
  const std::uint64_t number = scene.Ask(Post("/v1/config/replace", kConfiguration), scene.core->puts);
  scene.SayOnOther(Done{number, 200, "{}"});
  scene.core->asker->Send(Encode(Done{number + 1, 200, "{}"}));
  scene.core->asker->Send(Encode(Done{number, 409, "{}"}));
  scene.RequireAnswer("409");
}

BOOST_AUTO_TEST_CASE(AReadIsAnsweredByTheStreamThatWasAsked) {
  Scene scene;
  const std::uint64_t number = scene.Ask("GET /v1/config/read HTTP/1.1\r\nHost: x\r\n\r\n", scene.core->gets);
  scene.SayOnOther(Done{number, 200, "another's"});
  scene.core->asker->Send(Encode(Done{number, 200, "its own"}));
  scene.RequireAnswer("200");
  BOOST_TEST(scene.call->came.ends_with("its own"));
}

BOOST_AUTO_TEST_CASE(AHeartbeatIsAnsweredByTheStreamThatWasAsked) {
  Scene scene;
  const std::string body =
      R"({"address":"127.0.0.9:80","details":{"service":"s"},"status":{"oper_state":"ready","call_sequence":1}})";
  const std::uint64_t number = scene.Ask(Post("/v1/instances/i-1/heartbeat", body), scene.core->tells);
  scene.SayOnOther(HostsReplicated{number});
  scene.core->asker->Send(Encode(HostsReplicated{number}));
  scene.RequireAnswer("200");
}

// Two processes, as one that was started again: what they ask under is never the same.
BOOST_AUTO_TEST_CASE(NumbersOfTwoLivesDiffer) {
  std::array<std::uint64_t, 2> first{};
  for (std::uint64_t& number : first) {
    Scene scene;
    number = scene.Ask("GET /v1/config/read HTTP/1.1\r\nHost: x\r\n\r\n", scene.core->gets);
    BOOST_TEST(number > 1'000'000u);  // drawn, not counted from one
  }
}

}  // namespace
}  // namespace curlewdoor::system
