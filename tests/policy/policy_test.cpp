#include "policy/policy.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <ctime>
#include <string>
#include <string_view>
#include <vector>

namespace curlewdoor::policy {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kDocument =
    R"({"config_version":12,"services":[)"
    R"({"name":"soup","health_check":"/well","max_connections":90,"protocol":"h1","tls_enabled":false},)"
    R"({"name":"salad","health_check":"/well","max_connections":80,"protocol":"h1","tls_enabled":false},)"
    R"({"name":"bread","health_check":"/fit","max_connections":70,"protocol":"h1","tls_enabled":true}],)"
    R"("limits":{"max_header_bytes":8192,"max_body_bytes":1048576,"header_timeout_ms":2000,)"
    R"("idle_timeout_ms":9000},)"
    R"("tenants":[{"name":"anna","api_keys":["key-a1","key-a2"],"priority":1,"rate_per_s":150,"burst_size":30},)"
    R"({"name":"berta","api_keys":["key-b1"]},{"name":"carla","api_keys":[]}],)"
    R"("backend_hosts":[{"host":"kitchen.example","url_paths":[)"
    R"({"name":"r-soup","path_prefix":"/menu/","route_type":"idempotent","timeout_ms":500,)"
    R"("target_latency_ms":200,"priority":2,"traffic_split":[{"service":"soup","weight":90},)"
    R"({"service":"salad","weight":10},{"service":"bread","weight":0}],"max_attempts":2,"public_access":false},)"
    R"({"name":"r-deep","path_prefix":"/menu/deep/","route_type":"idempotent","timeout_ms":700,)"
    R"("target_latency_ms":300,"priority":0,"service":"bread","max_attempts":3,"public_access":true}]},)"
    R"({"host":"Bakery.Example","url_paths":[)"
    R"({"name":"r-order","path_prefix":"/order/","route_type":"non_idempotent","timeout_ms":600,)"
    R"("target_latency_ms":250,"priority":1,"service":"bread","max_attempts":1,"public_access":false}]}]})";

std::string DocumentWith(std::string_view from, std::string_view to) {
  std::string text(kDocument);
  const std::size_t at = text.find(from);
  BOOST_REQUIRE_MESSAGE(at != std::string::npos, "the document has no " << from);
  return text.replace(at, from.size(), to);
}

// The error for this text; empty if it is valid.
std::string ErrorOf(const std::string& text) {
  try {
    Policy::Read(text);
  } catch (const PolicyError& error) {
    return error.what();
  }
  return "";
}

struct Change {
  std::string_view from;
  std::string_view to;
  std::string_view expected_error;  // part of what(); empty if the document stays valid
};

void Check(const Change& change) {
  const std::string error = ErrorOf(DocumentWith(change.from, change.to));
  const bool matches =
      change.expected_error.empty() ? error.empty() : error.find(change.expected_error) != std::string::npos;
  BOOST_CHECK_MESSAGE(matches, change.from << " -> " << change.to << ": \"" << error << "\", not \""
                                           << change.expected_error << "\"");
}

}  // namespace

