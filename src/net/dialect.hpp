// What a deployment's hosts and gateways say to each other beside HTTP itself: names of headers, what an
// answer tells. The connections and exchanges (upstream.hpp) are the same for all.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "core/reducer.hpp"
#include "http/message.hpp"

namespace curlewdoor::net {

// Whose an answer is that stands on an attempt's connection.
enum class Whose {
  kAttempt,
  kAnother,  // it came late: it is passed over, and the one that is owed is still to come
  kNobody,   // nothing on this connection can be told apart any more
};

class Dialect {
 public:
  virtual ~Dialect() = default;
  // Headers of the client's that are not passed on as they stand.
  virtual std::initializer_list<std::string_view> Dropped() const = 0;
  // Looked at as the request is about to be written, `left` before it expires; false: the attempt breaks,
  // with nothing sent.
  virtual bool MaySend(const AttemptId&, Duration /*left*/) const { return true; }
  // Appends whole header lines of this attempt alone; `left` until it expires, as its request is written.
  virtual void AppendLines(const AttemptId& attempt, Duration left, std::string& out) const = 0;
  virtual Whose Belongs(const AttemptId&, const http::Message&) const { return Whose::kAttempt; }
  // The host says that it did not run the request.
  virtual bool NotRun(const http::Message& answer) const = 0;
  // The host's load, where answers tell it.
  virtual LoadReport Load(const http::Message&) const { return {}; }
  // A probe's head up to its last header line.
  virtual std::string_view ProbeHead(bool with_load) const = 0;
  // How long a kept connection may stand idle, told by an answer; zero: not told.
  virtual Duration KeepAlive(const http::Message&) const { return {}; }
  // After how long without an acknowledgement of what was sent a connection is taken as lost; zero: the
  // system's time.
  virtual Duration Unacknowledged() const { return {}; }
  // Bytes of an answer's body; a longer one is no answer.
  virtual std::uint64_t LargestBody() const { return http::kLargestBody; }
};

}  // namespace curlewdoor::net
