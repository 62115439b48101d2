#include "control/config_json.h"

namespace figmill {
namespace detail {
namespace {

RouteRule ReadRoute(const Json& json, const std::string& where, ParseStatus& status) {
  RouteRule rule;
  ObjectReader object(json, where, status);
  object.Allow({"path_prefix", "repeatable"});
  object.RequireText("path_prefix", rule.path_prefix);
  object.Bool("repeatable", rule.repeatable);
  return rule;
}

LatencyTarget ReadTarget(const Json& json, const std::string& where, ParseStatus& status) {
  LatencyTarget target;
  ObjectReader object(json, where, status);
  object.Allow({"first_token_ms", "token_gap_ms"});
  object.Milliseconds("first_token_ms", target.first_token);
  object.Milliseconds("token_gap_ms", target.token_gap);
  return target;
}

// Fills `map` from an array. Duplicate keys are an error, as one of the elements
// would silently not apply.
template <typename Key, typename Value, typename Read, typename KeyOf>
void ReadByKey(ObjectReader& object, std::string_view name, std::map<Key, Value>& map, Read read,
               KeyOf key_of) {
  object.Array(name, [&](const Json& element, const std::string& where) {
    Value value = read(element, where, object.status());
    const Key key = key_of(value);
    if (!map.emplace(key, std::move(value)).second) {
      object.status().Fail(where + " repeats '" + key.value + "'");
    }
  });
}

}  // namespace

ServiceConfig ReadService(const Json& json, const std::string& where, ParseStatus& status) {
  ServiceConfig service;
  ObjectReader object(json, where, status);
  object.Allow({"name", "kind", "repeatable", "routes", "target", "default_deadline_ms"});
  object.RequireId("name", service.name);
  std::string kind = "model";
  object.Text("kind", kind);
  if (kind != "model" && kind != "plain") {
    status.Fail(object.Path("kind") + " must be \"model\" or \"plain\"");
  }
  service.kind = kind == "model" ? ServiceKind::kModel : ServiceKind::kPlain;
  object.Bool("repeatable", service.repeatable);
  object.Array("routes", [&](const Json& element, const std::string& at) {
    service.routes.push_back(ReadRoute(element, at, status));
  });
  if (const Json* target = object.Find("target")) {
    service.target = ReadTarget(*target, object.Path("target"), status);
  }
  object.Milliseconds("default_deadline_ms", service.default_deadline);
  return service;
}

TeamLimit ReadLimit(const Json& json, const std::string& where, ParseStatus& status) {
  TeamLimit limit;
  ObjectReader object(json, where, status);
  object.Allow({"team", "requests_per_second", "tokens_per_second", "burst_seconds"});
  object.RequireId("team", limit.team);
  object.Number("requests_per_second", limit.requests_per_second);
  object.Number("tokens_per_second", limit.tokens_per_second);
  object.Number("burst_seconds", limit.burst_seconds);
  return limit;
}

BackendConfig ReadBackend(const Json& json, const std::string& where, ParseStatus& status) {
  BackendConfig backend;
  ObjectReader object(json, where, status);
  object.Allow({"agent", "serves", "checks_fencing"});
  object.RequireId("agent", backend.agent);
  object.Ids("serves", backend.serves);
  object.Bool("checks_fencing", backend.checks_fencing);
  return backend;
}

Config ReadConfig(const Json& json, const std::string& where, ParseStatus& status) {
  Config config;
  ObjectReader object(json, where, status);
  object.Allow({"services", "limits", "backends"});
  ReadByKey(object, "services", config.services, ReadService,
            [](const ServiceConfig& service) { return service.name; });
  ReadByKey(object, "limits", config.limits, ReadLimit,
            [](const TeamLimit& limit) { return limit.team; });
  ReadByKey(object, "backends", config.backends, ReadBackend,
            [](const BackendConfig& backend) { return backend.agent; });
  return config;
}

Json WriteService(const ServiceConfig& service) {
  Json routes = Json::array();
  for (const RouteRule& rule : service.routes) {
    routes.push_back({{"path_prefix", rule.path_prefix}, {"repeatable", rule.repeatable}});
  }
  return {{"name", service.name.value},
          {"kind", service.kind == ServiceKind::kModel ? "model" : "plain"},
          {"repeatable", service.repeatable},
          {"routes", std::move(routes)},
          {"target",
           {{"first_token_ms", ToMilliseconds(service.target.first_token)},
            {"token_gap_ms", ToMilliseconds(service.target.token_gap)}}},
          {"default_deadline_ms", ToMilliseconds(service.default_deadline)}};
}

Json WriteLimit(const TeamLimit& limit) {
  return {{"team", limit.team.value},
          {"requests_per_second", limit.requests_per_second},
          {"tokens_per_second", limit.tokens_per_second},
          {"burst_seconds", limit.burst_seconds}};
}

Json WriteBackend(const BackendConfig& backend) {
  return {{"agent", backend.agent.value},
          {"serves", IdsToJson(backend.serves)},
          {"checks_fencing", backend.checks_fencing}};
}

Json WriteConfig(const Config& config) {
  Json services = Json::array();
  for (const auto& [name, service] : config.services) services.push_back(WriteService(service));
  Json limits = Json::array();
  for (const auto& [team, limit] : config.limits) limits.push_back(WriteLimit(limit));
  Json backends = Json::array();
  for (const auto& [agent, backend] : config.backends) backends.push_back(WriteBackend(backend));
  return {{"services", std::move(services)},
          {"limits", std::move(limits)},
          {"backends", std::move(backends)}};
}

}  // namespace detail

Result<Config> ParseConfig(std::string_view json) {
  Result<Config> config = detail::ParseDocument<Config>(
      json, "the configuration",
      [](const auto& document, auto& r) { return detail::ReadConfig(document, "config", r); });
  if (!IsOk(config)) return config;
  const Result<Ok> valid = Validate(ValueOf(config));
  if (!IsOk(valid)) return ErrorOf(valid);
  return config;
}

std::string ToJson(const Config& config) {
  return detail::WriteConfig(config).dump();
}

}  // namespace figmill
