// All machines lose power right after a put was acknowledged: is it there when they are back? Usage:
// power_loss RECORD
//
// A loss of power is a SIGKILL of all gateways and, on each disk, the loss of what the pages let be lost: a
// file that was made since the last sync of its folder. The storage library syncs the folder only when it
// writes its MANIFEST (and the project when it renames CURRENT): where neither has changed since before the
// file was made, the folder has not been synced. Nothing else is touched on the disks.
#include <dirent.h>

#include "kit.hpp"

namespace {

constexpr int kGateways = 3;
constexpr std::size_t kValue = 4000;  // bytes of a value
constexpr double kLatest = 80;        // seconds from the start: then the case could not run
constexpr double kSyncTime = 6;       // sync_time_s

struct Folder {
  std::vector<std::string> logs;                         // in the order of their numbers
  std::map<std::string, std::pair<long, long>> records;  // MANIFEST and CURRENT: size, time of change
};

Folder Look(const kit::Gateways& gateways, int m) {
  Folder folder;
  const std::string path = gateways.Disk(m) + "/core";
  DIR* entries = ::opendir(path.c_str());
  if (entries == nullptr) return folder;
  while (const dirent* entry = ::readdir(entries)) {
    const std::string name = entry->d_name;
    struct stat state {};
    if (name.ends_with(".log")) folder.logs.push_back(name);
    if ((name.starts_with("MANIFEST") || name == "CURRENT") &&
        ::stat((path + "/" + name).c_str(), &state) == 0)
      folder.records[name] = {state.st_size, state.st_mtim.tv_sec * 1'000'000'000L + state.st_mtim.tv_nsec};
  }
  ::closedir(entries);
  std::sort(folder.logs.begin(), folder.logs.end());
  return folder;
}

// A log was made since `before`, and the folder has not been synced since.
bool MadeUnsynced(const Folder& before, const Folder& now) {
  return !before.logs.empty() && !now.logs.empty() && now.logs.back() > before.logs.back() &&
         now.records == before.records;
}

long Number(const std::string& body, const std::string& name) {
  const std::size_t at = body.find("\"" + name + "\":");
  return at == std::string::npos ? -1 : std::atol(body.c_str() + at + name.size() + 3);
}

// A call on a kept connection.
bool Call(kit::Socket& socket, const kit::Gateways& gateways, const std::string& line,
          const std::string& body, kit::Message& answer) {
  if (socket.fd < 0 && !kit::Connect(socket, gateways.Ip(1), gateways.control())) return false;
  kit::Write(socket.fd,
             line + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
  if (kit::ReadMessage(socket, answer, kit::Clock::now() + std::chrono::seconds(1)) == kit::Came::kBytes)
    return true;
  socket.Close();
  return false;
}

}  // namespace

int main(int, char** arguments) {
  kit::Record record(arguments[1]);
  const bool trouble = kit::Troubled();
  kit::Gateways gateways(kGateways, 160, record);
  if (!gateways.Begin(kit::Config("idempotent", 2000, 1000))) gateways.End(2);
  for (int m = 1; m <= kGateways; ++m) gateways.WriteSettings(m, false, true);
  kit::Sleep(4);

  // Puts, one after the other, until one is acknowledged right behind the making of a log on all disks.
  kit::Socket socket;
  kit::Message answer;
  std::map<std::string, long> acknowledged;  // revisions, by key
  std::string key, value;
  long revision = 0;
  bool struck = false;
  for (int i = 0; kit::Seconds() < kLatest && !struck; ++i) {
    Folder before[kGateways + 1];
    for (int m = 1; m <= kGateways; ++m) before[m] = Look(gateways, m);
    key = "g1.k" + std::to_string(i % 40);
    value = kit::RandomId();
    value.resize(kValue, '0');
    const std::string line = "POST /v1/cells/" + key + "/replace";
    if (!Call(socket, gateways, line, "{\"value\":\"" + value + "\"}", answer) || answer.status != 200) {
      record.Say("put " + key + ": status " + std::to_string(answer.status));
      kit::Sleep(0.2);
      continue;
    }
    int unsynced = 0;
    for (int m = 1; m <= kGateways; ++m) unsynced += MadeUnsynced(before[m], Look(gateways, m));
    revision = Number(answer.body, "revision");
    acknowledged[key] = revision;
    if (unsynced < kGateways) continue;
    struck = true;
    if (trouble) {
      for (int m = 1; m <= kGateways; ++m) gateways.Signal(m, SIGKILL);
      for (int m = 1; m <= kGateways; ++m) gateways.Await(m);
    }
    record.Say("put " + key + " = " + value.substr(0, 16) + "...: acknowledged with revision " +
               std::to_string(revision) + ", the " + std::to_string(i + 1) + "th put");
    if (!trouble) break;
    record.Say("trouble: all machines have lost power");
    // A file that was made without a sync of its folder may be kept or lost: here it is lost on all disks, or
    // on none where a folder was synced before the power was gone.
    int open = 0;
    for (int m = 1; m <= kGateways; ++m) open += MadeUnsynced(before[m], Look(gateways, m));
    if (open < kGateways) {
      struck = false;
      record.Say("folders were synced in time: nothing is lost, once more");
    }
    for (int m = 1; struck && m <= kGateways; ++m) {
      const std::string made = Look(gateways, m).logs.back();
      record.Say("gateway-" + std::to_string(m) + " loses " + made +
                 ", made since the last sync of its folder");
      ::unlink((gateways.Disk(m) + "/core/" + made).c_str());
    }
    kit::Sleep(0.5);
    gateways.StartAll();
    kit::Sleep(struck ? 1 : 4);
    socket.Close();
  }
  if (!struck) gateways.End(2);

  // Read back, again and again, at all gateways.
  long seen = -1;
  int read = 0;
  const double from = kit::Seconds();
  while (kit::Seconds() < from + kSyncTime + 10) {
    socket.Close();
    if (Call(socket, gateways, "GET /v1/cells/" + key + "/read", "", answer) &&
        (answer.status == 200 || answer.status == 404)) {
      seen = answer.status == 404 ? 0 : Number(answer.body, "revision");
      ++read;
      record.Say("read " + key + ": status " + std::to_string(answer.status) + " revision " +
                 std::to_string(seen));
    }
    kit::Sleep(1);
  }
  int behind = 0;
  for (const auto& [each, had] : acknowledged) {
    socket.Close();
    if (!Call(socket, gateways, "GET /v1/cells/" + each + "/read", "", answer)) continue;
    const long now = answer.status == 200 ? Number(answer.body, "revision") : 0;
    if (answer.status != 200 && answer.status != 404) continue;
    if (now < had)
      ++behind, record.Say("behind: " + each + " at " + std::to_string(now) + ", acknowledged " +
                           std::to_string(had));
  }
  socket.Close();
  if (Call(socket, gateways, "POST /v1/cells/g1.next/replace", "{\"value\":\"" + kit::RandomId() + "\"}",
           answer))
    record.Say("the next put of the group: status " + std::to_string(answer.status) + " revision " +
               std::to_string(Number(answer.body, "revision")) + ", after " + std::to_string(revision));
  if (gateways.Ended() > 0 || read == 0) gateways.End(2);
  const bool broken = behind > 0;
  record.Say(broken ? "broken: LOST" : "held: LOST");
  std::printf("acknowledged %ld, read back %ld, keys behind %d: %s\n", revision, seen, behind,
              broken ? "broken" : "held");
  gateways.End(broken ? 1 : 0);
}
