// Bounded in-memory log of the latest events, numbered consecutively, for views that are derived from them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace curlewdoor::service_registry {

// Events with consecutive numbers, of which the latest are kept.
template <class Event>
class Journal {
 public:
  // A range of consecutive events, oldest first.
  class EventRange {
   public:
    using Iterator = typename std::deque<Event>::const_iterator;
    EventRange(Iterator begin, Iterator end) : begin_(begin), end_(end) {}
    Iterator begin() const { return begin_; }
    Iterator end() const { return end_; }
    bool empty() const { return begin_ == end_; }
    std::size_t size() const { return static_cast<std::size_t>(end_ - begin_); }
    const Event& front() const { return *begin_; }

   private:
    Iterator begin_, end_;
  };

  // `capacity`: number of events kept, at least 1.
  explicit Journal(std::size_t capacity) : capacity_(capacity) {}

  // Returns the number of the event: 1 for the first, then consecutive.
  std::uint64_t Append(Event event) {
    events_.push_back(std::move(event));
    if (events_.size() > capacity_) events_.pop_front();
    return ++last_;
  }

  // Number of the newest event; 0 if there is none.
  std::uint64_t last() const { return last_; }

  // Events after `number`, oldest first, valid until the next Append(). Returns nullopt if some of them have
  // been discarded or `number` is not from this journal; the view must then be rebuilt from a snapshot.
  std::optional<EventRange> Since(std::uint64_t number) const {
    if (number > last_ || last_ - number > events_.size()) return std::nullopt;
    return EventRange(events_.end() - static_cast<std::ptrdiff_t>(last_ - number), events_.end());
  }

 private:
  std::size_t capacity_;
  std::uint64_t last_ = 0;
  std::deque<Event> events_;
};

}  // namespace curlewdoor::service_registry
