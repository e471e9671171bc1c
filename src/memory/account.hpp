// Counts bytes that are held, by who holds them. Accounts form a tree: what is added to one is added to all
// above it. The module that decides what happens when an account is over its limit is memory/eviction.hpp.
#pragma once

#include <cstddef>
#include <limits>
#include <utility>

namespace curlewdoor::memory {

class Account {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  // `parent`, if there is one, must outlive it. `limit` in bytes.
  explicit Account(Account* parent = nullptr, std::size_t limit = kUnlimited)
      : parent_(parent), limit_(limit) {}
  // Bytes that are still counted here are no longer counted above.
  ~Account() {
    if (parent_ != nullptr) parent_->Remove(held_);
  }
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  void Add(std::size_t bytes) {
    for (Account* account = this; account != nullptr; account = account->parent_) account->held_ += bytes;
  }
  // At most what was added.
  void Remove(std::size_t bytes) {
    for (Account* account = this; account != nullptr; account = account->parent_) account->held_ -= bytes;
  }

  std::size_t held() const { return held_; }
  std::size_t limit() const { return limit_; }
  bool over() const { return held_ > limit_; }
  // What can be done without, such as reading ahead, should not be begun.
  bool tight() const { return held_ > limit_ / 2; }
  bool HasRoomFor(std::size_t bytes) const { return held_ <= limit_ && bytes <= limit_ - held_; }

 private:
  Account* const parent_;
  const std::size_t limit_;
  std::size_t held_ = 0;
};

// One amount in an account, given back at its end. The account must outlive it.
class Charge {
 public:
  explicit Charge(Account* account) : account_(account) {}
  ~Charge() { Set(0); }
  // A moved-from charge is zero, in the same account.
  Charge(Charge&& other) noexcept : account_(other.account_), bytes_(std::exchange(other.bytes_, 0)) {}
  Charge& operator=(Charge&&) = delete;

  // From now on it is this amount.
  void Set(std::size_t bytes) {
    if (account_ == nullptr || bytes == bytes_) return;
    if (bytes > bytes_) {
      account_->Add(bytes - bytes_);
    } else {
      account_->Remove(bytes_ - bytes);
    }
    bytes_ = bytes;
  }
  std::size_t bytes() const { return bytes_; }

 private:
  Account* const account_;
  std::size_t bytes_ = 0;
};

}  // namespace curlewdoor::memory
