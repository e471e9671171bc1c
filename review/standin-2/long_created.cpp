// A gateway is told to end while hosts are at work on requests that they answer 201 at length: does their
// answer reach the client? Usage: long_created RECORD
#include "kit.hpp"

namespace {

constexpr int kHosts = 4, kSlots = 20, kClients = 24;
constexpr std::size_t kAnswer = 200'000, kPieces = 10;  // bytes of an answer, and writes that it comes in
constexpr double kWork = 0.6, kPause = 0.1;             // before the head, and before each write
constexpr double kTermAfter = 0.3;                      // from the requests

struct Sent {
  int gateway = 0, status = 0;
  bool sealed = false;
  bool begun = false, done = false;  // at its host
  double broken_off = -1;            // when its host found its connection closed, at work
};
std::mutex mutex;
std::map<std::string, Sent> all;

bool Serve(kit::Record& record, kit::Host& host, kit::Socket& socket, const kit::Message& request) {
  const std::string id = request.Field("x-attempt-id");
  const auto note = [&id](auto change) {
    const std::lock_guard lock(mutex);
    change(all[id]);
  };
  record.Say("run " + id + " at " + host.id());
  note([](Sent& sent) { sent.begun = true; });
  kit::Sleep(kWork);
  const std::string bytes = kit::BytesOf(id, kAnswer);
  bool good =
      kit::Write(socket.fd, "HTTP/1.1 201 Created\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: " + id +
                                ".seal\r\nContent-Length: " + std::to_string(kAnswer) + "\r\n\r\n");
  for (std::size_t i = 0; good && i < kPieces; ++i) {
    kit::Sleep(kPause);
    char byte = 0;  // whether the gateway has closed the connection
    good = ::recv(socket.fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) != 0 &&
           kit::Write(socket.fd, bytes.data() + i * (kAnswer / kPieces), kAnswer / kPieces);
  }
  note([good](Sent& sent) {
    sent.done = good;
    if (!good) sent.broken_off = kit::Seconds();
  });
  record.Say((good ? "answered " : "broken off at work ") + id);
  return good;
}

}  // namespace

int main(int, char** arguments) {
  kit::Record record(arguments[1]);
  const bool trouble = kit::Troubled();
  kit::Gateways gateways(3, 160, record);
  if (!gateways.Begin(kit::Config("non_idempotent", 8000, 4000))) gateways.End(2);
  std::vector<std::unique_ptr<kit::Host>> hosts;
  for (int i = 0; i < kHosts; ++i)
    hosts.push_back(std::make_unique<kit::Host>(
        gateways, i, kSlots, [&record](kit::Host& host, kit::Socket& socket, const kit::Message& request) {
          return Serve(record, host, socket, request);
        }));
  kit::Sleep(4);
  for (const auto& host : hosts)
    if (host->beats() == 0) gateways.End(2);

  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&gateways, &record, i] {
      const std::string id = kit::RandomId();
      kit::Socket socket;
      if (!kit::Connect(socket, gateways.Ip(i % 3 + 1), gateways.data())) return;
      {
        const std::lock_guard lock(mutex);
        all[id].gateway = i % 3 + 1;
      }
      record.Say("sent " + id + " to gateway-" + std::to_string(i % 3 + 1));
      kit::Write(socket.fd, "POST /r/file HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id +
                                "\r\nX-Deadline-Remaining: 8000\r\nContent-Length: 4\r\n\r\nfile");
      kit::Message answer;
      kit::ReadMessage(socket, answer, kit::Clock::now() + std::chrono::seconds(9));
      record.Say("got " + id + " status " + std::to_string(answer.status) + " bytes " +
                 std::to_string(answer.body.size()) + " seal '" + answer.Field("x-response-seal") + "'");
      const std::lock_guard lock(mutex);
      all[id].status = answer.status;
      all[id].sealed = !answer.Field("x-response-seal").empty();
    });
  kit::Sleep(kTermAfter);
  const double term = kit::Seconds();
  if (trouble) {
    gateways.Signal(1, SIGTERM);
    record.Say("trouble: SIGTERM to gateway-1");
  }
  for (std::thread& client : clients) client.join();
  kit::Sleep(1);
  if (trouble) record.Say("gateway-1 has ended with " + std::to_string(gateways.Await(1)));
  if (gateways.Ended() > 0) gateways.End(2);

  int run = 0, replaced = 0, elsewhere = 0;
  for (const auto& [id, sent] : all) {
    run += sent.begun;
    const bool own = sent.status != 0 && !sent.sealed && sent.broken_off >= term;
    replaced += trouble && sent.gateway == 1 && own;
    elsewhere += own && !(trouble && sent.gateway == 1);
  }
  const bool broken = replaced > 0;
  record.Say("run " + std::to_string(run) +
             ", broken off at work and answered by the ending gateway itself " + std::to_string(replaced) +
             ", the same at gateways that don't end " + std::to_string(elsewhere));
  record.Say(broken ? "broken: LOST" : "held: LOST");
  std::printf("run %d, replaced %d, elsewhere %d: %s\n", run, replaced, elsewhere,
              broken ? "broken" : "held");
  gateways.End(broken ? 1 : run == kClients ? 0 : 2);
}
