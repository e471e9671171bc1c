// The old program's clients: turns their messages into requests for its reducer, and passes them on to
// another process in an upgrade.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "admin/admin.hpp"
#include "net/door.hpp"
#include "net/drain_schedule.hpp"

namespace curlewdoor::net {

class Listener : public Door {
 public:
  // `ahead`: bytes of one long body that are held.
  Listener(struct ev_loop* loop, const Settings& settings, Descriptors& descriptors, Inputs& inputs,
           std::size_t ahead);

  void SetHealthy(bool healthy) { healthy_ = healthy; }
  void Refuse(RequestId id, Duration retry_after) { Decline(id, 429, retry_after); }

  // The process has been told to end: requests are taken only as the schedule allows, and connections end
  // with their request.
  void BeginShutdown(TimePoint begun_at);
  // The process ends at once: nothing more is taken.
  void EndShutdown();

  // An upgrade. Nothing is accepted and no request is taken until Resume().
  void Hold();
  // Each client is given to `pass` as soon as nothing is owed to it, those for which that is so at once.
  using PassClient = std::function<void(Client::Passed)>;
  void HandOn(PassClient pass);
  void Resume();
  void LetGo();
  // A connection that another process has accepted.
  void Take(int fd, const handover::PassedClient& client);
  // Long answers that are under way.
  std::vector<RequestId> Streams() const;
  std::optional<Client::PassedStream> PassStream(RequestId id);
  RequestId TakeStream(int fd, const handover::PassedStream& stream);
  bool can_pass_stream(RequestId id) const;
  // The ids of requests that wait here, and those of another process's, which are not to be sent on twice.
  std::vector<std::string> open_ids() const { return {open_ids_.begin(), open_ids_.end()}; }
  void KnowOpenIds(std::vector<std::string> ids) { foreign_ids_ = {ids.begin(), ids.end()}; }

  // Final answers by class, of all classes that there have been.
  using ByClass = std::map<std::string, admin::ClassFigures>;
  const ByClass& by_class() const { return by_class_; }
  void NameClasses();  // of the settings: each has a line from the beginning

 private:
  void OnRequest(Client& client) override;
  void OnEnded(Client& client, Ended how) override;
  void OnLeft(RequestId id) override { inputs_.Post(ClientDisconnected{id}); }
  void OnTaken(Client& client) override { open_ids_.erase(client.wire_id); }
  std::initializer_list<std::string_view> Kept() const override;
  bool closing() const override { return draining_ && !holding_; }
  bool holding() const override { return holding_; }
  void OnHeld(Client& client) override;
  void AnswerHealth(Client& client);
  bool MayTake(const RequestArrived& request);
  TimePoint EarliestKill(TimePoint begun_at) const;

  const Settings& settings_;
  std::unordered_set<std::string> open_ids_;  // the clients' own, of those that wait
  std::unordered_set<std::string> foreign_ids_;
  PassClient pass_;
  std::optional<DrainSchedule> drain_schedule_;  // once the process has been told to end
  bool healthy_ = false, holding_ = false;
  ByClass by_class_;
};

}  // namespace curlewdoor::net
