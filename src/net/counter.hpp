// Calls to the counter, pipelined over few connections and answered in order.
#pragma once

#include <deque>
#include <list>
#include <string>

#include "net/connection.hpp"
#include "net/inputs.hpp"

namespace curlewdoor::net {

class Counter {
 public:
  Counter(struct ev_loop* loop, const Settings& settings, const Address& address, Descriptors& descriptors,
          Inputs& inputs);

  void Start(const StartCall& effect);
  void Drop(CallId call);
  // Calls from now on go to this address. Those that are out are still answered by the old one, if it does.
  void MoveTo(const Address& address);
  // Closes connections that have stood idle, or owed an answer, for too long. To be called now and then.
  void CheckTimes();
  void Reap() { retired_.clear(); }

  std::size_t connections() const { return lines_.size(); }

 private:
  struct Pending {
    CallId id;
    TimePoint begun;
    std::string text;       // until it is written
    std::uint64_t end = 0;  // of the connection's bytes: where the call's last one stands
    bool written = false;
  };
  struct Line : Connection::Owner {
    Line(Counter& owner, struct ev_loop* loop) : counter(owner), connection(loop, *this) {}
    void OnUp(Connection&) override { counter.OnUp(*this); }
    void OnWritten(Connection&) override { counter.OnWritten(*this); }
    void OnAnswer(Connection&, const http::Message& answer) override { counter.OnAnswer(*this, answer); }
    bool Expects() const override { return !calls.empty() && calls.front().written; }
    void OnBroken(Connection&) override { counter.OnBroken(*this); }

    Counter& counter;
    Connection connection;
    std::list<Line>::iterator self;
    std::deque<Pending> calls;  // in the order of their answers; one that timed out keeps its place
    TimePoint used;
    bool left = false;  // leads to an address that was moved away from
  };

  Line* Choose();
  Line* Open();
  bool Stuck(const Line& line) const;
  void WriteAll(Line& line);
  void OnUp(Line& line) { WriteAll(line); }
  void OnWritten(Line& line);
  void OnAnswer(Line& line, const http::Message& answer);
  void OnBroken(Line& line) { PostBroken(Retire(line)); }
  void PostBroken(const std::deque<Pending>& calls);
  std::deque<Pending> Retire(Line& line);

  struct ev_loop* loop_;
  const Settings& settings_;
  Address address_;
  Descriptors& descriptors_;
  Inputs& inputs_;
  std::list<Line> lines_, retired_;
};

}  // namespace curlewdoor::net
