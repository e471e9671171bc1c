#include "log/log.hpp"

#include <poll.h>
#include <unistd.h>

#include <array>
#include <climits>

namespace curlewdoor::log {
namespace {

constexpr std::array<std::string_view, 3> kNames{"info", "warning", "error"};

}  // namespace

// A pipe that polls as writable takes PIPE_BUF bytes without waiting, and takes them as one.
void Logger::Write(Level level, std::string_view text) {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto ms = now.time_since_epoch().count() % 1000;
  const auto seconds = std::chrono::system_clock::to_time_t(now);
  std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}", fmt::gmtime(seconds), ms,
                                 kNames[static_cast<std::size_t>(level)], text);
  for (char& c : line)
    if (static_cast<unsigned char>(c) < ' ') c = ' ';
  if (line.size() >= PIPE_BUF) line.resize(PIPE_BUF - 1);
  line += '\n';
  pollfd ready{fd_, POLLOUT, 0};
  const bool writable = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
  if (!writable || ::write(fd_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) ++dropped_;
}

}  // namespace curlewdoor::log
