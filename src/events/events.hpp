// The log: numbered events, one line each on standard error: time of day (UTC), level, number, name, text.
// The catalogue for operators is docs/events.md. To be called from one thread.
#pragma once

#include <array>
#include <chrono>
#include <string>
#include <string_view>

namespace curlewdoor::events {

enum class Level { kDebug, kInfo, kWarn, kError };

enum class Event : int {
  kStarted = 100,
  kSettingsRead = 101,
  kSettingsChanged = 102,
  kSettingsRefused = 103,
  kReady = 104,
  kNotReady = 105,
  kTermReceived = 106,
  kDrained = 107,
  kDrainCutShort = 108,
  kEnded = 109,
  kFailed = 110,
  kProcessPaused = 111,
  kMemberSeen = 200,
  kMemberLost = 201,
  kLinkUp = 202,
  kLinkDown = 203,
  kLinkRefused = 204,
  kAlone = 205,
  kNotAlone = 206,
  kFirstRoster = 300,
  kSuccessorProposed = 301,
  kSuccessorChosen = 302,
  kRosterInForce = 303,
  kWipedDisk = 304,
  kNoMajority = 305,
  kMajorityBack = 306,
  kStorageOpened = 307,
  kStorageFailed = 308,
  kStorageDamaged = 309,
  kForgetOrdered = 310,
  kRedundancyLost = 311,
  kRedundancyBack = 312,
  kSpreadShort = 313,
  kSpreadBack = 314,
  kConfigTaken = 400,
  kConfigInForce = 401,
  kConfigRefused = 402,
  kConfigOvertaken = 403,
  kConfigRead = 404,
  kConfigConflict = 405,
  kHostSeen = 500,
  kHostDraining = 501,
  kHostGone = 502,
  kHostSilent = 503,
  kHostBack = 504,
  kAddressTakenOver = 505,
  kLeaveAcknowledged = 506,
  kLeaveNotAcknowledged = 507,
  kLeaveHeld = 508,
  kRegistryLearnedFromAll = 509,
  kRegistryUnproved = 510,
  kRegistryProved = 511,
  kHostsTooOld = 512,
  kNoRoute = 600,
  kKeyUnknown = 601,
  kOverQuota = 602,
  kNoHost = 603,
  kAttemptFailed = 604,
  kAnsweredByNobody = 605,
  kGarbledAnswer = 606,
  kLongWait = 607,
  kWrittenToLeaving = 608,
  kCounterSilent = 700,
  kCounterBack = 701,
  kCountBegun = 702,
  kBeatRefused = 800,
  kMessageRefused = 801,
  kTooLarge = 802,
  kCoordinationNote = 900,
  kCoordinationLeader = 901,
};

struct Entry {
  Event event;
  Level level;
  std::string_view name;
  std::string_view meaning;
};

inline constexpr std::array kEntries = {
    Entry{Event::kStarted, Level::kInfo, "started", "the process has begun to run"},
    Entry{Event::kSettingsRead, Level::kInfo, "settings-read", "the settings file was read and checked"},
    Entry{Event::kSettingsChanged, Level::kInfo, "settings-changed",
          "the settings file differs from the one of the last start"},
    Entry{Event::kSettingsRefused, Level::kError, "settings-refused",
          "the settings file is wrong; the process ends"},
    Entry{Event::kReady, Level::kInfo, "ready", "readiness answers yes from now on"},
    Entry{Event::kNotReady, Level::kWarn, "not-ready", "readiness answers no from now on"},
    Entry{Event::kTermReceived, Level::kInfo, "term-received", "SIGTERM came; no new connections are taken"},
    Entry{Event::kDrained, Level::kInfo, "drained", "all requests in flight are answered"},
    Entry{Event::kDrainCutShort, Level::kWarn, "drain-cut-short",
          "requests were still open at the end of the time for draining: how many, how many of them at "
          "hosts, and when the last one was taken"},
    Entry{Event::kEnded, Level::kInfo, "ended", "the process ends by itself"},
    Entry{Event::kFailed, Level::kError, "failed", "the process ends by an error that it can't go on after"},
    Entry{Event::kProcessPaused, Level::kWarn, "process-paused",
          "this process didn't run for a while: it was stopped, or its machine stood still"},
    Entry{Event::kMemberSeen, Level::kInfo, "member-seen", "another gateway is there"},
    Entry{Event::kMemberLost, Level::kWarn, "member-lost",
          "another gateway hasn't answered for long enough to count as lost"},
    Entry{Event::kLinkUp, Level::kInfo, "link-up", "the link to a core member stands"},
    Entry{Event::kLinkDown, Level::kWarn, "link-down", "the link to a core member broke; it is tried again"},
    Entry{Event::kLinkRefused, Level::kWarn, "link-refused",
          "a link was turned away: another protocol, or no core member"},
    Entry{Event::kAlone, Level::kWarn, "alone", "no other gateway is seen and no core member is reached"},
    Entry{Event::kNotAlone, Level::kInfo, "not-alone",
          "another gateway is seen, or a core member reached, again"},
    Entry{Event::kFirstRoster, Level::kInfo, "first-roster", "this machine takes part in founding the core"},
    Entry{Event::kSuccessorProposed, Level::kInfo, "successor-proposed",
          "another roster is proposed to the core"},
    Entry{Event::kSuccessorChosen, Level::kInfo, "successor-chosen",
          "the core has agreed on its next roster"},
    Entry{Event::kRosterInForce, Level::kInfo, "roster-in-force", "a roster of the core is in force"},
    Entry{Event::kWipedDisk, Level::kWarn, "wiped-disk",
          "the disk was empty on a start after the first one; this is a new member"},
    Entry{Event::kNoMajority, Level::kError, "no-majority",
          "fewer than half of the core answer; nothing new is acknowledged"},
    Entry{Event::kMajorityBack, Level::kInfo, "majority-back", "a majority of the core answers again"},
    Entry{Event::kStorageOpened, Level::kInfo, "storage-opened", "the data on the disk were opened"},
    Entry{Event::kStorageFailed, Level::kError, "storage-failed", "the disk didn't take a write"},
    Entry{Event::kStorageDamaged, Level::kError, "storage-damaged",
          "the data on the disk can't be read; they are set aside"},
    Entry{Event::kForgetOrdered, Level::kWarn, "forget-ordered",
          "an operator has ordered a member to be forgotten; a roster without it is proposed"},
    Entry{Event::kRedundancyLost, Level::kWarn, "redundancy-lost",
          "the core bears fewer further losses than before"},
    Entry{Event::kRedundancyBack, Level::kInfo, "redundancy-back",
          "the core bears more further losses again"},
    Entry{Event::kSpreadShort, Level::kWarn, "spread-short",
          "the roster doesn't bear the loss of as many zones or regions as fault_tolerance says"},
    Entry{Event::kSpreadBack, Level::kInfo, "spread-back",
          "the roster bears the loss of as many zones and regions as fault_tolerance says"},
    Entry{Event::kConfigTaken, Level::kInfo, "config-taken",
          "a configuration came from the operator and is being stored"},
    Entry{Event::kConfigInForce, Level::kInfo, "config-in-force", "a configuration is in force here"},
    Entry{Event::kConfigRefused, Level::kWarn, "config-refused", "a configuration is wrong"},
    Entry{Event::kConfigOvertaken, Level::kInfo, "config-overtaken",
          "a configuration is older than the one in force; it was confirmed and changes nothing"},
    Entry{Event::kConfigRead, Level::kInfo, "config-read", "a configuration was read back from a majority"},
    Entry{Event::kConfigConflict, Level::kWarn, "config-conflict",
          "a configuration came under a number that belongs to another content; it was refused with 409"},
    Entry{Event::kHostSeen, Level::kInfo, "host-seen", "a host sent its first beat"},
    Entry{Event::kHostDraining, Level::kInfo, "host-draining", "a host asks for no more requests"},
    Entry{Event::kHostGone, Level::kInfo, "host-gone", "a host has taken leave"},
    Entry{Event::kHostSilent, Level::kWarn, "host-silent",
          "a host's beats have stopped; it gets no requests"},
    Entry{Event::kHostBack, Level::kInfo, "host-back", "a silent host beats again"},
    Entry{Event::kAddressTakenOver, Level::kInfo, "address-taken-over",
          "an address now belongs to another host"},
    Entry{Event::kLeaveAcknowledged, Level::kInfo, "leave-acknowledged",
          "a host's word that it leaves was acknowledged; the text names who holds it"},
    Entry{Event::kLeaveNotAcknowledged, Level::kWarn, "leave-not-acknowledged",
          "a host's word that it leaves wasn't acknowledged in time; the host goes on to another gateway"},
    Entry{Event::kLeaveHeld, Level::kInfo, "leave-held",
          "this core member answers another gateway that it holds a host's leave"},
    Entry{Event::kRegistryLearnedFromAll, Level::kWarn, "registry-learned-from-all",
          "leaves of earlier epochs were learned from all members, as no majority of the epoch before "
          "answered"},
    Entry{Event::kRegistryUnproved, Level::kWarn, "registry-unproved",
          "no majority of the core proves the list of hosts; requests are sent by it nevertheless"},
    Entry{Event::kRegistryProved, Level::kInfo, "registry-proved",
          "a majority of the core proves the list of hosts again"},
    Entry{Event::kHostsTooOld, Level::kInfo, "hosts-too-old",
          "hosts were dropped from the list that no beat has been heard of for long; number, watermark"},
    Entry{Event::kNoRoute, Level::kDebug, "no-route", "a request matches no route"},
    Entry{Event::kKeyUnknown, Level::kDebug, "key-unknown", "a request has a key that no tenant holds"},
    Entry{Event::kOverQuota, Level::kDebug, "over-quota", "a request was refused beyond its tenant's quota"},
    Entry{Event::kNoHost, Level::kWarn, "no-host", "a request found no host with room"},
    Entry{Event::kAttemptFailed, Level::kInfo, "attempt-failed", "an attempt at a host failed"},
    Entry{Event::kAnsweredByNobody, Level::kInfo, "answered-by-nobody",
          "a host said that the request is meant for another one, or no longer for it"},
    Entry{Event::kGarbledAnswer, Level::kWarn, "garbled-answer", "a host's answer isn't HTTP"},
    Entry{Event::kLongWait, Level::kWarn, "long-wait", "a request waited long for a host"},
    Entry{Event::kWrittenToLeaving, Level::kError, "written-to-leaving",
          "a request was written to a host that the list says is leaving, or by a list that isn't proved"},
    Entry{Event::kCounterSilent, Level::kWarn, "counter-silent",
          "the member that counts a tenant doesn't answer; quotas are kept by share"},
    Entry{Event::kCounterBack, Level::kInfo, "counter-back", "the count of a tenant answers again"},
    Entry{Event::kCountBegun, Level::kInfo, "count-begun", "this member counts tenants from now on"},
    Entry{Event::kBeatRefused, Level::kWarn, "beat-refused", "a call at the control address is wrong"},
    Entry{Event::kMessageRefused, Level::kWarn, "message-refused", "a message of a gateway can't be read"},
    Entry{Event::kTooLarge, Level::kWarn, "too-large", "a request or message is beyond its size limit"},
    Entry{Event::kCoordinationNote, Level::kInfo, "coordination-note",
          "the log of locks, numbers and keys: who leads, and which voters it has"},
    Entry{Event::kCoordinationLeader, Level::kInfo, "coordination-leader",
          "this member serves locks, numbers, keys and watches from now on"},
};

std::string_view LevelName(Level level);  // "debug", "info", "warn", "error"

// Says nothing below `level` from now on. Throws std::invalid_argument for a name that is none. Ends the
// threads that log4cplus starts when it is loaded, so it is called first in main(). Say() before it begins
// with "info".
void Begin(std::string_view level);

// Whether Say() of this event would be heard, to spare the making of its text.
bool Heard(Event event);

// One line. Control characters of the text become spaces, and it is cut at 1000 bytes. At most 5 lines a
// second of each event; how many were left out is said before its next line or by SayLeftOut().
void Say(Event event, std::string text);

// Says how many lines were left out in seconds that are over. For a timer (once a second) and the end.
void SayLeftOut(std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now());

}  // namespace curlewdoor::events
