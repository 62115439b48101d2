#include <algorithm>
#include <cmath>
#include <set>

#include "figmill/control.h"

namespace figmill {
namespace {

// Far above the size expected in two years; a larger document is a mistake that would
// use up memory on every node.
constexpr std::size_t kMaxServices = 1'000;
constexpr std::size_t kMaxLimits = 20'000;
constexpr std::size_t kMaxBackends = 5'000;
constexpr std::size_t kMaxRoutes = 64;  // per service
constexpr std::size_t kMaxServed = 64;  // services per backend server
constexpr std::size_t kMaxPrefixLength = 256;
constexpr Duration kLongestDeadline{24LL * 3600 * 1'000'000};

Error BadRequest(std::string detail) {
  return Error{ErrorKind::kBadRequest, std::move(detail)};
}

Result<Ok> ValidateRoutes(const ServiceConfig& service) {
  if (service.routes.size() > kMaxRoutes) {
    return BadRequest("service " + service.name.value + " has more than " +
                      std::to_string(kMaxRoutes) + " routes");
  }
  std::set<std::string_view> prefixes;
  for (const RouteRule& rule : service.routes) {
    if (rule.path_prefix.empty() || rule.path_prefix.front() != '/' ||
        rule.path_prefix.size() > kMaxPrefixLength) {
      return BadRequest("service " + service.name.value +
                        ": a route's path_prefix starts with '/' and " + "has at most " +
                        std::to_string(kMaxPrefixLength) + " characters");
    }
    if (!prefixes.insert(rule.path_prefix).second) {
      return BadRequest("service " + service.name.value + " has two routes for " +
                        rule.path_prefix);
    }
  }
  return Ok{};
}

Result<Ok> ValidateService(const ServiceConfig& service) {
  const std::string who = "service " + service.name.value;
  const Result<std::string> id = ParseId(service.name.value, "a service's name");
  if (!IsOk(id)) return ErrorOf(id);
  if (service.default_deadline <= Duration::zero() || service.default_deadline > kLongestDeadline) {
    return BadRequest(who + ": default_deadline_ms must be above 0 and at most a day");
  }
  if (service.target.first_token <= Duration::zero() ||
      service.target.token_gap <= Duration::zero()) {
    return BadRequest(who + ": latency targets must be above 0");
  }
  return ValidateRoutes(service);
}

Result<Ok> ValidateLimit(const TeamLimit& limit) {
  const Result<std::string> id = ParseId(limit.team.value, "a team's id");
  if (!IsOk(id)) return ErrorOf(id);
  const auto rate = [](double value) { return std::isfinite(value) && value >= 0; };
  if (!rate(limit.requests_per_second) || !rate(limit.tokens_per_second)) {
    return BadRequest("limit of team " + limit.team.value +
                      ": rates must be 0 (unlimited) or above");
  }
  if (!std::isfinite(limit.burst_seconds) || limit.burst_seconds <= 0) {
    return BadRequest("limit of team " + limit.team.value + ": burst_seconds must be above 0");
  }
  return Ok{};
}

Result<Ok> ValidateBackend(const BackendConfig& backend, const Config& config) {
  const std::string who = "backend server of agent " + backend.agent.value;
  const Result<std::string> id = ParseId(backend.agent.value, "an agent's id");
  if (!IsOk(id)) return ErrorOf(id);
  if (backend.serves.size() > kMaxServed) {
    return BadRequest(who + " serves more than " + std::to_string(kMaxServed) + " services");
  }
  std::set<ServiceName> served;
  for (const ServiceName& name : backend.serves) {
    if (!served.insert(name).second)
      return BadRequest(who + " names service " + name.value + " twice");
    if (!config.services.contains(name)) {
      return BadRequest(who + " serves '" + name.value + "', which is not a configured service");
    }
  }
  return Ok{};
}

Result<Ok> ValidateSizes(const Config& config) {
  if (config.services.size() > kMaxServices || config.limits.size() > kMaxLimits ||
      config.backends.size() > kMaxBackends) {
    return Error{ErrorKind::kTooLarge, "the configuration has more than " +
                                           std::to_string(kMaxServices) + " services, " +
                                           std::to_string(kMaxLimits) + " limits or " +
                                           std::to_string(kMaxBackends) + " backend servers"};
  }
  return Ok{};
}

}  // namespace

Result<Ok> Validate(const Config& config) {
  Result<Ok> result = ValidateSizes(config);
  for (const auto& [name, service] : config.services) {
    if (!IsOk(result)) return result;
    result = ValidateService(service);
  }
  for (const auto& [team, limit] : config.limits) {
    if (!IsOk(result)) return result;
    result = ValidateLimit(limit);
  }
  for (const auto& [agent, backend] : config.backends) {
    if (!IsOk(result)) return result;
    result = ValidateBackend(backend, config);
  }
  return result;
}

}  // namespace figmill
