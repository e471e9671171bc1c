// Plain values to bytes and back, by one list of fields for both ways. Reading checks every bound and takes
// no number that is not finite. Numbers stand in little-endian order, as all machines that this runs on have
// them: what is written by one process can be read by one on another machine.
#pragma once

#include <bit>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace curlewdoor {

static_assert(std::endian::native == std::endian::little);

// A strong id, or what else is one number under a name.
template <typename T>
concept Named = requires(T t) {
  t.value;
};

class Writer {
 public:
  static constexpr bool kReads = false;
  std::string bytes;

  template <typename... Values>
  void operator()(Values&... values) {
    (Put(values), ...);
  }

 private:
  template <typename Number>
  requires(std::is_arithmetic_v<Number> || std::is_enum_v<Number>) void Put(const Number& value) {
    bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
  }
  void Put(const std::string& text) {
    Put(static_cast<std::uint32_t>(text.size()));
    bytes += text;
  }
  void Put(const std::chrono::nanoseconds& value) { Put(static_cast<std::int64_t>(value.count())); }
  template <typename Clock>
  void Put(const std::chrono::time_point<Clock, std::chrono::nanoseconds>& value) {
    Put(value.time_since_epoch());
  }
  template <Named Id>
  void Put(const Id& id) {
    Put(id.value);
  }
};

class Reader {
 public:
  static constexpr bool kReads = true;
  explicit Reader(std::string_view bytes) : rest_(bytes) {}

  template <typename... Values>
  void operator()(Values&... values) {
    (Take(values), ...);
  }
  bool ok() const { return ok_; }
  bool done() const { return ok_ && rest_.empty(); }
  void Fail() {
    ok_ = false;
    rest_ = {};
  }

 private:
  template <typename Number>
  requires(std::is_arithmetic_v<Number> || std::is_enum_v<Number>) void Take(Number& value) {
    if (rest_.size() < sizeof value) return Fail();
    if constexpr (std::is_same_v<Number, bool>) {
      value = rest_.front() != 0;
    } else {
      std::memcpy(&value, rest_.data(), sizeof value);
    }
    rest_.remove_prefix(sizeof value);
    if constexpr (std::is_floating_point_v<Number>)
      if (!std::isfinite(value)) Fail();
  }
  void Take(std::string& text) {
    std::uint32_t size = 0;
    Take(size);
    if (size > rest_.size()) return Fail();
    text = rest_.substr(0, size);
    rest_.remove_prefix(size);
  }
  void Take(std::chrono::nanoseconds& value) {
    std::int64_t count = 0;
    Take(count);
    value = std::chrono::nanoseconds(count);
  }
  template <typename Clock>
  void Take(std::chrono::time_point<Clock, std::chrono::nanoseconds>& value) {
    std::chrono::nanoseconds since{};
    Take(since);
    value = std::chrono::time_point<Clock, std::chrono::nanoseconds>(since);
  }
  template <Named Id>
  void Take(Id& id) {
    Take(id.value);
  }

  std::string_view rest_;
  bool ok_ = true;
};

}  // namespace curlewdoor