BOOST_AUTO_TEST_CASE(reads_the_whole_document) {
  const auto policy = Policy::Read(std::string(kDocument));
  BOOST_TEST(policy->text() == kDocument);
  BOOST_TEST(policy->version() == 12u);
  BOOST_TEST(policy->limits().max_header_bytes == 8192u);
  BOOST_TEST(policy->limits().max_body_bytes == 1048576u);
  BOOST_TEST((policy->limits().header_timeout == milliseconds(2000)));
  BOOST_TEST((policy->limits().idle_timeout == milliseconds(9000)));
  BOOST_REQUIRE(policy->services().size() == 3u);
  BOOST_TEST(policy->services()[2].name == "bread");
  BOOST_TEST(policy->services()[2].health_check == "/fit");
  BOOST_TEST(policy->services()[2].max_connections == 70);
  BOOST_TEST(policy->services()[2].protocol == "h1");
  BOOST_TEST(policy->services()[2].tls_enabled);
  BOOST_TEST(policy->FindService("salad").value() == 1u);
  BOOST_TEST(!policy->FindService("Salad").has_value());
  BOOST_REQUIRE(policy->routes().size() == 3u);
  const Route& soup = policy->routes()[0];
  BOOST_TEST(soup.name == "r-soup");
  BOOST_TEST(soup.host == "kitchen.example");
  BOOST_TEST(soup.prefix == "/menu/");
  BOOST_TEST((soup.type == RouteType::kIdempotent));
  BOOST_TEST((soup.timeout == milliseconds(500)));
  BOOST_TEST((soup.target_latency == milliseconds(200)));
  BOOST_TEST(soup.priority == 2);
  BOOST_TEST(soup.max_attempts == 2);
  BOOST_TEST(!soup.public_access);
  BOOST_REQUIRE(soup.split.size() == 3u);
  BOOST_TEST(soup.split[1].service == 1u);
  BOOST_TEST(soup.split[1].weight == 10);
  BOOST_TEST(policy->routes()[1].public_access);
  BOOST_TEST((policy->routes()[2].type == RouteType::kNonIdempotent));
  BOOST_REQUIRE(policy->routes()[2].split.size() == 1u);
  BOOST_TEST(policy->routes()[2].ServiceAt(0.77) == 2u);
}

BOOST_AUTO_TEST_CASE(finds_keys) {
  const auto policy = Policy::Read(std::string(kDocument));
  BOOST_TEST(policy->has_tenants());
  const Tenant* anna = policy->FindKey("key-a2");
  BOOST_REQUIRE(anna);
  BOOST_TEST(anna->name == "anna");
  BOOST_TEST(anna->priority.value() == 1);
  BOOST_TEST(anna->rate_per_s == 150);
  BOOST_TEST(anna->burst_size == 30);
  const Tenant* berta = policy->FindKey("key-b1");
  BOOST_REQUIRE(berta);
  BOOST_TEST(!berta->priority.has_value());
  BOOST_TEST(berta->rate_per_s == 0);
  for (std::string_view key : {"", "key-a", "key-a11", "KEY-A1", "anna"}) BOOST_TEST(!policy->FindKey(key));

  const auto bare = Policy::Read(R"({"config_version":0,"services":[],"backend_hosts":[]})");
  BOOST_TEST(!bare->has_tenants());
  BOOST_TEST(bare->limits().max_header_bytes == 16384u);
  BOOST_TEST((bare->limits().idle_timeout == milliseconds(15000)));
  BOOST_TEST(!bare->FindRoute("kitchen.example", "/menu/"));
  BOOST_TEST(
      Policy::Read(R"({"config_version":0,"services":[],"backend_hosts":[],"tenants":[]})")->has_tenants());
}

BOOST_AUTO_TEST_CASE(finds_the_longest_prefix) {
  const auto policy = Policy::Read(std::string(kDocument));
  struct Case {
    std::string_view host, target, route;  // an empty route means that none matches
  };
  for (const Case& c : std::initializer_list<Case>{{"kitchen.example", "/menu/", "r-soup"},
                                                   {"kitchen.example", "/menu/1?x=/deep/", "r-soup"},
                                                   {"kitchen.example", "/menu/deep", "r-soup"},
                                                   {"kitchen.example", "/menu/deep?/", "r-soup"},
                                                   {"kitchen.example", "/menu/deep/", "r-deep"},
                                                   {"kitchen.example", "/menu/deep/er/still", "r-deep"},
                                                   {"KITCHEN.Example:8080", "/menu/deep/er", "r-deep"},
                                                   {"kitchen.example:", "/menu/x", "r-soup"},
                                                   {"bakery.example", "/order/9", "r-order"},
                                                   {"BAKERY.EXAMPLE:1", "/order/9", "r-order"},
                                                   {"kitchen.example", "/menu", ""},
                                                   {"kitchen.example", "/menu?/menu/", ""},
                                                   {"kitchen.example", "/Menu/", ""},
                                                   {"kitchen.example", "/", ""},
                                                   {"kitchen.example", "", ""},
                                                   {"kitchen.example", "/order/9", ""},
                                                   {"kitchen.example", "//menu/", ""},
                                                   {"kitchen.example:80a", "/menu/", ""},
                                                   {"kitchen.exampl", "/menu/", ""},
                                                   {"other.example", "/menu/", ""},
                                                   {"", "/menu/", ""},
                                                   {":80", "/menu/", ""}}) {
    const Route* route = policy->FindRoute(c.host, c.target);
    BOOST_CHECK_MESSAGE((route ? route->name : "") == c.route, c.host << c.target);
  }
}

