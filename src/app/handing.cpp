#include "app/handing.hpp"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace curlewdoor::app {
namespace {

constexpr Duration kLookEvery = std::chrono::milliseconds(10);  // while an upgrade is under way

}  // namespace

using handover::Kind;
using handover::Predecessor;
using handover::Successor;

Handing::Handing(Parts parts)
    : parts_(std::move(parts)),
      port_(parts_.loop, [this](int fd) { OnLink(fd); }),
      look_timer_(parts_.loop, [this](int) { Look(); }) {}

Handing::~Handing() = default;

void Handing::Begin(const std::string& path) {
  path_ = path;
  if (path_.empty()) return Serve();
  successor_.emplace(parts_.inputs.Now());
  look_timer_.StartIn(Duration::zero(), kLookEvery);
  Connect();
}

void Handing::Look() {
  retired_.clear();
  if (successor_ && !served_) Do(successor_->Look(parts_.inputs.Now(), up_ != nullptr, list_told_));
  if (down_ == nullptr) return;
  if (predecessor_.handed_on()) PassStreams();
  const bool held = !predecessor_.serves() && !predecessor_.handed_on();
  Do(predecessor_.Look(parts_.inputs.Now(), held ? parts_.core.unassigned_requests() : 0));
}

// ---- The new process ----------------------------------------------------------------------------------

void Handing::Connect() {
  std::string error;
  const int fd = net::ConnectToPort(path_, error);
  if (fd < 0 && !error.empty()) parts_.logger.Warning("upgrade: {}", error);
  if (fd < 0) return Do(successor_->NobodyThere());
  up_ = std::make_unique<net::HandoverLink>(parts_.loop, fd, static_cast<net::HandoverLink::Owner&>(*this));
}

void Handing::Do(Successor::Do what) {
  if (what == Successor::Do::kConnect) return Connect();
  if (what == Successor::Do::kSayHello) return up_->Send(Kind::kHello);
  if (what == Successor::Do::kServeAlone) {
    parts_.logger.Warning("upgrade: the old process does not answer; serving without what it knows");
    up_->Send(Kind::kTaken);
  }
  if (what != Successor::Do::kNothing) Serve();
}

void Handing::Serve() {
  served_ = true;
  ListenForNext();
  look_timer_.Stop();
  parts_.listener.StartAccepting();
  if (parts_.peers != nullptr) parts_.peers->Start();
}

void Handing::ListenForNext() {
  std::string error;
  if (!path_.empty() && !port_.Listen(path_, error)) parts_.logger.Error("upgrade: {}", error);
}

// The core knows hosts first, then what was learnt of them.
void Handing::TakeOver(const std::string& bytes) {
  std::string error;
  auto snapshot = handover::Decode(bytes, error);
  if (!snapshot) return parts_.logger.Warning("upgrade: the snapshot {}; beginning as after a start", error);
  parts_.by_hand.AddSuspended(snapshot->out_by_hand);
  MemberList list = list_told_ ? parts_.by_hand.list() : std::move(snapshot->members);
  parts_.inputs.Post(MembersReceived{std::move(list), !list_told_});
  parts_.core.ImportState(snapshot->memory);
  parts_.logger.Info("upgrade: took over {} customers, {} hosts, {} of them out by hand, {} open requests",
                     snapshot->memory.customers.size(), snapshot->memory.hosts.size(),
                     snapshot->out_by_hand.size(), snapshot->open_ids.size());
  parts_.descriptors.SetAside(static_cast<int>(std::min<std::uint32_t>(snapshot->descriptors, 1 << 20)));
  parts_.listener.KnowOpenIds(std::move(snapshot->open_ids));
}

// ---- The old process ----------------------------------------------------------------------------------

void Handing::OnLink(int fd) {
  port_.Pause(true);
  down_ = std::make_unique<net::HandoverLink>(parts_.loop, fd, static_cast<net::HandoverLink::Owner&>(*this));
}

void Handing::Do(Predecessor::Do what) {
  if (what == Predecessor::Do::kHold) {
    parts_.listener.Hold();
    look_timer_.StartIn(Duration::zero(), kLookEvery);
  }
  if (what == Predecessor::Do::kHandOn) HandOn();
  if (what == Predecessor::Do::kResume) {
    parts_.logger.Warning("upgrade: the new process is gone; this one serves again, as after a start");
    parts_.core.ResumeServing(parts_.inputs.Now());
    parts_.listener.Resume();
    if (parts_.peers != nullptr) parts_.peers->Resume();
    ListenForNext();  // the other had taken the place where the next one looks
  }
  if (what != Predecessor::Do::kNothing && what != Predecessor::Do::kHold) look_timer_.Stop();
}

void Handing::Pass(Kind kind, std::string_view payload, net::Descriptor descriptor) {
  if (down_ != nullptr) down_->Send(kind, payload, std::move(descriptor));
}

