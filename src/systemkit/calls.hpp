// Calls over HTTP/1.1 of stand-ins: one at a time on a connection, on new ones or on those that were kept.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/buffer.hpp"
#include "http/message.hpp"
#include "net/watcher.hpp"
#include "systemkit/pace.hpp"
#include "util/address.hpp"

namespace curlewdoor::systemkit {

struct Answer {
  enum class How {
    kWhole,
    kNotOpened,  // refused, or the connection didn't come up: nothing was sent
    kClosed,     // without a byte of an answer
    kCut,        // in the middle of an answer
    kSilent,     // none in time
    kGarbled,    // bytes that form no answer
  };
  How how = How::kSilent;
  int status = 0;
  std::string body, seal, attempt_id, location, retry_after;
  bool coded = false;  // Content-Encoding
  bool whole() const { return how == How::kWhole; }
  bool good() const { return whole() && status >= 200 && status < 300; }
};

class Calls {
 public:
  using OnAnswer = std::function<void(const Answer&)>;

  Calls(struct ev_loop* loop, Pace& pace);
  ~Calls();
  Calls(const Calls&) = delete;
  Calls& operator=(const Calls&) = delete;

  // `keep`: on a kept connection where there is one, and kept afterwards. `on_answer` comes once, never from
  // within, unless this goes before.
  void Call(const Address& to, std::string bytes, double within, bool keep, OnAnswer on_answer);
  // Answers on connections where no request was waiting.
  int unasked() const { return unasked_; }

 private:
  struct Line {
    explicit Line(struct ev_loop* loop, std::function<void(int)> on_event) : io(loop, std::move(on_event)) {}
    std::uint64_t number = 0, call = 0;
    Address to;
    int fd = -1;
    bool up = false, keep = false;
    net::IoWatcher io;
    http::Buffer in, out;
    http::Message message{http::Kind::kResponse, in, http::Bodies::kStreamed};
    Answer answer;       // what has come of it
    OnAnswer on_answer;  // while a request is out
  };

  Line& Take(const Address& to, bool keep);
  void OnEvent(std::uint64_t number, int events);
  void Read(Line& line);
  static void Gather(Line& line);  // what has come of the answer since the last time
  void End(Line& line, Answer::How how);
  void Close(Line& line);

  struct ev_loop* loop_;
  Pace& pace_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Line>> lines_;
  std::list<std::unique_ptr<Line>> ended_;  // freed before the loop waits
  std::multimap<Address, std::uint64_t> idle_;
  std::uint64_t next_line_ = 1, next_call_ = 1;
  int unasked_ = 0;
  net::PrepareWatcher before_wait_;
};

// A request's bytes; `headers` are whole lines.
std::string RequestText(const std::string& method, const std::string& target, const std::string& host,
                        const std::string& headers, const std::string& body, bool chunked = false);

}  // namespace curlewdoor::systemkit
