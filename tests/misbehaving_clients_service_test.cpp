// What clients that keep to no limit may do to the program in service: the same crowds as those of
// tests/system/misbehaving_clients_test.cpp, as far as its protocol has them. A real process with small
// limits, looked at from outside.
//
// Crowds and bounds are fixed. Nothing depends on how fast the machine is: the times here only end a test
// that hangs. CURLEWDOOR_SOAK_PROGRAM: another program.
#include <fmt/format.h>

#include <deque>
#include <memory>
#include <nlohmann/json.hpp>

#include "client_crowd.hpp"
#include "net/socket_io.hpp"
#include "peers.hpp"
#include "playing/http_server.hpp"
#include "playing/process.hpp"
#include "process_use.hpp"
#include "sample_config.hpp"
#include "systemkit/environment.hpp"
#include "util/loopback.hpp"

namespace curlewdoor::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMemoryMb = 48, kSockets = 512;
constexpr std::size_t kCrowd = 200;       // as many as its descriptors let the program take in
constexpr std::size_t kLargeCrowd = 600;  // more than that
constexpr Duration kHangs = seconds(20);
constexpr Duration kCrowdMoves = seconds(6);        // that a crowd has for what it sends, at most
constexpr Duration kOneTry = seconds(2);            // of an ordinary caller, which then tries again
constexpr Duration kSlowWork = milliseconds(1200);  // of a host: less than the deadline of its class
constexpr Duration kLooksEvery = milliseconds(50);
#ifdef CURLEWDOOR_SANITIZED
constexpr bool kMemoryTells = false;  // a sanitizer's own memory would be measured
#else
constexpr bool kMemoryTells = true;
#endif
// Whoever is cut off comes again: a time-out alone makes no room.
constexpr int kAlways = 1'000'000;
constexpr std::string_view kSlow = "&slow", kBytes = "&bytes=";

// `more`: further parameters, read by the host below.
std::string Head(const std::string& method, const std::string& path, const std::string& more,
                 const std::string& lines, const std::string& id = std::string(ClientScript::kOwnName)) {
  return fmt::format(
      "{} {}?account=00000000b4d65521{} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {}\r\nX-Tier: "
      "open\r\n"
      "X-Timeout: 30000m\r\nX-Call-Terms: units=1,spread=2,first=0\r\n{}\r\n",
      method, path, more, id, lines);
}
std::string Get(const std::string& more = "") { return Head("GET", "/read", more, ""); }
std::string SlowGet() { return Get(std::string(kSlow)); }
std::string LargeGet(std::size_t bytes) { return Get(std::string(kBytes) + std::to_string(bytes)); }
std::string ChunkedPost() { return Head("POST", "/checkout", "", "Transfer-Encoding: chunked\r\n"); }
std::string PostOf(std::size_t length) {
  return Head("POST", "/checkout", "", fmt::format("Content-Length: {}\r\n", length));
}

class MisbehavingClientsTest : public ::testing::Test {
 protected:
  MisbehavingClientsTest()
      : host_(loop_, {[this](playing::HttpServer&, playing::ConnectionId id, const http::Message& message) {
                        Serve(id, message);
                      },
                      {},
                      {}}),
        counter_(std::make_unique<TestServer>(loop_)),
        discovery_(std::make_unique<TestServer>(loop_)) {
    std::string error;
    EXPECT_TRUE(host_.Listen(Address{INADDR_LOOPBACK, 0}, error)) << error;
    ip_ = OwnLoopbackNetwork() + 1;
    auto config = nlohmann::json::parse(SampleConfig());
    address_ = FreeAddress();
    config["listen"] = address_.ToText();
    config["counter"] = counter_->address.ToText();
    config["discovery"] = discovery_->address.ToText();
    config["limits"] = {{"cores", 1.0}, {"memory_mb", kMemoryMb}, {"sockets", kSockets}};
    config["known"]["targets"] = {{{"uid", "h1"},
                                   {"endpoint", host_.address().ToText()},
                                   {"az", "b"},
                                   {"state", "active"},
                                   {"boot_ms", 0}}};
    folder_.Write("gateway.json", config.dump());
    auto process = playing::Process::Start(systemkit::ProgramToPlay(CURLEWDOOR_PROGRAM),
                                           folder_.path() + "/gateway.json", folder_.path() + "/log", error,
                                           -1, {{"TMPDIR", folder_.path()}});
    EXPECT_TRUE(process) << error;
    if (process) process_ = std::move(*process);
  }
  ~MisbehavingClientsTest() override {
    crowds_.clear();
    process_.Kill();
    counter_.reset();
    discovery_.reset();
  }

