// What duties take from the view of the fleet: whom to ask, and who takes duties on.
#pragma once

#include <string_view>

#include "duty/machine.hpp"
#include "fleet/machine.hpp"

namespace curlewdoor::duty {

// What a gateway tells of itself in the view where it takes duties on.
inline constexpr std::string_view kAble = ",duties";

View ViewOf(const fleet::Machine& machine);

}  // namespace curlewdoor::duty
