#pragma once

// Routing configuration: maps the host and path of a request to a service and to the rules for
// handling the request. No I/O.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figmill/base.h"
#include "figmill/teams.h"

namespace figmill {

// Whether requests may be repeated, and the form of the answer.
enum class RouteKind : std::uint8_t {
  kIdempotent,  // may run more than once
  kOnce,        // runs at most once
  kStream,      // answers with an event stream; runs at most once unless it can be resumed
  kBatch,       // accepts batch jobs, whose items run later
};
[[nodiscard]] std::string_view ToString(RouteKind kind);

// A service that gets a fraction of a route's requests. Weights are relative to each other.
struct ServiceShare {
  ServiceName service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;    // lower case, without a port
  std::string prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kOnce;
  std::vector<ServiceShare> split;   // at least one
  Duration timeout{30'000'000};      // maximum time until the final answer
  Duration latency_goal{1'000'000};  // latency target of an answer; streams: of the first event
  Duration event_gap{0};        // streams: target for the longest pause between events; 0: none
  int rank = 0;                 // priority; 0 is served first
  int max_backends = 1;         // maximum number of backend servers that may run one request
  bool shares_prompts = false;  // requests name the prompt parts that they share with others
  bool resumable = false;       // a stream can be resumed at another backend server
  bool open = false;            // accepts requests without a key
  Duration job_due{0};          // batch: time from submission until all results are due
  // Batch: time from submission after which an unfinished item may be dropped.
  Duration job_expiry{0};
};

// Whether running a request of this route more than once is harmless.
[[nodiscard]] bool IsIdempotent(const Route& route);

// Properties of the engines of a model service.
struct EngineTraits {
  int slots = 1;               // requests that one engine runs concurrently
  std::int64_t kv_tokens = 0;  // KV cache capacity in tokens; 0: unknown
};

struct RoutedService {
  ServiceName name;
  std::string health_path;
  int max_connections = 0;  // to one backend server, over all callers; 0: unknown
  std::optional<EngineTraits> engine;
};

// Size and time limits for requests of callers.
struct CallerLimits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 4U << 20;
  Duration idle{15'000'000};
};

// Accepted or rejected as a whole; a higher version replaces a lower one.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;
  // Unset: callers need no keys. Empty: no key is accepted.
  std::optional<std::vector<Team>> teams;
};

// Errors: kBadRequest, naming the first invalid entry.
[[nodiscard]] Result<Ok> Validate(const RoutingConfig& config);

// A configuration indexed for lookups; immutable, shared between threads.
class RouteTable {
 public:
  // `secret`: see TeamDirectory.
  explicit RouteTable(RoutingConfig config, std::uint64_t secret = 0);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // The route of this host with the longest prefix that matches the path, or nullptr. `host`
  // may include a port, in any case.
  [[nodiscard]] const Route* Find(std::string_view host, std::string_view path) const;
  [[nodiscard]] const Route* FindByName(std::string_view name) const;
  [[nodiscard]] const RoutedService* FindService(const ServiceName& name) const;
  // Null when callers need no keys.
  [[nodiscard]] const TeamDirectory* teams() const { return teams_ ? &*teams_ : nullptr; }
  [[nodiscard]] const RoutingConfig& config() const { return config_; }
  [[nodiscard]] std::uint64_t version() const { return config_.version; }

 private:
  RoutingConfig config_;
  std::optional<TeamDirectory> teams_;
  // The routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};

// Chooses the service of one request by the route's weights; `draw` is uniformly distributed.
[[nodiscard]] const ServiceName& ChooseService(const Route& route, std::uint64_t draw);

}  // namespace figmill
