#include "system/command.hpp"

#include <algorithm>
#include <charconv>

namespace curlewdoor::system {
namespace {

constexpr std::string_view kTenants = "tenants/";
constexpr std::size_t kMostTenant = 1024;  // bytes of a name in a path

bool Plain(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' ||
         c == '_' || c == '~';
}

std::string NameIn(std::string_view text, const char* of) {
  const auto name = DecodeName(text);
  if (!name || name->empty() || name->size() > kMostTenant)
    throw service_registry::CallError(400, std::string(of) + ": no such name");
  return *name;
}

std::optional<ReportCommand> Find(std::string_view rest) {
  if (rest == "core") return ReportCore{};
  if (rest == "hosts") return ReportHosts{};
  if (rest == "gateways") return ReportGateways{};
  if (rest == "figures") return ReportFigures{};
  if (rest == "config/status") return ReportConfig{};
  if (rest == "coordination") return ReportCoordination{};
  if (!rest.starts_with(kTenants)) return std::nullopt;
  return ReportTenant{NameIn(rest.substr(kTenants.size()), "tenant")};
}

}  // namespace

std::string EncodeName(std::string_view name) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string text;
  for (const char c : name) {
    if (Plain(c)) {
      text += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    text.append({'%', kDigits[byte >> 4], kDigits[byte & 15]});
  }
  return text;
}

std::optional<std::string> DecodeName(std::string_view text) {
  std::string name;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      name += text[i];
      continue;
    }
    unsigned byte = 0;
    const std::string_view digits = text.substr(i + 1, 2);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (error != std::errc{} || digits.size() != 2 || end != digits.data() + 2) return std::nullopt;
    name += static_cast<char>(byte);
    i += 2;
  }
  return name;
}

std::optional<ReportCommand> DecodeReport(std::string_view method, std::string_view path) {
  const std::string_view query = path.substr(std::min(path.size(), path.find('?')));
  path = path.substr(0, path.find('?'));
  if (!path.starts_with(kReportPaths)) return std::nullopt;
  path.remove_prefix(kReportPaths.size());
  if (path.starts_with(kForgetPath)) {
    if (method != "POST") throw service_registry::CallError(405, "method: not POST");
    return ForgetMember{NameIn(path.substr(kForgetPath.size()), "member"), query == kForced};
  }
  auto command = Find(path);
  if (!command) throw service_registry::CallError(404, "path: no such call");
  if (method != "GET") throw service_registry::CallError(405, "method: not GET");
  return command;
}

}  // namespace curlewdoor::system
