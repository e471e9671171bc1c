// A gateway on sockets that does something wrong on purpose; SABOTAGE names it.
#include <cstdlib>
#include <cstring>
#include <string>

#include "app/serve.hpp"
#include "faulty_core.hpp"

int main(int argc, char** argv) {
  using namespace curlewdoor;
  const char* name = std::getenv("SABOTAGE");
  if (argc != 4 || std::strcmp(argv[1], "serve") != 0 || name == nullptr) return 2;
  for (const auto& [word, sabotage] : kit::kSabotages)
    if (word == name) return app::Serve(argv[3], kit::MakeFaulty(sabotage));
  return 2;
}
