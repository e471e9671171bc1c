// Guards against the loss of writes that were reported as successful. Runs the storage on a simulated disk
// that fails permanently at each of its operations in turn, or for a few operations only, drops or tears the
// unsynced data, and opens the storage again. Runs a subset of the cases by default; CURLEWDOOR_CRASHES=<torn
// outcomes per operation>, e.g. 40, runs all of them.
#include <poll.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <random>

#include "agreement/codec.hpp"
#include "simulated_disk.hpp"
#include "storage/storage.hpp"

namespace curlewdoor::storage {
namespace {

std::unique_ptr<Storage> Open(SimulatedDisk& disk) {
  return OpenStorage(SimulatedDisk::kDirectory, disk,
                     [&disk](const std::string& directory) { return disk.SyncDirectory(directory); });
}

std::string ValueText(std::uint64_t version) {
  return std::to_string(version) + std::string(40'000, static_cast<char>('a' + version % 26));
}

constexpr int kReportMilliseconds = 10'000;  // a result that takes longer is missing

// Writes like the core: the state with each write, and the value only if its version has changed.
struct Writer {
  std::uint64_t attempted = 0, answered = 0, reported = 0, value = 0;

  // Writes once. Returns whether the write was reported as successful.
  bool Write(Storage& storage) {
    BOOST_REQUIRE(Begin(storage));
    BOOST_REQUIRE(Await(storage, kReportMilliseconds));
    BOOST_REQUIRE(answered == attempted);
    return reported == attempted;
  }

  // Starts a write. Returns whether the storage has accepted it.
  bool Begin(Storage& storage) {
    const std::uint64_t id = ++attempted, version = VersionAt(id);
    agreement::CoreState state;
    state.promised.round = id;
    Records records{{agreement::kStateKey, agreement::EncodeState(state)}};
    if (version != value)
      records.emplace_back(agreement::kValueKey, agreement::EncodeValue({version, ValueText(version)}));
    return storage.Write(id, std::move(records));
  }

  // Waits for results and takes them in: one for each write, in their order. Returns false if there are none
  // in time.
  bool Await(Storage& storage, int milliseconds) {
    pollfd wait{storage.fd(), POLLIN, 0};
    if (poll(&wait, 1, milliseconds) != 1) return false;
    for (const WriteResult& result : storage.Drain()) {
      BOOST_REQUIRE(result.id == ++answered);
      BOOST_REQUIRE(result.id <= attempted);
      if (!result.ok) continue;
      reported = result.id;
      value = VersionAt(result.id);
    }
    return true;
  }

  static std::uint64_t VersionAt(std::uint64_t id) { return id - id % 2; }

  // Returns an empty string if everything reported as written can be read back, otherwise a description of
  // the fault.
  std::string Check(Storage& storage) {
    auto state =
        agreement::DecodeState(storage.Read(agreement::kStateKey), storage.Read(agreement::kValueKey));
    if (!state) return "it can't be decoded";
    std::uint64_t round = state->promised.round, version = state->value.version;
    std::string found = "reported " + std::to_string(reported) + " of " + std::to_string(attempted) +
                        ", found " + std::to_string(round) + " with value " + std::to_string(version);
    if (round < reported || round > attempted || version != VersionAt(round)) return found;
    if (version > 0 && state->value.text != ValueText(version)) return found + ", of another text";
    answered = attempted;  // a storage that was opened anew reports nothing of earlier writes
    reported = round;
    value = version;
    return {};
  }
};

constexpr int kWrites = 30;

// Opens the storage, checks it and writes once more. Returns a description of the fault, or an empty string.
std::string Reopen(SimulatedDisk& disk, Writer& writer) {
  try {
    auto storage = Open(disk);
    if (std::string fault = writer.Check(*storage); !fault.empty()) return fault;
    if (!writer.Write(*storage)) return "it accepts no more writes";
    return {};
  } catch (const StorageError& error) {
    return std::string("it can't be opened: ") + error.what();
  }
}

// Writes until an operation fails, from operation `from` on, or kWrites times.
void WriteUntilFailure(SimulatedDisk& disk, Writer& writer, std::uint64_t from) {
  disk.FailAt(from, ~0ull);
  try {
    auto storage = Open(disk);
    for (int i = 0; i < kWrites && writer.Write(*storage); ++i) {
    }
  } catch (const StorageError&) {
  }
}

// Runs the writes with operations `from` (inclusive) to `to` (exclusive) failing, then crashes with `loss`.
// Unless `second_failure` is ~0, reopens the storage on a disk that fails from that operation of the second
// run on, and crashes again. `length` receives the number of operations of the first run. Returns a
// description of the fault, or an empty string.
std::string RunWithFailures(std::uint64_t from, std::uint64_t to, UnsyncedLoss loss,
                            std::uint64_t second_failure, std::uint64_t seed,
                            std::uint64_t* length = nullptr) {
  std::mt19937_64 random(seed);
  SimulatedDisk disk;
  Writer writer;
  disk.FailAt(from, to);
  try {
    auto storage = Open(disk);
    for (int i = 0; i < kWrites; ++i) {
      if (!writer.Write(*storage) && to == ~0ull) break;
    }
  } catch (const StorageError&) {
  }
  if (length) *length = disk.operations();
  disk.Crash(loss, random);
  if (second_failure != ~0ull) {
    disk.FailAt(second_failure, ~0ull);
    try {
      auto storage = Open(disk);
      if (std::string fault = writer.Check(*storage); !fault.empty()) return fault;
      for (int i = 0; i < 4 && writer.Write(*storage); ++i) {
      }
    } catch (const StorageError&) {
    }
    disk.Crash(loss, random);
  }
  return Reopen(disk, writer);
}

// How many of the cases to run, from CURLEWDOOR_CRASHES.
struct Sweep {
  std::uint64_t torn_seeds = 1, step = 3;
  bool run_all = false;
  Sweep() {
    const char* crashes = std::getenv("CURLEWDOOR_CRASHES");
    if (!crashes) return;
    torn_seeds = std::strtoull(crashes, nullptr, 10);
    step = 1;
    run_all = true;
  }
};

BOOST_AUTO_TEST_CASE(what_was_reported_is_there_after_a_crash_at_every_operation) {
  Sweep sweep;
  std::uint64_t length = 0, restarts = 0;
  auto begun = std::chrono::steady_clock::now();
  BOOST_TEST(RunWithFailures(~0ull, ~0ull, UnsyncedLoss::kAll, ~0ull, 1, &length) == "");
  BOOST_TEST(length > 80u);
  auto run_and_check = [&](std::uint64_t from, UnsyncedLoss loss, std::uint64_t second_failure,
                           std::uint64_t seed) {
    std::string fault = RunWithFailures(from, ~0ull, loss, second_failure, seed);
    restarts += second_failure == ~0ull ? 1 : 2;
    BOOST_CHECK_MESSAGE(fault.empty(), "operation " << from << ", loss " << static_cast<int>(loss)
                                                    << ", then operation "
                                                    << static_cast<std::int64_t>(second_failure) << ", seed "
                                                    << seed << ": " << fault);
  };
  for (std::uint64_t k = 0; k <= length; ++k) {
    run_and_check(k, UnsyncedLoss::kNone, ~0ull, k);
    run_and_check(k, UnsyncedLoss::kAll, ~0ull, k);
    for (std::uint64_t seed = 0; seed < sweep.torn_seeds; ++seed)
      run_and_check(k, UnsyncedLoss::kTorn, ~0ull, seed * 1000 + k);
    for (std::uint64_t second_failure = 0; second_failure < 24; second_failure += sweep.run_all ? 1 : 7) {
      if (k % sweep.step == 0)
        run_and_check(k, second_failure % 2 ? UnsyncedLoss::kTorn : UnsyncedLoss::kAll, second_failure,
                      second_failure * 1000 + k);
    }
  }
  std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - begun;
  BOOST_TEST_MESSAGE(length << " operations, " << restarts << " restarts, " << seconds.count() << " s");
}

// Guards against a write that is reported while its log may still lose its name, after a power failure of the
// whole cluster: the new log was synced, but not its directory.
BOOST_AUTO_TEST_CASE(what_was_reported_outlives_the_loss_of_unsynced_names) {
  std::mt19937_64 random(1);
  SimulatedDisk disk;
  Writer writer;
  auto storage = Open(disk);
  for (int i = 0; i < 2 * kWrites; ++i) {
    BOOST_REQUIRE(writer.Write(*storage));
    const auto crashed = disk.CrashedCopy(UnsyncedLoss::kAll, random);
    Writer after = writer;
    BOOST_TEST(Reopen(*crashed, after) == "");
  }
}

// Guards against a record in a log that was made within its own write: whoever takes away that log, going by
// the manifest alone, takes away what was reported.
BOOST_AUTO_TEST_CASE(a_log_has_a_durable_name_before_its_first_record) {
  SimulatedDisk disk;
  Writer writer;
  const auto storage = Open(disk);
  for (int i = 0; i < 2 * kWrites; ++i) BOOST_REQUIRE(writer.Write(*storage));
  BOOST_TEST(disk.writes_to_unsynced_logs() == 0u);
}

// Guards against writes that are reported while the names of their files can't be made durable.
BOOST_AUTO_TEST_CASE(a_directory_sync_that_fails_fails_the_writes_that_need_it) {
  std::mt19937_64 random(1);
  SimulatedDisk disk;
  Writer writer;
  const auto storage = Open(disk);
  BOOST_REQUIRE(writer.Write(*storage));
  disk.SetDirectorySyncs(DirectorySyncs::kFail);
  bool refused = false;
  for (int i = 0; i < kWrites; ++i) {
    refused = !writer.Write(*storage) || refused;
    const auto crashed = disk.CrashedCopy(UnsyncedLoss::kAll, random);
    Writer after = writer;
    BOOST_TEST(Reopen(*crashed, after) == "");
  }
  BOOST_TEST(refused);
  disk.SetDirectorySyncs(DirectorySyncs::kWork);
  BOOST_TEST(writer.Write(*storage));
  BOOST_TEST(Reopen(*disk.CrashedCopy(UnsyncedLoss::kAll, random), writer) == "");
}

// Guards against the same while such a sync hangs, and against an owner that hangs with it.
BOOST_AUTO_TEST_CASE(a_directory_sync_that_hangs_delays_reports_and_blocks_nobody) {
  constexpr int kQuietMilliseconds = 300;  // after which nothing more is expected to be reported
  std::mt19937_64 random(1);
  SimulatedDisk disk;
  Writer writer;
  const auto storage = Open(disk);
  BOOST_REQUIRE(writer.Write(*storage));
  disk.SetDirectorySyncs(DirectorySyncs::kHang);
  for (int i = 0; i < kWrites; ++i) BOOST_TEST(writer.Begin(*storage));
  while (writer.Await(*storage, kQuietMilliseconds)) {
  }
  BOOST_TEST(writer.reported < writer.attempted);
  Writer after = writer;
  BOOST_TEST(Reopen(*disk.CrashedCopy(UnsyncedLoss::kAll, random), after) == "");
  disk.SetDirectorySyncs(DirectorySyncs::kWork);
  while (writer.reported < writer.attempted && writer.Await(*storage, kReportMilliseconds)) {
  }
  BOOST_TEST(writer.reported == writer.attempted);
}

// Guards against a storage that is lost as a whole with its directory, which the parent may lose: at the
// first start or on a wiped disk, after a process that ended before it synced the parent, and after a
// refusal.
BOOST_AUTO_TEST_CASE(what_was_reported_outlives_the_loss_of_an_unsynced_directory) {
  enum class Start { kEmptyDisk, kAfterKill, kFirstOperationRefused };
  for (Start start : {Start::kEmptyDisk, Start::kAfterKill, Start::kFirstOperationRefused}) {
    std::mt19937_64 random(1);
    SimulatedDisk disk;
    if (start == Start::kAfterKill) BOOST_REQUIRE(disk.CreateDir(SimulatedDisk::kDirectory).ok());
    if (start == Start::kFirstOperationRefused) {
      disk.FailAt(0, 1);
      BOOST_CHECK_THROW(Open(disk), StorageError);
    }
    Writer writer;
    const auto storage = Open(disk);
    BOOST_REQUIRE(writer.Write(*storage));
    const auto crashed = disk.CrashedCopy(UnsyncedLoss::kAll, random);
    BOOST_TEST(Reopen(*crashed, writer) == "");
  }
}

// Removes the manifests, so that the next opening has to repair the database.
void RemoveManifests(SimulatedDisk& disk) {
  std::vector<std::string> names;
  if (!disk.GetChildren(SimulatedDisk::kDirectory, &names).ok()) return;
  for (const std::string& name : names) {
    if (!name.starts_with("MANIFEST")) continue;
    BOOST_REQUIRE(disk.RemoveFile(SimulatedDisk::kDirectory + ("/" + name)).ok());
  }
}

// Guards against a repair after which an old value is read in place of the one that was reported: of two
// logs, or of a log and the tables that replaced it.
BOOST_AUTO_TEST_CASE(what_was_reported_is_read_after_a_repair) {
  std::mt19937_64 random(1);
  SimulatedDisk disk;
  Writer writer;
  auto storage = Open(disk);
  for (int i = 0; i < 2 * kWrites; ++i) {
    BOOST_REQUIRE(writer.Write(*storage));
    for (UnsyncedLoss loss : {UnsyncedLoss::kAll, UnsyncedLoss::kTorn}) {
      const auto crashed = disk.CrashedCopy(loss, random);
      RemoveManifests(*crashed);
      Writer after = writer;
      BOOST_TEST(Reopen(*crashed, after) == "");
    }
  }
}

// Guards against a repair that takes in what a crash has torn, as RepairDB reads logs and tables without
// their checksums: half a write, a value with a hole, or an abort of the process at an empty table.
BOOST_AUTO_TEST_CASE(what_was_reported_is_read_after_a_crash_at_every_operation_and_a_repair) {
  Sweep sweep;
  std::uint64_t length = 0;
  RunWithFailures(~0ull, ~0ull, UnsyncedLoss::kAll, ~0ull, 1, &length);
  for (std::uint64_t k = 0; k <= length; ++k) {
    for (std::uint64_t seed = 0; seed < sweep.torn_seeds; ++seed) {
      std::mt19937_64 random(seed * 1000 + k);
      SimulatedDisk disk;
      Writer writer;
      WriteUntilFailure(disk, writer, k);
      disk.Crash(UnsyncedLoss::kTorn, random);
      RemoveManifests(disk);
      const std::string fault = Reopen(disk, writer);
      BOOST_CHECK_MESSAGE(fault.empty(), "operation " << k << ", seed " << seed << ": " << fault);
    }
  }
}

// The same where the disk dies at an operation of the repair, and the machine starts again.
BOOST_AUTO_TEST_CASE(what_was_reported_is_read_after_a_repair_that_a_crash_cut_short) {
  constexpr std::uint64_t kMostOperations = 200;  // of a repair
  Sweep sweep;
  std::mt19937_64 random(1);
  SimulatedDisk disk;
  Writer writer;
  auto storage = Open(disk);
  for (int i = 0; i < kWrites; ++i) {
    BOOST_REQUIRE(writer.Write(*storage));
    if (i % 5 != 3) continue;
    for (std::uint64_t k = 0; k < kMostOperations; k += sweep.step) {
      const UnsyncedLoss loss = k / sweep.step % 2 ? UnsyncedLoss::kTorn : UnsyncedLoss::kAll;
      const auto crashed = disk.CrashedCopy(UnsyncedLoss::kAll, random);
      RemoveManifests(*crashed);
      crashed->FailAt(k, ~0ull);
      try {
        Open(*crashed);
      } catch (const StorageError&) {
      }
      const bool done = crashed->operations() < k;
      crashed->Crash(loss, random);
      Writer after = writer;
      const std::string fault = Reopen(*crashed, after);
      BOOST_CHECK_MESSAGE(fault.empty(), "write " << i << ", operation " << k << ": " << fault);
      if (done) break;
    }
  }
}

// Operations that fail for a while, as on a full disk, fail only the writes concerned and lose nothing that
// was reported.
BOOST_AUTO_TEST_CASE(what_was_reported_is_there_after_a_disk_has_refused) {
  Sweep sweep;
  std::uint64_t length = 0, restarts = 0;
  RunWithFailures(~0ull, ~0ull, UnsyncedLoss::kAll, ~0ull, 1, &length);
  for (std::uint64_t k = 0; k <= length; ++k) {
    for (std::uint64_t count : {1u, 2u, 5u, 20u}) {
      for (UnsyncedLoss loss : {UnsyncedLoss::kNone, UnsyncedLoss::kAll, UnsyncedLoss::kTorn}) {
        if (!sweep.run_all && (k + count) % sweep.step != 0) continue;
        std::string fault = RunWithFailures(k, k + count, loss, ~0ull, k);
        ++restarts;
        BOOST_CHECK_MESSAGE(fault.empty(), "operations " << k << " and " << count - 1 << " more, loss "
                                                         << static_cast<int>(loss) << ": " << fault);
      }
    }
  }
  BOOST_TEST_MESSAGE(restarts << " restarts");
}

BOOST_AUTO_TEST_CASE(a_full_disk_is_an_error_of_each_write_and_loses_nothing) {
  std::mt19937_64 random(1);
  SimulatedDisk disk;
  disk.SetCapacity(400'000);
  Writer writer;
  auto storage = Open(disk);
  while (writer.attempted < 100 && writer.Write(*storage)) {
  }
  BOOST_TEST(writer.attempted < 100u);
  for (int i = 0; i < 20; ++i) BOOST_TEST((writer.Write(*storage) || writer.reported < writer.attempted));
  disk.SetCapacity(4'000'000);
  BOOST_TEST(writer.Write(*storage));
  storage.reset();
  disk.Crash(UnsyncedLoss::kAll, random);
  BOOST_TEST(Reopen(disk, writer) == "");
}

// Guards against replaced values that are never removed: the disk may hold a few versions of a value, not
// all 60.
BOOST_AUTO_TEST_CASE(old_values_leave_the_disk) {
  for (std::size_t size : {300'000u, 2'000'000u}) {
    SimulatedDisk disk;
    auto storage = Open(disk);
    for (std::uint64_t id = 1; id <= 60; ++id) {
      storage->Write(id, {{"value", std::string(size, static_cast<char>('a' + id % 26))}});
      pollfd wait{storage->fd(), POLLIN, 0};
      BOOST_REQUIRE(poll(&wait, 1, 10000) == 1);
      BOOST_TEST(storage->Drain().at(0).ok);
    }
    BOOST_TEST_MESSAGE("60 values of " << size << " bytes: " << disk.peak_bytes() << " at most");
    BOOST_TEST(disk.peak_bytes() < 20 * size);
  }
}

}  // namespace
}  // namespace curlewdoor::storage
