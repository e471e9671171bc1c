// What operators are told of a running node. Made when it is asked, from what stands here anyway.
#include <unistd.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <ctime>
#include <iterator>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "events/events.hpp"
#include "policy/policy.hpp"
#include "service_registry/hosts_by_service.hpp"
#include "system/command.hpp"
#include "system/json.hpp"
#include "system/node.hpp"

namespace curlewdoor::system {
namespace {

using json::AddTo;
using json::Document;
using json::Object;
using Steady = std::chrono::steady_clock::time_point;

constexpr std::size_t kUsualHost = 224;  // bytes of one in a report

double Seconds(std::chrono::steady_clock::duration time) {
  return static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) / 1000;
}

// A disk's life, as in its storage and in the fleet's view.
std::string LifeText(std::uint64_t life) {
  char text[20];
  std::snprintf(text, sizeof text, "%016" PRIx64, life);
  return text;
}

std::string UtcText(std::chrono::system_clock::time_point at) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
  const std::time_t whole = static_cast<std::time_t>(ms / 1000);
  std::tm parts{};
  gmtime_r(&whole, &parts);
  char text[40], all[56];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(all, sizeof all, "%s.%03dZ", text, static_cast<int>(ms % 1000));
  return all;
}

std::string_view Word(const service_registry::HostEntry& entry) {
  if (entry.removed()) return entry.deregistered ? "left" : "gone";
  if (entry.unresponsive) return "silent";
  return entry.state == service_registry::HostState::kDraining ? "draining" : "ready";
}

