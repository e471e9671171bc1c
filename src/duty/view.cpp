#include "duty/view.hpp"

namespace curlewdoor::duty {

// Outside of its fleet, or on its way out, a gateway sees nobody.
View ViewOf(const fleet::Machine& machine) {
  View view;
  view.life = LifeOf(machine.self().name, machine.self().boot);
  if (!machine.joined() || machine.left() || !machine.refused().empty()) return view;
  for (const auto& [name, member] : machine.others()) {
    const fleet::Record& record = member.record;
    if (record.present())
      view.others[name] = {LifeOf(name, record.boot), record.about.find(kAble) != std::string::npos};
  }
  return view;
}

}  // namespace curlewdoor::duty
