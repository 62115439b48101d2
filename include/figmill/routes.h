#pragma once

// Which service a request belongs to and what may be done with it: the routing
// configuration and the look-up by host and path. No I/O.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figmill/base.h"
#include "figmill/teams.h"

namespace figmill {

// What may be repeated, and what an answer looks like.
enum class RouteKind : std::uint8_t {
  kIdempotent,  // may run more than once
  kOnce,        // runs at most once
  kStream,      // an event stream; runs at most once unless it can be resumed
  kBatch,       // takes batch jobs, whose items run later
};
[[nodiscard]] std::string_view ToString(RouteKind kind);

// A part of a route's requests. Weights are relative to each other.
struct ServiceShare {
  ServiceName service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;    // lower case, without a port
  std::string prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kOnce;
  std::vector<ServiceShare> split;  // at least one
  Duration timeout{30'000'000};     // longest time that a caller is kept waiting
  Duration goal{1'000'000};         // an answer within this is in time; streams: the first event
  Duration event_gap{0};            // streams: longest pause that is still in time; 0: none set
  int rank = 0;                     // 0 goes first
  int max_backends = 1;             // on how many backend servers one request may run
  bool shares_prompts = false;      // its requests name the shared parts of their prompts
  bool resumable = false;           // a stream can go on at another backend server
  bool open = false;                // takes requests without a key
  Duration job_due{0};              // batch: from submission until all results are due
  Duration job_life{0};             // batch: from submission until an item may be given up
};

// Whether running a request of this route twice does no harm.
[[nodiscard]] bool IsIdempotent(const Route& route);

// What the engines of a model service are like.
struct EngineTraits {
  int places = 1;              // requests that run at once
  std::int64_t kv_tokens = 0;  // tokens that fit its memory; 0: unknown
};

struct RoutedService {
  ServiceName name;
  std::string health_path;
  int max_connections = 0;  // to one backend server, from all callers; 0: unknown
  std::optional<EngineTraits> engine;
};

// What callers may send, and how long they may take.
struct CallerLimits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 4U << 20;
  Duration idle{15'000'000};
};

// Accepted as a whole; a higher version replaces a lower one.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;
  // Nothing: callers need no keys. None of them: no key is any good.
  std::optional<std::vector<Team>> teams;
};

// Errors: kBadRequest, naming the first thing that is wrong.
[[nodiscard]] Result<Ok> Validate(const RoutingConfig& config);

// A configuration made ready for look-ups; immutable, shared between threads.
class RouteTable {
 public:
  // `secret` as for TeamDirectory.
  explicit RouteTable(RoutingConfig config, std::uint64_t secret = 0);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // The route of this host whose prefix is the longest that begins the path;
  // none: nullptr. `host` may have a port, and any case.
  [[nodiscard]] const Route* Find(std::string_view host, std::string_view path) const;
  [[nodiscard]] const Route* Named(std::string_view name) const;
  [[nodiscard]] const RoutedService* Service(const ServiceName& name) const;
  // Null when callers need no keys.
  [[nodiscard]] const TeamDirectory* teams() const { return teams_ ? &*teams_ : nullptr; }
  [[nodiscard]] const RoutingConfig& config() const { return config_; }
  [[nodiscard]] std::uint64_t version() const { return config_.version; }

 private:
  RoutingConfig config_;
  std::optional<TeamDirectory> teams_;
  // Of one host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};

// The service of a split route for one request; `draw` is evenly distributed.
[[nodiscard]] const ServiceName& ChooseShare(const Route& route, std::uint64_t draw);

}  // namespace figmill
