#include "standin/ledger.hpp"

#include <fmt/format.h>

#include "util/number.hpp"

namespace curlewdoor::standin {

std::optional<Ledger::Call> Ledger::Read(std::string_view line) {
  constexpr std::string_view kWord = "append ";
  if (!line.starts_with(kWord)) return std::nullopt;
  line.remove_prefix(kWord.size());
  const auto first = line.find(' '), second = line.find(' ', first == line.npos ? first : first + 1);
  if (first == 0 || second == line.npos) return std::nullopt;
  Call call{std::string(line.substr(0, first)), std::string(line.substr(second + 1)), 0};
  if (!ParseNumber(line.substr(first + 1, second - first - 1), call.token)) return std::nullopt;
  return call;
}

Ledger::Answer Ledger::Append(const Call& call) {
  if (highest_.size() >= kMostDuties && !highest_.contains(call.duty)) return {};
  std::uint64_t& highest = highest_[call.duty];
  if (call.token < highest) return {false, highest};
  highest = call.token;
  return {true, ++entries_};
}

std::string Ledger::Text(const Answer& answer) {
  return fmt::format("{} {}", answer.taken ? "OK" : "STALE", answer.number);
}

}  // namespace curlewdoor::standin
