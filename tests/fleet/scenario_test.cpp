// Invalid rehearsals of a fleet are rejected with file, line and key before anything starts.
#include "fleetkit/scenario.hpp"

#include <gtest/gtest.h>

namespace curlewdoor::fleetkit {
namespace {

std::string ErrorOf(const std::string& text) {
  std::string error;
  EXPECT_FALSE(ParseScenario(text, "f.toml", error)) << text;
  return error;
}

TEST(FleetScenario, ErrorsNameFileLineAndKey) {
  const std::string head = "name = \"x\"\ngateways = 4\n";
  const std::pair<std::string, std::string> cases[] = {
      {"gateways = 4\n", "f.toml:1: name is missing"},
      {"name = \"x\"\ngateways = 2000\n", "f.toml:2: gateways is 2000"},
      {head + "speed = 1\n", "f.toml:3: speed is not known"},
      {head + "size = 1\n", "f.toml:3: size is below the number of seeds"},
      {head + "probe_ms = 1\n", "f.toml:3: probe_ms is 1"},
      {head + "[[fault]]\nkind = \"gateway_dance\"\n",
       "f.toml:4: fault[0].kind is \"gateway_dance\", and must be one of"},
      {head + "[[fault]]\nkind = \"gateway_kill\"\n",
       "f.toml:4: fault[0].kind gateway_kill needs either names or part"},
      {head + "[[fault]]\nkind = \"gateway_kill\"\nnames = [\"gateway-4\"]\n",
       "f.toml:5: fault[0].names names gateway-4, and there is no such gateway"},
      {head + "[[fault]]\nkind = \"link_cut\"\nfrom = [\"gateway-1\"]\nto = [\"gateway-9\"]\n",
       "f.toml:6: fault[0].to names gateway-9"},
      {head + "[[fault]]\nkind = \"link_loss\"\npart = 1.0\n", "f.toml:3: fault[0].size is missing"},
      {head + "[[fault]]\nkind = \"link_loss\"\npart = 1.5\nsize = 0.1\n", "f.toml:5: fault[0].part is 1.5"},
      {head + "[[fault]]\nkind = \"wait\"\nexpect = \"rain\"\n", "f.toml:5: fault[0].expect is \"rain\""},
      {head + "[[fault]]\nkind = \"wait\"\nfor_s = 1\n", "f.toml:5: fault[0].for_s is not known"},
      {head + "load = \"nowhere.toml\"\n", "f.toml:3: load nowhere.toml: can't be read"},
      {"name = ", "f.toml:1: "}};
  for (const auto& [text, expected] : cases)
    EXPECT_EQ(ErrorOf(text).substr(0, expected.size()), expected) << text;
}

}  // namespace
}  // namespace curlewdoor::fleetkit
