#include "systemkit/calls.hpp"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "net/socket_io.hpp"

namespace curlewdoor::systemkit {
namespace {
constexpr double kOpensWithin = 1;  // PROTOCOL.md: a new connection gets a second to come up
}

std::string RequestText(const std::string& method, const std::string& target, const std::string& host,
                        const std::string& headers, const std::string& body, bool chunked) {
  const std::string head = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n{}", method, target, host, headers);
  if (method == "GET" && body.empty()) return head + "\r\n";
  if (!chunked) return fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body.size(), body);
  std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::size_t half = body.size() / 2;
  for (const std::string& part : {body.substr(0, half), body.substr(half)})
    if (!part.empty()) text += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
  return text + "0\r\n\r\n";
}

Calls::Calls(struct ev_loop* loop, Pace& pace)
    : loop_(loop), pace_(pace), before_wait_(loop, [this](int) { ended_.clear(); }) {
  before_wait_.Start();
}

Calls::~Calls() {
  for (auto& [number, line] : lines_)
    if (line->fd >= 0) ::close(line->fd);
}

Calls::Line& Calls::Take(const Address& to, bool keep) {
  if (const auto it = idle_.find(to); keep && it != idle_.end()) {
    Line& line = *lines_.at(it->second);
    idle_.erase(it);
    return line;
  }
  const std::uint64_t number = next_line_++;
  auto& line = lines_[number] =
      std::make_unique<Line>(loop_, [this, number](int events) { OnEvent(number, events); });
  line->number = number;
  line->to = to;
  line->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(line->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return *line;
}

void Calls::Call(const Address& to, std::string bytes, double within, bool keep, OnAnswer on_answer) {
  Line& line = Take(to, keep);
  const std::uint64_t number = line.number, call = next_call_++;
  line.call = call;
  line.keep = keep;
  line.on_answer = std::move(on_answer);
  line.out.Append(bytes);
  const auto give_up = [this, number, call](bool opening, Answer::How how) {
    const auto it = lines_.find(number);
    if (it != lines_.end() && it->second->call == call && it->second->on_answer &&
        (!opening || !it->second->up))
      End(*it->second, how);
  };
  pace_.After(within, [give_up] { give_up(false, Answer::How::kSilent); });
  if (!line.up) {
    const sockaddr_in socket = to.ToSocket();
    if (::connect(line.fd, reinterpret_cast<const sockaddr*>(&socket), sizeof socket) != 0 &&
        errno != EINPROGRESS)
      return pace_.After(0, [give_up] { give_up(false, Answer::How::kNotOpened); });
    pace_.After(kOpensWithin, [give_up] { give_up(true, Answer::How::kNotOpened); });
  }
  line.io.Want(line.fd, EV_READ | EV_WRITE);
}

void Calls::OnEvent(std::uint64_t number, int events) {
  const auto it = lines_.find(number);
  if (it == lines_.end()) return;
  Line& line = *it->second;
  if (!line.up) {
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(line.fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
      return End(line, Answer::How::kNotOpened);
    if ((events & EV_WRITE) == 0) return;
    line.up = true;
  }
  if ((events & EV_WRITE) != 0 && !line.out.empty()) {
    // Broken: an answer may stand before the end, so it is read for all that.
    if (net::FlushBuffer(line.fd, line.out).broken) line.out.Consume(line.out.size());
  }
  line.io.Want(line.fd, line.out.empty() ? EV_READ : EV_READ | EV_WRITE);
  if ((events & EV_READ) != 0) Read(line);
}

void Calls::Read(Line& line) {
  const net::ReadStatus status = net::ReadInto(line.fd, line.in);
  if (status == net::ReadStatus::kNothing) return;
  if (!line.on_answer) {  // kept, and nothing asked
    if (status == net::ReadStatus::kBytes && line.in.view().starts_with("HTTP/1.1 2")) ++unasked_;
    return Close(line);
  }
  if (net::Over(status)) return End(line, line.in.empty() ? Answer::How::kClosed : Answer::How::kCut);
  http::Progress progress = line.message.Read();
  while (progress == http::Progress::kFull) {  // of a long one
    Gather(line);
    line.message.ConsumeBody();
    progress = line.message.Read();
  }
  if (progress == http::Progress::kBad) return End(line, Answer::How::kGarbled);
  if (progress == http::Progress::kDone) End(line, Answer::How::kWhole);
}

void Calls::Gather(Line& line) {
  const http::Message& message = line.message;
  Answer& answer = line.answer;
  if (answer.status == 0) {
    answer.how = Answer::How::kWhole;
    answer.status = message.status();
    answer.seal = message.Find("X-Response-Seal");
    answer.attempt_id = message.Find("X-Attempt-Id");
    answer.location = message.Find("Location");
    answer.retry_after = message.Find("Retry-After");
    answer.coded = message.Has("Content-Encoding");
  }
  answer.body += message.body();
}

// The one end of a call.
void Calls::End(Line& line, Answer::How how) {
  bool kept = false;
  if (how == Answer::How::kWhole) {
    Gather(line);
    kept = line.keep && line.message.keep_alive() && line.message.rest().empty();
    if (!line.message.rest().empty()) ++unasked_;
  }
  Answer answer = std::exchange(line.answer, {});
  if (how != Answer::How::kWhole) answer = {};
  answer.how = how;
  const OnAnswer on_answer = std::exchange(line.on_answer, {});
  if (kept) {
    line.message.Next();
    line.io.Want(line.fd, EV_READ);
    idle_.emplace(line.to, line.number);
  } else {
    Close(line);
  }
  on_answer(answer);
}

void Calls::Close(Line& line) {
  const auto [from, to] = idle_.equal_range(line.to);
  for (auto it = from; it != to; ++it)
    if (it->second == line.number) {
      idle_.erase(it);
      break;
    }
  line.io.Stop();
  ::close(std::exchange(line.fd, -1));
  const auto it = lines_.find(line.number);
  ended_.push_back(std::move(it->second));
  lines_.erase(it);
}

}  // namespace curlewdoor::systemkit
