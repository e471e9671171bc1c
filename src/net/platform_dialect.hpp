// What the hosts of the platform in service speak (deploy/balancer.toml).
#pragma once

#include "net/dialect.hpp"

namespace curlewdoor::net {

class PlatformDialect : public Dialect {
 public:
  explicit PlatformDialect(const Settings& settings) : settings_(settings) {}
  std::initializer_list<std::string_view> Dropped() const override;
  void AppendLines(const AttemptId& attempt, Duration left, std::string& out) const override;
  bool NotRun(const http::Message& answer) const override;
  LoadReport Load(const http::Message& answer) const override;
  std::string_view ProbeHead(bool with_load) const override;

 private:
  const Settings& settings_;
};

}  // namespace curlewdoor::net
