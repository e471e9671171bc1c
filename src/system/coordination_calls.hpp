// Calls of applications, from the moment at which they come to this gateway until each is answered. Pure:
// time, the members that are reached and what they reply go in; questions go out by Owner.
//
// A call goes to the leader, as far as this gateway knows it, else to the members in turn. A member that
// doesn't lead says so (NotServed): nothing was done, and the next one is asked. Once a command has left for
// a member and no NotServed came back for it, it may take effect: it may be sent again to another member
// (every command can be repeated: a begin finds its hold, a put its revision, a number leaves a gap), but
// from then on it is never answered 503 or 429; without a clear reply in time it ends as kUnclear.
//
// A reply counts only on a stream that its call went out on.
//
// A release is sent with the number of renewals of its hold that it is proven to have been sent after: at
// first 0, which its fence proves. If the leader replies that the hold has been extended more often, and the
// caller still waits for its answer at that moment, the caller has not begun the lock again since: all those
// renewals came before its release, which is sent again with their number. A release whose caller has gone
// proves no more and ends nothing that was begun again.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/call.hpp"
#include "system/message.hpp"
#include "util/address.hpp"

namespace curlewdoor::system {

class CoordinationCalls {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;
  enum class End : std::uint8_t {
    kReply,        // by the leader: a Result, KeyRead, Watched or HistoryGone
    kNothingDone,  // 503: nothing was done and nothing will be
    kNoRoom,       // 429: as kNothingDone
    kUnclear       // no promise: 504
  };
  struct Answer {
    End end = End::kNothingDone;
    std::optional<coordination::Reply> reply;  // of kReply
  };
  using OnAnswer = std::function<void(Answer answer)>;
  // Whoever waits for a call.
  struct Caller {
    std::function<bool()> waits;  // whether it is known to wait at this moment; false if it cannot be told
    OnAnswer answer;
  };

  struct Options {
    Duration ends = std::chrono::milliseconds(850);         // of a call; a watch has its wait on top
    Duration next_member = std::chrono::milliseconds(250);  // without a reply
    // Once all that are reached have said NotServed; twice as long each time, at most `next_member`. A new
    // leader tells of itself.
    Duration all_anew = std::chrono::milliseconds(60);
    std::size_t most_calls = 2048;
    // For tests of the tests: a gateway that does something wrong.
    enum class Fault : std::uint8_t {
      kNone,
      kRefusesWhatIsOut,         // 503 for a command that left
      kTakesRepliesOfAnyStream,  // a NotServed to a question that wasn't asked there
      kUnclearIsNothingDone,
      kBrokenStreamIsNothingDone,
      kOneRefusalForAll  // one NotServed for all copies of a call
    } fault = Fault::kNone;
  };
  struct Candidate {  // a member that can be asked now
    std::string name;
    std::uint64_t stream = 0;  // to it; 0: it is this process
    bool here() const { return stream == 0; }
  };
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual std::vector<Candidate> ReachedMembers() = 0;  // in the roster's order
    virtual void SendTo(std::uint64_t stream, const Message& message) = 0;
    // This process's own member; it ends in OnReplyHere(), which may come at once.
    virtual void CallHere(std::uint64_t number, const coordination::Call& call,
                          coordination::ProvenRenewals proven) = 0;
    virtual void ForgetHere(std::uint64_t number) = 0;
  };

  CoordinationCalls(Owner& owner, const Options& options) : owner_(owner), options_(options) {}

  // `number`: of no other call.
  void Begin(Time now, std::uint64_t number, coordination::Call call, Caller caller);
  void OnReply(Time now, std::uint64_t stream, std::uint64_t number, coordination::Reply reply);
  void OnReplyHere(Time now, std::uint64_t number, coordination::Reply reply);
  void OnStreamDown(Time now, std::uint64_t stream);
  void OnLeader(Time now, std::uint64_t term, std::string name);  // told by the member that leads
  void Forget(std::uint64_t number);                              // its caller is gone
  // The process is about to end: watches that wait here are answered 503, so that their callers go on
  // elsewhere.
  void EndWatches();
  void Tick(Time now);  // regularly

  const std::string& leader() const { return leader_; }  // empty: not known
  std::size_t size() const { return waiting_.size(); }
  std::uint64_t unclear() const { return unclear_; }  // calls that ended so
  std::uint64_t nothing_done() const { return nothing_done_; }

 private:
  struct Waiting {
    coordination::Call call;
    std::uint64_t proven_renewals = 0;  // of a release
    Caller caller;
    Time ends, next;
    Duration pause{};                // before all are asked once more
    std::uint64_t asking = 0;        // the stream that it went out on last; 0: this process, or none
    std::vector<std::string> asked;  // in this turn
    std::vector<std::uint64_t> out;  // streams that it went out on, without a NotServed since
  };

  void AskNext(Time now, std::uint64_t number);
  void Ask(Time now, std::uint64_t number, const Candidate& member);
  void OnReleaseUnproven(Time now, std::uint64_t number, std::uint64_t renewals);
  void Finish(std::uint64_t number, Answer answer);
  void FinishLate(std::uint64_t number);  // its time is over
  void TellForgotten(std::uint64_t stream, std::uint64_t number);
  // No command of it can take effect any more.
  bool NothingIsOut(const Waiting& waiting) const;
  // Where in `out` the copy stands that a reply on this stream is to.
  std::vector<std::uint64_t>::iterator CopyOn(Waiting& waiting, std::uint64_t stream) const;
  bool Does(Options::Fault fault) const { return options_.fault == fault; }

  Owner& owner_;
  const Options options_;
  std::unordered_map<std::uint64_t, Waiting> waiting_;
  std::string leader_;
  std::uint64_t leader_term_ = 0, unclear_ = 0, nothing_done_ = 0;
};

}  // namespace curlewdoor::system
