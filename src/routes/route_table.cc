#include <algorithm>
#include <cassert>
#include <cctype>
#include <utility>

#include "figmill/routes.h"

namespace figmill {
namespace {

std::string NormalizedHost(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return key;
}

Error InvalidRoute(const Route& route, std::string_view why) {
  return Error{ErrorKind::kBadRequest, "route '" + route.name + "': " + std::string(why)};
}

bool HasService(const RoutingConfig& config, const ServiceName& name) {
  return std::any_of(config.services.begin(), config.services.end(),
                     [&name](const RoutedService& service) { return service.name == name; });
}

Result<Ok> ValidateRoute(const RoutingConfig& config, const Route& route) {
  if (route.host.empty()) return InvalidRoute(route, "has no host");
  if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
    return InvalidRoute(route, "prefix '" + route.prefix + "' must begin and end with a slash");
  }
  if (route.split.empty()) return InvalidRoute(route, "has no service");
  std::uint64_t weights = 0;
  for (const ServiceShare& share : route.split) {
    weights += share.weight;
    if (HasService(config, share.service)) continue;
    return InvalidRoute(route, "refers to the unknown service '" + share.service.value + "'");
  }
  if (weights == 0) return InvalidRoute(route, "has only weights of 0");
  if (route.timeout.count() <= 0) return InvalidRoute(route, "timeout must be greater than 0");
  if (route.max_backends < 1) return InvalidRoute(route, "must allow at least one backend server");
  return Ok{};
}

}  // namespace

std::string_view ToString(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kOnce:
      return "once";
    case RouteKind::kStream:
      return "stream";
    case RouteKind::kBatch:
      return "batch";
  }
  return "unknown";
}

bool IsIdempotent(const Route& route) {
  return route.kind == RouteKind::kIdempotent ||
         (route.kind == RouteKind::kStream && route.resumable);
}

Result<Ok> Validate(const RoutingConfig& config) {
  for (const Route& route : config.routes) {
    Result<Ok> result = ValidateRoute(config, route);
    if (!IsOk(result)) return result;
  }
  if (config.teams) return Validate(*config.teams);
  return Ok{};
}

RouteTable::RouteTable(RoutingConfig config, std::uint64_t secret) : config_(std::move(config)) {
  if (config_.teams) teams_.emplace(*std::exchange(config_.teams, std::nullopt), secret);
  for (const Route& route : config_.routes) by_host_[NormalizedHost(route.host)].push_back(&route);
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto found = by_host_.find(NormalizedHost(host));
  if (found == by_host_.end()) return nullptr;
  for (const Route* route : found->second) {
    if (path.starts_with(route->prefix)) return route;
  }
  return nullptr;
}

const Route* RouteTable::FindByName(std::string_view name) const {
  for (const Route& route : config_.routes) {
    if (route.name == name) return &route;
  }
  return nullptr;
}

const RoutedService* RouteTable::FindService(const ServiceName& name) const {
  for (const RoutedService& service : config_.services) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

const ServiceName& ChooseService(const Route& route, std::uint64_t draw) {
  assert(!route.split.empty());
  std::uint64_t total = 0;
  for (const ServiceShare& share : route.split) total += share.weight;
  if (total == 0) return route.split.front().service;
  std::uint64_t at = draw % total;
  for (const ServiceShare& share : route.split) {
    if (at < share.weight) return share.service;
    at -= share.weight;
  }
  return route.split.back().service;
}

}  // namespace figmill
