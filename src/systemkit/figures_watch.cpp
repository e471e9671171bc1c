#include "systemkit/figures_watch.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <sstream>

namespace curlewdoor::systemkit {
namespace {

constexpr double kAnswersWithin_s = 0.5;

}  // namespace

void FiguresWatch::Ask(const std::function<bool(int)>& runs) {
  for (int m = 0; m < world_.machines.count(); ++m) {
    if (!runs(m)) continue;
    const Address to = world_.machines.control(m);
    world_.calls.Call(to, RequestText("GET", "/v1/system/figures", to.ToText(), "", ""), kAnswersWithin_s,
                      true, [this, m, life = world_.machines.life(m)](const Answer& answer) {
                        if (answer.good()) Read(m, life, answer.body);
                      });
  }
}

void FiguresWatch::Read(int gateway, int life, const std::string& page) {
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(prefix_)) continue;
    const auto space = line.rfind(' ');
    const std::string name = line.substr(prefix_.size(), space - prefix_.size());
    figures_[{gateway, life}][name] = std::atof(line.c_str() + space);
  }
}

std::string FiguresWatch::Growth() {
  std::map<std::string, double> sums;
  for (const auto& [life, figures] : figures_)
    for (const auto& [name, value] : figures) sums[name] += value;
  std::string text;
  for (const auto& [name, value] : sums)
    if (const double more = value - sums_[name]; more != 0) text += fmt::format(" {}+{:.0f}", name, more);
  sums_ = std::move(sums);
  return text;
}

}  // namespace curlewdoor::systemkit
