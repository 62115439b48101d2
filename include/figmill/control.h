#pragma once

// What operators decide and what nodes know of each other: the configuration,
// the control log that carries it, membership, and leases. No I/O.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill {

// --- Configuration -------------------------------------------------------------

enum class ServiceKind : std::uint8_t { kModel, kPlain };

// Requests whose path starts with `path_prefix` may not be repeated.
struct RouteRule {
  std::string path_prefix;
  bool repeatable = true;
};

struct LatencyTarget {
  Duration first_token{840'000};
  Duration token_gap{61'000};
};

struct ServiceConfig {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  bool repeatable = true;
  std::vector<RouteRule> routes;  // stricter of rule and service wins
  LatencyTarget target;
  Duration default_deadline{60'000'000};
};

// Rates over the whole fleet; 0 means unlimited.
struct TeamLimit {
  TeamId team;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double burst_seconds = 2;
};

struct BackendConfig {
  NodeId agent;  // the agent beside it
  std::vector<ServiceName> serves;
  bool checks_fencing = true;
  bool drained = false;
};

struct Config {
  std::map<ServiceName, ServiceConfig> services;
  std::map<TeamId, TeamLimit> limits;
  std::map<NodeId, BackendConfig> backends;
};

// --- Membership ----------------------------------------------------------------

enum class Role : std::uint8_t { kEntry, kAgent };
enum class Liveness : std::uint8_t { kAlive, kSuspect, kDead };

struct Member {
  NodeId node;
  Role role = Role::kEntry;
  Incarnation incarnation = 0;
  DataCentre data_centre;
  Address http;
  Address gossip;
  std::vector<ServiceName> serves;  // agents only
  bool leaving = false;
  Liveness liveness = Liveness::kAlive;
  Sequence control_sequence = 0;  // the orders this member runs on
};

// What traffic threads route from: immutable, published whole.
struct Snapshot {
  Sequence sequence = 0;
  std::shared_ptr<const Config> config;
  std::vector<Member> members;  // alive and suspect ones, by node id
};

}  // namespace figmill
