#include "app/serve.hpp"

#include <ev.h>
#include <fmt/format.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>

#include "app/service.hpp"
#include "config/config.hpp"
#include "log/log.hpp"
#include "util/address.hpp"

namespace curlewdoor::app {
namespace {

constexpr int kOk = 0, kFailed = 1;

}  // namespace

int Serve(const std::string& path, const GatewayCoreFactory& make_core) {
  std::string error;
  const auto config = config::LoadConfig(path, config::ReadEnvironment(), error);
  if (!config) {
    fmt::print(stderr, "curlewdoor: {}\n", error);
    return kFailed;
  }
  std::signal(SIGPIPE, SIG_IGN);
  log::Logger logger(STDERR_FILENO);
  struct ev_loop* loop = ev_default_loop(unsigned{EVBACKEND_EPOLL} | unsigned{EVFLAG_NOENV});
  if (loop == nullptr) {
    logger.Error("no event loop");
    return kFailed;
  }
  int result = kOk;
  {
    const auto reload = [&](const config::Config& running, std::string& what) {
      return config::ReloadConfig(path, config::ReadEnvironment(), running, what);
    };
    Service service(loop, *config, reload, logger, make_core);
    if (service.Start(error)) {
      logger.Info("{} listens on {}; {} classes, {} plans, {} hosts known; {} descriptors, {} MB",
                  config->name, config->listen.ToText(), config->settings.classes.size(),
                  config->settings.plans.size(), config->known ? config->known->members.size() : 0,
                  config->sockets, config->memory_mb);
      if (config->admin)
        logger.Info("operators call {}", Address{config->admin->ip, service.admin_port()}.ToText());
      ev_run(loop, 0);
      logger.Info("ends: nothing is owed any more");
    } else {
      logger.Error("{}", error);
      result = kFailed;
    }
  }
  ev_loop_destroy(loop);
  return result;
}

}  // namespace curlewdoor::app
