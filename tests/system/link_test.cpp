#include "system/link.hpp"

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "loop.hpp"
#include "net/socket_io.hpp"

namespace curlewdoor::system {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kHere = 0x7f000001;

std::uint16_t FreePort() {
  Address bound;
  std::string error;
  const int fd = net::ListenOn({kHere, 0}, bound, error);
  ::close(fd);
  return bound.port;
}

// One gateway's link, and what it saw.
struct Side : Link::Owner {
  Side(Loop& loop, memory::Budget* memory) : Side(loop, Link::Options{}, memory) {}
  Side(Loop& loop, Link::Options options = {}, memory::Budget* memory = nullptr)
      : descriptors(256, false, false, false, memory), link(loop.get(), descriptors, *this, options, 7) {
    std::string error;
    BOOST_REQUIRE_MESSAGE(link.Listen(address, error), error);
  }
  void OnUp(Link::Stream& stream) override {
    ++ups;
    last = &stream;
    last_from = stream.to().ip;
  }
  void OnFrame(Link::Stream& stream, std::string_view frame) override {
    frames.emplace_back(frame);
    if (closes_on_frame) stream.Close();
  }
  void OnDown(Link::Stream& stream) override {
    ++downs;
    if (last == &stream) last = nullptr;
  }

  net::Descriptors descriptors;
  const Address address{kHere, FreePort()};
  int ups = 0, downs = 0;
  std::uint32_t last_from = 0;
  Link::Stream* last = nullptr;  // that came up
  std::vector<std::string> frames;
  bool closes_on_frame = false;
  Link link;
};

struct Pair {
  explicit Pair(Link::Options options = {}) : a(loop, options), b(loop, options) {
    a.link.SetTargets({b.address});
    BOOST_REQUIRE(Until([&] { return a.ups == 1 && b.ups == 1; }));
  }
  bool Until(const std::function<bool()>& holds, milliseconds deadline = seconds(10)) {
    return loop.Until(
        holds, [&] { a.link.KeepHouse(), b.link.KeepHouse(); }, deadline);
  }
  Loop loop;
  Side a, b;
};

std::string Framed(std::string_view frame) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>(frame.size() >> shift);
  return bytes.append(frame);
}

