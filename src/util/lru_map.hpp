// A map bounded by recency of use. Addresses of values stay valid until their entry is evicted.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace curlewdoor {

template <typename Value>
class LruMap {
 public:
  explicit LruMap(std::size_t capacity) : capacity_(capacity) {}

  std::size_t size() const { return order_.size(); }

  // All values, the most recently used first.
  template <typename Do>
  void ForEach(Do&& act) {
    for (auto& [name, value] : order_) act(value);
  }

  // Looks a name up and marks it as the most recently used.
  Value* Find(std::string_view name) {
    auto it = index_.find(name);
    if (it == index_.end()) return nullptr;
    order_.splice(order_.begin(), order_, it->second);
    return &it->second->second;
  }

  // Evicts the least recently used entry if `may_evict` allows that. Tells whether it did.
  bool EvictOldest(const std::function<bool(const Value&)>& may_evict) {
    if (order_.empty() || !may_evict(order_.back().second)) return false;
    index_.erase(order_.back().first);
    order_.pop_back();
    return true;
  }

  // Adds a name that is not there yet. Where the map is full, evicts the least recently used entry that
  // `may_evict` allows; the map outgrows its capacity only where none is allowed. Tells whether one left.
  std::pair<Value*, bool> Insert(std::string_view name, Value value,
                                 const std::function<bool(const Value&)>& may_evict) {
    const bool evicted = order_.size() >= capacity_ && EvictOne(may_evict);
    order_.emplace_front(std::string(name), std::move(value));
    index_.emplace(order_.front().first, order_.begin());
    return {&order_.front().second, evicted};
  }

 private:
  using Order = std::list<std::pair<std::string, Value>>;

  bool EvictOne(const std::function<bool(const Value&)>& may_evict) {
    for (auto it = order_.rbegin(); it != order_.rend(); ++it) {
      if (!may_evict(it->second)) continue;
      index_.erase(it->first);
      order_.erase(std::next(it).base());
      return true;
    }
    return false;
  }

  std::size_t capacity_;
  Order order_;
  std::unordered_map<std::string_view, typename Order::iterator> index_;  // views into order_'s names
};

}  // namespace curlewdoor
