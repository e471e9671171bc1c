// Relays between real processes on loopback: each machine is reached by the others at an address that a relay
// owns, and every datagram and stream between two of them passes here, where it is cut by pair and direction.
// Who sends is told by the address sent from (`internal_bind_address` of the settings).
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "http/buffer.hpp"
#include "net/watcher.hpp"
#include "util/address.hpp"

namespace curlewdoor::systemkit {

class Relays {
 public:
  // A machine: where the others reach it, and where its process listens.
  struct Ends {
    std::uint32_t reached = 0, bound = 0;
  };

  // Datagrams at the first port of the internal range, streams at the first two. Throws std::runtime_error.
  Relays(struct ev_loop* loop, const std::vector<Ends>& machines, std::uint16_t first_port);
  ~Relays();
  Relays(const Relays&) = delete;
  Relays& operator=(const Relays&) = delete;

  // What goes this way: datagrams are lost; bytes of streams wait until the way is joined again, as those of
  // a peer that keeps sending do; no new stream comes up as long as either way is cut.
  void Cut(int from, int to);
  void Join(int from, int to);
  // Both ways, between each of these and each of the rest.
  void Separate(const std::vector<int>& side);
  void JoinAll();
  // Whether somebody listens behind it: else who dials is refused, as by a machine without the process.
  void SetOpen(int machine, bool open);
  // All streams of this machine are reset.
  void Reset(int machine);

  std::size_t streams() const { return streams_.size(); }
  std::uint64_t datagrams_lost() const { return datagrams_lost_; }

 private:
  struct Stream;
  struct Door;  // of one machine

  void Open(Door& door);
  void ReadDatagrams(Door& door);
  void Accept(Door& door, int listener, std::uint16_t port);
  void Connect(Stream& stream);
  void OnEvent(Stream& stream, bool near, int events);
  void Move(Stream& stream);
  void End(Stream& stream, bool reset);
  void WaysChanged();
  int MachineBoundAt(std::uint32_t ip) const;
  bool IsCut(int from, int to) const { return cuts_.contains({from, to}); }

  struct ev_loop* loop_;
  const std::uint16_t first_port_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::list<Stream> streams_;
  std::set<std::pair<int, int>> cuts_;
  std::uint64_t datagrams_lost_ = 0;
  net::PrepareWatcher reap_;
};

}  // namespace curlewdoor::systemkit
