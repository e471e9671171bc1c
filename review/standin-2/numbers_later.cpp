// A core that has lost a disk, and is asked for numbers and locks only afterwards: does it answer? Usage:
// numbers_later RECORD
#include "kit.hpp"

namespace {

constexpr double kSyncTime = 6;  // sync_time_s
constexpr double kAsk = 20;      // every call is repeated for 3 s at least
constexpr int kGateways = 3;

// Asks each gateway once. How many said 200.
int Ask(const kit::Gateways& gateways, kit::Record& record, const std::string& path,
        const std::string& body) {
  int good = 0;
  for (int m = 1; m <= kGateways; ++m) {
    const int status = kit::Call(gateways.Ip(m), gateways.control(), "POST", path, body);
    record.Say("POST " + path + " at gateway-" + std::to_string(m) + ": " + std::to_string(status));
    good += status == 200;
  }
  return good;
}

bool AwaitReady(const kit::Gateways& gateways, int m) {
  for (const double by = kit::Seconds() + 15; kit::Seconds() < by; kit::Sleep(0.1))
    if (kit::Call(gateways.Ip(m), gateways.readiness(), "GET", "/v1/readiness") == 200) return true;
  return false;
}

}  // namespace

int main(int, char** arguments) {
  kit::Record record(arguments[1]);
  kit::Gateways gateways(kGateways, 160, record);
  for (int m = 1; m <= kGateways; ++m) gateways.WriteSettings(m, true, false);
  if (!gateways.Begin(kit::Config("idempotent", 2000, 1000))) gateways.End(2);
  for (int m = 1; m <= kGateways; ++m) gateways.WriteSettings(m, false, false);
  kit::Sleep(4);

  if (kit::Troubled()) {
    record.Say("trouble: gateway-2 loses its disk, and starts again at its old address");
    gateways.Signal(2, SIGKILL);
    gateways.Await(2);
    gateways.LoseDisk(2);
    gateways.Start(2);
    if (!AwaitReady(gateways, 2)) gateways.End(2);
  }
  kit::Sleep(kSyncTime + 2);

  for (int m = 1; m <= kGateways; ++m) {  // in turn, each one sync_time_s after the one before is back
    gateways.WriteSettings(m, false, true);
    gateways.Signal(m, SIGTERM);
    const int code = gateways.Await(m);
    gateways.Start(m);
    record.Say("planned: gateway-" + std::to_string(m) + " has ended with " + std::to_string(code) +
               ", and starts with \"coord\" among its active_contracts");
    if (code != 0 || !AwaitReady(gateways, m)) gateways.End(2);
    kit::Sleep(kSyncTime + 1);
  }

  int numbers = 0, locks = 0;
  for (const double by = kit::Seconds() + kAsk; kit::Seconds() < by; kit::Sleep(0.5)) {
    numbers += Ask(gateways, record, "/v1/numbers/n2", "{}");
    locks += Ask(gateways, record, "/v1/locks/l1f/begin", "{\"holder\":\"a3.7\",\"hold_ms\":3000}");
  }
  const int config = kit::Call(gateways.Ip(1), gateways.control(), "GET", "/v1/config/read");
  record.Say("GET /v1/config/read at gateway-1: " + std::to_string(config));
  if (gateways.Ended() > 0) gateways.End(2);
  const bool broken = numbers == 0 && locks == 0;
  record.Say("numbers given " + std::to_string(numbers) + ", locks given " + std::to_string(locks));
  record.Say(broken ? "broken: LOST" : "held: LOST");
  std::printf("numbers %d, locks %d, config %d: %s\n", numbers, locks, config, broken ? "broken" : "held");
  gateways.End(broken ? 1 : numbers > 0 && locks > 0 ? 0 : 2);
}
