// Long answers, and a host that goes dark in the middle of them: is every request ended at its route's
// timeout_ms? Usage: late_answer RECORD
#include "kit.hpp"

namespace {

constexpr int kHosts = 10, kSlots = 40, kRounds = 3, kDarkRound = 1, kClients = 120;
constexpr int kTimeoutMs = 2000;                        // of the route
constexpr std::size_t kAnswer = 240'000, kPieces = 12;  // bytes of an answer, and writes that it comes in
constexpr double kPause = 0.1;                          // before each of them
constexpr double kRoundsApart = 14, kPatience = 13;  // a client waits so long before it calls it unanswered
constexpr double kDarkAfter = 0.6;                   // from the requests of its round

struct Sent {
  std::string id;
  int gateway = 0, round = 0;
  double at = 0, ended = -1;  // seconds; below 0: it had no final answer
  int status = 0;             // 0: none
  std::size_t bytes = 0;      // of its answer, as far as it came
};

// Answers that are under way, by host.
std::mutex under_way_mutex;
std::map<const kit::Host*, int> under_way;

void Count(const kit::Host& host, int by) {
  const std::lock_guard lock(under_way_mutex);
  under_way[&host] += by;
}

// A host works on the request as it answers it.
bool Serve(kit::Record& record, kit::Host& host, kit::Socket& socket, const kit::Message& request) {
  const std::string id = request.Field("x-attempt-id");
  record.Say("run " + id + " at " + host.id() + " deadline " + request.Field("x-deadline-remaining"));
  const std::string bytes = kit::BytesOf(id, kAnswer);
  Count(host, 1);
  if (!kit::Write(socket.fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: " + id +
                                 ".seal\r\nContent-Length: " + std::to_string(kAnswer) + "\r\n\r\n"))
    return false;
  for (std::size_t i = 0; i < kPieces; ++i) {
    kit::Sleep(kPause);
    if (host.dark()) return false;
    if (!kit::Write(socket.fd, bytes.data() + i * (kAnswer / kPieces), kAnswer / kPieces)) return false;
  }
  Count(host, -1);
  record.Say("answered " + id);
  return true;
}

void Ask(const kit::Gateways& gateways, kit::Record& record, Sent& sent) {
  kit::Socket socket;
  if (!kit::Connect(socket, gateways.Ip(sent.gateway), gateways.data())) return;
  sent.at = kit::Seconds();
  record.Say("sent " + sent.id + " to gateway-" + std::to_string(sent.gateway));
  kit::Write(socket.fd, "POST /r/book HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + sent.id +
                            "\r\nX-Deadline-Remaining: 2500\r\nContent-Length: 4\r\n\r\nbook");
  kit::Message answer;
  const auto by = kit::Clock::now() + std::chrono::milliseconds(static_cast<int>(kPatience * 1000));
  const kit::Came came = kit::ReadMessage(socket, answer, by);
  const double now = kit::Seconds();
  sent.bytes = std::max(answer.body.size(), socket.buffer.size());
  const bool whole = came == kit::Came::kBytes;
  if (whole) sent.ended = now, sent.status = answer.status;
  const char* how = whole ? "answer" : came == kit::Came::kNothing ? "nothing yet" : "cut";
  record.Say("got " + sent.id + " " + how + " status " + std::to_string(answer.status) + " bytes " +
             std::to_string(sent.bytes) + " after " + std::to_string(now - sent.at) + " s");
}

}  // namespace

int main(int, char** arguments) {
  kit::Record record(arguments[1]);
  const bool trouble = kit::Troubled();
  kit::Gateways gateways(3, 160, record);
  if (!gateways.Begin(kit::Config("non_idempotent", kTimeoutMs, 1800))) gateways.End(2);
  std::vector<std::unique_ptr<kit::Host>> hosts;
  for (int i = 0; i < kHosts; ++i)
    hosts.push_back(std::make_unique<kit::Host>(
        gateways, i, kSlots, [&record](kit::Host& host, kit::Socket& socket, const kit::Message& request) {
          return Serve(record, host, socket, request);
        }));
  kit::Sleep(4);  // all hosts have beaten, and the core has been settled for longer than contact_ms
  for (const auto& host : hosts)
    if (host->beats() == 0) gateways.End(2);

  std::vector<Sent> all(kClients * kRounds);
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> clients;
    const double began = kit::Seconds();
    for (int i = 0; i < kClients; ++i) {
      Sent& sent = all[static_cast<std::size_t>(round * kClients + i)];
      sent.id = kit::RandomId();
      sent.gateway = i % 3 + 1;
      sent.round = round;
      clients.emplace_back([&gateways, &record, &sent] { Ask(gateways, record, sent); });
    }
    if (trouble && round == kDarkRound) {
      kit::Sleep(kDarkAfter);
      // One host of ten: the one that has the most to answer.
      const std::lock_guard lock(under_way_mutex);
      const auto& busiest = *std::max_element(hosts.begin(), hosts.end(), [](const auto& a, const auto& b) {
        return under_way[a.get()] < under_way[b.get()];
      });
      busiest->GoDark();
      record.Say("trouble: " + busiest->id() + " goes dark, for good, with " +
                 std::to_string(under_way[busiest.get()]) + " answers under way");
    }
    for (std::thread& client : clients) client.join();
    if (round + 1 < kRounds) kit::Sleep(std::max(1.0, began + kRoundsApart - kit::Seconds()));
  }
  if (gateways.Ended() > 0) gateways.End(2);

  int whole = 0, longer = 0, late = 0, never = 0;
  for (const Sent& sent : all) {
    const double took = sent.ended < 0 ? kPatience : sent.ended - sent.at;
    whole += sent.status == 200 && sent.bytes == kAnswer;
    longer += took > kTimeoutMs / 1000.0;
    late += took > kTimeoutMs / 1000.0 + 0.5;
    never += sent.ended < 0;
  }
  const bool broken = late >= 8 && 4 * late > longer;
  record.Say("requests " + std::to_string(all.size()) + ", whole " + std::to_string(whole) +
             ", longer than timeout_ms " + std::to_string(longer) +
             ", of these without a final answer 0.5 s later " + std::to_string(late) +
             ", that never had one " + std::to_string(never));
  record.Say(broken ? "broken: CONFIG" : "held: CONFIG");
  std::printf("longer %d, late %d, never %d: %s\n", longer, late, never, broken ? "broken" : "held");
  gateways.End(broken ? 1 : whole > 0 ? 0 : 2);
}
