// A gateway as a process of its own, with its configuration file and its log.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace curlewdoor::playing {

// A folder that goes with its contents.
class TemporaryFolder {
 public:
  TemporaryFolder();  // throws std::runtime_error
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }
  // Replaced at once: whoever reads the file finds the old or the new one whole.
  void Write(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

// A child process. Killed when its owner goes.
class Process {
 public:
  Process() = default;
  Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}
  Process& operator=(Process&& other) noexcept;
  ~Process() { Kill(); }

  // Starts `program serve --config FILE`, its output to `log`. On nullopt, `error` says why. The child ends
  // with this process, however that ends. `listen_fd`, where it is one: inherited, for clients;
  // `environment`: on top of this process's own.
  static std::optional<Process> Start(
      const std::string& program, const std::string& config, const std::string& log, std::string& error,
      int listen_fd = -1, const std::vector<std::pair<std::string, std::string>>& environment = {});
  // The same with arguments of one's own.
  static std::optional<Process> StartWith(
      const std::string& program, const std::vector<std::string>& arguments, const std::string& log,
      std::string& error, int listen_fd = -1,
      const std::vector<std::pair<std::string, std::string>>& environment = {});
  bool running();  // and takes its end down, once it has ended
  void Signal(int signal) const;
  void Kill();
  // Of one that has ended: its exit code, or 128 and the signal.
  int exit_code() const { return exit_code_; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int exit_code_ = 0;
};

// What the system counts of a process; zeros where it has gone.
struct ProcessUse {
  double cpu_s = 0;
  double memory_mb = 0;  // resident
};
ProcessUse UseOf(pid_t pid);

}  // namespace curlewdoor::playing
