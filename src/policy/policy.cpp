#include "policy/policy.hpp"

#include <cjson/cJSON.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <unordered_set>
#include <utility>

#include "policy/json_slices.hpp"
#include "policy/json_validator.hpp"

namespace curlewdoor::policy {
namespace {

using std::chrono::milliseconds;

// 2^53: from here on, several whole numbers are parsed as the same double.
constexpr double kFirstAmbiguousInteger = 9007199254740992.0;
// In ms. A target latency that exceeds the timeout by this much or more is invalid.
constexpr double kLatencyBeyondTimeoutLimit = 60'000;

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool IsControl(char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon == std::string_view::npos) return host;
  const bool one_colon = host.find(':') == colon || (colon > 0 && host[colon - 1] == ']');
  if (!one_colon || host.find_first_not_of("0123456789", colon + 1) != std::string_view::npos) return host;
  return host.substr(0, colon);
}

std::string Quoted(std::string_view text) {
  constexpr std::size_t kMaxQuotedLength = 80;
  std::string quoted = "\"";
  for (char c : text.substr(0, kMaxQuotedLength)) quoted += IsControl(c) ? '?' : c;
  return quoted + (text.size() > kMaxQuotedLength ? "...\"" : "\"");
}

using CjsonTree = std::unique_ptr<cJSON, void (*)(cJSON*)>;

CjsonTree ParseJson(std::string_view text) {
  CjsonTree tree(cJSON_ParseWithLength(text.data(), text.size()), cJSON_Delete);
  if (!tree) throw PolicyError("document: not readable as JSON");
  return tree;
}

// The document in two parts: its long arrays, as slices of the text, and a tree of all other members, in
// which these arrays are empty. A tree of the arrays would take many times the size of the text, so only one
// element is parsed at a time.
class SplitDocument {
 public:
  explicit SplitDocument(std::string_view text) {
    std::string rest = "{";
    for (const JsonMember& member : ObjectMembers(text)) {
      const auto found = std::ranges::find(kLists, member.key);
      const bool is_long_list =
          found != kLists.end() && member.value.starts_with('[') && IsFirstWithName(member.key);
      if (is_long_list)
        elements_[static_cast<std::size_t>(found - kLists.begin())] = ArrayElements(member.value);
      rest.append(rest.size() > 1 ? ",\"" : "\"").append(member.key).append("\":");
      rest.append(is_long_list ? "[]" : member.value);
      seen_.push_back(member.key);
    }
    tree_ = ParseJson(text.starts_with('{') ? rest + "}" : std::string(text));
  }

  const cJSON* tree() const { return tree_.get(); }
  // The elements of a long array; nullptr if the member is not one of them.
  const std::vector<std::string_view>* Elements(std::string_view key) const {
    const auto found = std::ranges::find(kLists, key);
    if (found == kLists.end()) return nullptr;
    const auto& elements = elements_[static_cast<std::size_t>(found - kLists.begin())];
    return elements ? &*elements : nullptr;
  }

 private:
  static constexpr std::array<std::string_view, 3> kLists{"services", "tenants", "backend_hosts"};

  // Of several members with one name, cJSON finds the first. After a key with escape sequences, which may
  // decode to that name, arrays stay in the tree.
  bool IsFirstWithName(std::string_view key) const {
    return std::ranges::none_of(seen_, [&](std::string_view each) {
      return each == key || each.find('\\') != std::string_view::npos;
    });
  }

  std::vector<std::string_view> seen_;
  std::array<std::optional<std::vector<std::string_view>>, kLists.size()> elements_;
  CjsonTree tree_{nullptr, cJSON_Delete};
};

// A value in the document with a reference to its parent, from which its path is built if an error is
// reported.
class DocumentNode {
 public:
  explicit DocumentNode(const SplitDocument& split_document)
      : value_(split_document.tree()), document_(&split_document) {}

  DocumentNode Member(const char* key) const {
    DocumentNode member(cJSON_GetObjectItemCaseSensitive(value_, key), this, key, 0);
    if (document_ != nullptr) member.elements_ = document_->Elements(key);
    return member;
  }

