// The last events, by number, for views that are folded from them. In memory, bounded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace curlewdoor::service_registry {

template <class Event>
class Journal {
 public:
  // A run of events, oldest first.
  class Events {
   public:
    using Iterator = typename std::deque<Event>::const_iterator;
    Events(Iterator begin, Iterator end) : begin_(begin), end_(end) {}
    Iterator begin() const { return begin_; }
    Iterator end() const { return end_; }
    bool empty() const { return begin_ == end_; }
    std::size_t size() const { return static_cast<std::size_t>(end_ - begin_); }
    const Event& front() const { return *begin_; }

   private:
    Iterator begin_, end_;
  };

  // `most`: events kept, 1 at least.
  explicit Journal(std::size_t most) : most_(most) {}

  // Its number: 1 for the first, each next one is one higher.
  std::uint64_t Append(Event event) {
    events_.push_back(std::move(event));
    if (events_.size() > most_) events_.pop_front();
    return ++last_;
  }

  // Of the newest event; 0 if there was none.
  std::uint64_t last() const { return last_; }

  // Those after `number`, oldest first, valid until the next Append. nullopt: some are gone, or `number` is
  // none of this journal's; the view is then to be folded from a snapshot.
  std::optional<Events> Since(std::uint64_t number) const {
    if (number > last_ || last_ - number > events_.size()) return std::nullopt;
    return Events(events_.end() - static_cast<std::ptrdiff_t>(last_ - number), events_.end());
  }

 private:
  std::size_t most_;
  std::uint64_t last_ = 0;
  std::deque<Event> events_;
};

}  // namespace curlewdoor::service_registry
