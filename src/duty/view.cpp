#include "duty/view.hpp"

namespace curlewdoor::duty {

// A gateway that has not joined, is leaving or was rejected sees no other gateways.
FleetView FleetViewOf(const fleet::MembershipProtocol& membership) {
  FleetView view;
  view.incarnation = IncarnationOf(membership.self().name, membership.self().boot);
  if (!membership.joined() || membership.left() || !membership.rejection().empty()) return view;
  for (const auto& [name, member] : membership.others()) {
    const fleet::MemberRecord& record = member.record;
    if (record.present())
      view.others[name] = {IncarnationOf(name, record.boot),
                           record.metadata.find(kDutiesTag) != std::string::npos};
  }
  return view;
}

}  // namespace curlewdoor::duty
