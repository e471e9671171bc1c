// A small logger: one line a message, to a descriptor, and never waiting for whoever reads it. What can't be
// written is dropped and counted.
#pragma once

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <string_view>
#include <utility>

namespace curlewdoor::log {

enum class Level { kInfo, kWarning, kError };

class Logger {
 public:
  explicit Logger(int fd) : fd_(fd) {}

  template <typename... Args>
  void Info(fmt::format_string<Args...> format, Args&&... args) {
    Write(Level::kInfo, fmt::vformat(format, fmt::make_format_args(args...)));
  }
  template <typename... Args>
  void Warning(fmt::format_string<Args...> format, Args&&... args) {
    Write(Level::kWarning, fmt::vformat(format, fmt::make_format_args(args...)));
  }
  template <typename... Args>
  void Error(fmt::format_string<Args...> format, Args&&... args) {
    Write(Level::kError, fmt::vformat(format, fmt::make_format_args(args...)));
  }

  std::uint64_t dropped() const { return dropped_; }

 private:
  void Write(Level level, std::string_view text);

  const int fd_;
  std::uint64_t dropped_ = 0;
};

}  // namespace curlewdoor::log
