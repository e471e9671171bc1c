// Connections to hosts, and the attempts and probes on them: one at a time on each.
#pragma once

#include <list>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "handover/frames.hpp"
#include "net/connection.hpp"
#include "net/dialect.hpp"
#include "net/inputs.hpp"
#include "net/keep_time.hpp"

namespace curlewdoor::net {

class Upstream {
 public:
  // `dialect` must outlive it.
  Upstream(struct ev_loop* loop, const Settings& settings, Descriptors& descriptors, Inputs& inputs,
           const Dialect& dialect);

  // `streamed`: the body follows by Feed() and EndFeed(), of this length or in chunks.
  struct Streamed {
    std::optional<std::uint64_t> length;
  };
  void Start(const StartAttempt& effect, const http::Message& request,
             const std::optional<Streamed>& streamed = std::nullopt);
  // Whether the attempt's connection is up and has written all that it was given.
  bool CanFeed(AttemptId attempt);
  void Feed(AttemptId attempt, std::string_view bytes);
  void EndFeed(AttemptId attempt);
  // The answer that has just begun goes to this request's client, as it takes it.
  void StreamTo(RequestId request) { stream_to_ = request; }
  bool stream_begins() const { return stream_begins_; }
  void ReadOn(RequestId request);
  void DropStream(RequestId request);
  void Drop(AttemptId attempt) { DropTask(attempt); }
  void Start(const StartProbe& effect);
  void Drop(ProbeId probe) { DropTask(probe); }
  void CloseKeptTo(HostId host);
  void StopSendingTo(HostId host, TimePoint by);

  // An upgrade: kept connections go to another process, or come from one.
  struct Passed {
    Descriptor descriptor;
    handover::PassedLink link;
  };
  std::vector<Passed> PassKept();
  void Take(int fd, const handover::PassedLink& link);

  struct PassedStream {
    Descriptor descriptor;
    handover::PassedStreamLink link;
  };
  std::optional<PassedStream> PassStream(RequestId request);
  void TakeStream(RequestId request, int fd, const handover::PassedStreamLink& link);

  // The answer that is being handled right now, to be passed on.
  const http::Message* current_answer() const { return current_answer_; }

  // Closes the kept connection that has stood idle for longest. Tells whether there was one.
  bool CloseOldestKept();
  // Closes the kept connections that have stood idle for too long. To be called now and then.
  void CloseIdle();
  // Breaks connections where all of them hold more than their share. Not from within their events.
  void RelieveMemory();
  // Frees what was closed. The same.
  void Reap() { retired_.clear(); }

  std::size_t connections() const { return links_.size(); }
  std::size_t attempts() const { return by_attempt_.size(); }  // on a connection, or waiting for one
  std::uint64_t opened() const { return opened_; }
  std::uint64_t evicted() const { return evicted_; }  // connections broken for memory
  std::uint64_t written() const { return written_; }  // attempts, to their last byte

 private:
  // What one exchange is for.
  using Task =
      std::variant<std::monostate, AttemptId, ProbeId, RequestId>;  // the last: its answer is passed on

  struct Link : Connection::Owner {
    Link(Upstream& owner, struct ev_loop* loop)
        : upstream(owner),
          connection(loop, *this, http::Bodies::kStreamed, owner.dialect_.LargestBody(), &owner.account_) {}
    bool Streams() const override { return std::holds_alternative<AttemptId>(task); }
    void OnAnswerBegun(Connection&, const http::Message& answer) override { upstream.OnBegun(*this, answer); }
    void OnAnswerBytes(Connection&, std::string_view bytes) override { upstream.OnBytes(*this, bytes); }
    bool WantsBytes() const override { return upstream.WantsBytes(*this); }
    void OnUp(Connection&) override { upstream.OnUp(*this); }
    void OnWritten(Connection&) override { upstream.OnWritten(*this); }
    void OnAnswer(Connection&, const http::Message& answer) override { upstream.OnAnswer(*this, answer); }
    bool Expects() const override { return !std::holds_alternative<std::monostate>(task); }
    void OnBroken(Connection&) override { upstream.OnBroken(*this); }

    Upstream& upstream;
    Connection connection;
    std::list<Link>::iterator self;
    HostId host;
    Address address;
    Task task;
    TimePoint expires;
    std::string head, body;                      // what waits for the connection to come up
    memory::Charge waiting{&upstream.account_};  // for both
    std::uint64_t length = 0;                    // of its request's body, unless that is chunked
    // Of the connection's bytes: where the task's first one stands, and behind its last one.
    std::uint64_t task_begin = 0, task_end = 0;
    bool begun = false, written = false;
    bool feeding = false, chunked = false;  // its request's body comes in pieces
    TimePoint moved_at;                     // when bytes of a streamed body or answer passed last
    TimePoint kept_since, written_at;
    Duration keep_alive{};         // as the host told; zero: it did not
    std::optional<Duration> idle;  // how long it had stood kept, where the present task took it so
  };
  using Links = std::list<Link>;

  Link* FindKept(HostId host, const Address& address);
  Link* Open(HostId host, const Address& address);
  Link* Begin(HostId host, const Address& address, Task task);
  void Send(Link& link, std::span<const iovec> head, std::string_view body);
  void OnUp(Link& link);
  void OnWritten(Link& link);
  void OnAnswer(Link& link, const http::Message& answer);
  Whose BelongsTo(const Link& link, const http::Message& answer) const;
  bool Stale(const Link& link) const;
  void OnBroken(Link& link);
  void OnBegun(Link& link, const http::Message& answer);
  void OnBytes(Link& link, std::string_view bytes);
  bool WantsBytes(const Link& link) const;
  Link* FindTask(const Task& task);
  void DropTask(const Task& task);
  Task EndTask(Link& link);
  void Keep(Link& link);
  void Unkeep(Link& link);
  void Retire(Link& link);
  void PostBroken(const Task& task);

  struct ev_loop* loop_;
  const Settings& settings_;
  Descriptors& descriptors_;
  memory::Account& account_;
  Inputs& inputs_;
  const Dialect& dialect_;
  Links links_, retired_;
  std::unordered_map<AttemptId, Link*, AttemptIdHash> by_attempt_;
  std::unordered_map<ProbeId, Link*, IdHash> by_probe_;
  std::unordered_map<RequestId, Link*, IdHash> by_stream_;
  std::optional<RequestId> stream_to_;
  bool stream_begins_ = false;
  std::unordered_map<HostId, std::vector<Link*>, IdHash> kept_;  // the latest used last
  const http::Message* current_answer_ = nullptr;
  KeepTime keep_time_;
  std::uint64_t opened_ = 0, written_ = 0, evicted_ = 0;
};

}  // namespace curlewdoor::net
