// Clients that send requests ahead, and many of them at once: does the gateway answer what it has passed on?
// Usage: many_at_once RECORD
#include "kit.hpp"

namespace {

constexpr int kHosts = 10, kSlots = 64, kAhead = 8;
constexpr int kClients = 75, kBurstClients = 52;  // 127 are 1.69 times 75
constexpr double kCalm = 8, kBurst = 3, kBetween = 5;
constexpr int kBursts = 4;
constexpr std::size_t kAnswer = 100'000;  // bytes
constexpr int kTimeoutMs = 10'000, kTargetMs = 4'000;

struct Sent {
  double at = 0;
  bool kept = false;  // its connection had brought an answer before
  bool passed_on = false, answered = false, cut = false;
};
std::mutex mutex;
std::map<std::string, Sent> all;
std::atomic<bool> over = false;
std::atomic<double> burst_until = 0;

// Most work takes 0.2 to 0.45 s, one in a hundred three times as long.
double Work(const std::string& id) {
  const unsigned long long number = std::strtoull(id.c_str(), nullptr, 16);
  const double work = 0.2 + 0.25 * static_cast<double>(number % 1000) / 1000;
  return number / 1000 % 100 == 0 ? 3 * work : work;
}

bool Serve(kit::Record& record, kit::Host& host, kit::Socket& socket, const kit::Message& request) {
  const std::string id = request.Field("x-attempt-id");
  {
    const std::lock_guard lock(mutex);
    all[id].passed_on = true;
  }
  record.Say("run " + id + " at " + host.id());
  kit::Sleep(Work(id));
  return kit::Write(socket.fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: " + id +
                                   ".seal\r\nContent-Length: " + std::to_string(kAnswer) + "\r\n\r\n" +
                                   kit::BytesOf(id, kAnswer));
}

// Eight requests at once on a kept connection, and their answers one after the other.
void Ask(const kit::Gateways& gateways, kit::Record& record, const std::function<bool()>& goes_on) {
  while (goes_on()) {
    kit::Socket socket;
    if (!kit::Connect(socket, gateways.Ip(1), gateways.data())) {
      kit::Sleep(0.1);
      continue;
    }
    for (int batch = 0; goes_on(); ++batch) {
      std::vector<std::string> ids;
      std::string bytes;
      for (int i = 0; i < kAhead; ++i) {
        ids.push_back(kit::RandomId());
        bytes += "GET /r/read HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + ids.back() +
                 "\r\nX-Deadline-Remaining: 10000\r\n\r\n";
        const std::lock_guard lock(mutex);
        Sent& sent = all[ids.back()];
        sent.at = kit::Seconds();
        sent.kept = batch > 0;
      }
      std::string line = "sent at once";
      for (const std::string& id : ids) line += " " + id;
      record.Say(line);
      bool good = kit::Write(socket.fd, bytes), closes = false;
      for (std::size_t i = 0; good && i < ids.size(); ++i) {
        kit::Message answer;
        good = kit::ReadMessage(socket, answer, kit::Clock::now() + std::chrono::seconds(12)) ==
               kit::Came::kBytes;
        if (!good) break;
        closes = answer.Field("connection") == "close";
        const std::lock_guard lock(mutex);
        all[ids[i]].answered = true;
        if (closes) break;
      }
      if (good && !closes) continue;
      // Behind an answer that closes the connection requests count as not read: only what was cut counts.
      const std::lock_guard lock(mutex);
      for (const std::string& id : ids)
        if (!closes && !all[id].answered) all[id].cut = true, record.Say("cut " + id);
      break;
    }
  }
}

}  // namespace

int main(int, char** arguments) {
  kit::Record record(arguments[1]);
  const bool trouble = kit::Troubled();
  kit::Gateways gateways(3, 160, record, false);
  if (!gateways.Begin(kit::Config("idempotent", kTimeoutMs, kTargetMs))) gateways.End(2);
  std::vector<std::unique_ptr<kit::Host>> hosts;
  for (int i = 0; i < kHosts; ++i)
    hosts.push_back(std::make_unique<kit::Host>(
        gateways, i, kSlots, [&record](kit::Host& host, kit::Socket& socket, const kit::Message& request) {
          return Serve(record, host, socket, request);
        }));
  kit::Sleep(4);  // all hosts have beaten, and the core has been settled for longer than contact_ms
  for (const auto& host : hosts)
    if (host->beats() == 0) gateways.End(2);

  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&] { Ask(gateways, record, [] { return !over; }); });
  kit::Sleep(kCalm);
  for (int burst = 0; burst < kBursts; ++burst) {
    std::vector<std::thread> more;
    if (trouble) {
      record.Say("trouble: many users come at once");
      const double until = kit::Seconds() + kBurst;
      for (int i = 0; i < kBurstClients; ++i)
        more.emplace_back([&, until] { Ask(gateways, record, [until] { return kit::Seconds() < until; }); });
    }
    kit::Sleep(kBurst + kBetween);
    for (std::thread& client : more) client.join();
  }
  over = true;
  for (std::thread& client : clients) client.join();
  record.Say("the gateway's peak of resident memory: " + std::to_string(gateways.PeakMegabytes(1)) +
             " of 160 MB");
  if (gateways.Ended() > 0) gateways.End(2);

  const std::lock_guard lock(mutex);
  int answered = 0, cut = 0, lost = 0;
  for (const auto& [id, sent] : all) {
    answered += sent.answered;
    cut += sent.cut;
    lost += sent.cut && sent.kept && sent.passed_on;
  }
  const bool broken = lost > 3;
  record.Say("requests " + std::to_string(all.size()) + ", answered " + std::to_string(answered) + ", cut " +
             std::to_string(cut) + ", of these passed on from a kept connection " + std::to_string(lost));
  record.Say(broken ? "broken: LOST" : "held: LOST");
  std::printf("answered %d, cut %d, lost %d: %s\n", answered, cut, lost, broken ? "broken" : "held");
  gateways.End(broken ? 1 : answered > 0 ? 0 : 2);
}
