// The simulator's wire: lines to events, actions to lines. Pure text work; nothing is decided here.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "logic.hpp"

namespace curlewdoor::wire {

struct Started {  // an instance begins with no state
  std::uint64_t seed = 0;
  Settings settings;
};

struct Stopped {};  // an instance was killed

using Message = std::variant<Started, Stopped, Event>;

struct Entry {
  std::uint64_t instance = 0;
  std::size_t line = 0;  // where it stands in the input, for error messages
  Message message;
};

struct Batch {
  TimePoint now{};
  std::vector<Entry> entries;
};

enum class ReadResult { kBatch, kEnd, kMalformed };

class BatchReader {
 public:
  explicit BatchReader(std::istream& in) : in_(in) {}

  // Reads one whole batch. On kMalformed, error() says in one line what is wrong and where.
  ReadResult Next(Batch& batch);
  const std::string& error() const { return error_; }

 private:
  bool ReadLine();
  bool Malformed(std::string_view what);
  bool ReadMessage(Batch& batch);
  bool ReadHostList(HostList& list, std::int64_t count);

  std::istream& in_;
  std::string line_;
  std::size_t line_number_ = 0;
  bool has_instance_ = false;
  std::uint64_t instance_ = 0;
  std::string error_;
};

// Sets what `path` names in the settings ("limits.max_attempts", "tariffs.0.name"); unknown paths are passed
// over. Tells whether the value was well formed.
bool ApplySetting(std::string_view path, std::string_view text, Settings& settings);

// Each appends whole lines.
void AppendInstance(std::uint64_t instance, std::string& out);
void AppendAction(const Action& action, std::string& out);
void AppendFault(std::string_view text, std::string& out);
void AppendEndOfReply(std::string& out);

// Base64 with padding; "-" stands for no bytes. Decode tells whether the text was well formed.
std::string EncodeBase64(std::string_view bytes);
bool DecodeBase64(std::string_view text, std::string& bytes);

}  // namespace curlewdoor::wire
