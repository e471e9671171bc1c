// An outgoing HTTP/1.1 connection: connects, writes, reads answers. Hosts, the counter and discovery share
// it.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "http/buffer.hpp"
#include "http/message.hpp"
#include "logic.hpp"
#include "memory/account.hpp"
#include "net/descriptors.hpp"
#include "net/watcher.hpp"
#include "util/address.hpp"

namespace curlewdoor::net {

class Connection {
 public:
  // What the owner is told. It may Close() the connection in any of these, but not destroy it.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnUp(Connection& connection) = 0;
    // Bytes were handed to the system: see written().
    virtual void OnWritten(Connection& connection) = 0;
    virtual void OnAnswer(Connection& connection, const http::Message& answer) = 0;
    // Where answers are streamed: the head of a long 200 and some of its body are there; more of it; its end.
    virtual bool Streams() const { return false; }
    virtual void OnAnswerBegun(Connection&, const http::Message&) {}
    virtual void OnAnswerBytes(Connection&, std::string_view) {}
    virtual bool WantsBytes() const { return true; }
    // Whether an answer is owed. Bytes that come while none is are nobody's: the connection breaks.
    virtual bool Expects() const = 0;
    // It never came up, broke, ended or sent what is no answer. It is closed already.
    virtual void OnBroken(Connection& connection) = 0;
  };

  // `account`: where what it holds is counted, and from which on its socket is held to a bound; nullptr:
  // nowhere.
  Connection(struct ev_loop* loop, Owner& owner, http::Bodies bodies = http::Bodies::kWhole,
             std::uint64_t largest = http::kLargestBody, memory::Account* account = nullptr);

  // Begins to connect; it ends in OnUp or, in `timeout` at the latest, in OnBroken. OnBroken is never called
  // from within: a connection that fails at once says so from the loop.
  // `unacknowledged`: what was sent and not acknowledged for so long breaks it; zero: the system's time.
  void Connect(Descriptor descriptor, const Address& address, Duration timeout, Duration unacknowledged = {});
  void Close();
  // A connection that is up, from another process or to one. Nothing is owed on it.
  void Adopt(Descriptor descriptor);
  Descriptor Release();
  // The same in the middle of a long answer. `rest` as Message::Remainder() gives it.
  std::optional<std::string> Remainder() const {
    return up_ && streaming_ ? answer_.Remainder() : std::nullopt;
  }
  void AdoptStream(Descriptor descriptor, std::string_view rest);

  // Bytes that it holds, of the system's too.
  std::size_t held() const { return account_.held(); }
  bool up() const { return up_; }
  bool open() const { return descriptor_.open(); }

  // Writes what the system takes and keeps the rest. Only while up.
  void Write(std::span<const iovec> pieces);
  // Bytes given to Write(), and those of them that the system has taken.
  std::uint64_t queued() const { return written_ + unwritten_.size(); }
  std::uint64_t written() const { return written_; }

  bool all_written() const { return unwritten_.empty(); }
  // The owner wants bytes of a streamed answer again.
  void ReadOn();

  // Whether a kept connection still stands: the other side has neither closed it nor said anything.
  bool Quiet() const;
  // Ends an attempt to connect no later than this.
  void LimitConnect(Duration left);

 private:
  void OnEvent(int events);
  void FinishConnect();
  void ReadSome();
  void ReadAnswers();
  bool BeginsStream(http::Progress progress) const;
  bool PassBytes();
  void FinishAnswer();
  void FlushRest();
  void Break();
  void WantEvents();

  Owner& owner_;
  const bool counted_;
  memory::Account account_;
  memory::Charge own_{
      &account_};  // this object, and what the system holds while we don't read or it isn't sent
  Descriptor descriptor_;
  IoWatcher io_;
  TimerWatcher connect_timer_;
  bool up_ = false;
  std::uint64_t written_ = 0;
  http::Buffer unwritten_{&account_}, in_{&account_};
  http::Message answer_;
  bool streaming_ = false;  // an answer is passed on in pieces
  int interim_ = 0;         // answers in a row that are none yet
};

}  // namespace curlewdoor::net
