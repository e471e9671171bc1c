#include "playing/load.hpp"

#include <ev.h>
#include <fmt/format.h>

#include <csignal>
#include <ctime>
#include <deque>
#include <memory>
#include <stdexcept>
#include <vector>

#include "core/timers.hpp"
#include "playing/socket_clients.hpp"
#include "rehearsal/figures.hpp"
#include "standin/random.hpp"

namespace curlewdoor::playing {
namespace {

using standin::FromSeconds;
using standin::Seconds;

class Generator {
 public:
  Generator(const LoadOptions& options, struct ev_loop* loop)
      : options_(options),
        loop_(loop),
        descriptors_(4 * options.connections + 256),
        random_(standin::MakeRandom(options.seed, "load")),
        clients_(loop, options.target, descriptors_, MakeHandler()) {
    for (int i = 0; i < options.customers; ++i)
      customers_.push_back(fmt::format("{:016x}", standin::Below(random_, std::size_t{1} << 33)));
    body_.assign(static_cast<std::size_t>(options.payload), 'x');
  }

  LoadResult Run(const std::function<void(double)>& on_progress) {
    const TimePoint start = clock_.Now(), end = start + FromSeconds(options_.seconds);
    counted_from_ = start + FromSeconds(options_.warm_up);
    TimePoint due = start, told = start;
    // It never sleeps: a timer's grain would be a lateness of its own.
    while (due < end || out_ > 0) {
      const TimePoint now = clock_.Now();
      while (due <= now && due < end) {
        waiting_.push_back(due);
        Note(late_, now - due, due, late_most_);
        due += FromSeconds(standin::Exponential(random_, 1 / RateAt(Seconds(due - start))));
      }
      SendWaiting();
      DropLate(now);
      ev_run(loop_, EVRUN_NOWAIT);
      clients_.Reap();
      if (now > end + options_.timeout + std::chrono::seconds(1)) break;
      if (on_progress && now >= told + std::chrono::seconds(1)) on_progress(Seconds((told = now) - start));
    }
    Finish();
    return result_;
  }

 private:
  SocketClients::Handler MakeHandler() {
    SocketClients::Handler handler;
    handler.on_written = [](std::uint64_t) {};
    handler.on_end = [this](std::uint64_t id, const ClientAnswer& answer) { OnEnd(id, answer); };
    return handler;
  }

  double RateAt(double at) const {
    if (options_.ramp_to <= 0) return options_.rate;
    return options_.rate + (options_.ramp_to - options_.rate) * at / options_.seconds;
  }

  void Note(rehearsal::Latencies& into, Duration latency, TimePoint due, Duration& most) {
    if (due < counted_from_) return;
    into.Add(latency);
    most = std::max(most, latency);
  }

  void SendWaiting() {
    while (!waiting_.empty() && out_ < options_.connections) {
      const TimePoint due = waiting_.front();
      waiting_.pop_front();
      const std::uint64_t id = ++next_;
      ++out_;
      asked_.push_back({id, due});
      by_id_[id] = due;
      if (due >= counted_from_) ++result_.due;
      clients_.Ask(id, [this, id] { return Text(id); });
    }
  }

  std::string Text(std::uint64_t id) {
    const std::string& customer = customers_[id % customers_.size()];
    return fmt::format(
        "{} /{}?account={} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {:016x}\r\nX-Tier: {}\r\n"
        "X-Timeout: {}m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n{}\r\n{}",
        body_.empty() ? "GET" : "POST", options_.request_class, customer, id + (options_.seed << 40),
        options_.plan, options_.timeout / std::chrono::milliseconds(1),
        body_.empty() ? "" : fmt::format("Content-Length: {}\r\n", body_.size()), body_);
  }

  void OnEnd(std::uint64_t id, const ClientAnswer& answer) {
    const auto it = by_id_.find(id);
    if (it == by_id_.end()) return;
    const TimePoint due = it->second;
    by_id_.erase(it);
    --out_;
    if (due < counted_from_) return;
    if (answer.end != ClientEnd::kAnswered) return void(++result_.broken);
    ++result_.answered;
    ++result_.by_status[answer.status];
    if (answer.status == 200) Note(latencies_, clock_.Now() - due, due, most_);
  }

  void DropLate(TimePoint now) {
    while (!asked_.empty() &&
           (asked_.front().second + options_.timeout <= now || !by_id_.contains(asked_.front().first))) {
      const auto [id, due] = asked_.front();
      asked_.pop_front();
      if (by_id_.erase(id) == 0) continue;
      clients_.Drop(id);
      --out_;
      if (due >= counted_from_) ++result_.timed_out;
    }
  }

  void Finish() {
    result_.seconds = options_.seconds - options_.warm_up;
    result_.p50_ms = latencies_.Quantile(0.5);
    result_.p90_ms = latencies_.Quantile(0.9);
    result_.p99_ms = latencies_.Quantile(0.99);
    result_.p999_ms = latencies_.Quantile(0.999);
    result_.most_ms = 1e3 * Seconds(most_);
    result_.late_p50_ms = late_.Quantile(0.5);
    result_.late_p99_ms = late_.Quantile(0.99);
    result_.late_most_ms = 1e3 * Seconds(late_most_);
    result_.due += waiting_.size();
    result_.timed_out += waiting_.size();
    result_.cpu_s = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
  }

  const LoadOptions& options_;
  struct ev_loop* loop_;
  net::Descriptors descriptors_;
  WallClock clock_;
  standin::Random random_;
  SocketClients clients_;
  std::vector<std::string> customers_;
  std::string body_;
  std::deque<TimePoint> waiting_;
  std::deque<std::pair<std::uint64_t, TimePoint>> asked_;
  std::unordered_map<std::uint64_t, TimePoint> by_id_;
  int out_ = 0;
  std::uint64_t next_ = 0;
  TimePoint counted_from_;
  rehearsal::Latencies latencies_, late_;
  Duration most_{}, late_most_{};
  LoadResult result_;
};

}  // namespace

LoadResult RunLoad(const LoadOptions& options, const std::function<void(double)>& on_progress) {
  std::signal(SIGPIPE, SIG_IGN);
  struct ev_loop* loop = ev_loop_new(unsigned{EVBACKEND_EPOLL} | unsigned{EVFLAG_NOENV});
  if (loop == nullptr) throw std::runtime_error("no event loop");
  LoadResult result;
  {
    Generator generator(options, loop);
    result = generator.Run(on_progress);
  }
  ev_loop_destroy(loop);
  return result;
}

std::string LoadText(const LoadOptions& options, const LoadResult& result) {
  std::string statuses;
  for (const auto& [status, count] : result.by_status) statuses += fmt::format(" {}: {}", status, count);
  return fmt::format(
      "{} due in {:g} s ({:.0f} a second) on at most {} connections; answered {} ({:.0f} a second;{}), "
      "broken {}, "
      "timed out {}\n"
      "latency of 200s from when they were due, ms: 50% {:.3f}, 90% {:.3f}, 99% {:.3f}, 99.9% {:.3f}, most "
      "{:.1f}\n"
      "the generator's own lateness, ms: 50% {:.3f}, 99% {:.3f}, most {:.1f}; its CPU {:.1f} s\n",
      result.due, result.seconds, static_cast<double>(result.due) / result.seconds, options.connections,
      result.answered, static_cast<double>(result.answered) / result.seconds, statuses, result.broken,
      result.timed_out, result.p50_ms, result.p90_ms, result.p99_ms, result.p999_ms, result.most_ms,
      result.late_p50_ms, result.late_p99_ms, result.late_most_ms, result.cpu_s);
}

}  // namespace curlewdoor::playing
