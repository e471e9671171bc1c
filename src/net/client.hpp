// One client connection: reads a request, waits for its answer, writes it, reads the next.
#pragma once

#include <list>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "admin/admin.hpp"
#include "handover/frames.hpp"
#include "http/buffer.hpp"
#include "http/message.hpp"
#include "logic.hpp"
#include "memory/account.hpp"
#include "memory/eviction.hpp"
#include "net/descriptors.hpp"
#include "net/pace.hpp"
#include "net/socket_io.hpp"
#include "net/watcher.hpp"

namespace curlewdoor::net {

// What a client may take its time for.
struct ClientTimes {
  // From the first byte of a request to its last; of the first one, from connecting on (guards against those
  // that connect and say nothing, or a little at a time). Its head; and again as much for a body held whole.
  Duration slowest_request = std::chrono::milliseconds(2400);
  Duration longest_idle = std::chrono::seconds(10);
};

class Client {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // A request is whole, or long and begun (see uploading()); Answer() is owed.
    virtual void OnRequest(Client& client) = 0;
    // More of a long request's body is here, or its end.
    virtual void OnUpload(Client& client) = 0;
    // What was given of a long answer is written.
    virtual void OnAnswerRoom(Client& client) = 0;
    virtual std::size_t ahead() const = 0;  // bytes of one long body that are held
    // Closed. `waiting`: before the answer that it was owed.
    virtual void OnClosed(Client& client, bool waiting) = 0;
    // Requests that were taken ahead have ended: FreeSpent() is owed once none of them is in an event.
    virtual void OnSpent(Client& client) = 0;
    // What connections hold is counted there; and what the system may hold for one of them, in bytes.
    virtual memory::Account& account() = 0;
    virtual const SocketLimits& socket_limits() const = 0;
    virtual bool closing() const = 0;  // whether connections end with their present request
    virtual bool holding() const = 0;  // whether no request is taken for now
    // Between two requests, while holding.
    virtual void OnHeld(Client& client) = 0;
    virtual TimePoint Now() = 0;
    virtual ClientTimes times() const { return {}; }
    // How many requests behind the present one are taken at once, where a client sends them ahead; answers go
    // out in order all the same.
    virtual std::size_t pipelined() const { return 0; }
    // Whether this one may be: it does no harm if it has run and its answer is never sent.
    virtual bool MayGoAhead(const http::Message&) const { return false; }
    // Bytes of a request's body; one that is told or found to be longer gets a 413.
    virtual std::uint64_t largest_body() const { return http::kLargestBody; }
  };

  Client(struct ev_loop* loop, Descriptor descriptor, Owner& owner);
  // One request that `parent` takes ahead of its turn; `bytes` begin with it.
  Client(struct ev_loop* loop, Client& parent, std::string_view bytes);

  const http::Message& request() const { return request_; }
  int socket() const { return parent_ != nullptr ? parent_->socket() : descriptor_.fd(); }
  // Writes the final answer. The pieces of `head` are whole header lines.
  void Answer(int status, std::span<const iovec> head, std::string_view body);

  // The connection ends behind the answer that is owed, which says so; what the client still sends is dropped
  // for a while, so that it can read the answer.
  void EndAfterAnswer() { close_after_ = true; }

  // A long answer: its head, then its bytes while wanted, then its end; one that is cut closes the
  // connection.
  void BeginAnswer(std::span<const iovec> head, std::optional<std::uint64_t> length);
  bool wants_bytes() const {
    return state_ == State::kStreaming && out_.empty() && (parent_ == nullptr || parent_->out_.empty());
  }
  void AnswerBytes(std::string_view bytes);
  void EndAnswer(bool whole);

  // A long request: what is here of its body. TakeUpload() gives that up, so that more can come.
  bool uploading() const { return uploading_; }
  bool upload_full() const { return request_.body().size() >= owner_.ahead(); }
  void TakeUpload();
  void Close();
  // The same, and drops what the system still holds for it.
  void Abort();

