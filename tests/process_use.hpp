// What a process holds, seen from outside: its resident memory, the bytes in its sockets (arrived and not
// read, sent and not taken), and its descriptors. From /proc of Linux.
#pragma once

#include <arpa/inet.h>
#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "playing/process.hpp"

namespace curlewdoor {

struct HeldByProcess {
  double resident_mb = 0;
  double unread_mb = 0;  // in sockets, those that wait to be accepted included
  double unsent_mb = 0;  // in sockets, not acknowledged by the other side
  int descriptors = 0;
  double memory_mb() const { return resident_mb + unread_mb + unsent_mb; }
};

// All TCP sockets over IPv4 of this machine, at one moment.
class SocketTable {
 public:
  struct Socket {
    std::uint32_t local_ip = 0;  // host order
    unsigned long unread = 0, unsent = 0, inode = 0;
  };

  SocketTable() {
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) Read(line);
  }
  const std::vector<Socket>& sockets() const { return sockets_; }

 private:
  // Of a line, up to the inode. Sockets that listen hold connections there, no bytes.
  void Read(const std::string& line) {
    constexpr unsigned kListens = 0x0A;
    unsigned local = 0, state = 0;
    Socket socket;
    if (std::sscanf(line.c_str(), " %*d: %x:%*x %*x:%*x %x %lx:%lx %*x:%*x %*x %*d %*d %lu", &local, &state,
                    &socket.unsent, &socket.unread, &socket.inode) != 5)
      return;
    if (state == kListens || (socket.unread == 0 && socket.unsent == 0)) return;
    socket.local_ip = ntohl(local);
    sockets_.push_back(socket);
  }

  std::vector<Socket> sockets_;
};

// Descriptors of a process, and which of them are sockets, by inode.
struct OpenDescriptors {
  int count = 0;
  std::set<unsigned long> sockets{};
};
inline OpenDescriptors DescriptorsOf(pid_t pid) {
  OpenDescriptors open;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error)) {
    ++open.count;
    std::error_code gone;
    const std::string target = std::filesystem::read_symlink(entry.path(), gone).string();
    unsigned long inode = 0;
    if (std::sscanf(target.c_str(), "socket:[%lu]", &inode) == 1) open.sockets.insert(inode);
  }
  return open;
}

// `ip`, in host order: connections to it that the process hasn't accepted yet are counted as its own.
inline HeldByProcess HeldBy(pid_t pid, std::uint32_t ip, const SocketTable& table) {
  constexpr double kMegabyte = 1024 * 1024;
  HeldByProcess held;
  held.resident_mb = playing::UseOf(pid).memory_mb;
  const OpenDescriptors open = DescriptorsOf(pid);
  held.descriptors = open.count;
  for (const SocketTable::Socket& socket : table.sockets()) {
    const bool waits = socket.inode == 0 && socket.local_ip == ip;
    if (!waits && !open.sockets.contains(socket.inode)) continue;
    held.unread_mb += static_cast<double>(socket.unread) / kMegabyte;
    held.unsent_mb += static_cast<double>(socket.unsent) / kMegabyte;
  }
  return held;
}

// The most of each that was seen.
class PeakUse {
 public:
  void Add(const HeldByProcess& held) {
    if (held.memory_mb() > most_.memory_mb()) {
      const int descriptors = most_.descriptors;
      most_ = held;
      most_.descriptors = std::max(descriptors, held.descriptors);
    }
    most_.descriptors = std::max(most_.descriptors, held.descriptors);
  }
  const HeldByProcess& most() const { return most_; }

 private:
  HeldByProcess most_;
};

}  // namespace curlewdoor
