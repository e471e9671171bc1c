// Streams of messages between gateways: each dials the core members and is dialled by others. Moves frames
// and decides nothing; bounded in all that it holds. On the wire: four bytes of length (big end first), then
// so many bytes; a frame of length zero says that the other side is there.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/buffer.hpp"
#include "logic.hpp"
#include "memory/account.hpp"
#include "net/descriptors.hpp"
#include "net/watcher.hpp"
#include "system/announce_pace.hpp"
#include "util/address.hpp"

namespace curlewdoor::system {

inline constexpr std::size_t kMostFrame = 9 * 1024 * 1024;       // bytes
inline constexpr std::size_t kMostFirstFrame = 16 * 1024;        // ... until the other side has said its name
inline constexpr std::size_t kMostUnwritten = 12 * 1024 * 1024;  // bytes; one that reads no more is dropped

class Link {
 public:
  class Stream;
  class Owner {
   public:
    virtual ~Owner() = default;
    // A stream that this process dialled (`dialled`) or that was dialled here stands; it may be written to.
    virtual void OnUp(Stream& stream) = 0;
    virtual void OnFrame(Stream& stream, std::string_view frame) = 0;
    virtual void OnDown(Stream& stream) = 0;  // after OnUp; it is gone then
  };

  // One stream. The owner may hang its own knowledge of the other side on it.
  class Stream {
   public:
    Stream(Link& link, net::Descriptor descriptor, const Address& to, bool dialled);
    void Send(std::string_view frame);
    void Close();
    bool up() const { return up_; }
    bool dialled() const { return dialled_; }
    const Address& to() const { return to_; }  // where it was dialled to, or came from
    TimePoint heard() const { return heard_; }
    std::size_t unwritten() const { return out_.size(); }
    std::size_t held() const { return account_.held(); }    // bytes, of the system's too
    bool receiving() const { return !in_.view().empty(); }  // a part of a frame is here

    std::string name;                     // of the other side's machine, once it has said so
    std::size_t most_frame = kMostFrame;  // bytes; one that sends a longer frame is closed
    bool counted = false;                 // it is of the core, or may come to be
    int strayed = 0;                      // digests in a row that were not ours
    bool subscribed = false;              // wants news
    bool fetches = false;                 // knows Announce, Fetch and Fetched
    AnnouncePace announcing;              // of configurations, to the other side
    bool told_later = false;              // said that it sends kinds of a later version
    std::uint64_t number = 0;             // of this stream in this process

   private:
    friend class Link;
    void OnEvent(int events);
    void Read();
    void Flush();
    void Want();

    Link& link_;
    memory::Account account_;
    memory::Charge own_{&account_};  // this object, and what the system may hold
    net::Descriptor descriptor_;
    const Address to_;
    const bool dialled_;
    bool up_ = false, closed_ = false;
    net::IoWatcher io_;
    http::Buffer in_{&account_}, out_{&account_};
    TimePoint begun_, heard_, sent_;
  };

  struct Options {
    Duration beat = std::chrono::milliseconds(350);     // an idle stream says so often that it is there
    Duration silent = std::chrono::milliseconds(1100);  // one that says nothing for so long is down
    Duration connect = std::chrono::milliseconds(300);
    Duration again_least = std::chrono::milliseconds(50), again_most = std::chrono::milliseconds(400);
    std::size_t most_streams = 1200;
    std::uint32_t from_ip = 0;  // that connections come from; 0: the system chooses
  };

  Link(struct ev_loop* loop, net::Descriptors& descriptors, Owner& owner, Options options,
       std::uint64_t seed);
  ~Link();

  bool Listen(const Address& address, std::string& error);
  // Those to be dialled from now on, and again whenever they are down; streams to others are closed.
  void SetTargets(const std::vector<Address>& targets);
  // The stream dialled to this address, where it is up.
  Stream* To(const Address& address);
  template <typename Do>
  void ForEach(Do&& act) {  // streams that are up; `act` may close them
    std::vector<Stream*> present;
    for (auto& stream : streams_)
      if (stream->up_) present.push_back(stream.get());
    for (Stream* stream : present) act(*stream);
  }
  // About every 100 ms: says that we are there, finds who isn't, dials again; frees what was closed.
  void KeepHouse();
  // Closes streams where all of them hold more than their share; whoever has not said its name goes first.
  // Not from within an event of one of them.
  void RelieveMemory();
  std::uint64_t bytes_out() const { return bytes_out_; }
  std::uint64_t dropped() const { return dropped_; }  // streams that sent no frames of ours
  std::uint64_t evicted() const { return evicted_; }  // ... that were closed for a descriptor or for memory

 private:
  friend class Stream;
  struct Target {
    TimePoint next{};
    Duration pause{};
    Stream* stream = nullptr;
  };
  TimePoint Now() const;
  void Accept();
  bool ShedNameless();
  std::vector<Stream*> Present() const;
  void Evict(const std::vector<Stream*>& streams);
  void Dial(const Address& to, Target& target);
  void Remove(Stream& stream);

  struct ev_loop* loop_;
  net::Descriptors& descriptors_;
  memory::Account& account_;
  Owner& owner_;
  const Options options_;
  std::uint64_t seed_;
  Address address_;
  int fd_ = -1;
  net::IoWatcher io_;
  std::vector<std::unique_ptr<Stream>> streams_, retired_;
  std::map<Address, Target> targets_;
  std::uint64_t next_number_ = 1, bytes_out_ = 0, dropped_ = 0, evicted_ = 0;
};

}  // namespace curlewdoor::system