  // The location of an element, for error messages only. It has no value.
  DocumentNode ElementLocation(std::size_t index) const {
    return DocumentNode(nullptr, this, nullptr, index);
  }

  // Calls `each` with the node of every element.
  template <class Callback>
  void ForEachElement(Callback each) const {
    if (!cJSON_IsArray(value_)) Fail(value_ ? "not a list" : "missing");
    if (elements_ != nullptr) {
      for (std::size_t i = 0; i < elements_->size(); ++i) {
        const CjsonTree element = ParseJson((*elements_)[i]);
        each(DocumentNode(element.get(), this, nullptr, i));
      }
      return;
    }
    std::size_t index = 0;
    const cJSON* element = nullptr;
    cJSON_ArrayForEach(element, value_) each(DocumentNode(element, this, nullptr, index++));
  }

  bool exists() const { return value_ != nullptr; }

  [[noreturn]] void Fail(const std::string& reason) const { throw PolicyError(Path() + ": " + reason); }

  void RequireObject() const {
    if (!cJSON_IsObject(value_)) Fail(value_ ? "not an object" : "missing");
  }

  std::string_view Text() const {
    if (!cJSON_IsString(value_)) Fail(value_ ? "not a string" : "missing");
    return value_->valuestring;
  }

  std::string_view NonEmptyText() const {
    const std::string_view text = Text();
    if (text.empty()) Fail("empty");
    return text;
  }

  bool Bool() const {
    if (!cJSON_IsBool(value_)) Fail("neither true nor false");
    return cJSON_IsTrue(value_);
  }

  double Number() const {
    if (!cJSON_IsNumber(value_)) Fail(value_ ? "not a number" : "missing");
    if (!std::isfinite(value_->valuedouble)) Fail("too large");
    return value_->valuedouble;
  }

  double NonNegativeNumber() const {
    const double number = Number();
    if (number < 0) Fail("negative");
    return number;
  }

  std::uint64_t WholeNumber() const {
    const double number = NonNegativeNumber();
    if (number != std::floor(number)) Fail("not a whole number");
    if (number >= kFirstAmbiguousInteger) Fail("too large");
    return static_cast<std::uint64_t>(number);
  }

  // A whole number, clamped to the range of int.
  int Int() const {
    const double number = Number();
    if (number != std::floor(number)) Fail("not a whole number");
    return static_cast<int>(
        std::clamp<double>(number, std::numeric_limits<int>::min(), std::numeric_limits<int>::max()));
  }

  // A duration in milliseconds; fractions are rounded up.
  milliseconds Milliseconds() const {
    return milliseconds(static_cast<std::int64_t>(
        std::min(std::ceil(NonNegativeNumber()), static_cast<double>(kMaxDuration.count()))));
  }

  milliseconds PositiveMilliseconds() const {
    const milliseconds time = Milliseconds();
    if (time.count() == 0) Fail("not above 0");
    return time;
  }

 private:
  DocumentNode(const cJSON* value, const DocumentNode* parent, const char* key, std::size_t index)
      : value_(value), parent_(parent), key_(key), index_(index) {}

  std::string Path() const {
    if (!parent_) return "document";
    std::string path = parent_->parent_ ? parent_->Path() : "";
    if (!key_) return path + "[" + std::to_string(index_) + "]";
    if (!path.empty()) path += '.';
    return path + key_;
  }

  const cJSON* value_;
  const DocumentNode* parent_ = nullptr;
  const char* key_ = nullptr;  // nullptr for an array element
  std::size_t index_ = 0;
  const SplitDocument* document_ = nullptr;                  // set for the document itself
  const std::vector<std::string_view>* elements_ = nullptr;  // set for a long array
};

RouteType ReadRouteType(const DocumentNode& node) {
  const std::string_view text = node.Text();
  if (text == "idempotent") return RouteType::kIdempotent;
  if (text == "non_idempotent") return RouteType::kNonIdempotent;
  node.Fail("unknown route type " + Quoted(text));
}

}  // namespace

