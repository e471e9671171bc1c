#include "disk_probe.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <string>
#include <system_error>
#include <utility>

namespace curlewdoor::systemkit {
namespace {

constexpr double kSlowSync = 0.05;               // seconds
constexpr std::chrono::milliseconds kPause{20};  // from one sync to the next

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

}  // namespace

DiskProbe::DiskProbe() : taken_at_(Now()), writer_([this](const std::stop_token& stop) { Write(stop); }) {}

double DiskProbe::TakeStalled() {
  const std::lock_guard lock(mutex_);
  const double now = Now();
  const double earlier = std::exchange(stalled_, 0);
  const double since = sync_began_ ? std::max(*sync_began_, taken_at_) : now;
  const bool stalls = sync_began_ && now - *sync_began_ > kSlowSync;
  taken_at_ = now;
  return earlier + (stalls ? now - since : 0);
}

void DiskProbe::Write(const std::stop_token& stop) {
  const std::string path = folder_.path() + "/probe";
  const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), path);
  const std::array<char, 64> bytes{};
  while (!stop.stop_requested()) {
    BeginSync();
    const bool written = ::write(fd, bytes.data(), bytes.size()) > 0 && ::fdatasync(fd) == 0;
    if (!written) throw std::system_error(errno, std::generic_category(), path);
    EndSync();
    std::this_thread::sleep_for(kPause);
  }
  ::close(fd);
}

void DiskProbe::BeginSync() {
  const std::lock_guard lock(mutex_);
  sync_began_ = Now();
}

void DiskProbe::EndSync() {
  const std::lock_guard lock(mutex_);
  const double now = Now();
  if (now - *sync_began_ > kSlowSync) stalled_ += now - std::max(*sync_began_, taken_at_);
  sync_began_.reset();
}

}  // namespace curlewdoor::systemkit
