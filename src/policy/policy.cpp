#include "policy/policy.hpp"

#include <cjson/cJSON.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <unordered_set>
#include <utility>

#include "policy/json_scan.hpp"
#include "policy/json_slices.hpp"

namespace curlewdoor::policy {
namespace {

using std::chrono::milliseconds;

constexpr double kPastWhole =
    9007199254740992.0;  // 2^53: from here on a double may stand for another whole number
constexpr double kLatencyPastTimeout = 60'000;  // ms; a target this far beyond the timeout is invalid

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool IsControl(char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon == std::string_view::npos) return host;
  const bool one_colon = host.find(':') == colon || (colon > 0 && host[colon - 1] == ']');
  if (!one_colon || host.find_first_not_of("0123456789", colon + 1) != std::string_view::npos) return host;
  return host.substr(0, colon);
}

std::string Quoted(std::string_view text) {
  constexpr std::size_t kMostQuoted = 80;
  std::string quoted = "\"";
  for (char c : text.substr(0, kMostQuoted)) quoted += IsControl(c) ? '?' : c;
  return quoted + (text.size() > kMostQuoted ? "...\"" : "\"");
}

using Tree = std::unique_ptr<cJSON, void (*)(cJSON*)>;

Tree ParseTree(std::string_view text) {
  Tree tree(cJSON_ParseWithLength(text.data(), text.size()), cJSON_Delete);
  if (!tree) throw PolicyError("document: not readable as JSON");
  return tree;
}

// The document in two parts: its long lists, as slices of the text, and all else as a tree, in which they are
// empty. As trees they would take many times the text's size; so each element is one only while it is read.
class Parts {
 public:
  explicit Parts(std::string_view text) {
    std::string rest = "{";
    for (const JsonMember& member : MembersOf(text)) {
      const auto known = std::ranges::find(kLists, member.key);
      const bool long_list = known != kLists.end() && member.value.starts_with('[') && First(member.key);
      if (long_list) elements_[static_cast<std::size_t>(known - kLists.begin())] = ElementsOf(member.value);
      rest.append(rest.size() > 1 ? ",\"" : "\"").append(member.key).append("\":");
      rest.append(long_list ? "[]" : member.value);
      seen_.push_back(member.key);
    }
    tree_ = ParseTree(text.starts_with('{') ? rest + "}" : std::string(text));
  }

  const cJSON* tree() const { return tree_.get(); }
  // nullptr: it isn't one of the long lists.
  const std::vector<std::string_view>* ElementsOfList(std::string_view key) const {
    const auto known = std::ranges::find(kLists, key);
    if (known == kLists.end()) return nullptr;
    const auto& elements = elements_[static_cast<std::size_t>(known - kLists.begin())];
    return elements ? &*elements : nullptr;
  }

 private:
  static constexpr std::array<std::string_view, 3> kLists{"services", "tenants", "backend_hosts"};

  // cJSON finds the first of several members of one name. Behind one that is written with escapes, which may
  // be that name, lists stay in the tree.
  bool First(std::string_view key) const {
    return std::ranges::none_of(seen_, [&](std::string_view each) {
      return each == key || each.find('\\') != std::string_view::npos;
    });
  }

  std::vector<std::string_view> seen_;
  std::array<std::optional<std::vector<std::string_view>>, kLists.size()> elements_;
  Tree tree_{nullptr, cJSON_Delete};
};

// A place in the document. It points to the place that it lies in, so a path is only written for an error.
class Place {
 public:
  explicit Place(const Parts& parts) : node_(parts.tree()), parts_(&parts) {}

  Place Member(const char* key) const {
    Place member(cJSON_GetObjectItemCaseSensitive(node_, key), this, key, 0);
    if (parts_ != nullptr) member.elements_ = parts_->ElementsOfList(key);
    return member;
  }

  // The place of an element, to name it: there is nothing to read there.
  Place Named(std::size_t index) const { return Place(nullptr, this, nullptr, index); }

  // Calls `each` with the place of every element.
  template <class Each>
  void ForElements(Each each) const {
    if (!cJSON_IsArray(node_)) Fail(node_ ? "not a list" : "missing");
    if (elements_ != nullptr) {
      for (std::size_t i = 0; i < elements_->size(); ++i) {
        const Tree element = ParseTree((*elements_)[i]);
        each(Place(element.get(), this, nullptr, i));
      }
      return;
    }
    std::size_t index = 0;
    const cJSON* element = nullptr;
    cJSON_ArrayForEach(element, node_) each(Place(element, this, nullptr, index++));
  }

