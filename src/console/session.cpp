#include "console/session.hpp"

#include <algorithm>
#include <chrono>
#include <ostream>

#include "console/command_error.hpp"
#include "settings/settings.hpp"
#include "system/command.hpp"
#include "system/json.hpp"

namespace curlewdoor::console {

namespace {

constexpr std::size_t kMostRefusalText = 1000;  // bytes of an answer that are shown

void AddOnce(std::vector<Address>& addresses, const Address& address) {
  if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) addresses.push_back(address);
}

std::vector<Address> ParseAddresses(const std::vector<std::string>& texts) {
  std::vector<Address> addresses;
  for (const std::string& text : texts) {
    const auto address = ParseAddress(text);
    if (!address) throw CommandError(kUsage, "--address " + text + ": not ip:port");
    AddOnce(addresses, *address);
  }
  return addresses;
}

// Its own control address first, then the seeds.
std::vector<Address> AddressesOfSettings(const std::string& path) {
  std::vector<Address> addresses;
  try {
    const auto settings = settings::LoadSettings(path);
    if (auto control = settings.listen_addresses.control_plane) {
      if (control->ip == 0) control->ip = settings.ip_address;
      AddOnce(addresses, *control);
    }
    for (const Address& seed : settings.seed_nodes) AddOnce(addresses, seed);
  } catch (const settings::SettingsError& error) {
    throw CommandError(kUsage, std::string(error.what()) + "; tell whom to ask by --address");
  }
  if (addresses.empty()) throw CommandError(kUsage, path + ": names nobody to ask; tell whom by --address");
  return addresses;
}

}  // namespace

std::vector<Address> Session::Addresses() const {
  const std::vector<Address> named = ParseAddresses(options_.addresses);
  return named.empty() ? AddressesOfSettings(options_.settings) : named;
}

std::chrono::milliseconds Session::timeout() const {
  return std::chrono::milliseconds(std::max(1, static_cast<int>(options_.timeout_s * 1000)));
}

system::Caller Session::MakeCaller() const { return system::Caller(Addresses(), timeout()); }

system::CallAnswer Session::Get(const std::string& path) const {
  system::CallAnswer answer = MakeCaller().Get(path);
  if (answer.status != 200) throw CommandError(kRefused, Refusal(answer));
  return answer;
}

void Session::Report(const std::string& path, const std::function<void(const JsonView&)>& show) {
  const system::CallAnswer answer = Get(std::string(system::kReportPaths) + path);
  const system::json::Owned json(cJSON_ParseWithLength(answer.body.data(), answer.body.size()));
  if (json == nullptr) throw CommandError(kRefused, answer.from.ToText() + ": its answer isn't JSON");
  if (options_.json) {
    out_ << system::json::Print(json.get(), true);
  } else {
    show(JsonView(json.get()));
  }
}

std::string Refusal(const system::CallAnswer& answer) {
  std::string text = answer.body.substr(0, kMostRefusalText);
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.pop_back();
  return answer.from.ToText() + " answers " + std::to_string(answer.status) +
         (text.empty() ? "" : ": " + text);
}

// Of a number that belongs to another content: what is in force, and what to do.
std::string Conflict(const system::CallAnswer& answer) {
  const system::json::Owned body(cJSON_ParseWithLength(answer.body.data(), answer.body.size()));
  const JsonView view(body.get());
  if (!view["message"].present()) return Refusal(answer);
  return "conflict: " + view["message"].Text() + " (the one in force has the digest " +
         view["digest_in_force"].Text() + ")";
}

}  // namespace curlewdoor::console