// Guards against a long answer that is cut when this process's time is over.
void Handing::PassStreams() {
  for (RequestId id : parts_.listener.Streams()) {
    if (!parts_.listener.can_pass_stream(id)) continue;
    auto host = parts_.upstream.PassStream(id);
    if (!host) continue;  // its framing is just being read: next time
    auto client = parts_.listener.PassStream(id);
    if (!client) continue;
    Pass(Kind::kStreamClient, handover::Encode(client->stream), std::move(client->descriptor));
    Pass(Kind::kStreamHost, handover::Encode(host->link), std::move(host->descriptor));
  }
}

void Handing::HandOn() {
  const TimePoint now = parts_.inputs.Now();
  // Of what is held, idle clients and kept connections go over at once; the rest ends with its requests.
  const std::size_t open_requests = 2 * parts_.listener.owed();
  handover::Snapshot snapshot{parts_.core.ExportState(), parts_.by_hand.list(), parts_.by_hand.suspended(),
                              static_cast<std::uint32_t>(open_requests), parts_.listener.open_ids()};
  const std::size_t customers = snapshot.memory.customers.size(), open = snapshot.open_ids.size();
  Pass(Kind::kSnapshot, handover::Encode(std::move(snapshot), now), {});
  // One member throughout: this process has said its last word to the others before the next one speaks.
  if (parts_.peers != nullptr) Pass(Kind::kFleet, parts_.peers->HandOn(), {});
  Pass(Kind::kSwitch, {}, {});
  parts_.listener.HandOn([this](net::Client::Passed passed) {
    Pass(Kind::kClient, handover::Encode(passed.client), std::move(passed.descriptor));
  });
  auto links = parts_.upstream.PassKept();
  for (auto& link : links) Pass(Kind::kHostLink, handover::Encode(link.link), std::move(link.descriptor));
  parts_.logger.Info("upgrade: handed on {} customers and {} kept connections to hosts; {} requests open",
                     customers, links.size(), open);
}

// ---- Both ---------------------------------------------------------------------------------------------

void Handing::Mirror(Kind kind, HostId host) {
  for (auto* link : {up_.get(), down_.get()})
    if (link != nullptr) link->Send(kind, handover::Encode(host));
}

void Handing::OnFrame(net::HandoverLink& link, const handover::Frame& frame, int fd) {
  const bool from_old = &link == up_.get();
  const auto client =
      from_old && frame.kind == Kind::kClient ? handover::DecodeClient(frame.payload) : std::nullopt;
  const auto kept =
      from_old && frame.kind == Kind::kHostLink ? handover::DecodeLink(frame.payload) : std::nullopt;
  if (client) return parts_.listener.Take(fd, *client);
  if (kept) return parts_.upstream.Take(fd, *kept);
  if (from_old && frame.kind == Kind::kStreamClient) {
    if (const auto stream = handover::DecodeStream(frame.payload)) {
      stream_ = parts_.listener.TakeStream(fd, *stream);
      return;
    }
  }
  if (from_old && frame.kind == Kind::kStreamHost && stream_) {
    const RequestId id = *std::exchange(stream_, std::nullopt);
    if (const auto rest = handover::DecodeStreamLink(frame.payload))
      return parts_.upstream.TakeStream(id, fd, *rest);
    parts_.listener.EndDelivery(id, false);
  }
  if (fd >= 0) ::close(fd);
  if (frame.kind == Kind::kSuspend || frame.kind == Kind::kRestore)
    if (const auto host = handover::DecodeHost(frame.payload)) return parts_.call_by_hand(frame.kind, *host);
  if (from_old && frame.kind == Kind::kSnapshot && !served_) TakeOver(frame.payload);
  if (from_old && frame.kind == Kind::kFleet && !served_ && parts_.peers != nullptr)
    parts_.peers->TakeOver(frame.payload);
  if (from_old && frame.kind == Kind::kSwitch) Do(successor_->Switched());
  if (!from_old && frame.kind == Kind::kHello) Do(predecessor_.Hello(parts_.inputs.Now()));
  if (!from_old && frame.kind == Kind::kTaken && predecessor_.Taken() == Predecessor::Do::kHandOn) {
    parts_.logger.Warning("upgrade: the new process serves already; this one only ends what it has");
    parts_.core.ExportState();
    if (parts_.peers != nullptr) parts_.peers->HandOn();
    parts_.listener.LetGo();
  }
}

void Handing::OnEnd(net::HandoverLink& link) {
  const bool old = &link == up_.get();
  retired_.push_back(std::move(old ? up_ : down_));
  if (old) {
    parts_.listener.KnowOpenIds({});
    parts_.descriptors.SetAside(0);
    if (!served_) successor_->Ended();
    return;
  }
  port_.Pause(false);
  Do(predecessor_.Ended(parts_.terminating()));
  // It was to go on in the next process, and that has died.
  if (parts_.terminating() && !predecessor_.handed_on() && parts_.peers != nullptr) parts_.peers->Leave();
}

}  // namespace curlewdoor::app