BOOST_AUTO_TEST_CASE(one_host_may_be_listed_twice) {
  const auto policy = Policy::Read(DocumentWith("Bakery.Example", "KITCHEN.example:80"));
  BOOST_REQUIRE(policy->FindRoute("kitchen.example", "/order/9"));
  BOOST_REQUIRE(policy->FindRoute("kitchen.example", "/menu/9"));
}

BOOST_AUTO_TEST_CASE(picks_by_weight) {
  const auto policy = Policy::Read(std::string(kDocument));
  const auto again = Policy::Read(std::string(kDocument));
  std::array<int, 3> count{};
  for (int i = 0; i < 10'000; ++i) {
    const std::size_t picked = policy->routes()[0].ServiceAt(i / 1e4);
    BOOST_REQUIRE(picked < count.size());
    BOOST_REQUIRE(picked == again->routes()[0].ServiceAt(i / 1e4));
    ++count[picked];
  }
  BOOST_TEST(count[0] >= 8'999);
  BOOST_TEST(count[0] <= 9'001);
  BOOST_TEST(count[2] == 0);
  for (double point : {0.0, 0.5, std::nextafter(1.0, 0.0)}) {
    BOOST_TEST(policy->routes()[0].ServiceAt(point) < 2u);
  }
}

BOOST_AUTO_TEST_CASE(refuses_what_is_invalid) {
  for (const Change& change : std::initializer_list<Change>{
           // the document
           {R"({"config_version")", R"([{"config_version")", "document: "},
           {R"("config_version":12,)", "", "config_version: missing"},
           {R"(:12,)", R"(:-1,)", "config_version: negative"},
           {R"(:12,)", R"(:1.5,)", "config_version: not a whole number"},
           {R"(:12,)", R"(:9007199254740993,)", "config_version: too large"},
           {R"(:12,)", R"(:1e400,)", "config_version: too large"},
           {R"(:12,)", R"(:"12",)", "config_version: not a number"},
           {R"(:12,)", R"(:012,)", "document: not JSON at byte 19"},
           {R"(:12,)", R"(:+12,)", "document: not JSON"},
           {R"(:12,)", R"(:12,,)", "document: not JSON"},
           {R"("soup")", R"("so\u0000up")", "document: a NUL in a string"},
           {R"("soup")", R"("so\ud800up")", "document: not readable"},
           {R"("soup")", "\"so\nup\"", "document: a control character"},
           {R"("soup")", R"("so\xup")", "document: not JSON"},
           // services
           {R"("services":[)", R"("services_":[)", "services: missing"},
           {R"("name":"soup",)", R"("name":"salad",)", "services[1].name: another service"},
           {R"("name":"soup",)", "", "services[0].name: missing"},
           {R"("name":"salad",)", R"("name":7,)", "services[1].name: not a string"},
           {R"("max_connections":80)", R"("max_connections":"80")",
            "services[1].max_connections: not a number"},
           {R"("max_connections":80)", R"("max_connections":-1)", "services[1].max_connections: negative"},
           {R"("/fit")", R"("/fit HTTP/1.1\r\n")", "services[2].health_check: "},
           {R"("tls_enabled":true)", R"("tls_enabled":1)", "services[2].tls_enabled: "},
           // limits
           {R"("limits":{)", R"("limits":7,"x":{)", "limits: not an object"},
           {R"(:8192)", R"(:"8192")", "limits.max_header_bytes: not a number"},
           {R"(:8192)", R"(:0)", "limits.max_header_bytes: not above 0"},
           {R"(:1048576)", R"(:-2)", "limits.max_body_bytes: negative"},
           {R"(:2000)", R"(:0)", "limits.header_timeout_ms: not above 0"},
           {R"(:9000)", R"(:null)", "limits.idle_timeout_ms: not a number"},
           // tenants
           {R"("tenants":[)", R"("tenants":{},"x":[)", "tenants: not a list"},
           {R"("name":"berta")", R"("name":"anna")", "tenants[1].name: another tenant"},
           {R"("name":"berta")", R"("name":"ber\r\nta")", "tenants[1].name: contains a control"},
           {R"("name":"berta",)", "", "tenants[1].name: missing"},
           {R"("key-b1")", R"("key-b1","key-a2")", "tenants[1].api_keys: its key 1"},
           {R"("key-b1")", R"(5)", "tenants[1].api_keys[0]: not a string"},
           {R"("key-b1")", R"("")", "tenants[1].api_keys[0]: empty"},
           {R"(["key-b1"])", R"("key-b1")", "tenants[1].api_keys: not a list"},
           {R"("rate_per_s":150)", R"("rate_per_s":-150)", "tenants[0].rate_per_s: negative"},
           {R"("rate_per_s":150)", R"("rate_per_s":"150")", "tenants[0].rate_per_s: not a number"},
           {R"("burst_size":30)", R"("burst_size":-0.5)", "tenants[0].burst_size: negative"},
           {R"("priority":1,"rate)", R"("priority":1.5,"rate)", "tenants[0].priority: not a whole"},
           // routes
           {R"("backend_hosts")", R"("backends")", "backend_hosts: missing"},
           {R"("host":"Bakery.Example",)", "", "backend_hosts[1].host: missing"},
           {R"("host":"Bakery.Example",)", R"("host":":80",)", "backend_hosts[1].host: empty"},
           {R"("Bakery.Example","url_paths")", R"("b","urls")", "backend_hosts[1].url_paths: missing"},
           {R"("service":"bread","max_attempts":1)", R"("service":"x","max_attempts":1)",
            R"(backend_hosts[1].url_paths[0].service: no service is named "x")"},
           {R"("service":"salad")", R"("service":"x")",
            R"(backend_hosts[0].url_paths[0].traffic_split[1].service: no service is named "x")"},
           {R"("service":"salad",)", "", "backend_hosts[0].url_paths[0].traffic_split[1].service: missing"},
           {R"("service":"bread","max_attempts":3)", R"("max_attempts":3)",
            "backend_hosts[0].url_paths[1].service: missing"},
           {R"("traffic_split")", R"("service":"soup","traffic_split")",
            "backend_hosts[0].url_paths[0].traffic_split: must not be given together"},
           {R"("service":"bread","max_attempts":3)", R"("traffic_split":[],"max_attempts":3)",
            "backend_hosts[0].url_paths[1].traffic_split: no entry"},
           {R"("service":"bread","max_attempts":3)",
            R"("traffic_split":[{"service":"soup","weight":0}],"max_attempts":3)",
            "backend_hosts[0].url_paths[1].traffic_split: no entry"},
           {R"("weight":90)", R"("weight":-90)", "url_paths[0].traffic_split[0].weight: negative"},
           {R"(,"weight":90)", "", "url_paths[0].traffic_split[0].weight: missing"},
           {R"("weight":90)", R"("weight":"90")", "url_paths[0].traffic_split[0].weight: not a number"},
           {R"("target_latency_ms":200)", R"("target_latency_ms":60500)",
            "backend_hosts[0].url_paths[0].target_latency_ms: exceeds"},
           {R"("target_latency_ms":200)", R"("target_latency_ms":1e99)",
            "backend_hosts[0].url_paths[0].target_latency_ms: exceeds"},
           {R"("target_latency_ms":200)", R"("target_latency_ms":-1)", "target_latency_ms: negative"},
           {R"("timeout_ms":600,)", "", "backend_hosts[1].url_paths[0].timeout_ms: missing"},
           {R"("timeout_ms":600,)", R"("timeout_ms":0,)", "url_paths[0].timeout_ms: not above 0"},
           {R"("timeout_ms":600,)", R"("timeout_ms":-1,)", "url_paths[0].timeout_ms: negative"},
           {R"("timeout_ms":600,)", R"("timeout_ms":"600",)", "url_paths[0].timeout_ms: not a number"},
           {R"("max_attempts":3)", R"("max_attempts":0)", "url_paths[1].max_attempts: below 1"},
           {R"("max_attempts":3)", R"("max_attempts":-3)", "url_paths[1].max_attempts: below 1"},
           {R"("max_attempts":3)", R"("max_attempts":1.5)", "url_paths[1].max_attempts: not a whole"},
           {R"("max_attempts":3)", R"("max_attempts":"3")", "url_paths[1].max_attempts: not a number"},
           {R"("max_attempts":3,)", "", "url_paths[1].max_attempts: missing"},
           {R"("non_idempotent")", R"("Idempotent")",
            "backend_hosts[1].url_paths[0].route_type: unknown route type"},
           {R"("route_type":"non_idempotent",)", "", "backend_hosts[1].url_paths[0].route_type: missing"},
           {R"("/menu/deep/")", R"("/menu/")", "backend_hosts[0].url_paths[1].path_prefix: another route"},
           {R"("/order/")", R"("/order")", "backend_hosts[1].url_paths[0].path_prefix: does not"},
           {R"("/order/")", R"("order/")", "backend_hosts[1].url_paths[0].path_prefix: does not"},
           {R"("/order/")", R"("")", "backend_hosts[1].url_paths[0].path_prefix: does not"},
           {R"("public_access":true)", R"("public_access":"true")", "url_paths[1].public_access: "},
           {R"("priority":2)", R"("priority":"2")", "url_paths[0].priority: not a number"},
           {R"("name":"r-soup")", R"("name":[])", "url_paths[0].name: not a string"}}) {
    Check(change);
  }
  std::string same_place(DocumentWith("Bakery.Example", "Kitchen.EXAMPLE:80"));
  same_place.replace(same_place.find("/order/"), 7, "/menu/");
  BOOST_TEST(ErrorOf(same_place).find("backend_hosts[1].url_paths[0].path_prefix: another") == 0u);
}

BOOST_AUTO_TEST_CASE(takes_what_is_unusual_but_valid) {
  for (const Change& change : std::initializer_list<Change>{
           {R"(:12,)", R"(:9007199254740991,)", ""},
           {R"(:12,)", R"(:12,"not_known":{"a":[null,-1.5e-3,"\u00e9\"\\\/"]},)", ""},
           {R"({"config_version")", " \t\r\n{ \"config_version\"", ""},
           {R"("limits":{"max_header_bytes":8192,)", R"("limits":{)", ""},
           {R"("target_latency_ms":200,)", "", ""},
           {R"("target_latency_ms":200)", R"("target_latency_ms":60499)", ""},
           {R"("/order/")", R"("/")", ""},
           {R"("key-b1")", R"("key-b1","key-b1")", ""},
           {R"("public_access":true)", R"("x":[])", ""}}) {
    Check(change);
  }
  BOOST_TEST(ErrorOf(std::string(kDocument) + "\r\n ") == "");
}

