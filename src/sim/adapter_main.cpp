// curlewdoor_adapter: hosts gateway instances on the simulator's wire, standard input to standard output.
// Nothing is decided here.
#include <cstdio>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "logic.hpp"
#include "wire/codec.hpp"

namespace curlewdoor {
namespace {

class Instances {
 public:
  // Handles one message; tells in `error` what is wrong with it, if anything is.
  void Handle(TimePoint now, wire::Entry& entry, std::string& error) {
    actions_.clear();
    if (auto* started = std::get_if<wire::Started>(&entry.message)) {
      gateways_.insert_or_assign(entry.instance, Gateway(std::move(started->settings), started->seed));
      return;
    }
    const auto it = gateways_.find(entry.instance);
    if (it == gateways_.end()) {
      error = "line " + std::to_string(entry.line) + ": no instance " + std::to_string(entry.instance) +
              " is running (field i)";
    } else if (std::holds_alternative<wire::Stopped>(entry.message)) {
      gateways_.erase(it);
    } else {
      it->second.handle(now, std::get<Event>(entry.message), actions_);
    }
  }

  const std::vector<Action>& actions() const { return actions_; }

 private:
  std::map<std::uint64_t, Gateway> gateways_;
  std::vector<Action> actions_;
};

int Run() {
  wire::BatchReader reader(std::cin);
  wire::Batch batch;
  Instances instances;
  std::string reply, error;
  for (;;) {
    const wire::ReadResult result = reader.Next(batch);
    if (result == wire::ReadResult::kEnd) return 0;
    if (result == wire::ReadResult::kMalformed) error = reader.error();
    reply.clear();
    std::optional<std::uint64_t> speaking;
    for (wire::Entry& entry : batch.entries) {
      if (!error.empty()) break;
      instances.Handle(batch.now, entry, error);
      if (instances.actions().empty()) continue;
      if (speaking != entry.instance) wire::AppendInstance(entry.instance, reply);
      speaking = entry.instance;
      for (const Action& action : instances.actions()) wire::AppendAction(action, reply);
    }
    if (!error.empty()) {
      std::fprintf(stderr, "curlewdoor_adapter: %s\n", error.c_str());
      return 1;
    }
    wire::AppendEndOfReply(reply);
    std::fwrite(reply.data(), 1, reply.size(), stdout);
    if (std::fflush(stdout) != 0) return 1;
  }
}

}  // namespace
}  // namespace curlewdoor

int main() {
  std::ios::sync_with_stdio(false);
  return curlewdoor::Run();
}
