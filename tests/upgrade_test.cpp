// Upgrades of real processes under load, on loopback: each request gets one answer, no connection is lost,
// and each failure of either process leaves somebody who accepts.
#include <signal.h>

#include <map>
#include <random>

#include "net/socket_io.hpp"
#include "playing/process.hpp"
#include "service_fixture.hpp"

namespace curlewdoor::net {
namespace {

using std::chrono::milliseconds;

// A gateway in a process of its own, with the clients' socket inherited.
class Child {
 public:
  Child(int listen_fd, const std::string& config, const std::string& folder, const std::string& log)
      : log_(log) {
    std::string error;
    auto started = playing::Process::Start(CURLEWDOOR_PROGRAM, config, log, error, listen_fd,
                                           {{"RELAY_ADMIN", "127.0.0.1:0"}, {"TMPDIR", folder}});
    EXPECT_TRUE(started) << error;
    if (started) process_ = std::move(*started);
  }
  void Signal(int signal) const { process_.Signal(signal); }
  bool Ended() { return !process_.running(); }
  int exit_code() const { return process_.exit_code(); }
  std::string Log() const {
    std::ifstream in(log_);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  }
  // Where operators call; 0: it has not said so yet.
  std::uint16_t AdminPort() const {
    const std::string text = Log(), mark = "operators call 127.0.0.1:";
    const auto at = text.find(mark);
    return at == std::string::npos ? std::uint16_t{0}
                                   : static_cast<std::uint16_t>(std::atoi(text.c_str() + at + mark.size()));
  }

 private:
  const std::string log_;
  playing::Process process_;
};

class UpgradeTest : public ServiceTest {
 protected:
  UpgradeTest() {
    Address bound;
    std::string error;
    listen_fd_ = ListenOn(Address{INADDR_LOOPBACK, 0}, bound, error);
    port_ = bound.port;
    config_json_["listen"] = bound.ToText();
    folder_.Write("gateway.json", config_json_.dump());
  }
  ~UpgradeTest() override {
    processes_.clear();
    ::close(listen_fd_);
  }

  Child& StartProcess(const std::string& scratch = "") {
    const std::string log = folder_.path() + "/log" + std::to_string(processes_.size());
    processes_.push_back(std::make_unique<Child>(listen_fd_, folder_.path() + "/gateway.json",
                                                 scratch.empty() ? folder_.path() : scratch, log));
    return *processes_.back();
  }

