// Gives memory that was freed back to the system: the allocator would keep it for later, and a process's
// limit is on what it has from the system.
#pragma once

#include <cstddef>

namespace curlewdoor::memory {

class Trimmer {
 public:
  // To be called about once a second with the bytes that are held. Trims once enough of the most that was
  // held since the last time has been freed.
  void Look(std::size_t held);

 private:
  std::size_t most_ = 0;
};

}  // namespace curlewdoor::memory
