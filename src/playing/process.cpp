#include "playing/process.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
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
                                      const std::string& log, std::string& error, int listen_fd,
                                      const std::vector<std::pair<std::string, std::string>>& environment) {
  return StartWith(program, {"serve", "--config", config}, log, error, listen_fd, environment);
}

std::optional<Process> Process::StartWith(
    const std::string& program, const std::vector<std::string>& arguments, const std::string& log,
    std::string& error, int listen_fd, const std::vector<std::pair<std::string, std::string>>& environment) {
  constexpr int kInherited = 7;
  // All that allocates comes before the fork: the child only calls what may be called there.
  std::vector<std::string> variables;
  for (const auto& [name, value] : environment) variables.push_back(name + "=" + value);
  if (listen_fd >= 0) variables.push_back(fmt::format("RELAY_LISTEN_FD={}", kInherited));
  std::vector<char*> all;
  for (char** each = environ; *each != nullptr; ++each) all.push_back(*each);
  // Of a name that stands twice the first holds.
  for (std::string& variable : variables) all.insert(all.begin(), variable.data());
  all.push_back(nullptr);
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> line;
  for (std::string& word : words) line.push_back(word.data());
  line.push_back(nullptr);
  const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const int input = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  const pid_t parent = ::getpid();
  int fault[2] = {-1, -1};
  Process process;
  if (output < 0) {
    error = fmt::format("can't write the log {}: {}", log, std::strerror(errno));
  } else if (input < 0 || ::pipe2(fault, O_CLOEXEC) != 0) {
    error = fmt::format("can't start {}: {}", program, std::strerror(errno));
  } else if ((process.pid_ = ::fork()) == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() == parent && ::dup2(input, 0) == 0 && ::dup2(output, 1) == 1 && ::dup2(output, 2) == 2 &&
        (listen_fd < 0 || ::dup2(listen_fd, kInherited) == kInherited) &&
        (listen_fd != kInherited || ::fcntl(kInherited, F_SETFD, 0) == 0))
      ::execve(program.c_str(), line.data(), all.data());
    const int why = errno;
    [[maybe_unused]] const auto told = ::write(fault[1], &why, sizeof why);
    ::_exit(127);
  }
  if (fault[1] >= 0) ::close(fault[1]);
  // Empty once the program runs.
  if (int why = 0; process.pid_ > 0 && ::read(fault[0], &why, sizeof why) == sizeof why) {
    error = fmt::format("can't start {}: {}", program, std::strerror(why));
    ::waitpid(std::exchange(process.pid_, -1), nullptr, 0);
  }
  for (int fd : {output, input, fault[0]})
    if (fd >= 0) ::close(fd);
  if (process.pid_ > 0) return process;
  if (error.empty()) error = fmt::format("can't start {}: {}", program, std::strerror(errno));
  process.pid_ = -1;
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
