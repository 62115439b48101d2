#pragma once

// JSON conversion of the configuration's elements, shared by configuration documents,
// log entries and control states. Private to the control library.

#include "control/json.h"
#include "figmill/control.h"

namespace figmill::detail {

[[nodiscard]] ServiceConfig ReadService(const Json& json, const std::string& where,
                                        ParseStatus& status);
[[nodiscard]] TeamLimit ReadLimit(const Json& json, const std::string& where, ParseStatus& status);
[[nodiscard]] BackendConfig ReadBackend(const Json& json, const std::string& where,
                                        ParseStatus& status);
[[nodiscard]] Config ReadConfig(const Json& json, const std::string& where, ParseStatus& status);
[[nodiscard]] ControlEntry ReadEntry(const Json& json, const std::string& where,
                                     ParseStatus& status);
[[nodiscard]] Placement ReadPlacement(const Json& json, const std::string& where,
                                      ParseStatus& status);

[[nodiscard]] Json WriteService(const ServiceConfig& service);
[[nodiscard]] Json WriteLimit(const TeamLimit& limit);
[[nodiscard]] Json WriteBackend(const BackendConfig& backend);
[[nodiscard]] Json WriteConfig(const Config& config);
[[nodiscard]] Json WriteEntry(const ControlEntry& entry);
[[nodiscard]] Json WritePlacement(const Placement& placement);

}  // namespace figmill::detail