  bool there() const { return node_ != nullptr; }

  [[noreturn]] void Fail(const std::string& why) const { throw PolicyError(Path() + ": " + why); }

  void MustBeObject() const {
    if (!cJSON_IsObject(node_)) Fail(node_ ? "not an object" : "missing");
  }

  std::string_view Text() const {
    if (!cJSON_IsString(node_)) Fail(node_ ? "not a string" : "missing");
    return node_->valuestring;
  }

  std::string_view FilledText() const {
    const std::string_view text = Text();
    if (text.empty()) Fail("empty");
    return text;
  }

  bool Flag() const {
    if (!cJSON_IsBool(node_)) Fail("neither true nor false");
    return cJSON_IsTrue(node_);
  }

  double Number() const {
    if (!cJSON_IsNumber(node_)) Fail(node_ ? "not a number" : "missing");
    if (!std::isfinite(node_->valuedouble)) Fail("too large");
    return node_->valuedouble;
  }

  double NumberFromZero() const {
    const double number = Number();
    if (number < 0) Fail("negative");
    return number;
  }

  std::uint64_t Whole() const {
    const double number = NumberFromZero();
    if (number != std::floor(number)) Fail("not a whole number");
    if (number >= kPastWhole) Fail("too large");
    return static_cast<std::uint64_t>(number);
  }

  // A whole number; those beyond an int's range are cut to it.
  int Int() const {
    const double number = Number();
    if (number != std::floor(number)) Fail("not a whole number");
    return static_cast<int>(
        std::clamp<double>(number, std::numeric_limits<int>::min(), std::numeric_limits<int>::max()));
  }

  // Parts of a millisecond are rounded up.
  milliseconds Time() const {
    return milliseconds(static_cast<std::int64_t>(
        std::min(std::ceil(NumberFromZero()), static_cast<double>(kMostTime.count()))));
  }

  milliseconds TimeAboveZero() const {
    const milliseconds time = Time();
    if (time.count() == 0) Fail("not above 0");
    return time;
  }

 private:
  Place(const cJSON* node, const Place* in, const char* key, std::size_t index)
      : node_(node), in_(in), key_(key), index_(index) {}

  std::string Path() const {
    if (!in_) return "document";
    std::string path = in_->in_ ? in_->Path() : "";
    if (!key_) return path + "[" + std::to_string(index_) + "]";
    if (!path.empty()) path += '.';
    return path + key_;
  }

  const cJSON* node_;
  const Place* in_ = nullptr;
  const char* key_ = nullptr;  // nullptr: an element of a list
  std::size_t index_ = 0;
  const Parts* parts_ = nullptr;                             // of the document alone
  const std::vector<std::string_view>* elements_ = nullptr;  // of a long list
};

Repeat ReadRepeat(const Place& place) {
  const std::string_view text = place.Text();
  if (text == "idempotent") return Repeat::kIdempotent;
  if (text == "non_idempotent") return Repeat::kNonIdempotent;
  place.Fail("no kind of route is named " + Quoted(text));
}

}  // namespace

// Fills a new Policy from the document.
class PolicyReader {
 public:
  static std::shared_ptr<const Policy> Read(std::string text) {
    if (text.size() > kMostText) {
      throw PolicyError("document: longer than " + std::to_string(kMostText) + " bytes");
    }
    if (const JsonFault fault = ScanJson(text, kMostDepth, kMostValues); fault.what) {
      throw PolicyError(std::string("document: ") + fault.what + " at byte " + std::to_string(fault.at));
    }
    const std::size_t begin = std::min(text.find_first_not_of(" \t\r\n"), text.size());
    const Parts parts(std::string_view(text).substr(begin));
    PolicyReader reader;
    reader.ReadDocument(Place(parts));
    reader.policy_->text_ = std::move(text);
    return reader.policy_;
  }

 private:
  void ReadDocument(const Place& document) {
    document.MustBeObject();
    policy_->version_ = document.Member("config_version").Whole();
    if (const Place limits = document.Member("limits"); limits.there()) ReadLimits(limits);
    ReadServices(document.Member("services"));
    if (const Place tenants = document.Member("tenants"); tenants.there()) ReadTenants(tenants);
    ReadRoutes(document.Member("backend_hosts"));
  }

