// One table of a scenario file, read strictly: what is wrong is told with file, line and key.
#pragma once

#include <fmt/format.h>
#include <toml++/toml.h>

#include <array>
#include <cmath>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rehearsal/scenario.hpp"
#include "standin/random.hpp"

namespace curlewdoor::rehearsal {

// Reads one table. Remembers the first thing that is wrong, with its line, and knows which keys were asked
// for, so that one that nobody reads is an error too.
class Table {
 public:
  Table(const toml::table* table, std::string path, const std::string& file, std::string& error)
      : table_(table), path_(std::move(path)), file_(file), error_(error) {}

  void Fail(const toml::node* at, std::string_view key, std::string_view what) const {
    if (!error_.empty()) return;
    const auto line = at != nullptr       ? at->source().begin.line
                      : table_ != nullptr ? table_->source().begin.line
                                          : 1;
    const std::string name = path_.empty() ? std::string(key)
                             : key.empty() ? path_
                                           : fmt::format("{}.{}", path_, key);
    error_ = fmt::format("{}:{}: {} {}", file_, line, name, what);
  }
  void Fail(std::string_view key, std::string_view what) const { Fail(Peek(key), key, what); }
  const toml::node* Find(std::string_view key) {
    known_.insert(std::string(key));
    return Peek(key);
  }
  bool Has(std::string_view key) const { return Peek(key) != nullptr; }

  double Number(std::string_view key, double absent, double least, double most) {
    const toml::node* node = Find(key);
    if (node == nullptr) return absent;
    const auto value = node->value<double>();
    if (!node->is_number() || !value) return Fail(node, key, "is not a number"), absent;
    if (!(*value >= least && *value <= most))
      return Fail(node, key, fmt::format("is {}, and must be from {} to {}", *value, least, most)), absent;
    return *value;
  }
  int Whole(std::string_view key, int absent, int least, int most) {
    const double value = Number(key, absent, least, most);
    if (value != std::floor(value)) Fail(key, "is not a whole number");
    return static_cast<int>(value);
  }
  Duration Time(std::string_view key, double unit, Duration absent, double least, double most) {
    return standin::FromSeconds(unit * Number(key, standin::Seconds(absent) / unit, least, most));
  }
  Range Between(std::string_view key, Range absent, double least, double most) {
    const toml::node* node = Find(key);
    if (node == nullptr) return absent;
    if (node->is_number()) {
      const double value = Number(key, 0, least, most);
      return {value, value};
    }
    const toml::array* pair = node->as_array();
    if (pair == nullptr || pair->size() != 2 || !pair->get(0)->is_number() || !pair->get(1)->is_number())
      return Fail(node, key, "is neither a number nor a pair of numbers"), absent;
    const Range range{*pair->get(0)->value<double>(), *pair->get(1)->value<double>()};
    if (!(range.low >= least && range.high <= most && range.low <= range.high))
      return Fail(node, key, fmt::format("must rise and stay from {} to {}", least, most)), absent;
    return range;
  }
  std::string Text(std::string_view key, std::string absent) {
    const toml::node* node = Find(key);
    if (node == nullptr) return absent;
    if (!node->is_string()) return Fail(node, key, "is not a text"), absent;
    return *node->value<std::string>();
  }
  bool Flag(std::string_view key, bool absent) {
    const toml::node* node = Find(key);
    if (node == nullptr) return absent;
    if (!node->is_boolean()) return Fail(node, key, "is neither true nor false"), absent;
    return *node->value<bool>();
  }
  template <typename Enum, std::size_t N>
  Enum Word(std::string_view key, Enum absent,
            const std::array<std::pair<std::string_view, Enum>, N>& words) {
    if (!Has(key)) return Find(key), absent;
    const std::string text = Text(key, "");
    std::string names;
    for (const auto& [word, value] : words) {
      if (word == text) return value;
      names += (names.empty() ? "" : ", ") + std::string(word);
    }
    Fail(key, fmt::format("is \"{}\", and must be one of {}", text, names));
    return absent;
  }
  std::vector<std::string> Texts(std::string_view key) {
    std::vector<std::string> texts;
    const toml::node* node = Find(key);
    if (node == nullptr) return texts;
    if (!node->is_array()) return Fail(node, key, "is not a list of texts"), texts;
    for (const toml::node& each : *node->as_array()) {
      if (!each.is_string()) return Fail(&each, key, "is not a list of texts"), texts;
      texts.push_back(*each.value<std::string>());
    }
    return texts;
  }
  Table Inner(std::string_view key) {
    const toml::node* node = Find(key);
    if (node != nullptr && !node->is_table()) Fail(node, key, "is not a table");
    return {node != nullptr ? node->as_table() : nullptr, std::string(key), file_, error_};
  }
  std::vector<Table> Inners(std::string_view key) {
    std::vector<Table> inners;
    const toml::node* node = Find(key);
    if (node == nullptr) return inners;
    if (!node->is_array()) return Fail(node, key, fmt::format("is not a list: write [[{}]]", key)), inners;
    for (const toml::node& each : *node->as_array()) {
      if (!each.is_table()) return Fail(&each, key, "is not a list of tables"), inners;
      inners.emplace_back(each.as_table(), fmt::format("{}[{}]", key, inners.size()), file_, error_);
    }
    return inners;
  }
  // To be called when all keys were read.
  void RefuseOthers() const {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_)
      if (!known_.contains(std::string(key.str()))) Fail(&node, key.str(), "is not known");
  }

 private:
  const toml::node* Peek(std::string_view key) const {
    return table_ != nullptr ? table_->get(key) : nullptr;
  }

  const toml::table* table_;
  const std::string path_;
  const std::string& file_;
  std::string& error_;
  std::set<std::string> known_;
};

// A scenario from its text, by `read`, which is given the file's table. On nullopt `error` names file and
// line.
template <typename Scenario>
std::optional<Scenario> ParseWith(std::optional<Scenario> (*read)(const toml::table&, const std::string&,
                                                                  std::string&),
                                  std::string_view text, const std::string& path, std::string& error) {
  error.clear();
  try {
    const toml::table file = toml::parse(text, path);
    return read(file, path, error);
  } catch (const toml::parse_error& fault) {
    error = fmt::format("{}:{}: {}", path, fault.source().begin.line, fault.description());
    return std::nullopt;
  }
}

// The whole text of a file.
inline std::optional<std::string> ReadText(const std::string& path, std::string& error) {
  std::ifstream in(path, std::ios::binary);
  if (in) return std::string{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  error = fmt::format("{}: can't be read", path);
  return std::nullopt;
}

}  // namespace curlewdoor::rehearsal
