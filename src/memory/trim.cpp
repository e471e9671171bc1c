#include "memory/trim.hpp"

#include <malloc.h>

#include <algorithm>

namespace curlewdoor::memory {
namespace {

constexpr std::size_t kWorthIt = 4 * 1024 * 1024;  // bytes: below, a trim costs more than it gives back

}  // namespace

void Trimmer::Look(std::size_t held) {
  most_ = std::max(most_, held);
  if (most_ - held < kWorthIt) return;
  ::malloc_trim(0);
  most_ = held;
}

}  // namespace curlewdoor::memory
