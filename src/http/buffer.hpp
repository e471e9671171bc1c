// A growing run of bytes, read into at the end and consumed from the front. What it allocates is counted in
// an account, where it is given one.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>
#include <utility>

#include "memory/account.hpp"

namespace curlewdoor::http {

class Buffer {
 public:
  Buffer() = default;
  // The account must outlive the buffer.
  explicit Buffer(memory::Account* account) : charge_(account) {}
  // A moved-from buffer is empty and can be used again. The bytes are counted where they were.
  Buffer(Buffer&& other) noexcept
      : charge_(std::move(other.charge_)),
        bytes_(std::move(other.bytes_)),
        size_(std::exchange(other.size_, 0)),
        capacity_(std::exchange(other.capacity_, 0)) {}
  Buffer& operator=(Buffer&&) = delete;

  char* data() { return bytes_.get(); }
  std::size_t size() const { return size_; }
  std::size_t capacity() const { return capacity_; }
  bool empty() const { return size_ == 0; }
  std::string_view view() const { return {bytes_.get(), size_}; }

  // At least `wanted` free bytes behind the contents; whoever fills them says how many with Commit().
  char* Prepare(std::size_t wanted) {
    if (capacity_ - size_ < wanted)
      Reallocate(std::max(size_ + wanted, std::min(2 * capacity_, capacity_ + kLargestStep)));
    return bytes_.get() + size_;
  }
  std::size_t free() const { return capacity_ - size_; }
  void Commit(std::size_t count) { size_ += count; }

  void Append(std::string_view text) {
    if (text.empty()) return;
    std::memcpy(Prepare(text.size()), text.data(), text.size());
    Commit(text.size());
  }

  // Takes `count` bytes out of the middle.
  void Erase(std::size_t at, std::size_t count) {
    std::memmove(bytes_.get() + at, bytes_.get() + at + count, size_ - at - count);
    size_ -= count;
  }

  void Consume(std::size_t count) {
    size_ -= count;
    if (size_ > 0) std::memmove(bytes_.get(), bytes_.get() + count, size_);
    // What a large message took is given back: hundreds of connections stay open and idle.
    if (size_ == 0 && capacity_ > kKept) Free();
  }

 private:
  static constexpr std::size_t kKept = 8 * 1024;
  static constexpr std::size_t kLargestStep = 16 * 1024;  // hundreds may hold a large message at once

  void Reallocate(std::size_t capacity) {
    auto bytes = std::make_unique_for_overwrite<char[]>(capacity);
    if (size_ > 0) std::memcpy(bytes.get(), bytes_.get(), size_);
    bytes_ = std::move(bytes);
    SetCapacity(capacity);
  }
  void Free() {
    bytes_.reset();
    size_ = 0;
    SetCapacity(0);
  }
  void SetCapacity(std::size_t capacity) {
    capacity_ = capacity;
    charge_.Set(capacity);
  }

  memory::Charge charge_{nullptr};
  std::unique_ptr<char[]> bytes_;
  std::size_t size_ = 0;
  std::size_t capacity_ = 0;
};

}  // namespace curlewdoor::http