// The long arrays are parsed element by element. Duplicate and escaped members must give the same result as
// if the whole document were parsed at once.
BOOST_AUTO_TEST_CASE(the_first_list_of_a_name_counts) {
  Check({R"({"config_version")", R"({"services":[],"config_version")", "no service is named"});
  Check({R"({"config_version")", R"({"services":null,"config_version")", "services: not a list"});
  Check({R"({"config_version")", R"({"\u0073ervices":[],"config_version")", "no service is named"});
  Check({R"(false}]}]})", R"(false}]}],"services":[],"tenants":null,"backend_hosts":7})", ""});
  Check({R"(false}]}]})", R"(false}]}],"x":{"services":[],"tenants":{}}})", ""});
  Check({R"("services":[)", "\"services\" :\n [ \t", ""});
  Check({R"("tenants":[{)", R"("tenants":[1,{)", "tenants[0]: not an object"});
  Check({R"("api_keys":[]}])", R"("api_keys":[]},"[{,"])", "tenants[3]: not an object"});
  Check({R"("api_keys":[]}])", R"("api_keys":[]},{"name":"anna"}])", "tenants[3].name: another tenant"});
  Check({R"("/order/")", R"("/order/","name":"b\\\"],[")", ""});
  Check({R"({"name":"r-order","path_prefix":"/order/",)",
         R"({"name":"r-x","path_prefix":"/order/",)"
         R"("route_type":"idempotent","timeout_ms":1,"service":"soup","max_attempts":1},)"
         R"({"name":"r-order","path_prefix":"/order/",)",
         "backend_hosts[1].url_paths[1].path_prefix: another route"});
  const auto policy = Policy::Read(DocumentWith(R"(false}]}]})", R"(false}]}],"services":[],"tenants":[]})"));
  BOOST_TEST(policy->services().size() == 3u);
  BOOST_TEST(policy->tenants().size() == 3u);
}

BOOST_AUTO_TEST_CASE(refuses_each_truncation_and_all_that_follows) {
  const std::string text(kDocument);
  for (std::size_t size = 0; size < text.size(); ++size) {
    BOOST_CHECK_MESSAGE(ErrorOf(text.substr(0, size)).starts_with("document: "), "cut to " << size);
  }
  for (const std::string& more : std::vector<std::string>{"x", "{}", ",", std::string(1, '\0'), text}) {
    BOOST_TEST(ErrorOf(text + more).starts_with("document: trailing text"));
  }
}

BOOST_AUTO_TEST_CASE(refuses_the_deep_and_the_long_quickly) {
  const std::clock_t start = std::clock();  // CPU time, since other processes may be running
  const std::string brackets(10'000, '[');
  BOOST_TEST(ErrorOf(brackets).starts_with("document: nested too deep"));
  BOOST_TEST(ErrorOf(DocumentWith(":12,", ":12,\"x\":" + brackets + std::string(10'000, ']') + ","))
                 .starts_with("document: nested too deep"));
  BOOST_TEST(ErrorOf(std::string(64 << 20, ' ')).starts_with("document: longer"));
  BOOST_TEST(ErrorOf(std::string(kMaxDocumentBytes, '[')).starts_with("document: nested too deep"));
  std::string many = "[0";
  while (many.size() < kMaxDocumentBytes - 3) many += ",0";
  BOOST_TEST(ErrorOf(many + "]").starts_with("document: too many values"));
  BOOST_TEST((std::clock() - start < 2 * CLOCKS_PER_SEC));
  // 63 arrays within the document object are the deepest allowed; brackets in strings don't count.
  const auto nested = [](std::size_t n) {
    return DocumentWith(":12,", ":12,\"y\":\"" + std::string(100, '[') + "\",\"x\":" + std::string(n, '[') +
                                    std::string(n, ']') + ",");
  };
  BOOST_TEST(ErrorOf(nested(kMaxNestingDepth - 1)) == "");
  BOOST_TEST(ErrorOf(nested(kMaxNestingDepth)).starts_with("document: nested too deep"));
}

BOOST_AUTO_TEST_CASE(reads_many_routes) {
  std::string text =
      R"({"config_version":1,"services":[{"name":"s"}],"backend_hosts":[{"host":"h","url_paths":[)";
  for (int i = 0; i < 20'000; ++i) {
    text += (i ? ",{" : "{") + std::string(R"("path_prefix":"/p)") + std::to_string(i) +
            R"(/","route_type":"idempotent","timeout_ms":500,"service":"s","max_attempts":1})";
  }
  const auto policy = Policy::Read(text + "]}]}");
  const Route* route = policy->FindRoute("H", "/p19999/x");
  BOOST_REQUIRE(route);
  BOOST_TEST(route->prefix == "/p19999/");
  BOOST_TEST((route->target_latency == milliseconds(500)));
}

}  // namespace curlewdoor::policy
