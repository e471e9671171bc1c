// Entries of the directory as they pass between gateways and lie in storage.
#include <chrono>
#include <string>

#include "service_registry/codec.hpp"
#include "service_registry/command.hpp"
#include "service_registry/service_registry.hpp"
#include "target.hpp"

namespace curlewdoor::service_registry {

void Check(std::string_view bytes) {
  const Time now = Time(std::chrono::hours(1000));
  const auto entries = Decode(bytes, now);
  if (!entries) return;
  FUZZ_REQUIRE(entries->size() <= kMaxEntries);
  ServiceRegistry merged;
  for (const HostEntry& entry : *entries) {
    FUZZ_REQUIRE(!entry.id.empty() && entry.id.size() <= kMaxNameBytes);
    FUZZ_REQUIRE(entry.service.size() <= kMaxNameBytes && entry.zone.size() <= kMaxNameBytes);
    FUZZ_REQUIRE(entry.slots >= 0 && entry.slots <= kMaxSlots);
    FUZZ_REQUIRE(entry.sequence <= kMaxSequence && entry.details_sequence <= entry.sequence);
    FUZZ_REQUIRE(entry.unavailable_since <= now && entry.warm_at >= now);
    FUZZ_REQUIRE(entry.removed() || !entry.address.empty());
    merged.Merge(now, entry);
  }
  const std::string written = Encode(*entries, now);
  const auto again = Decode(written, now);
  FUZZ_REQUIRE(again && again->size() == entries->size() && Encode(*again, now) == written);
  // What the directory makes of it can be told on.
  FUZZ_REQUIRE(Decode(Encode(merged.All(), now), now));
}

}  // namespace curlewdoor::service_registry

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  curlewdoor::service_registry::Check(curlewdoor::fuzz::View(data, size));
  return 0;
}
