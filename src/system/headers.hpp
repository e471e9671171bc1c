// Names on the wire between clients, gateways and hosts. Source: PROTOCOL.md.
#pragma once

#include <string_view>

namespace curlewdoor::system {

inline constexpr std::string_view kAttemptIdHeader = "X-Attempt-Id";
inline constexpr std::string_view kDeadlineHeader = "X-Deadline-Remaining";  // milliseconds
inline constexpr std::string_view kSealHeader = "X-Response-Seal";
inline constexpr std::string_view kTenantHeader = "X-Tenant-Name";
inline constexpr std::string_view kInstanceHeader = "X-Target-Instance";
inline constexpr std::string_view kNotRunHeader = "X-Not-Executed";
inline constexpr std::string_view kKeyHeader = "Authorization";
inline constexpr std::string_view kKeyScheme = "Bearer";
inline constexpr std::string_view kReadinessPath = "/v1/readiness";

}  // namespace curlewdoor::system
