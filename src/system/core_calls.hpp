// Orders and reads of the core's register, from the moment at which they come to this gateway until each is
// answered. Pure: time, the voters that are reached and what they answer go in; questions go out by Owner.
//
// An order of an operator goes to one proposer, the first voter in the roster's order that is reached, so
// that the ballots of several don't refuse each other. One that doesn't answer in time, or can't, is followed
// by the next voter; this process is asked in its turn if it is a voter. A member that knows of no majority
// asks itself at once, and refuses. A read asks this process if it is a voter, else any one. What another
// gateway has passed on is answered by this process alone, so that nothing goes round in circles.
//
// An answer counts only on a stream that the question went out on. A stream is one connection to one process,
// so that no number of an earlier life, or of another peer, can answer it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "system/message.hpp"
#include "util/address.hpp"

namespace curlewdoor::system {

class CoreCalls {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;
  // A status as of HTTP, and a body.
  using Answer = std::function<void(int status, std::string body)>;

  struct Options {
    Duration ends = std::chrono::milliseconds(900);        // then it is answered 503
    Duration next_voter = std::chrono::milliseconds(300);  // without an answer
    Duration all_anew = std::chrono::milliseconds(150);    // once all that are reached have been asked
    std::size_t most_calls = 256;
    std::size_t most_text = std::size_t{32} * 1024 * 1024;  // bytes of all orders that wait
  };
  // A voter that can be asked now.
  struct Voter {
    Address address;
    std::uint64_t stream = 0;  // to it; 0: it is this process
    bool here() const { return stream == 0; }
  };
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual std::vector<Voter> ReachedVoters() = 0;  // in the roster's order
    virtual bool KnowsMajority() const = 0;          // this process is a voter and hears a majority
    virtual void SendTo(std::uint64_t stream, const Message& message) = 0;
    // This process's own member; each ends in OnAnsweredHere(), which may come at once.
    virtual void PutHere(std::uint64_t number, std::uint64_t version, std::string text) = 0;
    virtual void GetHere(std::uint64_t number) = 0;
  };
  enum class Kind : std::uint8_t { kOrder, kRead };
  // Who asks: a caller of this gateway, or another gateway.
  enum class From : std::uint8_t { kCaller, kGateway };
  struct Call {
    Kind kind = Kind::kRead;
    From from = From::kCaller;
    std::uint64_t version = 0;  // of an order
    std::string text;
    Answer answer;
  };

  CoreCalls(Owner& owner, const Options& options) : owner_(owner), options_(options) {}

  // `number`: of no other call. 503 at once where there are too many.
  void Begin(Time now, std::uint64_t number, Call call);
  // From a voter that was asked by this stream. 503: the next one may do better.
  void OnAnswered(Time now, std::uint64_t stream, std::uint64_t number, int status, std::string body);
  void OnAnsweredHere(Time now, std::uint64_t number, int status, std::string body);
  void OnStreamDown(Time now, std::uint64_t stream);  // whoever was asked by it last is followed by the next
  void Tick(Time now);                                // regularly

  // nullptr: none under way has this number.
  const Call* Find(std::uint64_t number) const;
  std::size_t size() const { return waiting_.size(); }

 private:
  struct Waiting {
    Call call;
    std::size_t text_size = 0;  // the text itself may have gone to the member here
    Time ends, next;
    std::vector<Address> asked;
    std::uint64_t stream = 0;            // that it was asked by last; 0: none
    std::vector<std::uint64_t> streams;  // all that it was asked by
  };

  std::size_t TextHeld() const;
  void AskNext(Time now, std::uint64_t number, Waiting& waiting);
  void AskHere(std::uint64_t number, Waiting& waiting, bool last);
  void End(std::uint64_t number, int status, std::string body);

  Owner& owner_;
  const Options options_;
  std::unordered_map<std::uint64_t, Waiting> waiting_;
};

}  // namespace curlewdoor::system