  Address FreeAddress() const {
    for (std::uint16_t port = 21'000; port < 22'000; ++port) {
      Address bound;
      std::string error;
      const int fd = ListenOn(Address{ip_, port}, bound, error);
      if (fd < 0) continue;
      ::close(fd);
      return bound;
    }
    return {};
  }
  // As the target asks: late, or with so many bytes.
  void Serve(playing::ConnectionId id, const http::Message& message) {
    const std::string target(message.target());
    if (target.find(kSlow) != std::string::npos) {
      late_.push_back({Now() + kSlowWork, id});
      return;
    }
    std::size_t size = 5;
    if (const auto at = target.find(kBytes); at != std::string::npos)
      size = static_cast<std::size_t>(std::atol(target.c_str() + at + kBytes.size()));
    host_.Send(id, playing::AnswerText(200, std::string(size, 'b')));
  }
  void SendLateAnswers() {
    for (; !late_.empty() && late_.front().due <= Now(); late_.pop_front())
      host_.Send(late_.front().connection, playing::AnswerText(200, "late"));
  }
  static TimePoint Now() { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }

  template <typename Done>
  bool Until(Done done, Duration within) {
    bool over = false;
    TimerWatcher end(loop_, [&](int) { over = true; });
    TimerWatcher look(loop_, [&](int) {
      SendLateAnswers();
      for (const auto& crowd : crowds_) crowd->Step();
      if (process_.running()) peak_.Add(HeldBy(process_.pid(), ip_, SocketTable()));
    });
    end.StartIn(within);
    look.StartIn(kLooksEvery, kLooksEvery);
    while (!done() && !over) ev_run(loop_, EVRUN_ONCE);
    return done();
  }
  // Repeats an ordinary request until its answer is a 200, or until there is any for 0.
  void ExpectAnswer(const std::string& when, int status) {
    int asked = 0;
    std::string latest;
    const bool answered = Until(
        [&, peer = std::shared_ptr<Peer>(), since = TimePoint()]() mutable {
          const TimePoint now = Now();
          if (peer != nullptr && peer->Got("\r\n\r\n")) {
            latest = peer->got;
            if (status == 0 || latest.starts_with(fmt::format("HTTP/1.1 {} ", status))) return true;
          }
          const bool over = peer == nullptr || peer->ended || peer->Got("\r\n\r\n") || now - since > kOneTry;
          if (!over) return false;
          if (peer != nullptr && now - since < kLooksEvery) return false;
          since = now;
          peer = Connect();
          peer->Send(Head("GET", "/read", "", "", fmt::format("ordinary-{}-{}", when, ++asked)));
          return false;
        },
        kHangs);
    EXPECT_TRUE(answered) << "an ordinary request " << when << " isn't answered as expected: " << latest;
  }
  std::shared_ptr<Peer> Connect() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in to = address_.ToSocket();
    ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    return std::make_shared<Peer>(loop_, fd);
  }
  // One crowd comes, stands, and leaves; then another like it.
  void Withstand(const ClientScript& script, std::size_t count) {
    ExpectAnswer("before-the-crowd", 200);
    const pid_t pid = process_.pid();
    for (int wave = 0; wave < 2; ++wave) {
      crowds_.push_back(std::make_unique<ClientCrowd>(address_, script, count));
      Until([&] { return crowds_.back()->quiet(); }, kCrowdMoves);
      ExpectAnswer("beside-the-crowd", 0);
      crowds_.clear();
    }
    ExpectAnswer("after-the-crowd", 200);
    EXPECT_TRUE(process_.running()) << "the process has ended";
    EXPECT_EQ(process_.pid(), pid);
    const HeldByProcess& most = peak_.most();
    fmt::print("at most {:.1f} MB ({:.1f} resident, {:.1f} unread, {:.1f} unsent), {} descriptors\n",
               most.memory_mb(), most.resident_mb, most.unread_mb, most.unsent_mb, most.descriptors);
    EXPECT_TRUE(!kMemoryTells || most.memory_mb() <= kMemoryMb) << most.memory_mb() << " MB";
    EXPECT_LE(most.descriptors, kSockets);
  }

  struct LateAnswer {
    TimePoint due;
    playing::ConnectionId connection = 0;
  };

  struct LoopOwner {
    struct ev_loop* loop = ev_loop_new(EVBACKEND_EPOLL);
    ~LoopOwner() { ev_loop_destroy(loop); }
  };

  LoopOwner owner_;
  struct ev_loop* const loop_ = owner_.loop;
  std::deque<LateAnswer> late_;
  playing::HttpServer host_;
  std::unique_ptr<TestServer> counter_, discovery_;
  playing::TemporaryFolder folder_;
  std::uint32_t ip_ = 0;
  Address address_;
  playing::Process process_;
  PeakUse peak_;
  std::vector<std::unique_ptr<ClientCrowd>> crowds_;
};