std::uint64_t ResidentBytes() {
  std::uint64_t size = 0, resident = 0;
  if (std::FILE* file = std::fopen("/proc/self/statm", "re")) {
    if (std::fscanf(file, "%" SCNu64 " %" SCNu64, &size, &resident) != 2) resident = 0;
    std::fclose(file);
  }
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

bool IsCaughtUp(const agreement::CoreStatus& status, const std::string& name, std::uint64_t disk) {
  return std::any_of(status.voters.begin(), status.voters.end(), [&](const auto& voter) {
    return voter.member.incarnation.node == name && voter.member.incarnation.number == disk &&
           voter.caught_up && voter.responsive;
  });
}

// Figures in the text format that is scraped.
class Page {
 public:
  void Head(std::string_view name, std::string_view type, std::string_view help) {
    name_ = std::string("curlewdoor_").append(name);
    text_.append("# HELP ").append(name_).append(" ").append(help).append("\n");
    text_.append("# TYPE ").append(name_).append(" ").append(type).append("\n");
  }
  void Line(std::uint64_t value, std::string_view labels = {}) {
    text_ += name_;
    if (!labels.empty()) text_.append("{").append(labels).append("}");
    text_.append(" ").append(std::to_string(value)).append("\n");
  }
  void Counter(std::string_view name, std::uint64_t value, std::string_view help) {
    Head(name, "counter", help);
    Line(value);
  }
  void Gauge(std::string_view name, std::uint64_t value, std::string_view help) {
    Head(name, "gauge", help);
    Line(value);
  }
  const std::string& text() const { return text_; }

 private:
  std::string name_, text_;
};

std::uint64_t WholeSeconds(Duration time) {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

void AddCoordination(Page& page, const CoordinationCalls& calls, const CallEnds& ends,
                     const std::optional<CoordinationHost>& host) {
  page.Head("coordination_calls_total", "counter",
            "Applications' calls by the status of their answers; left: before it.");
  for (const auto& [status, count] : ends.answered)
    page.Line(count, "status=\"" + std::to_string(status) + "\"");
  page.Line(ends.left, "status=\"left\"");
  page.Gauge("coordination_calls_waiting", calls.size(), "Applications' calls that wait for an answer.");
  page.Counter("coordination_unclear_total", calls.unclear(), "Calls answered 504: may have taken effect.");
  page.Counter("coordination_refused_total", calls.nothing_done(),
               "Calls answered 503 or 429: nothing was done.");
  if (!host) return;
  const coordination::Replica& replica = host->coordinator().replica();
  page.Gauge("coordination_leads", host->leads() ? 1 : 0, "Whether this member serves the calls.");
  page.Gauge("coordination_term", replica.term(), "Term of the log, as known here.");
  page.Counter("coordination_elections_total", replica.elections_started(),
               "Elections that this member stood in.");
  page.Gauge("coordination_log_entries", replica.log_last() - replica.log_begin(),
             "Entries behind the snapshot.");
  page.Gauge("coordination_uncommitted", replica.log_last() - replica.applied(),
             "Entries that no majority is known to hold.");
  page.Head("coordination_releases_total", "counter",
            "Releases of locks that this member applied, by the hold that they ended.");
  const coordination::ReleaseCounts& releases = host->coordinator().release_counts();
  page.Line(releases.unextended, "hold=\"unextended\"");
  page.Line(releases.extended, "hold=\"extended\"");
  page.Line(releases.none, "hold=\"none\"");
  page.Line(releases.unproven, "hold=\"unproven\"");
  page.Gauge("coordination_locks_held", host->coordinator().state().holds().size(), "Locks that are held.");
}

// Which way requests of tenants with a limit were let in, and what this member counted for other gateways.
void AddQuota(Page& page, const Leases::Figures& gateway, const quota::QuotaCounters::Figures& member,
              std::uint64_t other_clock, std::uint64_t elsewhere) {
  page.Counter("quota_by_lease_total", gateway.by_lease, "Requests let in by units that a member counted.");
  page.Head("quota_by_share_total", "counter",
            "Requests let in by this gateway's share of a quota, by why not by the count.");
  page.Line(gateway.by_share_late, "reason=\"wait_over\"");
  page.Line(gateway.by_share_not_counted, "reason=\"call_failed\"");
  page.Counter("quota_units_counted_total", static_cast<std::uint64_t>(member.units),
               "Units that this member counted.");
  page.Counter("quota_units_reserved_total", static_cast<std::uint64_t>(member.reserved_units),
               "Units that this member left to gateways that it does not hear.");
  page.Head("quota_adds_total", "counter",
            "Adds of gateways to counts of this member, by what became of them.");
  page.Line(member.counted, "result=\"counted\"");
  page.Line(member.refused, "result=\"not_begun\"");
  page.Line(elsewhere, "result=\"not_holder\"");
  page.Line(other_clock, "result=\"other_clock\"");
}

void AddDescriptors(Page& page, const char* pool, const net::Descriptors& descriptors) {
  constexpr std::string_view kNames[] = {"client", "host",  "counter", "discovery",
                                         "admin",  "fleet", "control", "readiness"};
  static_assert(std::size(kNames) == net::kUses);
  for (int i = 0; i < net::kUses; ++i) {
    const auto use = static_cast<net::Use>(i);
    if (descriptors.most(use) <= 0) continue;
    std::string labels = std::string("pool=\"") + pool + "\",use=\"";
    labels.append(kNames[i]).append("\"");
    page.Line(static_cast<std::uint64_t>(descriptors.held(use)), labels);
  }
}

void AddMemory(Page& page, memory::Budget& memory) {
  constexpr std::string_view kNames[] = {"clients", "hosts", "control", "peers"};
  static_assert(std::size(kNames) == memory::kShares);
  page.Head("held_bytes", "gauge", "Bytes held for peers of each kind, their sockets' bounds included.");
  for (std::size_t i = 0; i < memory::kShares; ++i)
    page.Line(memory.account(static_cast<memory::Share>(i)).held(),
              "share=\"" + std::string(kNames[i]) + "\"");
  page.Head("held_bytes_limit", "gauge", "... above which those that hold most are closed.");
  for (std::size_t i = 0; i < memory::kShares; ++i)
    page.Line(memory.account(static_cast<memory::Share>(i)).limit(),
              "share=\"" + std::string(kNames[i]) + "\"");
}

}  // namespace

void Node::ReplyReport(RequestId id, const std::string& json) {
  control_.Reply(id, 200, json, "application/json");
}

void Node::Execute(RequestId id, const ReportCore&) {
  Document answer;
  answer.Text("node", settings_.node_name).Flag("member", core_member());
  core_ ? answer.Text("life", LifeText(disk_)) : answer.None("life");
  answer.Number("epoch", static_cast<double>(epoch_));
  if (core_member()) {
    answer.Flag("majority", had_majority_);
  } else {
    answer.None("majority");  // only members can tell
  }
  // Sealed: a next roster was accepted here, so nothing is stored in this epoch any more.
  core_ ? answer.Flag("sealed", core_->sealed()) : answer.None("sealed");
  if (core_member()) {
    answer.Number("committed_version", static_cast<double>(core_->committed().version));
  } else {
    answer.None("committed_version");
  }
  const bool told = core_member();
  const agreement::CoreStatus status = told ? core_->Status(Now()) : agreement::CoreStatus{};
  // Of those that are caught up: how many more may be lost with a majority left. Below 0: there is none.
  told ? answer.Number("further_losses", status.further_losses) : answer.None("further_losses");
  if (told) {
    answer.Number("zones_borne", status.tolerance.zones).Number("zones_wanted", status.wanted.zones);
    answer.Number("regions_borne", status.tolerance.regions).Number("regions_wanted", status.wanted.regions);
  }
  told ? answer.Number("ballots_refused", static_cast<double>(core_->ballots_refused()))
       : answer.None("ballots_refused");
  cJSON* members = answer.List("members");
  for (const CoreMember& member : members_) {
    Object each = AddTo(members);
    if (told) each.Flag("caught_up", IsCaughtUp(status, member.name, member.disk));
    const bool here = member.name == settings_.node_name && member.disk == disk_;
    const auto seen = fleet_->others().find(member.name);
    const bool known = seen != fleet_->others().end();
    each.Text("name", member.name).Text("life", LifeText(member.disk));
    each.Text("address", member.address.ToText());
    each.Text("state", here    ? "here"
                       : known ? std::string(fleet::StateName(seen->second.record.state))
                               : "unknown");
    // Of a machine that is there with another disk: its life is no longer in the roster.
    each.Flag("life_seen", here || (known && seen->second.record.metadata.find(":" + LifeText(member.disk)) !=
                                                 std::string::npos));
    each.Flag("linked", here || link_.To(member.address) != nullptr);
  }
  ReplyReport(id, answer.Print());
}

void Node::Execute(RequestId id, const ForgetMember& order) {
  using agreement::ForgetResult;
  const auto refuse = [&](int status, const std::string& why) {
    control_.Reply(id, status, order.name + ": " + why + "\n", "text/plain");
  };
  if (!core_member()) return refuse(503, "this gateway is no member of the core; ask one");
  agreement::CoreOutput out;
  const ForgetResult verdict = core_->Forget(Now(), order.name, order.forced, out);
  const std::string epoch = std::to_string(epoch_);
  ExecuteCore(std::move(out));
  switch (verdict) {
    case ForgetResult::kProposed:
      events::Say(events::Event::kForgetOrdered, order.name + (order.forced ? ", forced" : ""));
      return ReplyReport(id, "{\"proposed_in_epoch\":" + epoch + "}\n");
    case ForgetResult::kNoMember:
      return refuse(404, "no member of that name in epoch " + epoch);
    case ForgetResult::kNoMajority:
      return refuse(503, "no majority here, or another successor is under way");
    case ForgetResult::kItself:
      return refuse(503, "it is this gateway; another member has to be told");
    case ForgetResult::kAlive:
      return refuse(409, "it is alive; stop it first");
    case ForgetResult::kTooFew:
      return refuse(409, "another member is away, or the rest would bear less than the settings say");
  }
}

// Host by host: a tree of the whole answer would take some 10 MB, which the process would keep.
void Node::Execute(RequestId id, const ReportHosts&) {
  std::vector<service_registry::HostEntry> entries = directory_.All();
  std::sort(entries.begin(), entries.end(),
            [](const service_registry::HostEntry& a, const service_registry::HostEntry& b) {
              return std::tie(a.service, a.id) < std::tie(b.service, b.id);
            });
  if (entries.size() > service_registry::kMaxEntries) entries.resize(service_registry::kMaxEntries);
  const Steady now = Now();
  Document answer;
  answer.Number("count", static_cast<double>(entries.size()));
  answer.Number("refused", static_cast<double>(directory_.refused()));
  answer.List("hosts");
  constexpr std::string_view kEnd = "]}\n";
  std::string text = answer.Print();
  if (!text.ends_with(kEnd)) return control_.Reply(id, 503);
  text.resize(text.size() - kEnd.size());
  text.reserve(text.size() + entries.size() * kUsualHost);
  bool first = true;
  for (const service_registry::HostEntry& entry : entries) {
    Document each;
    each.Text("id", entry.id).Text("service", entry.service).Text("address", entry.address);
    each.Text("zone", entry.zone).Text("state", std::string(Word(entry)));
    each.Flag("draining", entry.draining).Flag("silent", entry.unresponsive).Number("slots", entry.slots);
    each.Number("sequence", static_cast<double>(entry.sequence));
    each.Number("heard_s_ago",
                entry.last_heard == service_registry::Time{} ? -1 : Seconds(now - entry.last_heard));
    each.Number("warm_in_s", std::max(0.0, Seconds(entry.warm_at - now)));
    if (!std::exchange(first, false)) text += ',';
    text += each.Print();
    text.pop_back();  // its line's end
  }
  text += kEnd;
  ReplyReport(id, text);
}

void Node::Execute(RequestId id, const ReportTenant& report) {
  const auto& policy = front_.policy();
  const policy::Tenant* tenant = nullptr;
  if (policy != nullptr)
    for (const policy::Tenant& each : policy->tenants())
      if (each.name == report.name) tenant = &each;
  if (tenant == nullptr)
    return control_.Reply(id, 404, "tenant: none of that name is in force here\n", "text/plain");
  Document answer;
  answer.Text("name", tenant->name).Number("keys", static_cast<double>(tenant->api_keys.size()));
  tenant->priority ? answer.Number("priority", *tenant->priority) : answer.None("priority");
  answer.Number("rate_per_s", tenant->rate_per_s).Number("burst_size", tenant->burst_size);
  const auto views = front_.LookAtTenants();
  const auto view = std::find_if(views.begin(), views.end(),
                                 [&](const Leases::CustomerView& each) { return each.name == tenant->name; });
  answer.Flag("seen_here", view != views.end());  // else no request of it has come here of late
  if (view != views.end()) {
    Object here = answer.Inner("here");
    here.Number("level", view->level).Number("held", view->leased).Number("lease", view->lease_size);
    here.Number("share", view->share).Number("window", static_cast<double>(view->window));
  }
  if (const CoreMember* holder = Holder(tenant->name)) {
    const bool here = holder->name == settings_.node_name && holder->disk == disk_;
    Object held = answer.Inner("holder");
    held.Text("name", holder->name).Text("address", holder->address.ToText()).Flag("here", here);
    held.Flag("reached", here ? had_majority_ : link_.To(holder->address) != nullptr);
  } else {
    answer.None("holder");
  }
  ReplyReport(id, answer.Print());
}

void Node::Execute(RequestId id, const ReportGateways&) {
  const Steady now = Now();
  Document answer;
  answer.Number("alive", static_cast<double>(fleet_->alive())).Flag("settled", fleet_->settled());
  if (!fleet_->rejection().empty()) answer.Text("refused", fleet_->rejection());
  cJSON* gateways = answer.List("gateways");
  const auto add = [&](const fleet::MemberRecord& record, bool here, double since) {
    Object each = AddTo(gateways);
    each.Text("name", record.name).Text("state", std::string(fleet::StateName(record.state)));
    each.Text("address", record.address.ToText());
    each.Flag("here", here).Flag("core", IsOfCore(record));
    each.Number("boot", static_cast<double>(record.boot)).Number("incarnation", record.incarnation);
    each.Number("since_s", since);
    if (!record.reported_by.empty()) each.Text("by", record.reported_by);
  };
  add(fleet_->self(), true, Seconds(now - started_at_));
  for (const auto& [name, member] : fleet_->others())
    add(member.record, false, Seconds(now - member.state_since));
  ReplyReport(id, answer.Print());
}

void Node::Execute(RequestId id, const ReportConfig&) {
  Document answer;
  const auto& policy = front_.policy();
  answer.Number("version_in_force", policy != nullptr ? static_cast<double>(policy->version()) : 0);
  if (policy != nullptr) {
    answer.Text("since", UtcText(in_force_at_));
    answer.Number("routes", static_cast<double>(policy->routes().size()));
    answer.Number("services", static_cast<double>(policy->services().size()));
    answer.Number("tenants", static_cast<double>(policy->tenants().size()));
  } else {
    answer.None("since");
  }
  if (core_member()) {
    answer.Number("version_committed", static_cast<double>(core_->committed().version));
  } else {
    answer.None("version_committed");  // what the core has is told by its members
  }
  if (const auto age = ContactAge()) {
    answer.Number("contact_age_s", std::chrono::duration<double>(*age).count());
  } else {
    answer.None("contact_age_s");  // no member in contact with a majority has answered since the start
  }
  answer.Flag("ready", ready_ && !leaving_);
  ReplyReport(id, answer.Print());
}

// By this gateway: whom it takes for the leader; by a member: its log and, while it leads, all holds.
void Node::Execute(RequestId id, const ReportCoordination&) {
  Document answer;
  answer.Text("node", settings_.node_name).Flag("on", Coordinates());
  answer.Text("leader", coordination_calls_.leader());
  answer.Number("calls_waiting", static_cast<double>(coordination_calls_.size()));
  answer.Flag("leads", coordination_ && coordination_->leads());
  if (!coordination_) return ReplyReport(id, answer.Print());
  const coordination::Coordinator& coordinator = coordination_->coordinator();
  const coordination::Replica& replica = coordinator.replica();
  answer.Number("term", static_cast<double>(replica.term()));
  answer.Number("log_begin", static_cast<double>(replica.log_begin()));
  answer.Number("log_end", static_cast<double>(replica.log_last()));
  answer.Number("applied", static_cast<double>(replica.applied()));
  cJSON* voters = answer.List("voters");
  for (const agreement::Member& voter : replica.voters()) {
    Object each = AddTo(voters);
    each.Text("name", voter.incarnation.node)
        .Text("life", LifeText(voter.incarnation.number))
        .Text("address", voter.address);
  }
  cJSON* locks = answer.List("locks");
  for (const auto& [lock, hold] : coordinator.state().holds()) {
    Object each = AddTo(locks);
    each.Text("name", lock).Text("holder", hold.holder).Number("fence", static_cast<double>(hold.fence));
    each.Number("hold_ms", static_cast<double>(hold.hold_ms));
  }
  ReplyReport(id, answer.Print());
}

void Node::Execute(RequestId id, const ReportFigures&) {
  Page page;
  const Front::Figures& figures = front_.figures();
  const auto& door = front_.counts();
  page.Counter("requests_total", figures.requests, "Requests taken in with a route and a known key.");
  page.Counter("passed_total", figures.passed, "Answers of hosts passed on.");
  page.Counter("declined_total", figures.declined, "Declined with 503: not run, come again.");
  page.Counter("beyond_quota_total", figures.beyond_quota, "Refused with 429, beyond the tenant's quota.");
  AddQuota(page, front_.quota_figures(), counts_.figures(), adds_by_other_clock_, adds_elsewhere_);
  page.Counter("failed_total", figures.failed, "Answered 502 or 504: may have run.");
  page.Counter("again_total", figures.again, "Further attempts at another host.");
  page.Counter("no_route_total", figures.no_route, "Answered 404.");
  page.Counter("no_key_total", figures.no_key, "Answered 401.");
  page.Counter("expired_total", figures.expired, "Requests whose time was up.");
  page.Counter("left_total", figures.left, "Clients that left before their answer.");
  page.Counter("waited_for_registry_total", figures.waited,
               "Requests that waited for a proof of the list of hosts.");
  page.Counter("sent_unproved_total", figures.unproved,
               "Attempts sent by a list of hosts that no majority proved.");
  page.Counter(
      "written_to_leaving_total", figures.written_to_leaving,
      "Attempts written to a host that leaves, or by a list neither proved nor done without: never.");
  page.Counter("too_late_total", figures.too_late,
               "Requests declined because the process was told to end and might not live to their answer.");
  page.Counter("leaves_acknowledged_total", leaves_acknowledged_, "Leaves of hosts that a majority holds.");
  page.Counter("leaves_not_acknowledged_total", leaves_not_acknowledged_,
               "Leaves that no majority held in time; the hosts go on to another gateway.");
  if (const auto list_age = registry_lease_.ProofAge(Now()))
    page.Gauge("registry_proof_age_seconds", WholeSeconds(*list_age),
               "Since the question by which a majority last proved the list of hosts.");
  page.Counter("accepted_total", door.accepted, "Connections taken from clients.");
  page.Counter("shed_total", door.shed, "Connections turned away or closed for lack of descriptors.");
  page.Head("evicted_total", "counter", "Connections closed because all of their kind held too much.");
  page.Line(door.evicted, "share=\"clients\"");
  page.Line(front_.host_connections_evicted(), "share=\"hosts\"");
  page.Line(control_.counts().evicted + readiness_.counts().evicted, "share=\"control\"");
  page.Line(link_.evicted(), "share=\"peers\"");
  page.Gauge("open_requests", front_.open_requests(), "Requests that wait for their answer.");
  page.Gauge("client_connections", front_.connections(), "Connections of clients.");
  page.Gauge("host_connections", front_.host_connections(), "Connections to hosts, kept ones included.");
  page.Counter("host_connections_opened_total", front_.opened(), "Connections to hosts opened.");
  page.Counter("link_bytes_out_total", link_.bytes_out(), "Bytes written to other gateways.");
  page.Counter("link_dropped_total", link_.dropped(), "Streams dropped for frames that are none of ours.");
  page.Gauge("hosts_known", directory_.size(), "Entries of the directory, gone ones included.");
  page.Counter("hosts_refused_total", directory_.refused(), "New hosts refused: the directory is full.");
  page.Gauge("gateways_alive", fleet_->alive(), "Gateways in the fleet's view, this one included.");
  const auto& policy = front_.policy();
  if (const auto losses = redundancy_.further_losses()) {
    page.Gauge("core_further_losses", static_cast<std::uint64_t>(std::max(0, *losses)),
               "Losses of voters that the core bears now, as this member sees it.");
  }
  page.Counter("core_redundancy_losses_total", redundancy_.losses(),
               "Times that the core came to bear fewer losses than before, as this member saw it.");
  page.Gauge("config_version", policy != nullptr ? policy->version() : 0,
             "Version of the configuration in force here; 0: none.");
  const Duration age = ContactAge().value_or(Now() - started_at_);
  page.Gauge(
      "config_contact_age_seconds", WholeSeconds(age),
      "Since a majority of the core last proved here what is newest; since the start if it never did.");
  const ConfigFeed::Figures& feed = feed_.figures();
  page.Counter("config_questions_total", feed.questions, "Questions for the newest configuration.");
  page.Counter("config_not_now_total", feed.not_now, "... that a member without contact declined.");
  page.Counter("config_silent_total", feed.silent, "... that had no answer in time.");
  page.Counter("config_deltas_total", feed.deltas, "Configurations taken as a difference.");
  page.Counter("config_wholes_total", feed.wholes, "Configurations taken whole.");
  page.Counter("config_bytes_total", feed.bytes, "Bytes of both.");
  page.Counter("config_unusable_total", feed.unusable, "Answers that made no text of their digest.");
  if (core_)
    page.Counter("core_ballots_refused_total", core_->ballots_refused(),
                 "Ballots of this member that gave way to another's.");
  if (Coordinates()) AddCoordination(page, coordination_calls_, coordination_ends_, coordination_);
  page.Gauge("epoch", epoch_, "Epoch of the core's roster, as known here.");
  page.Gauge("core_member", core_member() ? 1 : 0, "Whether this gateway is in that roster.");
  page.Gauge("majority", had_majority_ ? 1 : 0, "Whether this member hears a majority; 0 where it is none.");
  page.Gauge("ready", ready_ && !leaving_ ? 1 : 0, "Whether readiness answers 200.");
  page.Head("descriptors_open", "gauge", "Descriptors held, by use.");
  AddDescriptors(page, "front", front_descriptors_);
  AddDescriptors(page, "link", link_descriptors_);
  AddMemory(page, memory_);
  page.Gauge("resident_bytes", ResidentBytes(), "Memory of this process that is resident.");
  control_.Reply(id, 200, page.text(), "text/plain; version=0.0.4");
}

}  // namespace curlewdoor::system
