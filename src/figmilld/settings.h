#pragma once

// Settings of the daemon's processes, from flags and environment variables.

#include <optional>
#include <string>

#include "figmill/base.h"
#include "figmill/control.h"

namespace figmill {

enum class BackendKind : std::uint8_t { kModel, kPlain };

struct CommonSettings {
  NodeId node;
  Address http{"127.0.0.1", 8080};
  Address gossip{"127.0.0.1", 8081};
  Address platform{"127.0.0.1", 9000};
  DataCentre data_centre{"local"};
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

// Reads the command line and the environment. On --help or a mistake it prints
// and exits (0 or 2), as CLI11 does.
[[nodiscard]] Settings ParseSettings(int argc, char** argv);

}  // namespace figmill
