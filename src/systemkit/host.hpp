// A stand-in host, from PROTOCOL.md: works on requests, says so by heartbeats, leaves in order or crashes. A
// target with "?work_ms=N" has it work for so long; one with "answer_bytes=N" behind the question mark has
// its answer hold so many bytes.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "playing/http_server.hpp"
#include "systemkit/calls.hpp"
#include "systemkit/pace.hpp"
#include "systemkit/sightings.hpp"

namespace curlewdoor::systemkit {

class Host {
 public:
  struct Options {
    std::string service{}, instance{};
    std::uint32_t ip = 0;
    int slots = 16, queue = 16;
    double work_least_s = 0.002, work_most_s = 0.02;
    double heartbeat_s = 0.4, drain_s = 2;
    double serves_on_s = 0.5;        // beyond drain_s, from the acknowledgement to its end
    bool deregisters_first = false;  // it never says `draining`: its first word of leaving is its last call
    double beat_late_s = 0;          // a beat may be under way for so long before it reaches a gateway
    // A host in trouble: one in so many runs ends with a reset in place of its answer; one in so many answers
    // comes once more, late, in the place of the next on its connection. 0: none.
    std::uint64_t breaks_every = 0, doubles_every = 0;
    std::vector<Address> control{};  // of gateways, any of which takes its calls
    bool follows_target = false;     // its beats go where an answer says
  };

  // Throws std::runtime_error where it can't listen.
  Host(struct ev_loop* loop, Pace& pace, Calls& calls, Sightings& sightings, Options options);
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  void Drain();  // says that it leaves, serves on for a while after the acknowledgement, deregisters and ends
  void CallFirst(std::size_t control) { called_ = control; }  // this one of `control`, while it has no target
  bool acknowledged() const { return acknowledged_; }         // any beat
  bool drain_acknowledged() const { return drain_acknowledged_; }
  bool ended() const { return ended_; }
  const std::string& target() const { return target_; }  // where its beats go; empty: nowhere in particular
  int broken_off() const { return broken_off_; }
  const Options& options() const { return options_; }

 private:
  struct Work {
    playing::ConnectionId connection = 0;
    std::size_t run = 0;
    double deadline = 0;
  };

  void OnRequest(playing::ConnectionId connection, const http::Message& message);
  void OnClose(playing::ConnectionId connection);
  void Refuse(playing::ConnectionId connection, int status, const std::string& id);
  void Begin(Work work);
  double WorkTime(const std::string& target);
  std::size_t AnswerSize(const std::string& target);
  void End(std::uint64_t number);
  void TakeNext();
  void Beat();
  void OnBeaten(const Answer& answer, bool draining);
  void Deregister();
  void OnLeaveAcknowledged();
  void End();
  void Post(const std::string& call, const std::string& body, Calls::OnAnswer on_answer);

  Pace& pace_;
  Calls& calls_;
  Sightings& sightings_;
  const Options options_;
  std::mt19937_64 random_;
  playing::HttpServer server_;
  std::map<std::uint64_t, Work> working_;
  std::deque<Work> waiting_;
  std::map<playing::ConnectionId, std::string> surplus_;
  std::uint64_t next_work_ = 1, seals_ = 0, ends_ = 0;
  int broken_off_ = 0;
  std::uint64_t sequence_ = 0;
  std::size_t called_ = 0;  // of `control`, while it has no target
  std::string target_;
  bool beating_ = false, draining_ = false;
  bool acknowledged_ = false, drain_acknowledged_ = false, deregistered_ = false, ended_ = false;
  std::uint64_t beat_ = 0;  // the last one that is due
};

}  // namespace curlewdoor::systemkit
