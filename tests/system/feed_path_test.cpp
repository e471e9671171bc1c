// The feed of configurations between real processes: three members of a core, and a gateway's peer connection
// that is played here, of a version that fetches and of an earlier one.
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core_scene.hpp"
#include "system/link.hpp"
#include "system/message.hpp"
#include "util/text_delta.hpp"

namespace curlewdoor::systemkit {
namespace {

using namespace curlewdoor::system;

// A gateway as a member sees it; keeps what it is told.
struct StandGateway : Link::Owner {
  StandGateway(CoreScene& in, bool fetches) : scene(in), fetches_(fetches) {}
  void Dial(int member) {
    to = {scene.machines.data_plane(member).ip,
          static_cast<std::uint16_t>(scene.machines.internal_port() + 1)};
    link.SetTargets({to});
    BOOST_REQUIRE(Until([&] { return link.To(to) != nullptr; }));
  }
  void OnUp(Link::Stream& stream) override { stream.Send(Encode(Hello{"stand-in", false, fetches_})); }
  void OnFrame(Link::Stream&, std::string_view frame) override {
    auto message = Decode(frame);
    if (!message) return;
    if (auto* config = std::get_if<Config>(&*message)) configs.push_back(std::move(*config));
    if (auto* announce = std::get_if<Announce>(&*message)) announced.push_back(*announce);
    if (auto* members = std::get_if<Members>(&*message)) rosters.push_back(std::move(*members));
    if (auto* fetched = std::get_if<Fetched>(&*message)) answer = std::move(*fetched);
  }
  void OnDown(Link::Stream&) override {}
  bool Until(const std::function<bool()>& holds) {
    return scene.Until([&] {
      link.KeepHouse();
      return holds();
    });
  }
  // Asks until the answer has this outcome.
  Fetched Ask(Fetch fetch, FetchOutcome outcome) {
    BOOST_REQUIRE(Until([&] {
      if (link.To(to) == nullptr) return false;
      if (answer && static_cast<FetchOutcome>(answer->outcome) == outcome) return true;
      if (fetch.number != 0 && (!answer || answer->number != fetch.number)) return false;
      ++fetch.number;
      answer.reset();
      link.To(to)->Send(Encode(fetch));
      return false;
    }));
    return *std::exchange(answer, std::nullopt);
  }

  CoreScene& scene;
  const bool fetches_;
  net::Descriptors descriptors{64};
  Link link{scene.owner.loop, descriptors, *this, {}, 5};
  Address to;
  std::vector<Config> configs;
  std::vector<Announce> announced;
  std::vector<Members> rosters;
  std::optional<Fetched> answer;
};

Machines::Options Three() {
  Machines::Options options;
  options.program = CURLEWDOOR_PROGRAM;
  options.core = 3;
  return options;
}

BOOST_AUTO_TEST_CASE(an_earlier_version_is_sent_configurations_whole) {
  CoreScene scene(Three());
  BOOST_REQUIRE(scene.Begin());
  StandGateway gateway(scene, false);
  gateway.Dial(0);
  BOOST_TEST(gateway.Until([&] { return gateway.configs.size() >= 2 && !gateway.rosters.empty(); }));
  BOOST_TEST(gateway.configs.back().version > gateway.configs.front().version);
  BOOST_TEST(gateway.configs.back().text.find("config_version") != std::string::npos);
  BOOST_TEST(gateway.announced.empty());
}

BOOST_AUTO_TEST_CASE(who_fetches_is_told_names_and_differences) {
  CoreScene scene(Three());
  BOOST_REQUIRE(scene.Begin());
  StandGateway gateway(scene, true);
  gateway.Dial(1);
  const Fetched whole = gateway.Ask({}, FetchOutcome::kWhole);
  BOOST_TEST(whole.bytes.size() == whole.size);
  BOOST_TEST(StableHash(whole.bytes) == whole.digest);
  BOOST_TEST(!gateway.rosters.empty());  // it knew of no epoch, and its fetch was confirmed
  Fetch next;
  next.base_version = whole.version;
  next.base_digest = whole.digest;
  const Fetched delta = gateway.Ask(next, FetchOutcome::kDelta);
  BOOST_TEST(delta.version > whole.version);
  BOOST_TEST(delta.bytes.size() < whole.size / 2);
  const auto made = ApplyDelta(whole.bytes, delta.bytes, 1 << 20);
  BOOST_REQUIRE(made);
  BOOST_TEST(StableHash(*made) == delta.digest);
  BOOST_TEST(gateway.Until([&] { return gateway.announced.size() >= 2; }));
  BOOST_TEST(gateway.configs.empty());
}

// The two others are gone: what it holds is no longer told, though it holds it.
BOOST_AUTO_TEST_CASE(a_member_without_a_majority_tells_nothing) {
  CoreScene scene(Three());
  BOOST_REQUIRE(scene.Begin());
  scene.machines.Kill({1, 2});
  StandGateway gateway(scene, true);
  gateway.Dial(0);
  const Fetched declined = gateway.Ask({}, FetchOutcome::kNotNow);
  BOOST_TEST(declined.version == 0u);
  BOOST_TEST(gateway.configs.empty());
  BOOST_TEST(gateway.rosters.empty());
  scene.Restart(1);
  BOOST_TEST(gateway.Ask({}, FetchOutcome::kWhole).version > 0u);
}

}  // namespace
}  // namespace curlewdoor::systemkit
