// Bytes between gateways: datagrams, and full exchanges by TCP. Decides nothing and reads no message; bounded
// in all that it holds. docs/fleet-view.md, "On the wire".
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>

#include "net/descriptors.hpp"
#include "net/watcher.hpp"
#include "util/address.hpp"

namespace curlewdoor::net {

class FleetLink {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnDatagram(std::string_view bytes) = 0;
    // Another's exchange; the answer is sent back, none where it is empty.
    virtual std::string OnExchange(std::string_view bytes) = 0;
    // The answer to one of ours; empty: it came to nothing.
    virtual void OnExchangeEnd(const Address& with, std::string_view bytes) = 0;
  };
  struct Counts {
    std::uint64_t sent = 0, sent_bytes = 0, got = 0, got_bytes = 0;  // datagrams
    std::uint64_t not_sent = 0;                                      // the system took none
    std::uint64_t exchanges = 0, failed_exchanges = 0, refused_exchanges = 0;
  };

  FleetLink(struct ev_loop* loop, Descriptors& descriptors, Owner& owner);
  ~FleetLink();

  // UDP and TCP on the same address; port 0: one that the system gives, the same for both.
  bool Open(const Address& address, std::string& error);
  void Close();
  bool open() const { return udp_ >= 0; }
  const Address& address() const { return address_; }

  void Send(const Address& to, std::string_view datagram);
  // One at a time with an address; one more than can be held ends at once.
  void Exchange(const Address& with, std::string_view bytes);
  // Frees what has ended, and ends what takes too long. To be called now and then.
  void Reap();

  const Counts& counts() const { return counts_; }

 private:
  struct Talk {
    Talk(FleetLink& owner, Descriptor given, bool asks);
    void OnEvent(int events);
    void Write();
    void Read();

    FleetLink& link;
    Descriptor descriptor;
    IoWatcher io;
    TimerWatcher timer;
    const bool asker;
    Address with;
    std::string in, out;
    bool ended = false;
  };

  void ReadDatagrams();
  void Accept();
  void End(Talk& talk, std::string_view answer);

  struct ev_loop* loop_;
  Descriptors& descriptors_;
  Owner& owner_;
  Address address_;
  int udp_ = -1, tcp_ = -1;
  IoWatcher udp_io_, tcp_io_;
  std::list<Talk> talks_;
  Counts counts_;
};

}  // namespace curlewdoor::net
