// A gateway's side of the feed of configurations: what to ask of which core member, and when. Pure: time, who
// can be reached, announcements and answers go in; questions and texts to put in force come out.
//
// One question is under way at a time, to one member, for the newest there is: announcements that come
// meanwhile are one more question together. A configuration is fetched no sooner than `gap` after the last
// one was put in force, and pieces of it no faster than a share of the gateway's link: requests go first.
// Pieces that have come from a member that falls silent are gone on with at another.
// Nothing older than what is in force is taken, and nothing whose digest differs from what was announced for
// it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "system/config_id.hpp"
#include "system/message.hpp"

namespace curlewdoor::system {

class ConfigFeed {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  struct Options {
    Duration gap = std::chrono::milliseconds(250);       // from one put in force to the next question
    Duration confirm = std::chrono::milliseconds(2000);  // without news, contact is confirmed so often
    Duration silence = std::chrono::milliseconds(400);   // then another member is asked
    Duration longest = std::chrono::seconds(2);          // for one piece that is on its way
    Duration avoid = std::chrono::milliseconds(1500);    // a member that was silent or had no contact
    Duration again = std::chrono::milliseconds(100);     // at least so long after a question without success
    Duration near = std::chrono::milliseconds(3);        // round trips that differ by less are alike
    double bytes_per_s = 1e6;                            // of texts that are more than `burst`
    std::size_t burst = 32 * 1024;
    std::size_t most_text = 8 * 1024 * 1024;
    std::uint64_t salt = 0;  // of this gateway: spreads those that have several members near
  };
  struct Candidate {  // a core member that can be asked
    std::string name;
    Duration round_trip{};
    bool sending = false;  // bytes of a message from there are on their way
  };
  struct Question {
    std::string to;
    Fetch fetch;
  };
  struct Taken {
    ConfigId id;
    std::string text;
  };
  struct Figures {
    std::uint64_t questions = 0, confirmed = 0, not_now = 0, silent = 0, deltas = 0, wholes = 0, unusable = 0;
    std::uint64_t bytes = 0;  // of texts and differences
  };

  explicit ConfigFeed(const Options& options) : options_(options) {}

  void OnInForce(Time now, ConfigId id);  // whichever way it came
  void OnRefused(ConfigId id);            // its text is no configuration: it isn't asked for once more
  void OnAnnounce(Time now, const std::string& from, ConfigId id);
  void OnMember(Time now);  // a core member can be reached that could not be: contact is confirmed anew
  // The question to be sent now, if there is one. To be called after each event and every 50 ms or so.
  std::optional<Question> Next(Time now, const std::vector<Candidate>& candidates);
  // `base`: the text in force. What comes out is to be put in force.
  std::optional<Taken> OnFetched(Time now, const std::string& from, const Fetched& fetched,
                                 std::string_view base);
  void OnDown(Time now, const std::string& member);

  // When the question was sent whose answer last confirmed contact with a majority; nullopt: never yet.
  std::optional<Time> contact() const { return contact_; }
  bool asking() const { return asked_.has_value(); }
  const Figures& figures() const { return figures_; }

 private:
  struct Asked {
    std::string member;
    std::uint64_t number = 0;
    Time at;
    ConfigId base;
  };
  struct Partial {       // pieces that have come
    std::string member;  // the last one's
    FetchOutcome outcome{};
    ConfigId id, base;
    std::uint64_t size = 0;
    std::string bytes;
  };

  bool Due(Time now) const;
  void GiveUp(Time now);
  void OnContact(const Asked& asked, const std::string& member);
  std::optional<Time> AvoidedUntil(Time now, const std::string& member) const;
  const Candidate* Choose(Time now, const std::vector<Candidate>& candidates) const;
  std::uint64_t Rank(const std::string& member) const;
  void Refill(Time now);
  std::optional<Taken> TakePiece(Time now, const std::string& from, const Fetched& fetched, ConfigId base,
                                 std::string_view text);
  std::optional<Taken> Finish(Time now, std::string_view text);
  void Fail(Time now, const std::string& member);

  const Options options_;
  ConfigId in_force_, settled_, announced_;  // settled: in force or refused
  std::optional<Time> in_force_at_, contact_, confirm_at_, questioned_;
  std::optional<Asked> asked_;
  std::optional<Partial> partial_;
  std::map<std::string, Time> avoided_;  // until then
  Time not_before_{}, refilled_{};
  double tokens_ = 0;
  bool whole_next_ = false;  // a difference made another text than was meant
  std::uint64_t next_number_ = 1;
  Figures figures_;
};

}  // namespace curlewdoor::system