// ---- What a client sends ---------------------------------------------------------------------------------

TEST_F(MisbehavingClientsTest, WholeHeadsBehindASlowAnswer) {
  Withstand({.opening = SlowGet(), .repeated = Get(), .repeats = 1500}, kCrowd);
}
TEST_F(MisbehavingClientsTest, OtherBytesBehindASlowAnswer) {
  Withstand({.opening = SlowGet(), .repeated = std::string(4096, 'x'), .repeats = 500}, kCrowd);
}
TEST_F(MisbehavingClientsTest, BodiesInChunksOfOneByte) {
  Withstand({.opening = ChunkedPost(), .repeated = "1\r\nb\r\n", .repeats = 60'000}, kCrowd);
}
TEST_F(MisbehavingClientsTest, BodiesInChunksWithLongExtensions) {
  Withstand(
      {.opening = ChunkedPost(), .repeated = "1;e=" + std::string(8000, 'e') + "\r\nb\r\n", .repeats = 200},
      kCrowd);
}
TEST_F(MisbehavingClientsTest, HalfHeads) {
  Withstand({.opening = "GET /read HTTP/1.1\r\nX-Long: " + std::string(15'000, 'h'),
             .reads = true,
             .comebacks = kAlways},
            kLargeCrowd);
}
TEST_F(MisbehavingClientsTest, HalfBodies) {
  Withstand({.opening = PostOf(60'000) + std::string(59'999, 'b'), .reads = true, .comebacks = kAlways},
            kLargeCrowd);
}
TEST_F(MisbehavingClientsTest, HalfBodiesOfLongRequests) {
  Withstand({.opening = PostOf(4'000'000), .repeated = std::string(4096, 'b'), .repeats = 100}, kLargeCrowd);
}
TEST_F(MisbehavingClientsTest, SilentConnections) { Withstand({.opening = ""}, kLargeCrowd); }
TEST_F(MisbehavingClientsTest, BytesThatAreNoRequest) {
  Withstand({.opening = "", .repeated = std::string(4096, '\x01'), .repeats = 200, .comebacks = 3},
            kLargeCrowd);
}

// ---- What a client doesn't read --------------------------------------------------------------------------

TEST_F(MisbehavingClientsTest, LongAnswersThatAreNotRead) {
  Withstand({.opening = LargeGet(1'000'000)}, kCrowd);
}
TEST_F(MisbehavingClientsTest, RefusalsThatAreNotRead) {
  Withstand({.opening = "", .repeated = "GET /none HTTP/1.1\r\nHost: none\r\n\r\n", .repeats = 20'000},
            kCrowd);
}

// ---- How a client leaves ---------------------------------------------------------------------------------

TEST_F(MisbehavingClientsTest, ManyThatResetRightAfterTheirRequest) {
  Withstand({.opening = LargeGet(60'000), .leaves = ClientScript::Leaves::kByReset, .comebacks = 10},
            kLargeCrowd);
}
TEST_F(MisbehavingClientsTest, ManyThatLeaveInTheMiddleOfABody) {
  Withstand({.opening = PostOf(200'000) + std::string(100'000, 'b'),
             .leaves = ClientScript::Leaves::kByReset,
             .comebacks = 10},
            kLargeCrowd);
}

}  // namespace
}  // namespace curlewdoor::net