  void ReadLimits(const Place& place) {
    place.MustBeObject();
    Limits& limits = policy_->limits_;
    if (const Place p = place.Member("max_header_bytes"); p.there()) {
      limits.max_header_bytes = p.Whole();
      if (limits.max_header_bytes == 0) p.Fail("not above 0");
    }
    if (const Place p = place.Member("max_body_bytes"); p.there()) limits.max_body_bytes = p.Whole();
    if (const Place p = place.Member("header_timeout_ms"); p.there()) {
      limits.header_timeout = p.TimeAboveZero();
    }
    if (const Place p = place.Member("idle_timeout_ms"); p.there()) limits.idle_timeout = p.TimeAboveZero();
  }

  void ReadServices(const Place& list) {
    list.ForElements([&](const Place& place) {
      place.MustBeObject();
      Service service;
      service.name = place.Member("name").FilledText();
      if (const Place p = place.Member("health_check"); p.there()) {
        service.health_check = p.Text();
        if (std::ranges::any_of(service.health_check, [](char c) { return c == ' ' || IsControl(c); })) {
          p.Fail("holds white space");
        }
      }
      if (const Place p = place.Member("max_connections"); p.there()) {
        service.max_connections = p.Int();
        if (service.max_connections < 0) p.Fail("negative");
      }
      if (const Place p = place.Member("protocol"); p.there()) service.protocol = p.Text();
      if (const Place p = place.Member("tls_enabled"); p.there()) service.tls_enabled = p.Flag();
      policy_->services_.push_back(std::move(service));
    });
    // Only now: the list no longer moves its strings.
    policy_->services_.shrink_to_fit();
    policy_->service_by_name_.reserve(policy_->services_.size());
    for (std::size_t index = 0; index < policy_->services_.size(); ++index) {
      const std::string& name = policy_->services_[index].name;
      if (!policy_->service_by_name_.emplace(name, index).second) {
        list.Named(index).Member("name").Fail("another service is named " + Quoted(name));
      }
    }
  }

  void ReadTenants(const Place& list) {
    policy_->has_tenants_ = true;
    list.ForElements([&](const Place& place) {
      place.MustBeObject();
      Tenant tenant;
      const Place name = place.Member("name");
      tenant.name = name.FilledText();
      if (std::ranges::any_of(tenant.name, IsControl)) name.Fail("holds a control character");
      if (const Place keys = place.Member("api_keys"); keys.there()) {
        keys.ForElements([&](const Place& key) { tenant.api_keys.emplace_back(key.FilledText()); });
      }
      if (const Place p = place.Member("priority"); p.there()) tenant.priority = p.Int();
      if (const Place p = place.Member("rate_per_s"); p.there()) tenant.rate_per_s = p.NumberFromZero();
      if (const Place p = place.Member("burst_size"); p.there()) tenant.burst_size = p.NumberFromZero();
      policy_->tenants_.push_back(std::move(tenant));
    });
    policy_->tenants_.shrink_to_fit();
    std::unordered_set<std::string_view> names;
    for (std::size_t index = 0; index < policy_->tenants_.size(); ++index) {
      const Place place = list.Named(index);
      const Tenant& tenant = policy_->tenants_[index];
      if (!names.insert(tenant.name).second) {
        place.Member("name").Fail("another tenant is named " + Quoted(tenant.name));
      }
      for (std::size_t i = 0; i < tenant.api_keys.size(); ++i) {
        // The key itself is not told: errors are logged.
        const auto [held, fresh] = policy_->tenant_by_key_.emplace(tenant.api_keys[i], index);
        if (fresh || held->second == index) continue;
        place.Member("api_keys")
            .Fail("its key " + std::to_string(i) + " is also a key of the tenant " +
                  Quoted(policy_->tenants_[held->second].name));
      }
    }
  }

  void ReadRoutes(const Place& list) {
    std::vector<std::size_t> ends;  // of each entry's routes among all
    list.ForElements([&](const Place& entry) {
      entry.MustBeObject();
      const Place host_place = entry.Member("host");
      std::string host(WithoutPort(host_place.FilledText()));
      if (host.empty()) host_place.Fail("empty");
      std::ranges::transform(host, host.begin(), Lower);
      entry.Member("url_paths").ForElements([&](const Place& place) {
        policy_->routes_.push_back(ReadRoute(place, host));
      });
      ends.push_back(policy_->routes_.size());
    });
    policy_->routes_.shrink_to_fit();
    std::size_t entry = 0, first = 0;
    for (std::size_t index = 0; index < policy_->routes_.size(); ++index) {
      while (index == ends[entry]) first = ends[entry++];
      const Route& route = policy_->routes_[index];
      Policy::HostRoutes& at_host = policy_->by_host_[route.host];
      if (!at_host.by_prefix.emplace(route.prefix, index).second) {
        const Place in = list.Named(entry);
        const Place paths = in.Member("url_paths");
        const Place place = paths.Named(index - first);
        place.Member("path_prefix").Fail("another route of the host has " + Quoted(route.prefix));
      }
      at_host.lengths.push_back(route.prefix.size());
    }
    for (auto& [host, at_host] : policy_->by_host_) {
      std::vector<std::size_t>& lengths = at_host.lengths;
      std::ranges::sort(lengths, std::greater<>());
      lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
      lengths.shrink_to_fit();
    }
  }

