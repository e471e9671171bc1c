// Follows discovery's list of hosts: one call at a time, each a watch that waits for what is newer.
#pragma once

#include <optional>
#include <string>

#include "log/log.hpp"
#include "net/connection.hpp"
#include "net/inputs.hpp"

namespace curlewdoor::net {

class Discovery {
 public:
  // `version`: of the list that is known already, if any. A watch that is kept is asked again by itself when
  // it fails; else its failure is told and it ends.
  Discovery(struct ev_loop* loop, const Settings& settings, const Address& address, bool keep_watch,
            std::optional<std::uint64_t> version, Descriptors& descriptors, Inputs& inputs,
            log::Logger& logger);

  void Watch(bool on);
  // Goes on at another address, from the whole list: versions of the old one may mean nothing there.
  void MoveTo(const Address& address);
  void Fetch();
  void Reap() { retired_.clear(); }

 private:
  struct Call : Connection::Owner {
    Call(Discovery& owner, struct ev_loop* loop) : discovery(owner), connection(loop, *this) {}
    void OnUp(Connection&) override { discovery.Ask(); }
    void OnWritten(Connection&) override {}
    void OnAnswer(Connection&, const http::Message& answer) override { discovery.OnAnswer(answer); }
    bool Expects() const override { return discovery.asked_; }
    void OnBroken(Connection&) override { discovery.OnBroken(); }

    Discovery& discovery;
    Connection connection;
  };

  void Next();
  void Ask();
  void OnAnswer(const http::Message& answer);
  void OnBroken();
  void Fail(const std::string& why);
  void Retire();

  struct ev_loop* loop_;
  const Settings& settings_;
  Address address_;
  const bool keep_watch_;
  std::optional<std::uint64_t> version_;
  Descriptors& descriptors_;
  Inputs& inputs_;
  log::Logger& logger_;
  TimerWatcher again_timer_, overdue_timer_;
  std::unique_ptr<Call> call_;
  std::vector<std::unique_ptr<Call>> retired_;
  std::string last_failure_;
  bool watching_ = false, fetching_ = false, asked_ = false;
};

}  // namespace curlewdoor::net
