// A LevelDB info log that discards all messages.
#pragma once

#include <leveldb/env.h>

#include <cstdarg>

namespace curlewdoor::storage {

class NullLogger : public leveldb::Logger {
 public:
  void Logv(const char*, std::va_list) override {}
};

}  // namespace curlewdoor::storage
