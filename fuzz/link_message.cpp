// What gateways say to each other on the link: a message that is read is written and read as the same one.
#include <cmath>
#include <cstdlib>
#include <string>
#include <variant>

#include "system/message.hpp"
#include "target.hpp"

namespace curlewdoor::system {

void Check(std::string_view bytes) {
  const auto message = Decode(bytes);
  if (!message) return;
  if (const auto* refreshed = std::get_if<Refreshed>(&*message))
    FUZZ_REQUIRE(refreshed->beats.size() <= 2 * kMostRefreshed);
  if (const auto* clock = std::get_if<Clock>(&*message))
    FUZZ_REQUIRE(std::abs(clock->asked_us) <= kMostMicros && std::abs(clock->told_us) <= kMostMicros);
  if (const auto* add = std::get_if<AddUnits>(&*message)) FUZZ_REQUIRE(std::abs(add->amount) <= kMostAmount);
  if (const auto* total = std::get_if<Total>(&*message)) FUZZ_REQUIRE(std::abs(total->total) <= kMostAmount);
  const std::string written = Encode(*message);
  const auto again = Decode(written);
  FUZZ_REQUIRE(again && Encode(*again) == written);
}

}  // namespace curlewdoor::system

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  curlewdoor::system::Check(curlewdoor::fuzz::View(data, size));
  return 0;
}