  // Runs the load until `done`. Hosts answer at once with the id of the request; clients send the next one
  // on the same connection, one at a time.
  template <typename Done>
  [[nodiscard]] bool Run(Done done) {
    TimerWatcher look(loop_, [](int) {});  // a process's end and its log wake nobody here
    look.StartIn(milliseconds(5), milliseconds(5));
    return Until([&] {
      for (const auto& peer : host_->peers) {
        for (std::size_t end; (end = peer->got.find("\r\n\r\n")) != std::string::npos;) {
          const auto at = peer->got.find("X-Request-ID: ") + 14;
          const std::string id = peer->got.substr(at, peer->got.find("\r\n", at) - at);
          ++at_host_[id];
          peer->got.erase(0, end + 4);
          peer->Send(Answer(id));
        }
      }
      for (auto& [peer, id] : load_) {
        if (peer == nullptr) continue;
        if (peer->ended) {
          ++broken_;
          peer = nullptr;
          continue;
        }
        const auto end = peer->got.find("\r\n\r\n");
        if (id.empty() || end == std::string::npos) continue;
        const bool served = peer->got.starts_with("HTTP/1.1 200");
        if (served && peer->got.size() < end + 4 + id.size()) continue;
        if (!served) last_refusal_ = peer->got;
        EXPECT_TRUE(!served || peer->got.ends_with("\r\n\r\n" + id)) << peer->got;
        ++(served ? served_ : refused_);
        peer->got.clear();
        SendNext(peer, id);
      }
      return done();
    });
  }
  void SendNext(Peer* peer, std::string& id) {
    id = "r" + std::to_string(++sent_);
    const std::string text = Get(id);
    const std::size_t cut = random_() % text.size();  // as two writes, sometimes far apart
    peer->Send(text.substr(0, cut));
    peer->Send(text.substr(cut));
  }
  void StartLoad(int clients) {
    for (int i = 0; i < clients; ++i) {
      load_.emplace_back(clients_.emplace_back(ConnectTo(loop_, port_)).get(), "");
      SendNext(load_.back().first, load_.back().second);
    }
  }
  // Asks until the answer begins with `yes`, under load. A caller that has another answer is closed, and the
  // next one comes a little later: thousands of them would take all descriptors of this process.
  [[nodiscard]] bool UntilSays(Child& child, const std::string& line, const std::string& yes = "OK") {
    constexpr milliseconds kAgain{5};
    Peer* caller = nullptr;
    std::chrono::steady_clock::time_point asked;
    return Run([&] {
      if (caller != nullptr && !caller->ended) return false;
      if (caller != nullptr && caller->got.starts_with(yes)) return true;
      if (caller != nullptr) caller->Close();
      if (std::chrono::steady_clock::now() - asked < kAgain) return false;
      if (const auto port = child.AdminPort()) {
        asked = std::chrono::steady_clock::now();
        caller = clients_.emplace_back(ConnectTo(loop_, port)).get();
        caller->Send(line + "\n");
      }
      return false;
    });
  }
  [[nodiscard]] bool RunFor(std::size_t more) {
    const std::size_t until = served_ + more;
    return Run([&] { return served_ >= until; });
  }
  void ExpectNothingLost() {
    EXPECT_EQ(broken_, 0u);
    EXPECT_EQ(refused_, 0u) << last_refusal_;
    for (const auto& [id, times] : at_host_) EXPECT_EQ(times, 1) << id;
  }