BOOST_AUTO_TEST_CASE(FramesComeWholeAndInOrderBothWays) {
  Pair pair;
  Link::Stream* there = pair.a.link.To(pair.b.address);
  BOOST_REQUIRE(there != nullptr);
  BOOST_TEST(there->dialled());
  BOOST_TEST(!pair.b.last->dialled());
  std::mt19937_64 rng(1);
  std::vector<std::string> sent;
  for (int i = 0; i < 300; ++i)
    sent.emplace_back(1 + rng() % (i % 10 == 0 ? 30'000 : 50), static_cast<char>(i));
  for (const std::string& frame : sent) {
    there->Send(frame);
    pair.b.last->Send(frame);
  }
  BOOST_TEST(pair.Until([&] { return pair.a.frames.size() >= 300 && pair.b.frames.size() >= 300; }));
  BOOST_TEST((pair.b.frames == sent));
  BOOST_TEST((pair.a.frames == sent));
}

BOOST_AUTO_TEST_CASE(TheLargestFrameComesAndALargerOneIsNotSent) {
  Pair pair;
  pair.a.link.To(pair.b.address)->Send(std::string(kMostFrame + 1, 'x'));
  pair.a.link.To(pair.b.address)->Send(std::string(kMostFrame, 'y'));
  BOOST_TEST(pair.Until([&] { return !pair.b.frames.empty(); }));
  BOOST_TEST(pair.b.frames.at(0).size() == kMostFrame);
  BOOST_TEST(pair.a.downs == 0);
}

// However the bytes are cut: every place, one byte at a time, and many frames at once.
BOOST_AUTO_TEST_CASE(TornFramesAreWhole) {
  Loop loop;
  Side side(loop);
  const std::string bytes = Framed("one") + Framed("") + Framed(std::string(300, 't')) + Framed("three");
  Plain plain(loop.get(), side.address.port);
  std::size_t wanted = 0;
  const auto came = [&] { return side.frames.size() >= wanted; };
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    plain.Write(std::string_view(bytes).substr(0, cut));
    ev_run(loop.get(), EVRUN_NOWAIT);
    plain.Write(std::string_view(bytes).substr(cut));
    wanted += 3;
    BOOST_REQUIRE(loop.Until(came));
  }
  for (const char byte : bytes) {
    plain.Write({&byte, 1});
    ev_run(loop.get(), EVRUN_NOWAIT);
  }
  std::string many;
  for (int i = 0; i < 200; ++i) many += bytes;
  plain.Write(many);
  wanted += 3 * 201;
  BOOST_REQUIRE(loop.Until(came));
  BOOST_TEST(side.frames.size() == wanted);
  for (std::size_t i = 0; i < side.frames.size(); i += 3) {
    BOOST_REQUIRE_EQUAL(side.frames[i], "one");
    BOOST_REQUIRE_EQUAL(side.frames[i + 1].size(), 300u);
    BOOST_REQUIRE_EQUAL(side.frames[i + 2], "three");
  }
}

BOOST_AUTO_TEST_CASE(AnOversizedLengthCloses) {
  Loop loop;
  Side side(loop);
  for (const std::string& bytes : {std::string("\xff\xff\xff\xff", 4), std::string("\0\x90\0\x01x", 5),
                                   std::string("GET / HTTP/1.1\r\n\r\n")}) {
    Plain plain(loop.get(), side.address.port);
    plain.Write(Framed("before") + bytes + Framed("behind"));
    BOOST_TEST(loop.Until([&] { return plain.over; }));
  }
  BOOST_TEST(side.frames.size() == 3u);  // what came before, and nothing behind
  BOOST_TEST(side.downs == 3);
  BOOST_TEST(side.link.dropped() == 3u);
}

BOOST_AUTO_TEST_CASE(AnOwnerMayCloseFromWithinAFrame) {
  Loop loop;
  Side side(loop);
  side.closes_on_frame = true;
  Plain plain(loop.get(), side.address.port);
  plain.Write(Framed("one") + Framed("two"));
  BOOST_TEST(loop.Until([&] { return plain.over; }, [&] { side.link.KeepHouse(); }));
  BOOST_TEST(side.frames.size() == 1u);
  BOOST_TEST(side.downs == 1);
}

// Idle streams say that they stand; one that says nothing is found, and only that one.
BOOST_AUTO_TEST_CASE(SilentStreamsAreFound) {
  Link::Options options;
  options.beat = milliseconds(50);
  options.silent = milliseconds(300);
  Pair pair(options);
  Plain silent(pair.loop.get(), pair.a.address.port);
  BOOST_REQUIRE(pair.Until([&] { return pair.a.ups == 2; }));
  BOOST_TEST(pair.Until([&] { return pair.a.downs == 1; }));
  BOOST_TEST(pair.Until([&] { return silent.over; }));
  BOOST_TEST(!pair.Until([&] { return pair.a.downs + pair.b.downs > 1; }, milliseconds(600)));
  BOOST_TEST(pair.a.link.To(pair.b.address) != nullptr);
  BOOST_TEST(silent.came.size() >= 8u);  // it was told that we are there
}

BOOST_AUTO_TEST_CASE(AListenerThatNeverAnswersIsDialledAgain) {
  Loop loop;
  Side side(loop);
  const Address nobody{kHere, FreePort()};
  side.link.SetTargets({nobody});
  int turns = 0;
  loop.Until([&] { return turns >= 60; }, [&] { ++turns, side.link.KeepHouse(); });
  BOOST_TEST(side.ups == 0);
  BOOST_TEST(side.downs == 0);
  BOOST_TEST(side.link.To(nobody) == nullptr);
  BOOST_TEST(side.descriptors.held(net::Use::kHost) == 0);
}

BOOST_AUTO_TEST_CASE(APeerThatReadsNothingIsDroppedAtTheBound) {
  Loop loop;
  Side side(loop);
  Plain deaf(loop.get(), side.address.port, false);
  BOOST_REQUIRE(loop.Until([&] { return side.last != nullptr; }));
  const std::string frame(1024 * 1024, 'x');
  int sent = 0;
  for (; side.last != nullptr && sent < 100; ++sent) {
    side.last->Send(frame);
    if (side.last != nullptr) BOOST_REQUIRE_LE(side.last->unwritten(), kMostUnwritten + 4);
  }
  BOOST_TEST(side.downs == 1);
  BOOST_TEST(sent > 10);  // what is held is of use to one that is only slow
  BOOST_TEST(sent < 60);
  side.link.KeepHouse();
  BOOST_TEST(side.descriptors.held(net::Use::kClient) == 0);
}

// Guards against streams of nobody that take what peers need.
BOOST_AUTO_TEST_CASE(WhoeverHasNoNameMakesRoomForAPeer) {
  Loop loop;
  Side side(loop);
  const auto most = static_cast<std::size_t>(side.descriptors.most(net::Use::kClient));
  std::vector<std::unique_ptr<Plain>> silent;
  for (std::size_t i = 0; i < most; ++i)
    silent.push_back(std::make_unique<Plain>(loop.get(), side.address.port));
  BOOST_REQUIRE(loop.Until([&] { return side.ups == static_cast<int>(most); }));
  side.last->name = "peer";  // it has said so
  Plain late(loop.get(), side.address.port);
  BOOST_REQUIRE(loop.Until([&] { return silent.front()->over; }));  // the one that came first
  BOOST_TEST(side.ups == static_cast<int>(most) + 1);
  BOOST_TEST(!late.over);
  BOOST_TEST(!silent.back()->over);
  BOOST_TEST(side.link.evicted() == 1u);
}

BOOST_AUTO_TEST_CASE(ALongFrameIsTakenOnlyWhereTheOwnerAllowsIt) {
  Loop loop;
  Side side(loop);
  for (const std::size_t length : {kMostFirstFrame, kMostFirstFrame + 1}) {
    Plain stranger(loop.get(), side.address.port);
    BOOST_REQUIRE(loop.Until([&] { return side.last != nullptr; }));
    side.last->most_frame = kMostFirstFrame;
    const char head[] = {0, 0, static_cast<char>(length >> 8), static_cast<char>(length)};
    stranger.Write(std::string(head, sizeof head) + std::string(100, 'f'));
    const bool closed = loop.Until([&] { return stranger.over; }, {}, milliseconds(300));
    BOOST_TEST(closed == (length > kMostFirstFrame));
    if (side.last != nullptr) side.last->Close();
  }
}

// What the nameless hold goes first, then whoever holds most.
BOOST_AUTO_TEST_CASE(StreamsThatHoldTooMuchAreClosed) {
  Loop loop;
  memory::Budget memory(16 * 1024 * 1024);  // 2 MiB for peers
  Side side(loop, &memory);
  Plain deaf(loop.get(), side.address.port, false);
  BOOST_REQUIRE(loop.Until([&] { return side.last != nullptr; }));
  Link::Stream* const named = side.last;
  named->name = "peer";
  Plain nameless(loop.get(), side.address.port, false);
  BOOST_REQUIRE(loop.Until([&] { return side.last != nullptr && side.last != named; }));
  side.last->Send(std::string(1024 * 1024, 'x'));
  side.link.RelieveMemory();
  BOOST_TEST(side.downs == 0);
  named->Send(std::string(1536 * 1024, 'x'));
  side.link.RelieveMemory();
  BOOST_TEST(side.downs == 1);
  BOOST_TEST(named->up());
  named->Send(std::string(1536 * 1024, 'x'));
  side.link.RelieveMemory();
  BOOST_TEST(side.downs == 2);
  BOOST_TEST(memory.held() == 0u);
}

BOOST_AUTO_TEST_CASE(SetTargetsClosesThoseThatAreGone) {
  Pair pair;
  Side other(pair.loop);
  pair.a.link.SetTargets({pair.b.address, other.address});
  BOOST_REQUIRE(pair.Until([&] { return pair.a.link.To(other.address) != nullptr; }));
  Link::Stream* kept = pair.a.link.To(other.address);
  pair.a.link.SetTargets({other.address});
  BOOST_TEST(pair.a.link.To(pair.b.address) == nullptr);
  BOOST_TEST(pair.a.link.To(other.address) == kept);
  BOOST_TEST(pair.a.downs == 1);
  BOOST_TEST(pair.Until([&] { return pair.b.downs == 1; }));
  pair.a.link.SetTargets({});
  BOOST_TEST(pair.a.downs == 2);
  pair.a.link.SetTargets({pair.b.address});  // and it comes back
  BOOST_TEST(pair.Until([&] { return pair.a.link.To(pair.b.address) != nullptr; }));
}

// A relay between gateways tells by it who dials.
BOOST_AUTO_TEST_CASE(DialsFromTheAddressThatIsGiven) {
  Link::Options options;
  options.from_ip = kHere + 6;
  Pair pair(options);
  BOOST_TEST(pair.b.last_from == kHere + 6);
}

// One that was closed is dialled again, by itself.
BOOST_AUTO_TEST_CASE(ALostStreamComesBack) {
  Pair pair;
  for (int i = 2; i <= 4; ++i) {
    pair.b.last->Close();
    BOOST_REQUIRE(pair.Until([&] { return pair.a.downs == i - 1 && pair.a.ups == i && pair.b.ups == i; }));
  }
  pair.a.link.To(pair.b.address)->Send("still there");
  BOOST_TEST(pair.Until([&] { return pair.b.frames.size() == 1; }));
}

}  // namespace
}  // namespace curlewdoor::system