// Fills a new Policy from the document.
class PolicyReader {
 public:
  static std::shared_ptr<const Policy> Read(std::string text) {
    if (text.size() > kMaxDocumentBytes) {
      throw PolicyError("document: longer than " + std::to_string(kMaxDocumentBytes) + " bytes");
    }
    if (const JsonError error = ValidateJson(text, kMaxNestingDepth, kMaxValues); error.message) {
      throw PolicyError(std::string("document: ") + error.message + " at byte " +
                        std::to_string(error.offset));
    }
    const std::size_t begin = std::min(text.find_first_not_of(" \t\r\n"), text.size());
    const SplitDocument split_document(std::string_view(text).substr(begin));
    PolicyReader reader;
    reader.ReadDocument(DocumentNode(split_document));
    reader.policy_->text_ = std::move(text);
    return reader.policy_;
  }

 private:
  void ReadDocument(const DocumentNode& document) {
    document.RequireObject();
    policy_->version_ = document.Member("config_version").WholeNumber();
    if (const DocumentNode limits = document.Member("limits"); limits.exists()) ReadLimits(limits);
    ReadServices(document.Member("services"));
    if (const DocumentNode tenants = document.Member("tenants"); tenants.exists()) ReadTenants(tenants);
    ReadRoutes(document.Member("backend_hosts"));
  }

  void ReadLimits(const DocumentNode& node) {
    node.RequireObject();
    Limits& limits = policy_->limits_;
    if (const DocumentNode p = node.Member("max_header_bytes"); p.exists()) {
      limits.max_header_bytes = p.WholeNumber();
      if (limits.max_header_bytes == 0) p.Fail("not above 0");
    }
    if (const DocumentNode p = node.Member("max_body_bytes"); p.exists())
      limits.max_body_bytes = p.WholeNumber();
    if (const DocumentNode p = node.Member("header_timeout_ms"); p.exists()) {
      limits.header_timeout = p.PositiveMilliseconds();
    }
    if (const DocumentNode p = node.Member("idle_timeout_ms"); p.exists())
      limits.idle_timeout = p.PositiveMilliseconds();
  }

  void ReadServices(const DocumentNode& list) {
    list.ForEachElement([&](const DocumentNode& node) {
      node.RequireObject();
      Service service;
      service.name = node.Member("name").NonEmptyText();
      if (const DocumentNode p = node.Member("health_check"); p.exists()) {
        service.health_check = p.Text();
        if (std::ranges::any_of(service.health_check, [](char c) { return c == ' ' || IsControl(c); })) {
          p.Fail("contains white space");
        }
      }
      if (const DocumentNode p = node.Member("max_connections"); p.exists()) {
        service.max_connections = p.Int();
        if (service.max_connections < 0) p.Fail("negative");
      }
      if (const DocumentNode p = node.Member("protocol"); p.exists()) service.protocol = p.Text();
      if (const DocumentNode p = node.Member("tls_enabled"); p.exists()) service.tls_enabled = p.Bool();
      policy_->services_.push_back(std::move(service));
    });
    // The vector no longer grows, so views of its strings stay valid.
    policy_->services_.shrink_to_fit();
    policy_->service_by_name_.reserve(policy_->services_.size());
    for (std::size_t index = 0; index < policy_->services_.size(); ++index) {
      const std::string& name = policy_->services_[index].name;
      if (!policy_->service_by_name_.emplace(name, index).second) {
        list.ElementLocation(index).Member("name").Fail("another service is named " + Quoted(name));
      }
    }
  }

