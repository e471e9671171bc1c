// What one command works with: its options, the word behind it, its output, and the gateways that it asks.
#pragma once

#include <chrono>
#include <functional>
#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

#include "console/console.hpp"
#include "console/json_view.hpp"
#include "system/caller.hpp"

namespace curlewdoor::console {

class Session {
 public:
  Session(const ConsoleOptions& options, std::vector<std::string> arguments, std::ostream& out)
      : options_(options), arguments_(std::move(arguments)), out_(out) {}

  const ConsoleOptions& options() const { return options_; }
  // The words behind the command's name: as many as it takes.
  const std::vector<std::string>& arguments() const { return arguments_; }
  // The only one; empty: there is none.
  const std::string& argument() const { return arguments_.empty() ? kNoArgument : arguments_.front(); }
  std::ostream& out() { return out_; }

  std::chrono::milliseconds timeout() const;
  // Asks those named on the command line, or else by the settings file.
  system::Caller MakeCaller() const;
  // Throws CommandError for any answer but 200.
  system::CallAnswer Get(const std::string& path) const;
  // The report under `path`, as it came with --json, or else as `show` prints it.
  void Report(const std::string& path, const std::function<void(const JsonView&)>& show);

 private:
  std::vector<Address> Addresses() const;

  const ConsoleOptions& options_;
  static inline const std::string kNoArgument;
  const std::vector<std::string> arguments_;
  std::ostream& out_;
};

// An answer that refuses, in words.
std::string Refusal(const system::CallAnswer& answer);
std::string Conflict(const system::CallAnswer& answer);

}  // namespace curlewdoor::console
