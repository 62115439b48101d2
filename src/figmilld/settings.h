#pragma once

// Settings of the daemon's processes, from flags and environment variables.

#include <optional>
#include <string>
#include <variant>

#include "figmill/base.h"
#include "figmill/control.h"
#include "figmill/gateway.h"
#include "figmill/runtime.h"

namespace figmill {

enum class BackendKind : std::uint8_t { kModel, kPlain };

struct CommonSettings {
  NodeId node;
  Address http{"127.0.0.1", 8080};
  Address gossip{"127.0.0.1", 8081};
  Address platform{"127.0.0.1", 9000};
  DataCentre data_centre{"local"};
  Duration store_timeout{2'000'000};
  Duration shutdown_grace{30'000'000};
  std::optional<Address> trace_endpoint;
  LogLevel log_level = LogLevel::kInfo;
};

struct AgentSettings {
  Address backend{"127.0.0.1", 9100};
  BackendKind backend_kind = BackendKind::kModel;
  ServiceName service;  // plain backend servers only
};

struct Settings {
  Role role = Role::kEntry;
  CommonSettings common;
  AgentSettings agent;
};

// The process ends before it starts: help, a check that passed (code 0, for
// standard output) or a mistake (code 2, for standard error).
struct EarlyExit {
  int code = 0;
  std::string text;
};

// Reads the command line and the environment; a flag goes before its variable.
// A mistake's text names the setting, the value and what is allowed.
[[nodiscard]] std::variant<Settings, GatewaySettings, EarlyExit> ParseSettings(int argc,
                                                                               char** argv);

}  // namespace figmill
