// Node: messages of the peer connections.
#include <algorithm>
#include <utility>

#include "agreement/codec.hpp"
#include "service_registry/codec.hpp"
#include "system/node.hpp"
#include "system/node_limits.hpp"

namespace curlewdoor::system {

bool Node::WentOn(const std::vector<std::uint64_t>& streams, const Link::Stream& stream) {
  return std::find(streams.begin(), streams.end(), stream.number) != streams.end();
}

void Node::Broadcast(const Message& message) {
  const std::string frame = Encode(message);
  link_.ForEach([&](Link::Stream& stream) {
    if (stream.subscribed) stream.Send(frame);
  });
}

std::vector<std::uint64_t> Node::ToCore(const Message& message) {
  const std::string frame = Encode(message);
  std::vector<std::uint64_t> streams;
  link_.ForEach([&](Link::Stream& stream) {
    if (!stream.dialled() || !stream.counted) return;
    stream.Send(frame);
    streams.push_back(stream.number);
  });
  return streams;
}

void Node::OnUp(Link::Stream& stream) {
  if (!stream.dialled()) stream.most_frame = kMostFirstFrame;
  stream.Send(Encode(Hello{settings_.node_name, core_.has_value(), true}));
  if (!stream.dialled()) return;
  Say(Event::kLinkUp, stream.to().ToText());
  stream.Send(
      Encode(Clock{std::chrono::duration_cast<std::chrono::microseconds>(Now().time_since_epoch()).count()}));
}

// A stream that was dialled here wants all news from now on, and begins with all that there is.
void Node::Handle(Link::Stream& stream, Hello& message) {
  stream.name = message.name;
  stream.most_frame = kMostFrame;
  stream.counted = message.counted;
  stream.fetches = message.fetches;
  if (stream.dialled()) {
    offsets_.erase(stream.name);
    AskClock(stream);
    if (stream.counted) feed_.OnMember(Now());
    FetchConfig();
    if (directory_.size() > 0) stream.Send(Encode(Hosts{service_registry::Encode(directory_.All(), Now())}));
    return;
  }
  if (!core_) {  // a seed that isn't of the core knows who is
    if (epoch_ > 0 && InContact()) stream.Send(Encode(MembersNow()));
    return;
  }
  stream.subscribed = true;
  // Whoever fetches is told the members once its fetch was confirmed.
  if (epoch_ > 0 && !stream.fetches) stream.Send(Encode(MembersNow()));
  if (directory_.size() > 0) stream.Send(Encode(Hosts{service_registry::Encode(directory_.All(), Now())}));
  if (had_majority_) TellConfig(stream);
  if (coordination_ && coordination_->leads())
    stream.Send(
        Encode(CoordinationLeader{coordination_->coordinator().replica().term(), settings_.node_name}));
}

void Node::OnDown(Link::Stream& stream) {
  source_.OnDown(stream.number);
  if (stream.dialled()) feed_.OnDown(Now(), stream.name);
  if (stream.dialled()) Say(Event::kLinkDown, stream.to().ToText() + " " + stream.name);
  FailAdds([&](const Adding& adding) { return adding.stream == stream.number; });
  core_calls_.OnStreamDown(Now(), stream.number);
  coordination_calls_.OnStreamDown(Now(), stream.number);
  if (coordination_) coordination_->OnStreamDown(stream.number);
}

void Node::OnFrame(Link::Stream& stream, std::string_view frame) {
  auto message = Decode(frame);
  if (!message && IsOfLaterKind(frame)) {  // in the middle of an upgrade; once of each stream is enough
    if (!std::exchange(stream.told_later, true))
      Say(Event::kMessageRefused,
          "from " + stream.to().ToText() + " of a kind that a later version has; passed over");
    return;
  }
  if (!message) {
    Say(Event::kMessageRefused,
        "from " + stream.to().ToText() + " " + std::to_string(frame.size()) + " bytes");
    return stream.Close();
  }
  std::visit([&](auto& each) { Handle(stream, each); }, *message);
}

void Node::AskClock(Link::Stream& stream) { stream.Send(Encode(Clock{Microseconds(Now())})); }

void Node::Handle(Link::Stream& stream, Clock& message) {
  const auto now = Now();
  const std::int64_t now_us = Microseconds(now);
  if (message.told_us < 0) return stream.Send(Encode(Clock{message.asked_us, now_us}));
  const Duration round_trip = std::chrono::microseconds(now_us - message.asked_us);
  const Duration offset = std::chrono::microseconds(message.told_us - (now_us + message.asked_us) / 2);
  Offset& known = offsets_[stream.name];
  // The quickest of late is the most exact; clocks drift, so it doesn't count for ever. One that differs by
  // more than both may be wrong is of another clock: the machine began anew.
  const bool other = std::chrono::abs(offset - known.offset) > round_trip + known.round_trip;
  if (known.at == Steady{} || other || round_trip <= known.round_trip || now - known.at > seconds(20))
    known = {offset, round_trip, now};
}

// What a core member tells it tells to all: it isn't told on once more, but for leaves. A member's answers
// vouch for all the leaves that it holds, so whoever it answers must have been sent them by itself.
void Node::Handle(Link::Stream& stream, Hosts& message) {
  const bool from_core = stream.dialled() && stream.counted;
  if (from_core && told_hosts_ != directory_.version()) PublishHosts();
  const std::uint64_t before = directory_.version();
  const Merged merged = MergeBatch(message.batch);
  if (!from_core) return;
  // An answer on this stream would prove a list that lacks this: it begins anew, with all that there is.
  if (merged == Merged::kUnreadable) return stream.Close();
  RelayLeaves(before);
  told_hosts_ = directory_.version();
  if (by_service_.Update(directory_)) front_.SetHosts(by_service_);
}

void Node::Handle(Link::Stream& stream, Refreshed& message) {
  for (auto& [id, sequence] : message.beats) {
    directory_.Refresh(Now(), id, sequence);
    // One core member hears of a beat and tells the others.
    if (!stream.counted && refreshed_.size() < kMostRefreshed)
      refreshed_.emplace_back(std::move(id), sequence);
  }
}

void Node::Handle(Link::Stream& stream, Digest& message) {
  stream.strayed = message.hosts == HostsDigest() ? 0 : stream.strayed + 1;
  if (stream.strayed < kMostStrayed) return;
  stream.strayed = 0;
  stream.Send(Encode(Hosts{service_registry::Encode(directory_.All(), Now())}));
  stream.Send(Encode(AskHosts{}));
}

void Node::Handle(Link::Stream& stream, AskHosts&) {
  stream.Send(Encode(Hosts{service_registry::Encode(directory_.All(), Now())}));
}

Link::Stream* Node::NearCore() {
  Link::Stream* best = nullptr;
  Duration best_time = Duration::max();
  link_.ForEach([&](Link::Stream& stream) {
    if (!stream.dialled() || !stream.counted) return;
    const auto known = offsets_.find(stream.name);
    const Duration time = known != offsets_.end() ? known->second.round_trip : Duration(milliseconds(100));
    if (best != nullptr && time >= best_time) return;
    best = &stream;
    best_time = time;
  });
  return best;
}

CoreCalls::Answer Node::AnswerTo(const Link::Stream& stream, std::uint64_t number) {
  return [this, number, from = stream.number](int status, const std::string& body) {
    SendTo(from, Done{number, status, body});
  };
}

void Node::Handle(Link::Stream& stream, Put& message) {
  CoreCalls::Call call;
  call.kind = CoreCalls::Kind::kOrder;
  call.from = CoreCalls::From::kGateway;
  call.version = message.version;
  call.text = std::move(message.text);
  call.answer = AnswerTo(stream, message.number);
  core_calls_.Begin(Now(), next_number_++, std::move(call));
}

void Node::Handle(Link::Stream& stream, Get& message) {
  CoreCalls::Call call;
  call.from = CoreCalls::From::kGateway;
  call.answer = AnswerTo(stream, message.number);
  core_calls_.Begin(Now(), next_number_++, std::move(call));
}

void Node::Handle(Link::Stream& stream, Done& message) {
  core_calls_.OnAnswered(Now(), stream.number, message.number, message.status, std::move(message.body));
}

void Node::Handle(Link::Stream&, Config& message) {
  SetInForce(IdOf(message.version, message.text), std::move(message.text));
}

void Node::Handle(Link::Stream&, Members& message) {
  std::vector<CoreMember> members;
  for (const auto& [name, disk, text] : message.members)
    if (const auto address = ParseAddress(text)) members.push_back({name, disk, *address});
  least_gateways_ =
      std::max(least_gateways_, static_cast<int>(std::min<std::uint32_t>(kMostGateways, message.gateways)));
  OnRoster(message.epoch, std::move(members));
  if (!gathered_ && least_gateways_ > gateways_) OnView();
}

void Node::Handle(Link::Stream& stream, AddUnits& message) {
  // Whoever goes by another clock goes by other windows: its units would be counted apart from all others'.
  const bool in_step =
      std::abs(message.clock_us - Microseconds(Now())) <= kMostAstray / std::chrono::microseconds(1);
  adds_by_other_clock_ += !in_step;
  AddToCounter call{CounterName{message.count}, std::chrono::microseconds(message.lifetime_us),
                    message.amount, message.use, message.held_share};
  // An earlier version doesn't tell when its window began: a whole window ago at the most.
  call.window_began = message.window_began_us != 0
                          ? TimePoint(std::chrono::microseconds(message.window_began_us))
                          : Net(Now()) - call.lifetime / 2;
  const auto added = in_step ? AddHere(message.tenant, stream.name, call) : std::nullopt;
  const auto [total, share] = added.value_or(quota::QuotaCounters::Added{});
  stream.Send(Encode(Total{message.number, added.has_value(), total, share}));
}

void Node::Handle(Link::Stream& stream, Total& message) {
  const auto it = addings_.find(message.number);
  if (it == addings_.end() || it->second.stream != stream.number) return;
  const Adding adding = std::move(it->second);
  addings_.erase(it);
  const Duration latency = Now() - (adding.ends - kAddEnds);
  NoteCounter(adding.member, message.counted);
  front_.OnCount({adding.name, message.counted ? Outcome::kOk : Outcome::kConnectFailed, message.total,
                  latency, message.share});
}

void Node::Handle(Link::Stream&, CoreBytes& message) {
  if (!core_) return;
  const auto decoded = agreement::DecodeMessage(message.bytes);
  if (!decoded) return Say(Event::kMessageRefused, "of the core");
  agreement::CoreOutput out;
  core_->OnMessage(Now(), *decoded, out);
  ExecuteCore(std::move(out));
}

void Node::Handle(Link::Stream& stream, FoundingBytes& message) {
  if (founding_) founding_->OnBytes(stream, message.bytes);
}

}  // namespace curlewdoor::system
