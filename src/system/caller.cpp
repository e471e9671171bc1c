#include "system/caller.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <thread>

#include "http/message.hpp"

namespace curlewdoor::system {
namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock::time_point;

constexpr milliseconds kOneTry{2000}, kFirstPause{50}, kMostPause{800};
constexpr std::size_t kRead = 64 * 1024;

Steady Now() { return std::chrono::steady_clock::now(); }

// This one try has come to nothing.
struct Failed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Socket {
  struct Owned {
    Owned() : fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {}
    ~Owned() {
      if (fd >= 0) ::close(fd);
    }
    Owned(const Owned&) = delete;
    Owned& operator=(const Owned&) = delete;
    const int fd;
  };

 public:
  Socket(const Address& to, Steady ends) : ends_(ends) {
    if (fd_ < 0) throw Failed(std::strerror(errno));
    const sockaddr_in socket_address = to.ToSocket();
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) == 0)
      return;
    int error = errno;
    socklen_t size = sizeof error;
    if (error == EINPROGRESS) {
      Wait(POLLOUT);
      if (::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
    }
    if (error == 0) return;
    throw Failed(std::strerror(error));
  }

  // Tells false once the other side takes no more: its answer may be there all the same.
  bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count >= 0) {
        bytes.remove_prefix(static_cast<std::size_t>(count));
      } else if (errno == EAGAIN) {
        if ((Wait(POLLOUT | POLLIN) & POLLIN) != 0) return false;  // answered before it has read all
      } else if (errno != EINTR) {
        return false;
      }
    }
    return true;
  }

  std::size_t Read(char* to, std::size_t most) {
    for (;;) {
      const ssize_t count = ::recv(fd_, to, most, 0);
      if (count >= 0) return static_cast<std::size_t>(count);
      if (errno == EAGAIN) {
        Wait(POLLIN);
      } else if (errno != EINTR) {
        throw Failed(std::strerror(errno));
      }
    }
  }

 private:
  int Wait(short events) {
    for (;;) {
      const auto left = std::chrono::ceil<milliseconds>(ends_ - Now());
      pollfd wait{fd_, events, 0};
      const int ready = left.count() > 0 ? ::poll(&wait, 1, static_cast<int>(left.count())) : 0;
      if (ready > 0) return wait.revents;
      if (ready < 0 && errno == EINTR) continue;
      throw Failed("silent");
    }
  }

  const Steady ends_;
  const Owned owned_;
  const int fd_ = owned_.fd;
};

struct Received {
  CallAnswer answer;
  std::string location;
};

Received Ask(const Address& to, std::string_view method, const std::string& path, std::string_view body,
             Steady ends) {
  Socket socket(to, ends);
  std::string request(method);
  request += " " + path + " HTTP/1.1\r\nHost: " + to.ToText() + "\r\nConnection: close\r\n";
  if (!body.empty())
    request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  request += "\r\n";
  if (socket.Write(request)) socket.Write(body);

  http::Buffer buffer;
  http::Message message(http::Kind::kResponse, buffer, http::Bodies::kStreamed);
  Received received;
  received.answer.from = to;
  const auto take = [&] {
    if (message.status() == 307 && received.location.empty()) received.location = message.Find("Location");
    received.answer.body += message.body();
    if (received.answer.body.size() > kMostAnswer) throw Failed("an answer beyond 16 MB");
  };
  for (;;) {
    const std::size_t count = socket.Read(buffer.Prepare(kRead), kRead);
    buffer.Commit(count);
    http::Progress progress = count > 0 ? message.Read() : message.End();
    while (progress == http::Progress::kFull ||
           (progress == http::Progress::kDone && message.status() < 200)) {
      if (progress == http::Progress::kFull) {
        take();
        message.ConsumeBody();
      } else {
        message.Next();
      }
      progress = message.Read();
    }
    if (progress == http::Progress::kBad) throw Failed("its answer is cut, or no HTTP");
    if (progress != http::Progress::kDone) continue;
    take();
    received.answer.status = message.status();
    return received;
  }
}

bool Clear(int status) { return status < 500 && status != 408 && status != 429 && status != 307; }

}  // namespace

CallAnswer Caller::Call(std::string_view method, const std::string& path, std::string_view body,
                        bool insist) const {
  const Steady ends = Now() + timeout_;
  milliseconds pause = kFirstPause;
  std::vector<std::string> why(addresses_.size());
  do {
    for (std::size_t i = 0; i < addresses_.size(); ++i) {
      const Steady now = Now();
      if (now >= ends) break;
      // All get their turn before the time is up.
      const auto share = (ends - now) / static_cast<int>(insist ? 1 : addresses_.size() - i);
      const Steady by = now + std::min<std::chrono::steady_clock::duration>(share, kOneTry);
      try {
        Address to = addresses_[i];
        std::string target = path;
        for (int redirects = 0;; ++redirects) {
          Received received = Ask(to, method, target, body, by);
          if (Clear(received.answer.status)) return std::move(received.answer);
          if (received.answer.status != 307) throw Failed("status " + std::to_string(received.answer.status));
          std::string_view location = received.location;
          if (location.starts_with("http://")) location.remove_prefix(7);
          const auto slash = location.find('/');
          const auto next = ParseAddress(location.substr(0, slash));
          if (redirects == kMostRedirects || !next) throw Failed("sends elsewhere, and that leads nowhere");
          to = *next;
          if (slash != std::string_view::npos) target = location.substr(slash);
        }
      } catch (const Failed& failed) {
        why[i] = failed.what();
      }
    }
    if (!insist || Now() + pause >= ends) break;
    std::this_thread::sleep_for(pause);
    pause = std::min(2 * pause, kMostPause);
  } while (Now() < ends);
  std::string text;
  for (std::size_t i = 0; i < addresses_.size(); ++i)
    text += (i > 0 ? ", " : "") + addresses_[i].ToText() + " " + (why[i].empty() ? "not asked" : why[i]);
  throw NoAnswer(text);
}

}  // namespace curlewdoor::system
