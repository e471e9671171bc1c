// Clients that send further idempotent requests before the first has been answered (PROTOCOL.md, "Requests").
//
//   reader IP PORT LOG SECONDS CLIENTS AHEAD
//
// Each of CLIENTS keeps a connection, on which it asks for one picture, and then again and again for one
// article and AHEAD pictures behind it. Where the connection ends it opens another one and goes on. LOG gets
// a line of each request: the time at which it was sent, its id, its target, and how it ended: the status of
// a whole answer, "cut" in the middle of its answer, or "none" where its connection ended before its answer.
#include <thread>
#include <vector>

#include "http.hpp"

using namespace standin;

namespace {

constexpr int kDeadlineMs = 5000;

struct Asked {
  std::string id, target, outcome = "none";
  std::int64_t sent = 0;
};

// Tells whether the connection goes on.
bool ReadAnswer(Connection& connection, Asked& asked) {
  const auto head = connection.ReadHead();
  if (!head) return false;
  asked.outcome = "cut";
  if (!HeaderOf(*head, "transfer-encoding").empty()) {
    for (;;) {
      const auto line = connection.ReadLine();
      if (!line) return false;
      const auto size = std::strtoul(line->c_str(), nullptr, 16);
      if (!connection.Read(size + 2)) return false;
      if (size == 0) break;
    }
  } else if (!connection.Read(std::strtoul(HeaderOf(*head, "content-length").c_str(), nullptr, 10))) {
    return false;
  }
  asked.outcome = std::to_string(StatusOf(*head));
  return HeaderOf(*head, "connection") != "close";
}

void Client(const std::string& ip, int port, int number, int ahead, std::int64_t ends, Log& log) {
  int next = 0;
  const auto ask = [&](const std::string& target) {
    return Asked{std::to_string(number) + "-" + std::to_string(++next), target, "none", NowMs()};
  };
  const auto bytes_of = [](const Asked& asked) {
    return "GET " + asked.target + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + asked.id +
           "\r\nX-Deadline-Remaining: " + std::to_string(kDeadlineMs) + "\r\n\r\n";
  };
  while (NowMs() < ends) {
    Connection connection(ip, port, kDeadlineMs / 1000 + 1);
    if (!connection.up()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      continue;
    }
    bool goes_on = true, first = true;
    while (goes_on && NowMs() < ends) {
      std::vector<Asked> batch;
      if (!first) batch.push_back(ask("/article/" + std::to_string(next)));
      for (int i = 0; i < (first ? 1 : ahead); ++i) batch.push_back(ask("/picture/" + std::to_string(next)));
      first = false;
      std::string bytes;
      for (const Asked& asked : batch) bytes += bytes_of(asked);
      goes_on = connection.Send(bytes);
      for (Asked& asked : batch) {
        if (!goes_on) break;
        goes_on = ReadAnswer(connection, asked);
      }
      for (const Asked& asked : batch)
        log.Write(std::to_string(asked.sent) + " " + asked.id + " " + asked.target + " " + asked.outcome);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
}

}  // namespace

int main(int count, char** words) {
  if (count != 7) return 2;
  Log log(words[3]);
  const std::int64_t ends = NowMs() + std::int64_t{1000} * std::atoi(words[4]);
  std::vector<std::thread> clients;
  for (int i = 1; i <= std::atoi(words[5]); ++i)
    clients.emplace_back(Client, std::string(words[1]), std::atoi(words[2]), i, std::atoi(words[6]), ends,
                         std::ref(log));
  for (std::thread& client : clients) client.join();
}
