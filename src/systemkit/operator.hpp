// A stand-in operator, from PROTOCOL.md: sends configurations until they are acknowledged and reads back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "systemkit/calls.hpp"
#include "systemkit/pace.hpp"
#include "util/address.hpp"

namespace curlewdoor::systemkit {

class Operator {
 public:
  Operator(Pace& pace, Calls& calls, std::vector<Address> control);

  // Repeats at the next gateway after any failure. `on_acknowledged` runs at the moment of the answer.
  void Replace(std::uint64_t version, std::string text, std::function<void()> on_acknowledged = {});
  bool Acknowledged(std::uint64_t version) const { return acknowledged_.contains(version); }
  double AcknowledgedAt(std::uint64_t version) const { return acknowledged_.at(version); }
  const std::string& refused() const { return refused_; }  // a 4xx to a valid configuration

  // Repeats until there is an answer: the configuration, whole.
  void Read();
  bool has_read() const { return has_read_; }
  // Empty: what was read is the newest that was acknowledged, or a later one, as it was sent.
  std::string JudgeRead() const;

 private:
  void Send(bool replace, std::uint64_t version, Address to, int follows, double pause,
            std::function<void()> on_acknowledged);
  Address Next() { return control_[next_++ % control_.size()]; }

  Pace& pace_;
  Calls& calls_;
  const std::vector<Address> control_;
  std::size_t next_ = 0;
  std::map<std::uint64_t, std::string> sent_;
  std::map<std::uint64_t, double> acknowledged_;
  std::string refused_, read_;
  bool has_read_ = false;
};

}  // namespace curlewdoor::systemkit
