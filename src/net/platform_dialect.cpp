#include "net/platform_dialect.hpp"

#include "net/load_report.hpp"

namespace curlewdoor::net {
namespace {

constexpr std::string_view kTimeoutHeader = "X-Timeout";
constexpr std::initializer_list<std::string_view> kDropped{kTimeoutHeader};

}  // namespace

std::initializer_list<std::string_view> PlatformDialect::Dropped() const { return kDropped; }

void PlatformDialect::AppendLines(const AttemptId&, Duration left, std::string& out) const {
  out.append(kTimeoutHeader).append(": ").append(std::to_string(left / std::chrono::microseconds(1)));
  out += "u\r\n";
}

bool PlatformDialect::NotRun(const http::Message& answer) const {
  return answer.Find("X-Not-Processed") == "1";
}

LoadReport PlatformDialect::Load(const http::Message& answer) const {
  return settings_.load_reports.mode != LoadReportMode::kNone ? ReadLoadReport(answer.Find("X-Server-Load"))
                                                              : LoadReport{};
}

std::string_view PlatformDialect::ProbeHead(bool with_load) const {
  return with_load ? "GET /_load HTTP/1.1\r\nHost: service.internal\r\n"
                   : "GET /ping HTTP/1.1\r\nHost: service.internal\r\n";
}

}  // namespace curlewdoor::net