  void ReadTenants(const DocumentNode& list) {
    policy_->has_tenants_ = true;
    list.ForEachElement([&](const DocumentNode& node) {
      node.RequireObject();
      Tenant tenant;
      const DocumentNode name = node.Member("name");
      tenant.name = name.NonEmptyText();
      if (std::ranges::any_of(tenant.name, IsControl)) name.Fail("contains a control character");
      if (const DocumentNode keys = node.Member("api_keys"); keys.exists()) {
        keys.ForEachElement(
            [&](const DocumentNode& key) { tenant.api_keys.emplace_back(key.NonEmptyText()); });
      }
      if (const DocumentNode p = node.Member("priority"); p.exists()) tenant.priority = p.Int();
      if (const DocumentNode p = node.Member("rate_per_s"); p.exists())
        tenant.rate_per_s = p.NonNegativeNumber();
      if (const DocumentNode p = node.Member("burst_size"); p.exists())
        tenant.burst_size = p.NonNegativeNumber();
      policy_->tenants_.push_back(std::move(tenant));
    });
    policy_->tenants_.shrink_to_fit();
    std::unordered_set<std::string_view> names;
    for (std::size_t index = 0; index < policy_->tenants_.size(); ++index) {
      const DocumentNode node = list.ElementLocation(index);
      const Tenant& tenant = policy_->tenants_[index];
      if (!names.insert(tenant.name).second) {
        node.Member("name").Fail("another tenant is named " + Quoted(tenant.name));
      }
      for (std::size_t i = 0; i < tenant.api_keys.size(); ++i) {
        // The message must not contain the key, since errors are logged.
        const auto [existing, inserted] = policy_->tenant_by_key_.emplace(tenant.api_keys[i], index);
        if (inserted || existing->second == index) continue;
        node.Member("api_keys")
            .Fail("its key " + std::to_string(i) + " is also a key of the tenant " +
                  Quoted(policy_->tenants_[existing->second].name));
      }
    }
  }

  void ReadRoutes(const DocumentNode& list) {
    std::vector<std::size_t> route_ends;  // for each entry, the index after its last route
    list.ForEachElement([&](const DocumentNode& entry) {
      entry.RequireObject();
      const DocumentNode host_node = entry.Member("host");
      std::string host(WithoutPort(host_node.NonEmptyText()));
      if (host.empty()) host_node.Fail("empty");
      std::ranges::transform(host, host.begin(), ToLower);
      entry.Member("url_paths").ForEachElement([&](const DocumentNode& node) {
        policy_->routes_.push_back(ReadRoute(node, host));
      });
      route_ends.push_back(policy_->routes_.size());
    });
    policy_->routes_.shrink_to_fit();
    std::size_t entry = 0, first = 0;
    for (std::size_t index = 0; index < policy_->routes_.size(); ++index) {
      while (index == route_ends[entry]) first = route_ends[entry++];
      const Route& route = policy_->routes_[index];
      Policy::HostRoutes& host_routes = policy_->by_host_[route.host];
      if (!host_routes.by_prefix.emplace(route.prefix, index).second) {
        const DocumentNode parent = list.ElementLocation(entry);
        const DocumentNode paths = parent.Member("url_paths");
        const DocumentNode node = paths.ElementLocation(index - first);
        node.Member("path_prefix").Fail("another route of the host has " + Quoted(route.prefix));
      }
      host_routes.prefix_lengths.push_back(route.prefix.size());
    }
    for (auto& [host, host_routes] : policy_->by_host_) {
      std::vector<std::size_t>& prefix_lengths = host_routes.prefix_lengths;
      std::ranges::sort(prefix_lengths, std::greater<>());
      prefix_lengths.erase(std::unique(prefix_lengths.begin(), prefix_lengths.end()), prefix_lengths.end());
      prefix_lengths.shrink_to_fit();
    }
  }

