// HTTP calls of the command line to gateways' control addresses: one at a time, blocking, bounded in time and
// in the size of the answer.
#pragma once

#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "util/address.hpp"

namespace curlewdoor::system {

inline constexpr std::size_t kMostAnswer = 16 * 1024 * 1024;
inline constexpr int kMostRedirects = 2;

struct CallAnswer {
  int status = 0;
  std::string body;
  Address from;  // who gave it, redirects followed
};

// No clear answer came from anybody in time. The text tells what each of them did last.
struct NoAnswer : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Caller {
 public:
  Caller(std::vector<Address> addresses, std::chrono::milliseconds timeout)
      : addresses_(std::move(addresses)), timeout_(timeout) {}

  // Asks each address in turn until one answers clearly: neither silence nor a 5xx, 408 or 429. `insist`:
  // round and round until the time is up; else once. Throws NoAnswer.
  CallAnswer Get(const std::string& path) const { return Call("GET", path, {}, false); }
  CallAnswer Post(const std::string& path, std::string_view body) const {
    return Call("POST", path, body, true);
  }

 private:
  CallAnswer Call(std::string_view method, const std::string& path, std::string_view body, bool insist) const;

  const std::vector<Address> addresses_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace curlewdoor::system
