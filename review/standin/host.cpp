// A host of a service, as PROTOCOL.md has it: says by heartbeats that it is there, and answers GETs.
//
//   host IP PORT SERVICE INSTANCE LOG LENGTH WORK_MS TROUBLE_FILE CUT_EVERY CONTROL_PORT CONTROL_IP...
//
// While TROUBLE_FILE exists it is in trouble: it breaks off one in CUT_EVERY of its answers in the middle, by
// ending the connection. LOG gets a line of each request that it runs: time, id, target, "whole" or "broken
// off".
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "http.hpp"

using namespace standin;

namespace {

struct Options {
  std::string ip, service, instance, trouble_file;
  int port = 0, length = 0, work_ms = 0, cut_every = 0, control_port = 0;
  std::vector<std::string> control;
};

Options options;
std::atomic<int> answers_in_trouble{0}, seals{0};

void Beat() {
  std::size_t at = 0;
  for (std::uint64_t sequence = 1;; ++sequence) {
    const std::string body =
        "{\"address\":\"" + options.ip + ":" + std::to_string(options.port) +
        "\",\"details\":{\"service\":\"" + options.service +
        "\",\"config_version\":\"v1\",\"zone\":\"here\",\"capacity_slots\":64}," +
        "\"status\":{\"oper_state\":\"ready\",\"call_sequence\":" + std::to_string(sequence) +
        ",\"warmup_left_ms\":0}}";
    Connection gateway(options.control[at % options.control.size()], options.control_port, 1);
    bool taken =
        gateway.up() && gateway.Send("POST /v1/instances/" + options.instance +
                                     "/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                                     "Connection: close\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto head = taken ? gateway.ReadHead() : std::nullopt;
    taken = head && StatusOf(*head) == 200;
    if (!taken) ++at;
    std::this_thread::sleep_for(std::chrono::milliseconds(taken ? 1500 : 50));
  }
}

void Serve(int fd, Log& log) {
  Connection connection(fd);
  while (const auto head = connection.ReadHead()) {
    const std::string target = head->substr(head->find(' ') + 1, head->find(" HTTP") - head->find(' ') - 1);
    const std::string id = HeaderOf(*head, "x-attempt-id"), meant = HeaderOf(*head, "x-target-instance");
    if (const int length = std::atoi(HeaderOf(*head, "content-length").c_str()); length > 0)
      connection.Read(static_cast<std::size_t>(length));
    if (!meant.empty() && meant != options.instance) {
      if (!connection.Send("HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + id +
                           "\r\nContent-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    log.Write(std::to_string(NowMs()) + " " + id + " " + target + " runs");
    const auto told = target.find("?work_ms=");
    const int work_ms = told == std::string::npos ? options.work_ms : std::atoi(target.c_str() + told + 9);
    std::this_thread::sleep_for(std::chrono::milliseconds(work_ms));
    const bool in_trouble = ::access(options.trouble_file.c_str(), F_OK) == 0;
    const bool cut = in_trouble && ++answers_in_trouble % options.cut_every == 0;
    log.Write(std::to_string(NowMs()) + " " + id + " " + target + (cut ? " broken off" : " whole"));
    std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                         "\r\nX-Response-Seal: " + options.instance + "." + std::to_string(++seals) +
                         "\r\nContent-Length: " + std::to_string(options.length) + "\r\n\r\n";
    answer.append(static_cast<std::size_t>(cut ? options.length / 2 : options.length), 'b');
    if (!connection.Send(answer) || cut) return;
  }
}

}  // namespace

int main(int count, char** words) {
  if (count < 12) return 2;
  options = {words[1],
             words[3],
             words[4],
             words[8],
             std::atoi(words[2]),
             std::atoi(words[6]),
             std::atoi(words[7]),
             std::atoi(words[9]),
             std::atoi(words[10]),
             {words + 11, words + count}};
  Log log(words[5]);
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = At(options.ip, options.port);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(listener, 128) != 0)
    return 2;
  std::thread(Beat).detach();
  for (;;) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) std::thread(Serve, fd, std::ref(log)).detach();
  }
}
