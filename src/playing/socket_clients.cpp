#include "playing/socket_clients.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::playing {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);

}  // namespace

SocketClients::SocketClients(struct ev_loop* loop, const Address& gateway, net::Descriptors& descriptors,
                             Handler handler)
    : loop_(loop), gateway_(gateway), descriptors_(descriptors), handler_(std::move(handler)) {}

SocketClients::~SocketClients() = default;

SocketClients::Line* SocketClients::Open() {
  auto descriptor = descriptors_.Take(net::Use::kHost);
  if (!descriptor) return nullptr;
  Line* line = lines_.emplace_back(std::make_unique<Line>(*this, loop_)).get();
  line->self = std::prev(lines_.end());
  line->connection.Connect(std::move(*descriptor), gateway_, kConnectTimeout);
  return line;
}

void SocketClients::Ask(Tag tag, Text text) {
  Line* line = nullptr;
  while (!idle_.empty() && line == nullptr) {
    line = idle_.back();
    idle_.pop_back();
    if (line->connection.Quiet()) break;
    Retire(*line);  // the gateway has closed it meanwhile
    line = nullptr;
  }
  if (line == nullptr) line = Open();
  if (line == nullptr) return handler_.on_end(tag, {ClientEnd::kNotReached, 0, {}, {}});
  Begin(*line, tag, std::move(text));
}

void SocketClients::Begin(Line& line, Tag tag, Text ask) {
  line.tag = tag;
  line.written = false;
  line.ask = std::move(ask);
  by_tag_[tag] = &line;
  if (line.connection.up()) OnUp(line);
}

void SocketClients::OnUp(Line& line) {
  line.was_up = true;
  if (!line.tag) return;
  line.text = line.ask();
  const iovec piece = http::Piece(line.text);
  line.connection.Write({&piece, 1});
}

void SocketClients::OnWritten(Line& line) {
  if (!line.tag || line.written || line.connection.written() < line.connection.queued()) return;
  line.written = true;
  handler_.on_written(*line.tag);
}

void SocketClients::OnAnswer(Line& line, const http::Message& answer) {
  if (!line.tag) return;
  const Tag tag = *std::exchange(line.tag, std::nullopt);
  by_tag_.erase(tag);
  const ClientAnswer told{ClientEnd::kAnswered, answer.status(), answer.body(), answer.Find("Retry-After")};
  handler_.on_end(tag, told);
  line.used = true;
  line.text.clear();
  if (!answer.keep_alive()) return Retire(line);
  if (line.connection.open()) idle_.push_back(&line);
}

// A close that crosses a request on a connection used before: the client sends it once more, on a new one.
void SocketClients::OnBroken(Line& line) {
  const std::optional<Tag> tag = std::exchange(line.tag, std::nullopt);
  const bool reached = line.was_up, crossed = line.used && !line.again;
  Text text = std::move(line.ask);
  Retire(line);
  if (!tag) return;
  by_tag_.erase(*tag);
  if (!reached) return handler_.on_end(*tag, {ClientEnd::kNotReached, 0, {}, {}});
  if (crossed) {
    if (Line* other = Open(); other != nullptr) {
      other->again = true;
      return Begin(*other, *tag, std::move(text));
    }
  }
  handler_.on_end(*tag, {ClientEnd::kBroken, 0, {}, {}});
}

void SocketClients::Drop(Tag tag) {
  const auto it = by_tag_.find(tag);
  if (it == by_tag_.end()) return;
  Line& line = *it->second;
  line.tag.reset();
  by_tag_.erase(it);
  Retire(line);
}

void SocketClients::CloseAll() {
  while (!lines_.empty()) {
    if (lines_.back()->tag) by_tag_.erase(*lines_.back()->tag);
    lines_.back()->tag.reset();
    Retire(*lines_.back());
  }
}

// The one place that gives a connection back. It may be in one of its own events, so it is freed later.
void SocketClients::Retire(Line& line) {
  std::erase(idle_, &line);
  line.connection.Close();
  ended_.splice(ended_.end(), lines_, line.self);
}

}  // namespace curlewdoor::playing