  playing::TemporaryFolder folder_;
  int listen_fd_ = -1;
  std::uint16_t port_ = 0;
  std::vector<std::unique_ptr<Child>> processes_;
  std::vector<std::pair<Peer*, std::string>> load_;
  std::map<std::string, int> at_host_;
  std::size_t sent_ = 0, served_ = 0, refused_ = 0, broken_ = 0;
  std::string last_refusal_;
  std::mt19937 random_{1};
};

class UpgradeSeeds : public UpgradeTest, public ::testing::WithParamInterface<unsigned> {};
INSTANTIATE_TEST_SUITE_P(Seeds, UpgradeSeeds, ::testing::Range(1u, 5u));

// Twice in a row, with requests cut anywhere: the clients' connections outlive both old processes.
TEST_P(UpgradeSeeds, EveryRequestGetsOneAnswerOverTwoUpgrades) {
  random_.seed(GetParam());
  ASSERT_TRUE(UntilSays(StartProcess(), "STATUS"));
  StartLoad(3);  // so few that the room for one host is never short
  for (int upgrade = 0; upgrade < 2; ++upgrade) {
    ASSERT_TRUE(RunFor(20 + random_() % 60));
    Child& old = *processes_.back();
    ASSERT_TRUE(UntilSays(StartProcess(), "STATUS"));
    old.Signal(SIGTERM);
    ASSERT_TRUE(Run([&] { return old.Ended(); }));
    EXPECT_EQ(old.exit_code(), 0) << old.Log();
    ASSERT_TRUE(RunFor(60));
  }
  ExpectNothingLost();
  EXPECT_NE(processes_.back()->Log().find("upgrade: took over"), std::string::npos);
}

// Guards against long answers that are cut when the old process's time is over: they go on in the new one.
TEST_F(UpgradeTest, ALongAnswerGoesOnInTheNewProcess) {
  std::string body(6'000'000, ' ');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>('a' + i % 23);
  ASSERT_TRUE(UntilSays(StartProcess(), "STATUS"));
  for (const bool chunked : {false, true}) {
    Peer& client = *clients_.emplace_back(ConnectTo(loop_, port_));
    const std::string id = chunked ? "long2" : "long1";
    client.Pause();
    client.Send(Get(id));
    Peer* host = nullptr;
    ASSERT_TRUE(Until([&] {
      for (const auto& peer : host_->peers)
        if (peer->Got(id)) host = peer.get();
      return host != nullptr;
    }));
    host->Take();
    std::string text = "HTTP/1.1 200 OK\r\n";
    if (chunked) {
      text += "Transfer-Encoding: chunked\r\n\r\n";
      for (std::size_t at = 0; at < body.size(); at += 50'000)
        text += "C350\r\n" + body.substr(at, 50'000) + "\r\n";
      text += "0\r\n\r\n";
    } else {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    host->Send(text);
    client.Resume();
    ASSERT_TRUE(Until([&] { return client.got.size() > 100'000; }));
    client.Pause();
    Child& old = *processes_.back();
    ASSERT_TRUE(UntilSays(StartProcess(), "STATUS"));
    old.Signal(SIGTERM);
    ASSERT_TRUE(Run([&] { return old.Ended(); }));
    EXPECT_EQ(old.exit_code(), 0);
    EXPECT_FALSE(client.ended);
    client.Resume();
    const auto whole = [&] {
      return chunked ? client.got.ends_with("\r\n0\r\n\r\n") : client.got.size() > body.size();
    };
    ASSERT_TRUE(Run([&] { return whole() || client.ended; })) << client.got.size();
    ASSERT_TRUE(Run([&] { return client.got.ends_with(body.substr(body.size() - 9)) || chunked; }));
    std::string came;
    std::size_t at = client.got.find("\r\n\r\n") + 4;
    while (chunked && at < client.got.size()) {
      const std::size_t line = client.got.find("\r\n", at),
                        size = std::stoul(client.got.substr(at, line - at), nullptr, 16);
      came += client.got.substr(line + 2, size);
      at = line + 4 + size;
      if (size == 0) break;
    }
    if (!chunked) came = client.got.substr(at);
    const auto differ =
        std::mismatch(came.begin(), came.end(), body.begin(), body.end()).first - came.begin();
    EXPECT_TRUE(came == body) << (chunked ? "chunked, " : "") << came.size() << " bytes, another from "
                              << differ;
    client.Take();
    load_ = {{&client, ""}};  // and its connection is good for the next request
    SendNext(load_.back().first, load_.back().second);
    ASSERT_TRUE(RunFor(3));
    load_.clear();
  }
}

TEST_F(UpgradeTest, AHostOutByHandStaysOutWhicheverProcessWasAsked) {
  Child& old = StartProcess();
  ASSERT_TRUE(UntilSays(old, "STATUS"));
  StartLoad(1);
  ASSERT_TRUE(RunFor(5));
  ASSERT_TRUE(UntilSays(old, "SUSPEND h1"));
  Child& next = StartProcess();
  ASSERT_TRUE(UntilSays(next, "STATUS"));
  const std::size_t before = served_;
  const std::size_t refused = refused_;
  ASSERT_TRUE(Run([&] { return refused_ >= refused + 5; }));
  EXPECT_EQ(served_, before);
  ASSERT_TRUE(UntilSays(old, "RESTORE h1"));  // the old one tells the new one
  ASSERT_TRUE(RunFor(5));
  EXPECT_EQ(broken_, 0u);
}

// A new configuration in the middle: both processes take it, and nothing is lost.
TEST_F(UpgradeTest, AHangUpInTheMiddleIsTakenByBoth) {
  Child& old = StartProcess();
  ASSERT_TRUE(UntilSays(old, "STATUS"));
  StartLoad(3);
  Child& next = StartProcess();
  ASSERT_TRUE(Run([&] { return next.AdminPort() != 0; }));
  auto json = config_json_;
  json["settings"]["limits"]["max_attempts"] = 2;
  folder_.Write("gateway.json", json.dump());
  for (Child* child : {&old, &next}) child->Signal(SIGHUP);
  ASSERT_TRUE(UntilSays(next, "STATUS"));
  old.Signal(SIGTERM);
  ASSERT_TRUE(Run([&] { return old.Ended(); }));
  ASSERT_TRUE(RunFor(30));
  for (Child* child : {&old, &next})
    EXPECT_NE(child->Log().find("2 attempts at the most"), std::string::npos) << child->Log();
  ExpectNothingLost();
}

TEST_F(UpgradeTest, ANewProcessThatDiesBeforeTheSwitchCostsNothing) {
  ASSERT_TRUE(UntilSays(StartProcess(), "STATUS"));
  StartLoad(3);
  for (unsigned seed = 1; seed <= 4; ++seed) {
    Child& next = StartProcess();
    ASSERT_TRUE(Run([&] { return next.AdminPort() != 0; }));
    next.Signal(SIGKILL);
    ASSERT_TRUE(RunFor(10 * seed));
  }
  ExpectNothingLost();
}

TEST_F(UpgradeTest, ANewProcessThatDiesAfterTheSwitchLeavesTheOldOneServing) {
  Child& old = StartProcess();
  ASSERT_TRUE(UntilSays(old, "STATUS"));
  Child& next = StartProcess();
  ASSERT_TRUE(UntilSays(next, "STATUS"));
  next.Signal(SIGKILL);
  ASSERT_TRUE(Run([&] { return old.Log().find("this one serves again") != std::string::npos; }));
  StartLoad(3);
  ASSERT_TRUE(RunFor(30)) << old.Log() << last_refusal_;
  ExpectNothingLost();
  Child& third = StartProcess();  // and the next upgrade finds it
  ASSERT_TRUE(UntilSays(third, "STATUS"));
  old.Signal(SIGTERM);
  ASSERT_TRUE(Run([&] { return old.Ended(); }));
  ASSERT_TRUE(RunFor(30)) << old.Log() << third.Log() << last_refusal_;
  ExpectNothingLost();
}

TEST_F(UpgradeTest, AnOldProcessThatDiesLeavesTheNewOneServing) {
  Child& old = StartProcess();
  ASSERT_TRUE(UntilSays(old, "STATUS"));
  Child& next = StartProcess();
  ASSERT_TRUE(Run([&] { return next.AdminPort() != 0; }));
  old.Signal(SIGKILL);
  StartLoad(3);
  ASSERT_TRUE(RunFor(30));
  ExpectNothingLost();
  Child& third = StartProcess();  // a socket file of a dead process was left over
  ASSERT_TRUE(UntilSays(third, "STATUS"));
  ASSERT_TRUE(RunFor(30));
}

TEST_F(UpgradeTest, AnOldProcessThatStandsStillIsNotWaitedForForEver) {
  Child& old = StartProcess();
  ASSERT_TRUE(UntilSays(old, "STATUS"));
  old.Signal(SIGSTOP);
  Child& next = StartProcess();
  ASSERT_TRUE(UntilSays(next, "STATUS"));
  old.Signal(SIGCONT);
  ASSERT_TRUE(Run([&] { return old.Log().find("the new process serves already") != std::string::npos; }));
  StartLoad(3);
  ASSERT_TRUE(RunFor(30));
  ExpectNothingLost();
}

TEST_F(UpgradeTest, WithoutAFolderTheNewProcessServesBesideTheOldOne) {
  Child& old = StartProcess("/nowhere");
  ASSERT_TRUE(UntilSays(old, "STATUS"));
  EXPECT_NE(old.Log().find("upgrade: can't bind /nowhere"), std::string::npos);
  Child& next = StartProcess("/nowhere");
  ASSERT_TRUE(UntilSays(next, "STATUS"));
  StartLoad(3);
  ASSERT_TRUE(RunFor(20));
  EXPECT_EQ(refused_ + broken_, 0u);
}

TEST_F(UpgradeTest, ASocketThatIsNotTheClientsIsAClearError) {
  ::close(listen_fd_);
  listen_fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Child& child = StartProcess();
  ASSERT_TRUE(Run([&] { return child.Ended(); }));
  EXPECT_EQ(child.exit_code(), 1);
  EXPECT_NE(child.Log().find("inherited descriptor 7 does not listen"), std::string::npos) << child.Log();
}

}  // namespace
}  // namespace curlewdoor::net
