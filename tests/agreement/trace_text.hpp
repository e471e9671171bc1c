// The steps of a trace in words.
#pragma once

#include <string>
#include <vector>

#include "checker_state.hpp"

namespace curlewdoor::agreement {
namespace {

std::string NameOf(const OrderOutcome& outcome) {
  return TextOf(outcome.version, ContentOf(outcome.version, outcome.digest)) +
         (outcome.took_effect ? "" : " without effect");
}

// A step in words.
std::string Describe(const Action& action, const std::vector<Mail>& mails, const Limits& limits) {
  static const char* const kVariants[] = {"", ", crash, its write is lost", ", crash, its write is there",
                                          ", its disk hangs"};
  std::string who = NameOf(action.machine) + " ", what = std::to_string(action.what);
  switch (action.kind) {
    case kDeliver: {
      static const char* const kBodies[] = {"offer",         "offer taken",  "epoch",         "query",
                                            "query reply",   "fetch",        "record",        "prepare",
                                            "promise",       "accept",       "accepted",      "prepare epoch",
                                            "epoch promise", "accept epoch", "epoch accepted"};
      const Mail& mail = mails[action.what];
      who += "takes " + std::string(kBodies[mail.message.body.index()]) + " of " + NameOf(mail.from) +
             " in epoch " + std::to_string(mail.message.epoch);
      if (auto* accept = std::get_if<Accept>(&mail.message.body))
        for (const OrderOutcome& each : accept->added) who += ", " + NameOf(each);
      if (auto* accept = std::get_if<AcceptEpoch>(&mail.message.body)) who += ", " + NamesOf(accept->members);
      if (auto* install = std::get_if<InstallEpoch>(&mail.message.body))
        who += ", " + NamesOf(install->members);
      break;
    }
    case kPut:
      who += "is sent " + TextOf(limits.orders[action.what].version, limits.orders[action.what].content);
      break;
    case kGet:
      who += "reads";
      break;
    case kPropose:
      who += action.what < kMachines       ? "proposes d for " + NameOf(action.what)
             : action.what < 2 * kMachines ? "proposes the new disk of " + NameOf(action.what - kMachines)
                                           : std::string("proposes d as a fourth");
      break;
    case kSync:
      return who + "has synced";
    case kCrash:
      return who + "crashes" + (action.variant == kKept ? ", its write is there" : "");
    case kWipe:
      return who + "loses its disk";
    case kView:
      return who + "sees nobody else";
    case kRetry:
      who += "tries again";
      break;
    case kLeave:
      return who + "leaves, with its disk";
  }
  return who + kVariants[action.variant];
}

}  // namespace
}  // namespace curlewdoor::agreement
