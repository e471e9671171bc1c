// Stands between gateways: each is reached by the others at an address of the relay's own, and every datagram
// and every exchange passes here, where it is cut, lost, repeated, delayed, put out of order or changed, by
// pair and direction. Who sends is told by the address sent from: each gateway has an address of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "fleetkit/scenario.hpp"
#include "net/watcher.hpp"
#include "standin/random.hpp"
#include "util/address.hpp"

namespace curlewdoor::playing {

class Relay {
 public:
  // The gateway that listens at an address, below 0: none; and what befalls what passes between two.
  using Who = std::function<int(std::uint32_t ip)>;
  using Link = std::function<const fleetkit::LinkTrouble&(int from, int to)>;

  Relay(struct ev_loop* loop, int gateway, Who who, Link link, std::uint64_t seed);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  bool Open(std::uint32_t ip, std::string& error);  // a port that the system gives
  void LeadTo(const Address& gateway) { target_ = gateway; }
  const Address& address() const { return address_; }
  void Reap();
  // What has been cut off meanwhile carries nothing any more.
  void LinksChanged();

 private:
  struct Talk {
    int from = -1, near_fd = -1, far_fd = -1;
    std::unique_ptr<net::IoWatcher> near_io, far_io;
    std::unique_ptr<net::TimerWatcher> timer;
    bool ended = false;
  };
  struct Late {
    std::unique_ptr<net::TimerWatcher> timer;
    bool done = false;
  };

  void ReadDatagrams();
  void Pass(const std::string& bytes);
  void Accept();
  void Join(Talk& talk);
  void Pump(Talk& talk, int in, int out);
  void End(Talk& talk);
  bool Cut(int from) const;

  struct ev_loop* loop_;
  const int gateway_;
  const Who who_;
  const Link link_;
  standin::Random random_;
  Address address_, target_;
  int udp_ = -1, tcp_ = -1;
  net::IoWatcher udp_io_, tcp_io_;
  std::list<Talk> talks_;
  std::list<Late> late_;
};

}  // namespace curlewdoor::playing
