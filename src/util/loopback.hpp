// Loopback addresses for processes that are played beside others on one machine.
#pragma once

#include <unistd.h>

#include <cstdint>

namespace curlewdoor {

// The network 127.a.b.0/24 that belongs to this process, by its id: the host's byte is 0. Ports of 127.0.0.1
// are given to everyone's connections, so one that was found free there may be taken before it is used; here
// it is not. Two processes of one test run differ as long as their ids lie less than 50,000 apart.
inline std::uint32_t OwnLoopbackNetwork() {
  const auto id = static_cast<std::uint32_t>(::getpid());
  const std::uint32_t second = 16 + id % 200;
  const std::uint32_t third = id / 200 % 250;
  return 0x7f000000 | second << 16 | third << 8;
}

}  // namespace curlewdoor