  Route ReadRoute(const DocumentNode& node, const std::string& host) const {
    node.RequireObject();
    Route route;
    route.host = host;
    if (const DocumentNode p = node.Member("name"); p.exists()) route.name = p.Text();
    const DocumentNode prefix = node.Member("path_prefix");
    route.prefix = prefix.Text();
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
      prefix.Fail("does not begin and end with a slash");
    }
    route.type = ReadRouteType(node.Member("route_type"));
    const DocumentNode timeout = node.Member("timeout_ms");
    route.timeout = route.target_latency = timeout.PositiveMilliseconds();
    if (const DocumentNode p = node.Member("target_latency_ms"); p.exists()) {
      route.target_latency = p.Milliseconds();
      if (p.Number() - timeout.Number() >= kLatencyBeyondTimeoutLimit) {
        p.Fail("exceeds timeout_ms by a minute or more");
      }
    }
    if (const DocumentNode p = node.Member("priority"); p.exists()) route.priority = p.Int();
    const DocumentNode attempts = node.Member("max_attempts");
    route.max_attempts = attempts.Int();
    if (route.max_attempts < 1) attempts.Fail("below 1");
    if (const DocumentNode p = node.Member("public_access"); p.exists()) route.public_access = p.Bool();
    ReadTrafficSplit(node, route);
    return route;
  }

  void ReadTrafficSplit(const DocumentNode& node, Route& route) const {
    const DocumentNode service = node.Member("service");
    const DocumentNode split_node = node.Member("traffic_split");
    if (service.exists() && split_node.exists()) split_node.Fail("must not be given together with service");
    if (!split_node.exists()) {
      if (!service.exists()) service.Fail("missing, and traffic_split is missing too");
      route.split.push_back({ReadServiceName(service), 1});
      return;
    }
    double sum = 0;
    split_node.ForEachElement([&](const DocumentNode& weighted) {
      weighted.RequireObject();
      const double weight = weighted.Member("weight").NonNegativeNumber();
      route.split.push_back({ReadServiceName(weighted.Member("service")), weight});
      sum += weight;
    });
    if (!(sum > 0)) split_node.Fail("no entry has a weight above 0");
    if (!std::isfinite(sum)) split_node.Fail("the weights are too large");
    route.split.shrink_to_fit();
  }

  std::size_t ReadServiceName(const DocumentNode& node) const {
    const std::string_view name = node.Text();
    const std::optional<std::size_t> found = policy_->FindService(name);
    if (!found) node.Fail("no service is named " + Quoted(name));
    return *found;
  }

  std::shared_ptr<Policy> policy_{new Policy};
};

std::size_t Route::ServiceAt(double point) const {
  if (split.size() == 1) return split.front().service;
  double sum = 0;
  for (const WeightedService& weighted : split) sum += weighted.weight;
  double remaining = point * sum;
  std::size_t picked = 0;
  for (const WeightedService& weighted : split) {
    if (weighted.weight <= 0) continue;
    picked = weighted.service;
    if (remaining < weighted.weight) break;
    remaining -= weighted.weight;
  }
  return picked;  // reached if rounding left a remainder: the last entry with a weight
}

std::shared_ptr<const Policy> Policy::Read(std::string text) { return PolicyReader::Read(std::move(text)); }

const Route* Policy::FindRoute(std::string_view host, std::string_view target) const {
  const auto found = by_host_.find(WithoutPort(host));
  if (found == by_host_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  const HostRoutes& host_routes = found->second;
  for (std::size_t length : host_routes.prefix_lengths) {
    if (length > path.size() || path[length - 1] != '/') continue;
    const auto route = host_routes.by_prefix.find(path.substr(0, length));
    if (route != host_routes.by_prefix.end()) return &routes_[route->second];
  }
  return nullptr;
}

const Tenant* Policy::FindKey(std::string_view key) const {
  const auto found = tenant_by_key_.find(key);
  return found == tenant_by_key_.end() ? nullptr : &tenants_[found->second];
}

std::optional<std::size_t> Policy::FindService(std::string_view name) const {
  const auto found = service_by_name_.find(name);
  if (found == service_by_name_.end()) return std::nullopt;
  return found->second;
}

std::size_t Policy::HostHash::operator()(std::string_view host) const {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (char c : host) h = (h ^ static_cast<unsigned char>(ToLower(c))) * 0x100000001b3ull;
  return static_cast<std::size_t>(h ^ (h >> 32));
}

bool Policy::HostEqual::operator()(std::string_view a, std::string_view b) const {
  return std::ranges::equal(a, b, {}, ToLower, ToLower);
}

}  // namespace curlewdoor::policy
