#include "events/events.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/log4cplus.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <stdexcept>

#include "events/rate_limit.hpp"

namespace curlewdoor::events {
namespace {

constexpr std::size_t kMostBytes = 1000;

struct Output {
  Output() {
    // The library starts a pool of four threads as soon as it is loaded; they sleep. Taking the library down
    // to end them waits for them without end on some systems (docs/questions.md), so they stay.
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(true, true));
    console->setLayout(std::make_unique<log4cplus::PatternLayout>("%d{%Y-%m-%dT%H:%M:%S.%qZ} %p %m%n"));
    logger = log4cplus::Logger::getInstance("curlewdoor");
    logger.addAppender(console);
    logger.setAdditivity(false);
  }

  log4cplus::Logger logger;
  RateLimit limit;
  Level level = Level::kInfo;
};

Output& TheOutput() {
  static Output output;
  return output;
}

log4cplus::LogLevel ToLibrary(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

const Entry& EntryOf(Event event) {
  const auto at = std::lower_bound(kEntries.begin(), kEntries.end(), event,
                                   [](const Entry& entry, Event key) { return entry.event < key; });
  if (at == kEntries.end() || at->event != event)
    throw std::invalid_argument("an event that isn't in the table");
  return *at;
}

void Write(Output& output, const Entry& entry, std::string text) {
  if (text.size() > kMostBytes) text.resize(kMostBytes);
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 127; }, ' ');
  const std::string line =
      std::to_string(static_cast<int>(entry.event)) + ' ' + std::string(entry.name) + ' ' + text;
  output.logger.forcedLog(ToLibrary(entry.level), line);
}

void WriteLeftOut(Output& output, const Entry& entry, std::uint64_t count) {
  Write(output, entry, "left out: " + std::to_string(count));
}

}  // namespace

std::string_view LevelName(Level level) {
  switch (level) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarn:
      return "warn";
    case Level::kError:
      break;
  }
  return "error";
}

void Begin(std::string_view level) {
  for (const Level known : {Level::kDebug, Level::kInfo, Level::kWarn, Level::kError}) {
    if (LevelName(known) != level) continue;
    TheOutput().level = known;
    return;
  }
  throw std::invalid_argument("no log level: " + std::string(level));
}

bool Heard(Event event) { return EntryOf(event).level >= TheOutput().level; }

void Say(Event event, std::string text) {
  const Entry& entry = EntryOf(event);
  Output& output = TheOutput();
  if (entry.level < output.level) return;
  const auto verdict = output.limit.Ask(static_cast<int>(event), std::chrono::steady_clock::now());
  if (verdict.left_out > 0) WriteLeftOut(output, entry, verdict.left_out);
  if (verdict.say) Write(output, entry, std::move(text));
}

void SayLeftOut(std::chrono::steady_clock::time_point now) {
  Output& output = TheOutput();
  for (const auto& [kind, count] : output.limit.Over(now))
    WriteLeftOut(output, EntryOf(static_cast<Event>(kind)), count);
}

}  // namespace curlewdoor::events
