// Calls at the control address: "METHOD PATH", a line's end, and the body.
#include <optional>
#include <string>

#include "service_registry/command.hpp"
#include "system/command.hpp"
#include "target.hpp"
#include "util/address.hpp"

namespace curlewdoor::service_registry {

void CheckHeartbeat(const Heartbeat& heartbeat) {
  FUZZ_REQUIRE(!heartbeat.id.empty() && heartbeat.id.size() <= kMaxNameBytes);
  for (const char c : heartbeat.id) FUZZ_REQUIRE(c > ' ' && c <= '~' && c != '/');
  FUZZ_REQUIRE(!heartbeat.service.empty());
  for (const std::string* text : {&heartbeat.service, &heartbeat.zone, &heartbeat.version}) {
    FUZZ_REQUIRE(text->size() <= kMaxNameBytes);
    for (const unsigned char c : *text) FUZZ_REQUIRE(c >= 0x20 && c != 0x7f);
  }
  const auto address = ParseAddress(heartbeat.address);
  FUZZ_REQUIRE(address && address->ip != 0 && address->port != 0 && address->ToText() == heartbeat.address);
  FUZZ_REQUIRE(heartbeat.slots >= 0 && heartbeat.slots <= kMaxSlots);
  FUZZ_REQUIRE(heartbeat.sequence <= kMaxSequence);
  FUZZ_REQUIRE(heartbeat.warmup_left.count() >= 0 && heartbeat.warmup_left <= kMaxWarmup);
}

void Check(std::string_view input) {
  const std::size_t line = std::min(input.find('\n'), input.size());
  const std::string_view head = input.substr(0, line);
  const std::size_t blank = std::min(head.find(' '), head.size());
  const std::string_view method = head.substr(0, blank);
  const std::string_view path = head.substr(std::min(head.size(), blank + 1));
  std::string body(input.substr(std::min(input.size(), line + 1)));
  try {
    const auto report = system::DecodeReport(method, path);
    if (report) {
      FUZZ_REQUIRE(path.starts_with(system::kReportPaths));
      if (const auto* tenant = std::get_if<system::ReportTenant>(&*report)) {
        FUZZ_REQUIRE(!tenant->name.empty());
        FUZZ_REQUIRE(system::DecodeName(system::EncodeName(tenant->name)) == tenant->name);
      }
      return;
    }
    const std::size_t size = body.size();
    const Command command = Decode(method, path, std::move(body));
    if (const auto* heartbeat = std::get_if<Heartbeat>(&command)) CheckHeartbeat(*heartbeat);
    if (const auto* leave = std::get_if<Deregistration>(&command))
      FUZZ_REQUIRE(!leave->id.empty() && leave->id.size() <= kMaxNameBytes);
    if (const auto* put = std::get_if<ReplaceConfig>(&command)) FUZZ_REQUIRE(put->text.size() == size);
  } catch (const CallError& error) {
    FUZZ_REQUIRE(error.status == 400 || error.status == 404 || error.status == 405 || error.status == 413);
    FUZZ_REQUIRE(!error.text.empty());
  }
}

}  // namespace curlewdoor::service_registry

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  curlewdoor::service_registry::Check(curlewdoor::fuzz::View(data, size));
  return 0;
}
