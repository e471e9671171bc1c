// Where one gateway reaches the stand-in ledger: lines in, lines out. What a gateway has sent can be held on
// its way, in its order, and let go later: an act that was checked and has not arrived.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "net/watcher.hpp"
#include "util/address.hpp"

namespace curlewdoor::playing {

class LedgerDoor {
 public:
  using OnLine = std::function<std::string(std::string_view line)>;  // gives the answer, without its end

  LedgerDoor(struct ev_loop* loop, OnLine on_line);
  ~LedgerDoor();

  bool Open(const Address& address, std::string& error);
  const Address& address() const { return address_; }
  void Hold(bool on);
  std::size_t held() const { return held_.size(); }
  void Reap();

 private:
  struct Line {
    int fd = -1;
    std::string in;
    std::unique_ptr<net::IoWatcher> io;
  };
  struct Held {
    Line* from;
    std::string text;
  };
  void Accept();
  void Read(Line& line);
  void Take(Line& line, const std::string& text);
  void End(Line& line);

  struct ev_loop* loop_;
  const OnLine on_line_;
  Address address_;
  int fd_ = -1;
  net::IoWatcher io_;
  std::list<Line> lines_;
  std::deque<Held> held_;
  bool holding_ = false;
};

}  // namespace curlewdoor::playing
