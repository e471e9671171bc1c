#include "systemkit/operator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace curlewdoor::systemkit {
namespace {

constexpr double kWithin_s = 1, kFirstPause_s = 0.05, kLongestPause_s = 0.5;
constexpr int kMostFollowed = 2;

}  // namespace

Operator::Operator(Pace& pace, Calls& calls, std::vector<Address> control)
    : pace_(pace), calls_(calls), control_(std::move(control)) {}

void Operator::Replace(std::uint64_t version, std::string text, std::function<void()> on_acknowledged) {
  sent_[version] = std::move(text);
  Send(true, version, Next(), 0, kFirstPause_s, std::move(on_acknowledged));
}

void Operator::Read() {
  has_read_ = false;
  Send(false, 0, Next(), 0, kFirstPause_s, {});
}

void Operator::Send(bool replace, std::uint64_t version, Address to, int follows, double pause,
                    std::function<void()> on_acknowledged) {
  const std::string host = to.ToText();
  std::string bytes = replace ? RequestText("POST", "/v1/config/replace", host,
                                            "Content-Type: application/json\r\n", sent_.at(version))
                              : RequestText("GET", "/v1/config/read", host, "", "");
  calls_.Call(to, std::move(bytes), kWithin_s, false, [=, this](const Answer& answer) {
    if (answer.whole() && answer.status == 200) {
      if (replace) {
        acknowledged_.emplace(version, pace_.Now());
        if (on_acknowledged) on_acknowledged();
      } else {
        has_read_ = true;
        read_ = answer.body;
      }
      return;
    }
    if (answer.whole() && answer.status == 307 && follows < kMostFollowed) {
      const std::string_view scheme = "http://";
      const auto slash = answer.location.find('/', scheme.size());
      if (const auto there = ParseAddress(
              answer.location.starts_with(scheme)
                  ? std::string_view(answer.location).substr(scheme.size(), slash - scheme.size())
                  : std::string_view()))
        return Send(replace, version, *there, follows + 1, pause, on_acknowledged);
    }
    if (replace && answer.whole() && answer.status >= 400 && answer.status < 500 && answer.status != 408 &&
        answer.status != 429) {
      refused_ = fmt::format("version {}: {} {}", version, answer.status, answer.body);
      return;
    }
    pace_.After(pause, [=, this] {
      Send(replace, version, Next(), 0, std::min(2 * pause, kLongestPause_s), on_acknowledged);
    });
  });
}

std::string Operator::JudgeRead() const {
  if (!has_read_) return "nothing was read";
  const auto read = nlohmann::json::parse(read_, nullptr, false);
  if (!read.is_object() || !read.contains("config_version"))
    return "no configuration: " + read_.substr(0, 200);
  const std::uint64_t version = read["config_version"];
  if (!acknowledged_.empty() && version < acknowledged_.rbegin()->first)
    return fmt::format("LOST: version {} was read, {} was acknowledged", version,
                       acknowledged_.rbegin()->first);
  const auto sent = sent_.find(version);
  if (sent == sent_.end()) return fmt::format("version {} was never sent", version);
  if (read != nlohmann::json::parse(sent->second))
    return fmt::format("version {} isn't what was sent", version);
  return "";
}

}  // namespace curlewdoor::systemkit