  // Reads what is there already, without waiting for the loop to tell.
  void ReadNow();

  // Holding has begun or ended: looks again at what to wait for.
  void LookAgain();
  // Whether its connection can be passed to another process, and what goes with it: nothing is owed on it.
  bool can_pass() const { return state_ == State::kReading; }
  struct Passed {
    Descriptor descriptor;
    handover::PassedClient client;
  };
  Passed Pass();
  // The same in the middle of a long answer.
  bool can_pass_stream() const { return state_ == State::kStreaming && !stream_ended_ && !uploading_; }
  struct PassedStream {
    Descriptor descriptor;
    handover::PassedStream stream;
  };
  PassedStream PassStream();
  void TakeStream(const handover::PassedStream& stream);
  void Take(const handover::PassedClient& client);  // goes on where another process left it

  // Between requests: nothing of a next one has come.
  bool between_requests() const { return state_ == State::kReading && !request_.started(); }
  bool served_any() const { return served_any_; }
  memory::Account& account() { return account_; }
  // For who decides which connections go when descriptors or memory run out. `repeats` is the owner's to
  // tell.
  memory::ConnectionState StateForEviction(TimePoint now) const;
  // Ends what takes too long: slow senders, stalled readers, idle connections.
  void CheckTime(TimePoint now);

  // Requests of this connection that wait while a later one has been answered, which is held back for them.
  std::vector<RequestId> BlockingAnswers() const;

  void FreeSpent() { spent_.clear(); }

  // A request that was taken ahead of its turn, which has no connection of its own.
  bool ahead_of_turn() const { return parent_ != nullptr; }

  std::list<Client>::iterator self;
  RequestId id;                            // of the present request
  std::string wire_id;                     // as the client names the request
  admin::ClassFigures* figures = nullptr;  // of its class, while it waits for its answer

 private:
  // kBehind: its own request is answered, those that were taken behind it are not.
  enum class State { kReading, kWaiting, kWriting, kStreaming, kSkipping, kBehind, kLingering, kClosed };

  void OnEvent(int events);
  void ReadSome();
  void ReadUpload();
  void Skip();
  void NextRequest();
  void Flush();
  void DiscardSome();
  void Advance();
  void SayContinue();
  void AnswerBad(int status);
  void FinishAnswer();
  WriteResult Put(std::span<const iovec> pieces);
  bool Last() const;
  void TakeAhead();
  void OnBehind();
  void ServeBehind(const Client* speaker);  // that has just said something, if it is that
  void CloseBehind();
  void Enter(State state);
  void WantEvents();
  void CountMemory();
  void CountWritten(std::size_t bytes);
  void LookAtSocket(Duration in_state);

  Owner& owner_;
  struct ev_loop* loop_;
  Client* const parent_ = nullptr;
  // All that is held for the connection; of a request ahead of its turn: a part of its connection's.
  memory::Account account_;
  memory::Charge own_{&account_};     // this object, and what the system may hold
  std::list<Client> behind_, spent_;  // taken ahead of their turn, in order; ended and not freed yet
  bool ended_ = false;                // of one of these: all of its answer is in out_
  bool serving_ = false;
  Descriptor descriptor_;
  IoWatcher io_;
  State state_ = State::kReading;
  TimePoint since_, last_discarded_;
  http::Buffer in_{&account_}, out_{&account_};
  http::Message request_{http::Kind::kRequest, in_, http::Bodies::kStreamed, owner_.largest_body()};
  TimePoint head_at_;  // when the present request's head was whole
  Pace pace_;          // of a long body, or of who takes a long answer
  bool close_after_ = false, advancing_ = false, served_any_ = false, continued_ = false;
  bool uploading_ = false, chunked_ = false, stream_ended_ = false;
  std::size_t in_socket_ = 0;  // bytes written that may not have left, as far as the socket was looked at
  bool reads_ = true;          // waits for bytes; else its end would not be seen
};

}  // namespace curlewdoor::net
