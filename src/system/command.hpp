// Operators' questions and orders about the system, under /v1/system/, decoded into commands that Node runs.
// Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "service_registry/command.hpp"

namespace curlewdoor::system {

struct ReportCore {};
struct ReportHosts {};
struct ReportTenant {
  std::string name;
};
struct ReportGateways {};
struct ReportFigures {};
struct ReportConfig {};
struct ReportCoordination {};
struct ForgetMember {  // of the core, that is gone for good
  std::string name;
  bool forced = false;
};

using ReportCommand = std::variant<ReportCore, ReportHosts, ReportTenant, ReportGateways, ReportFigures,
                                   ReportConfig, ReportCoordination, ForgetMember>;

inline constexpr std::string_view kReportPaths = "/v1/system/";
inline constexpr std::string_view kForgetPath = "core/forget/";  // behind it, and the name; forced: kForced
inline constexpr std::string_view kForced = "?forced=yes";

// nullopt: the path is none of these, and service_registry::Decode() has it. A query is ignored but for
// kForced. Throws service_registry::CallError.
std::optional<ReportCommand> DecodeReport(std::string_view method, std::string_view path);

// A name as it stands in a path, and back; nullopt: no such text.
std::string EncodeName(std::string_view name);
std::optional<std::string> DecodeName(std::string_view text);

}  // namespace curlewdoor::system
