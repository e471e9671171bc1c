// Asks all gateways that run for their figures again and again, and sums them up over gateways and lives.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {

class FiguresWatch {
 public:
  // Figures whose names begin with `prefix`, which doesn't stand in the lines.
  FiguresWatch(World& world, std::string prefix) : world_(world), prefix_(std::move(prefix)) {}

  // Asks those that `runs`; answers come while the world plays on.
  void Ask(const std::function<bool(int gateway)>& runs);
  // By how much each sum has grown since the last call: " name+3" for each that has.
  std::string Growth();

 private:
  void Read(int gateway, int life, const std::string& page);

  World& world_;
  const std::string prefix_;
  std::map<std::pair<int, int>, std::map<std::string, double>> figures_;  // by gateway and life
  std::map<std::string, double> sums_;
};

}  // namespace curlewdoor::systemkit
