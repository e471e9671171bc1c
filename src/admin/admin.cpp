#include "admin/admin.hpp"

#include <algorithm>
#include <array>

namespace curlewdoor::admin {
namespace {

std::string_view NextWord(std::string_view& rest) {
  rest.remove_prefix(std::min(rest.find_first_not_of(" \t"), rest.size()));
  const std::string_view word = rest.substr(0, rest.find_first_of(" \t"));
  rest.remove_prefix(word.size());
  return word;
}

// What callers sent is said back to them on one line.
std::string Printable(std::string_view text) {
  constexpr std::size_t kMost = 64;
  std::string shown(text.substr(0, kMost));
  std::replace_if(
      shown.begin(), shown.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
  return shown;
}

}  // namespace

Call ParseCall(std::string_view line, bool with_fleet, bool with_duties) {
  if (line.size() > kMostLine) return Bad{"line too long"};
  const auto control = [](char c) { return (c >= 0 && c < ' ' && c != '\t') || c == 0x7f; };
  if (std::any_of(line.begin(), line.end(), control)) return Bad{"a control character in the line"};
  const std::string_view word = NextWord(line);
  if (word.empty()) return Bad{"no call; STATUS, METRICS, SUSPEND ID and RESTORE ID are known"};
  const std::string_view id = NextWord(line);
  const std::string_view second = NextWord(line);
  const bool more = !second.empty();
  const bool suspends = word == "SUSPEND", restores = word == "RESTORE";
  if (suspends || restores) {
    if (id.empty()) return Bad{std::string(word) + " needs the id of a host"};
    if (more) return Bad{std::string(word) + " takes one id and nothing behind it"};
    if (suspends) return Suspend{std::string(id)};
    return Restore{std::string(id)};
  }
  if (with_duties && word == "HANDOVER") {
    if (id.empty()) return Bad{"HANDOVER needs a duty, and takes the name of a gateway behind it"};
    if (!NextWord(line).empty()) return Bad{"HANDOVER takes a duty and a gateway, and nothing behind them"};
    return HandOver{std::string(id), std::string(second)};
  }
  const bool duties = with_duties && word == "DUTIES";
  const bool fleet = with_fleet && word == "FLEET";
  if (word != "STATUS" && word != "METRICS" && !fleet && !duties)
    return Bad{"unknown call: " + Printable(word)};
  if (!id.empty()) return Bad{std::string(word) + " takes nothing behind it"};
  if (word == "STATUS") return Status{};
  if (fleet) return Fleet{};
  if (duties) return Duties{};
  return Metrics{};
}

std::string Yes(std::string_view what) {
  return what.empty() ? std::string("OK\n") : "OK " + Printable(what) + '\n';
}

std::string No(std::string_view reason) { return "ERR " + std::string(reason) + '\n'; }

std::string Tell(const Figures& figures) {
  std::string text;
  const auto line = [&](std::string_view name, std::string_view kind, std::uint64_t value) {
    text.append("relay.").append(name);
    if (!kind.empty()) text.append(".").append(kind);
    text.append("=").append(std::to_string(value)).append("\n");
  };
  using Field = std::pair<std::string_view, std::uint64_t ClassFigures::*>;
  constexpr std::array<Field, 3> kByClass{{{"succeeded", &ClassFigures::succeeded},
                                           {"declined", &ClassFigures::declined},
                                           {"aborted", &ClassFigures::aborted}}};
  for (const auto& [name, field] : kByClass)
    for (const auto& [kind, counts] : figures.classes) line(name, kind, counts.*field);
  line("forwards", {}, figures.forwards);
  line("outstanding", {}, figures.outstanding);
  line("discovered", {}, figures.discovered);
  line("ejected", {}, figures.ejected);
  line("sighup_applied", {}, figures.sighup_applied);
  line("sighup_rejected", {}, figures.sighup_rejected);
  for (const auto& [name, value] : figures.more) line(name, {}, value);
  return text + "END\n";
}

}  // namespace curlewdoor::admin
