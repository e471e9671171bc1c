// The client of a fenced ledger: a service that takes entries under a duty's token and refuses every token
// below the highest that it has seen. One line a call, one line an answer, one call at a time:
//
//   append DUTY TOKEN ENTRY      OK NUMBER | STALE HIGHEST | ERR REASON
//
// What is appended is asked for at the moment of writing, so that a lease is looked at then and not before.
// An entry whose answer does not come is not sent again: the next one tells all that it told. The pattern for
// other things that a duty acts upon.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/descriptors.hpp"
#include "net/watcher.hpp"
#include "util/address.hpp"

namespace curlewdoor::net {

class Ledger {
 public:
  static constexpr std::size_t kMostLine = 512;  // bytes, its end included
  class Owner {
   public:
    virtual ~Owner() = default;
    // The line to append, at the moment when it is written; nullopt: nothing may be.
    virtual std::optional<std::string> OnReady() = 0;
    virtual void OnTaken(std::uint64_t number) = 0;
    virtual void OnStale(std::uint64_t highest) = 0;
    virtual void OnFailed(const std::string& why) = 0;
  };

  Ledger(struct ev_loop* loop, Descriptors& descriptors, const Address& address, Owner& owner);
  ~Ledger();

  // There is something to append. While a call is under way it changes nothing.
  void Append();

 private:
  enum class State { kClosed, kConnecting, kIdle, kWaiting };
  void OnEvent(int events);
  void Write();
  void Read();
  void Fail(const std::string& why);
  void Close();

  struct ev_loop* loop_;
  Descriptors& descriptors_;
  const Address address_;
  Owner& owner_;
  State state_ = State::kClosed;
  Descriptor descriptor_;
  IoWatcher io_;
  TimerWatcher timer_;
  std::string in_, out_;
};

}  // namespace curlewdoor::net
