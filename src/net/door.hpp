// Accepts clients and owns their connections: which of them waits for which answer, and how answers go out.
// What a request means stands in those derived from it.
#pragma once

#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/client.hpp"
#include "net/inputs.hpp"

namespace curlewdoor::net {

class Door : protected Client::Owner {
 public:
  struct Counts {
    std::uint64_t accepted = 0, requests = 0, rejected = 0;
    std::uint64_t shed = 0;     // closed for a descriptor
    std::uint64_t evicted = 0;  // ... for memory
  };
  // Whose connections these are.
  struct Kind {
    Use use = Use::kClient;
    memory::Share share = memory::Share::kClients;
    bool repeats = false;  // who calls here asks at once, and elsewhere after a second without an answer
  };

  // `ahead`: bytes of one long body that are held.
  Door(struct ev_loop* loop, Descriptors& descriptors, Inputs& inputs, std::size_t ahead, Kind kind);
  Door(struct ev_loop* loop, Descriptors& descriptors, Inputs& inputs, std::size_t ahead)
      : Door(loop, descriptors, inputs, ahead, Kind{}) {}
  ~Door() override;

  // Tells in `error` why it can't listen.
  bool Listen(const Address& address, std::string& error);
  // The same on a socket that was inherited and that others hold too: it must listen on this address.
  bool ListenOnInherited(int fd, const Address& address, std::string& error);
  void StartAccepting();
  // Whoever connects from now on is turned away by the system.
  void StopListening();
  std::uint16_t port() const { return port_; }

  // The connection of a request that waits for its answer, as the system knows it by now.
  enum class ClientState {
    kSilent,   // open, with nothing unread
    kSending,  // with bytes that were not read yet; its end may stand behind them
    kGone      // ended or broken, or the request waits no more
  };
  ClientState StateOf(RequestId id) const;
  // The client's message that a request came in, while it waits for its answer.
  const http::Message* RequestOf(RequestId id) const;
  void Deliver(RequestId id, const http::Message& answer);
  // The same for an answer that comes in pieces.
  void BeginDelivery(RequestId id, const http::Message& answer);
  bool WantsBytes(RequestId id) const;
  void DeliverBytes(RequestId id, std::string_view bytes);
  void EndDelivery(RequestId id, bool whole);
  // An answer of our own; below a `retry_after` of zero or less no advice is given.
  void Decline(RequestId id, int status, Duration retry_after, std::string_view body = {});
  void Fail(RequestId id, int status = 502);
  // A request whose body comes in pieces.
  bool uploading(RequestId id) const;
  bool upload_full(RequestId id) const;
  void TakeUpload(RequestId id);
  std::size_t uploads() const;
  std::size_t deliveries() const { return streams_.size(); }
  bool delivers(RequestId id) const { return streams_.contains(id); }

  bool owes_anything() const { return owed() > 0; }
  std::size_t owed() const;                                // connections that are not between requests
  std::size_t waiting() const { return waiting_.size(); }  // requests that wait for their answer

  // From now on connections end with their request; those that carry none are closed, if they ever did.
  void Drain();
  // Whether nothing is owed, and no client has come for a while.
  bool Drained(Duration quiet_for) const;
  // Requests that wait while a later one on their connection has been answered.
  std::vector<RequestId> BlockingAnswers() const;
  // Takes in what the system has accepted meanwhile. Tells whether that was nothing.
  bool AcceptLast();

  // Ends what takes too long, and accepts again where that had stopped. To be called now and then.
  void CheckTimes();
  // Closes connections where all of them hold more than their share. Not from within an event of one of them.
  void RelieveMemory();
  // Frees what was closed. The same.
  void Reap();
  std::size_t connections() const { return clients_.size(); }
  const Counts& counts() const { return counts_; }

 protected:
  enum class Ended { kServed, kDeclined, kAborted };
  // A request has its final answer, or an answer under way was cut.
  virtual void OnEnded(Client&, Ended) {}
  // The client of a request that waits has gone.
  virtual void OnLeft(RequestId id) = 0;
  // A request has left the waiting ones, however.
  virtual void OnTaken(Client&) {}
  // Headers of hosts' answers that are not passed on.
  virtual std::initializer_list<std::string_view> Kept() const { return {}; }

  void OnClosed(Client& client, bool waiting) override;
  void OnUpload(Client& client) override { inputs_.OnUpload(client.id); }
  void OnAnswerRoom(Client& client) override { inputs_.OnAnswerRoom(client.id); }
  std::size_t ahead() const override { return ahead_; }
  memory::Account& account() override { return account_; }
  const SocketLimits& socket_limits() const override { return socket_limits_; }
  bool closing() const override { return draining_; }
  bool holding() const override { return false; }
  void OnHeld(Client&) override {}
  void OnSpent(Client& client) override { with_spent_.push_back(&client); }
  TimePoint Now() override { return inputs_.Now(); }

  // From now on the client waits for the answer to this request.
  RequestId Wait(Client& client);
  Client* TakeWaiting(RequestId id);
  void AcceptNoMore();
  std::optional<Descriptor> MakeRoom();
  Client& Add(Descriptor descriptor);
  std::vector<Client*> Present();

  Inputs& inputs_;
  std::unordered_map<RequestId, Client*, IdHash> streams_;  // answers that are under way
  std::uint64_t next_request_ = 1;
  bool draining_ = false;
  TimePoint last_came_;
  Counts counts_;

 private:
  void Accept();
  bool AcceptOne();
  bool ShedOne();
  void LimitSockets();
  memory::ConnectionState StateOf(const Client& client, TimePoint now) const;

  struct ev_loop* loop_;
  Descriptors& descriptors_;
  const std::size_t ahead_;
  const Kind kind_;
  memory::Account& account_;
  SocketLimits socket_limits_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  IoWatcher io_;
  TimerWatcher accept_again_;
  std::list<Client> clients_, retired_;
  std::vector<Client*> with_spent_;  // of both; once for each of their ends
  std::unordered_map<RequestId, Client*, IdHash> waiting_;
  bool accepting_ = false;
};

}  // namespace curlewdoor::net
