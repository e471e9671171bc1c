#include "playing/process.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace curlewdoor::playing {

TemporaryFolder::TemporaryFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "curlewdoor-kit-XXXXXX").string();
  if (::mkdtemp(path.data()) == nullptr)
    throw std::runtime_error(fmt::format("no temporary folder {}: {}", path, std::strerror(errno)));
  path_ = path;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

void TemporaryFolder::Write(const std::string& name, const std::string& text) const {
  const std::string next = path_ + "/" + name + ".next";
  std::ofstream(next, std::ios::binary) << text;
  std::filesystem::rename(next, path_ + "/" + name);
}

Process& Process::operator=(Process&& other) noexcept {
  Kill();
  pid_ = std::exchange(other.pid_, -1);
  exit_code_ = other.exit_code_;
  return *this;
}

std::optional<Process> Process::Start(const std::string& program, const std::string& config,
                                      const std::string& log, std::string& error) {
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  std::string serve = "serve", option = "--config", name = program, file = config;
  char* arguments[] = {name.data(), serve.data(), option.data(), file.data(), nullptr};
  Process process;
  const int failed = ::posix_spawn(&process.pid_, program.c_str(), &files, nullptr, arguments, environ);
  posix_spawn_file_actions_destroy(&files);
  if (failed == 0) return process;
  process.pid_ = -1;
  error = fmt::format("can't start {}: {}", program, std::strerror(failed));
  return std::nullopt;
}

bool Process::running() {
  if (pid_ < 0) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  pid_ = -1;
  return false;
}

void Process::Signal(int signal) const {
  if (pid_ > 0) ::kill(pid_, signal);
}

void Process::Kill() {
  if (!running()) return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  ::waitpid(pid_, &status, 0);
  pid_ = -1;
}

ProcessUse UseOf(pid_t pid) {
  ProcessUse use;
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string line;
  if (!std::getline(stat, line)) return use;
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  use.cpu_s = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream statm(fmt::format("/proc/{}/statm", pid));
  double total = 0, resident = 0;
  statm >> total >> resident;
  use.memory_mb = resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576;
  return use;
}

}  // namespace curlewdoor::playing
