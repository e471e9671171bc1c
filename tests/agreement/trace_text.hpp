// Describes the actions of a trace.
#pragma once

#include <string>
#include <vector>

#include "checker_state.hpp"

namespace curlewdoor::agreement {
namespace {

std::string NameOf(const PutOutcome& outcome) {
  return TextOf(outcome.version, ContentOf(outcome.version, outcome.digest)) +
         (outcome.took_effect ? "" : " without effect");
}

// Describes an action.
std::string Describe(const Action& action, const std::vector<SentMessage>& messages, const Limits& limits) {
  static const char* const kVariants[] = {"", ", crash, its write is lost", ", crash, its write is synced",
                                          ", its disk stalls"};
  std::string text = NameOf(action.machine) + " ", argument = std::to_string(action.argument);
  switch (action.kind) {
    case kDeliver: {
      static const char* const kBodies[] = {"offer",         "offer reply",  "epoch",         "query",
                                            "query reply",   "fetch",        "record",        "prepare",
                                            "promise",       "accept",       "accepted",      "prepare epoch",
                                            "epoch promise", "accept epoch", "epoch accepted"};
      const SentMessage& envelope = messages[action.argument];
      text += "receives " + std::string(kBodies[envelope.message.body.index()]) + " from " +
              NameOf(envelope.from) + " in epoch " + std::to_string(envelope.message.epoch);
      if (auto* accept = std::get_if<RegisterAccept>(&envelope.message.body))
        for (const PutOutcome& each : accept->added_outcomes) text += ", " + NameOf(each);
      if (auto* accept = std::get_if<EpochAccept>(&envelope.message.body))
        text += ", " + NamesOf(accept->members);
      if (auto* install = std::get_if<InstallEpoch>(&envelope.message.body))
        text += ", " + NamesOf(install->members);
      break;
    }
    case kPut:
      text += "is sent " + TextOf(limits.planned_puts[action.argument].version,
                                  limits.planned_puts[action.argument].content);
      break;
    case kGet:
      text += "reads";
      break;
    case kPropose:
      text += action.argument < kMachines ? "proposes d for " + NameOf(action.argument)
              : action.argument < 2 * kMachines
                  ? "proposes the new disk of " + NameOf(action.argument - kMachines)
                  : std::string("proposes d as a fourth");
      break;
    case kSync:
      return text + "has synced";
    case kCrash:
      return text + "crashes" + (action.variant == kPersisted ? ", its write is synced" : "");
    case kWipe:
      return text + "loses its disk";
    case kView:
      return text + "sees no other machine";
    case kRetry:
      text += "tries again";
      break;
    case kLeave:
      return text + "leaves, with its disk";
  }
  return text + kVariants[action.variant];
}

}  // namespace
}  // namespace curlewdoor::agreement
