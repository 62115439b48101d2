#pragma once

// JSON of the configuration's parts, shared by whole documents, log entries and
// folds. Private to the control library.

#include "control/json.h"
#include "figmill/control.h"

namespace figmill::detail {

[[nodiscard]] ServiceConfig ReadService(const Json& json, const std::string& where,
                                        Reading& reading);
[[nodiscard]] TeamLimit ReadLimit(const Json& json, const std::string& where, Reading& reading);
[[nodiscard]] BackendConfig ReadBackend(const Json& json, const std::string& where,
                                        Reading& reading);
[[nodiscard]] Config ReadConfig(const Json& json, const std::string& where, Reading& reading);
[[nodiscard]] ControlEntry ReadEntry(const Json& json, const std::string& where, Reading& reading);
[[nodiscard]] Placement ReadPlacement(const Json& json, const std::string& where, Reading& reading);

[[nodiscard]] Json WriteService(const ServiceConfig& service);
[[nodiscard]] Json WriteLimit(const TeamLimit& limit);
[[nodiscard]] Json WriteBackend(const BackendConfig& backend);
[[nodiscard]] Json WriteConfig(const Config& config);
[[nodiscard]] Json WriteEntry(const ControlEntry& entry);
[[nodiscard]] Json WritePlacement(const Placement& placement);

}  // namespace figmill::detail