  Route ReadRoute(const Place& place, const std::string& host) const {
    place.MustBeObject();
    Route route;
    route.host = host;
    if (const Place p = place.Member("name"); p.there()) route.name = p.Text();
    const Place prefix = place.Member("path_prefix");
    route.prefix = prefix.Text();
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
      prefix.Fail("does not begin and end with a slash");
    }
    route.repeat = ReadRepeat(place.Member("route_type"));
    const Place timeout = place.Member("timeout_ms");
    route.timeout = route.target_latency = timeout.TimeAboveZero();
    if (const Place p = place.Member("target_latency_ms"); p.there()) {
      route.target_latency = p.Time();
      if (p.Number() - timeout.Number() >= kLatencyPastTimeout) {
        p.Fail("exceeds timeout_ms by a minute or more");
      }
    }
    if (const Place p = place.Member("priority"); p.there()) route.priority = p.Int();
    const Place attempts = place.Member("max_attempts");
    route.max_attempts = attempts.Int();
    if (route.max_attempts < 1) attempts.Fail("below 1");
    if (const Place p = place.Member("public_access"); p.there()) route.public_access = p.Flag();
    ReadParts(place, route);
    return route;
  }

  void ReadParts(const Place& place, Route& route) const {
    const Place service = place.Member("service");
    const Place split = place.Member("traffic_split");
    if (service.there() && split.there()) split.Fail("stands beside a service");
    if (!split.there()) {
      if (!service.there()) service.Fail("missing, and no traffic_split stands in its place");
      route.parts.push_back({ReadServiceName(service), 1});
      return;
    }
    double sum = 0;
    split.ForElements([&](const Place& part) {
      part.MustBeObject();
      const double weight = part.Member("weight").NumberFromZero();
      route.parts.push_back({ReadServiceName(part.Member("service")), weight});
      sum += weight;
    });
    if (!(sum > 0)) split.Fail("no part has a weight above 0");
    if (!std::isfinite(sum)) split.Fail("the weights are too large");
    route.parts.shrink_to_fit();
  }

  std::size_t ReadServiceName(const Place& place) const {
    const std::string_view name = place.Text();
    const std::optional<std::size_t> found = policy_->FindService(name);
    if (!found) place.Fail("no service is named " + Quoted(name));
    return *found;
  }

  std::shared_ptr<Policy> policy_{new Policy};
};

std::size_t Route::ServiceAt(double point) const {
  if (parts.size() == 1) return parts.front().service;
  double sum = 0;
  for (const Part& part : parts) sum += part.weight;
  double left = point * sum;
  std::size_t picked = 0;
  for (const Part& part : parts) {
    if (part.weight <= 0) continue;
    picked = part.service;
    if (left < part.weight) break;
    left -= part.weight;
  }
  return picked;  // the last of weight if rounding left a rest
}

std::shared_ptr<const Policy> Policy::Read(std::string text) { return PolicyReader::Read(std::move(text)); }

const Route* Policy::FindRoute(std::string_view host, std::string_view target) const {
  const auto found = by_host_.find(WithoutPort(host));
  if (found == by_host_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  const HostRoutes& at_host = found->second;
  for (std::size_t length : at_host.lengths) {
    if (length > path.size() || path[length - 1] != '/') continue;
    const auto route = at_host.by_prefix.find(path.substr(0, length));
    if (route != at_host.by_prefix.end()) return &routes_[route->second];
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
  for (char c : host) h = (h ^ static_cast<unsigned char>(Lower(c))) * 0x100000001b3ull;
  return static_cast<std::size_t>(h ^ (h >> 32));
}

bool Policy::HostEqual::operator()(std::string_view a, std::string_view b) const {
  return std::ranges::equal(a, b, {}, Lower, Lower);
}

}  // namespace curlewdoor::policy
