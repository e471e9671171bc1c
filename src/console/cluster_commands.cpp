// What running gateways see: the core, hosts, tenants, each other and their figures.
#include <algorithm>
#include <chrono>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include "console/command_error.hpp"
#include "console/commands.hpp"
#include "console/table.hpp"
#include "system/command.hpp"
#include "system/json.hpp"
#include "util/number.hpp"

namespace curlewdoor::console {
namespace {

using system::CallAnswer;
using system::Caller;
using system::json::AddTo;
using system::json::Document;

constexpr std::chrono::milliseconds kForgetPoll{100};  // between two questions whether it is in force
constexpr std::chrono::milliseconds kForgetAnswer{1000};

// One figure of the text that gateways give; nullopt: a comment, or no figure.
struct Figure {
  std::string name, labels;
  double value = 0;
};

std::optional<Figure> ParseFigure(std::string_view line) {
  Figure figure;
  const auto blank = line.rfind(' ');
  if (line.starts_with('#') || blank == std::string_view::npos) return std::nullopt;
  if (!ParseNumber(line.substr(blank + 1), figure.value)) return std::nullopt;
  figure.name = line.substr(0, std::min(line.find('{'), blank));
  figure.labels = line.substr(figure.name.size(), blank - figure.name.size());
  return figure;
}

void PrintFiguresJson(std::string_view text, std::ostream& out) {
  Document document;
  cJSON* list = document.List("figures");
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    const auto figure = ParseFigure(line);
    if (!figure) continue;
    system::json::Object each = AddTo(list);
    each.Text("name", figure->name);
    if (!figure->labels.empty()) each.Text("labels", figure->labels);
    each.Number("value", figure->value);
  }
  out << document.Print(true);
}

struct CoreMembers {
  std::string epoch;
  std::set<std::string> names;
};

CoreMembers ReadMembers(const CallAnswer& answer) {
  const system::json::Owned json(cJSON_ParseWithLength(answer.body.data(), answer.body.size()));
  const JsonView core(json.get());
  CoreMembers read{core["epoch"].Text(), {}};
  core["members"].ForEach([&](const JsonView& member) { read.names.insert(member["name"].Text()); });
  return read;
}

std::string ForgetPath(const std::string& name, bool forced) {
  std::string path = std::string(system::kReportPaths).append(system::kForgetPath);
  path += system::EncodeName(name);
  if (forced) path += system::kForced;
  return path;
}

}  // namespace

void ShowCore(Session& session) {
  session.Report("core", [&session](const JsonView& core) {
    session.out() << "core as seen by " << core["node"].Text() << ": epoch " << core["epoch"].Text()
                  << ", member " << core["member"].Text() << ", majority " << core["majority"].Text()
                  << ", sealed " << core["sealed"].Text() << ", committed version "
                  << core["committed_version"].Text() << ", further losses borne "
                  << core["further_losses"].Text() << "\n";
    if (core["zones_borne"].present())
      session.out() << "whole zones borne " << core["zones_borne"].Text() << " (wanted "
                    << core["zones_wanted"].Text() << "), whole regions " << core["regions_borne"].Text()
                    << " (wanted " << core["regions_wanted"].Text() << ")\n";
    Table table({"name", "life", "address", "state", "same life", "linked", "caught up"});
    core["members"].ForEach([&](const JsonView& m) {
      table.Row({m["name"].Text(), m["life"].Text(), m["address"].Text(), m["state"].Text(),
                 m["life_seen"].Text(), m["linked"].Text(), m["caught_up"].Text()});
    });
    table.Print(session.out());
  });
}

void ForgetInCore(Session& session) {
  const std::string& name = session.argument();
  const auto ends = std::chrono::steady_clock::now() + session.timeout();
  const CallAnswer ordered = session.MakeCaller().Post(ForgetPath(name, session.options().force), {});
  if (ordered.status != 200) throw CommandError(kRefused, Refusal(ordered));
  // Asked where it was ordered: that one is a member.
  const Caller there({ordered.from}, kForgetAnswer);
  while (std::chrono::steady_clock::now() < ends) {
    const CoreMembers core = ReadMembers(there.Get(std::string(system::kReportPaths) + "core"));
    if (!core.names.empty() && !core.names.contains(name)) {
      session.out() << name << " is forgotten: epoch " << core.epoch << " of " << core.names.size()
                    << " members\n";
      return;
    }
    std::this_thread::sleep_for(kForgetPoll);
  }
  throw CommandError(kNobody, name + ": ordered, and not in force yet; look at core show");
}

void ShowHosts(Session& session) {
  session.Report("hosts", [&session](const JsonView& hosts) {
    session.out() << "hosts: " << hosts["count"].Text() << ", refused " << hosts["refused"].Text() << "\n";
    Table table({"service", "id", "address", "zone", "state", "slots", "sequence", "heard s ago"});
    hosts["hosts"].ForEach([&](const JsonView& h) {
      table.Row({h["service"].Text(), h["id"].Text(), h["address"].Text(), h["zone"].Text(),
                 h["state"].Text(), h["slots"].Text(), h["sequence"].Text(), h["heard_s_ago"].Tenths()});
    });
    table.Print(session.out());
  });
}

void ShowTenant(Session& session) {
  session.Report("tenants/" + system::EncodeName(session.argument()), [&session](const JsonView& tenant) {
    Table table({"tenant", tenant["name"].Text()});
    for (const char* name : {"keys", "priority", "rate_per_s", "burst_size"})
      table.Row({name, tenant[name].Text()});
    if (tenant["here"].present()) {
      for (const char* name : {"level", "held", "lease", "share", "window"})
        table.Row({name, tenant["here"][name].Text()});
    } else {
      table.Row({"here", "no request of it came to this gateway of late"});
    }
    const JsonView holder = tenant["holder"];
    table.Row({"counted by", holder.present() ? holder["name"].Text() + " " + holder["address"].Text() +
                                                    " reached " + holder["reached"].Text()
                                              : "nobody"});
    table.Print(session.out());
  });
}

void ShowGateways(Session& session) {
  session.Report("gateways", [&session](const JsonView& view) {
    session.out() << "gateways: " << view["alive"].Text() << " alive, settled " << view["settled"].Text();
    if (view["refused"].present()) session.out() << ", this one stays outside: " << view["refused"].Text();
    session.out() << "\n";
    Table table({"name", "state", "address", "core", "here", "for s", "said by"});
    view["gateways"].ForEach([&](const JsonView& g) {
      table.Row({g["name"].Text(), g["state"].Text(), g["address"].Text(), g["core"].Text(), g["here"].Text(),
                 g["since_s"].Tenths(), g["by"].Text()});
    });
    table.Print(session.out());
  });
}

void ShowFigures(Session& session) {
  const CallAnswer answer = session.Get(std::string(system::kReportPaths) + "figures");
  if (session.options().json) {
    PrintFiguresJson(answer.body, session.out());
  } else {
    session.out() << answer.body;
  }
}

}  // namespace curlewdoor::console
