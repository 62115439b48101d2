#include "figmilld/settings.h"

#include <CLI/CLI.hpp>
#include <charconv>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

namespace figmill {
namespace {

constexpr int kBadSettings = 2;
constexpr Duration kMillisecond{1'000};

// How one setting is named and shown.
struct Setting {
  std::string flag;
  std::string variable;
  std::string help;
};

[[noreturn]] void Refuse(const Setting& setting, std::string_view value, std::string_view allowed) {
  throw CLI::ValidationError(
      setting.flag + " (" + setting.variable + ")",
      "'" + std::string(value) + "' is not allowed; allowed: " + std::string(allowed));
}

template <typename Read>
CLI::Option* Add(CLI::App& app, const Setting& setting, std::string_view form, Read read) {
  return app.add_option_function<std::string>(setting.flag, read, setting.help)
      ->envname(setting.variable)
      ->type_name(std::string(form));
}

enum class Port : std::uint8_t { kAny, kFixed };  // kAny: 0 takes a free one

Address ReadAddress(const Setting& setting, const std::string& text, Port port) {
  const Result<Address> address = ParseAddress(text);
  if (!IsOk(address) || (port == Port::kFixed && ValueOf(address).port == 0)) {
    Refuse(setting, text,
           port == Port::kAny ? "an IPv4 number and a port of 0 (a free one) to 65535, such as "
                                "127.0.0.1:8080"
                              : "an IPv4 number and a port of 1 to 65535, such as 127.0.0.1:8080");
  }
  return ValueOf(address);
}

CLI::Option* AddAddress(CLI::App& app, const Setting& setting, Address& into, Port port) {
  const auto read = [&into, setting, port](const std::string& text) {
    into = ReadAddress(setting, text, port);
  };
  return Add(app, setting, "IP:PORT", read)->default_str(ToString(into));
}

CLI::Option* AddId(CLI::App& app, const Setting& setting, std::string& into) {
  const auto read = [&into, setting](const std::string& text) {
    const Result<std::string> id = ParseId(text, setting.flag);
    if (!IsOk(id)) Refuse(setting, text, "1 to 128 characters out of letters, digits and . _ : -");
    into = ValueOf(id);
  };
  return Add(app, setting, "ID", read)->default_str(into);
}

struct MillisecondRange {
  std::int64_t least;
  std::int64_t most;
};

CLI::Option* AddMilliseconds(CLI::App& app, const Setting& setting, MillisecondRange range,
                             Duration& into) {
  const std::string allowed = std::to_string(range.least) + " to " + std::to_string(range.most);
  const auto read = [&into, setting, range, allowed](const std::string& text) {
    std::int64_t value = 0;
    const char* const last = text.data() + text.size();
    const auto [end, failure] = std::from_chars(text.data(), last, value);
    if (failure != std::errc{} || end != last || value < range.least || value > range.most) {
      Refuse(setting, text, "a whole number of milliseconds, " + allowed);
    }
    into = value * kMillisecond;
  };
  return Add(app, setting, "MS", read)
      ->default_str(std::to_string(into / kMillisecond))
      ->description(setting.help + ", milliseconds, " + allowed);
}

template <typename Value>
struct Choice {
  std::string_view name;
  Value value;
};

template <typename Value>
CLI::Option* AddChoice(CLI::App& app, const Setting& setting, std::vector<Choice<Value>> choices,
                       Value& into) {
  std::string names;
  std::string standing;
  for (const Choice<Value>& choice : choices) {
    names.append(names.empty() ? "" : "|").append(choice.name);
    if (choice.value == into) standing = choice.name;
  }
  const auto read = [&into, setting, choices, names](const std::string& text) {
    for (const Choice<Value>& choice : choices) {
      if (choice.name != text) continue;
      into = choice.value;
      return;
    }
    Refuse(setting, text, names);
  };
  return Add(app, setting, names, read)->default_str(standing);
}

void AddIdentity(CLI::App& app, CommonSettings& common) {
  const char* const group = "Identity";
  AddId(app, {"--node", "FIGMILL_NODE", "name of this process's slot, kept over restarts"},
        common.node.value)
      ->required()
      ->group(group);
  AddId(app, {"--data-centre", "FIGMILL_DATA_CENTRE", "data centre of this host"},
        common.data_centre.value)
      ->group(group);
}

void AddAddresses(CLI::App& app, CommonSettings& common) {
  const char* const group = "Addresses";
  AddAddress(app, {"--http", "FIGMILL_HTTP", "where HTTP is served"}, common.http, Port::kAny)
      ->group(group);
  AddAddress(app, {"--gossip", "FIGMILL_GOSSIP", "where membership datagrams are read"},
             common.gossip, Port::kAny)
      ->group(group);
  AddAddress(app, {"--platform", "FIGMILL_PLATFORM", "the platform's services"}, common.platform,
             Port::kFixed)
      ->group(group);
}

void AddTimes(CLI::App& app, CommonSettings& common) {
  const char* const group = "Times";
  AddMilliseconds(app,
                  {"--store-timeout-ms", "FIGMILL_STORE_TIMEOUT_MS",
                   "longest wait for an answer of the platform"},
                  {50, 60'000}, common.store_timeout)
      ->group(group);
  AddMilliseconds(app,
                  {"--shutdown-grace-ms", "FIGMILL_SHUTDOWN_GRACE_MS",
                   "longest wait for open requests in a graceful shutdown"},
                  {0, 600'000}, common.shutdown_grace)
      ->group(group);
}

void AddObservation(CLI::App& app, CommonSettings& common) {
  const char* const group = "Observation";
  const Setting endpoint{"--trace-endpoint", "FIGMILL_TRACE_ENDPOINT",
                         "OTLP/HTTP collector that gets the spans"};
  const auto read = [&common, endpoint](const std::string& text) {
    common.trace_endpoint = ReadAddress(endpoint, text, Port::kFixed);
  };
  Add(app, endpoint, "IP:PORT", read)->default_str("off")->group(group);
  AddChoice<LogLevel>(
      app, {"--log-level", "FIGMILL_LOG_LEVEL", "lines under this are left out"},
      {{"info", LogLevel::kInfo}, {"warning", LogLevel::kWarning}, {"error", LogLevel::kError}},
      common.log_level)
      ->group(group);
}

void AddBackend(CLI::App& app, AgentSettings& agent) {
  const char* const group = "Backend server";
  AddAddress(app, {"--backend", "FIGMILL_BACKEND", "the backend server beside this process"},
             agent.backend, Port::kFixed)
      ->group(group);
  AddChoice<BackendKind>(
      app, {"--backend-kind", "FIGMILL_BACKEND_KIND", "a model engine or a plain service"},
      {{"model", BackendKind::kModel}, {"plain", BackendKind::kPlain}}, agent.backend_kind)
      ->group(group);
  AddId(app, {"--service", "FIGMILL_SERVICE", "service of a plain backend server, required there"},
        agent.service.value)
      ->group(group);
}

// "IP:PORT,IP:PORT"; empty: none.
std::vector<Address> ReadAddresses(const Setting& setting, const std::string& text) {
  std::vector<Address> addresses;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    addresses.push_back(ReadAddress(setting, part, Port::kFixed));
  }
  return addresses;
}

// May be filled in from a template whose value is missing: an empty text leaves the default.
template <typename T>
struct OptionalNumber {
  T least;
  T most;
  T standing;
  std::function<void(T)> set;
};

template <typename T>
CLI::Option* Add(CLI::App& app, const Setting& setting, const OptionalNumber<T>& number) {
  const auto read = [setting, number](const std::string& text) {
    if (text.empty()) return;
    T value{};
    const char* const last = text.data() + text.size();
    const auto [end, failure] = std::from_chars(text.data(), last, value);
    const bool whole = failure == std::errc{} && end == last;
    if (whole && value >= number.least && value <= number.most) return number.set(value);
    std::ostringstream allowed;
    allowed << "a number from " << number.least << " to " << number.most << ", or nothing";
    Refuse(setting, text, allowed.str());
  };
  std::ostringstream standing;
  standing << number.standing;
  return Add(app, setting, "NUMBER", read)->default_str(standing.str())->expected(0, 1);
}

void AddRevocation(CLI::App& app, TeamSettings& teams) {
  const Setting strict{"--strict-revocation", "FIGMILL_STRICT_REVOCATION",
                       "refuse keys when the store has not confirmed the configuration in time"};
  const auto read = [&teams, strict](const std::string& text) {
    if (text.empty()) return;
    if (text != "true" && text != "false") Refuse(strict, text, "true, false, or nothing");
    teams.strict_revocation = text == "true";
  };
  Add(app, strict, "true|false", read)->default_str("false")->expected(0, 1)->group("Teams");
  const Setting within{"--revoke-within-ms", "FIGMILL_REVOKE_WITHIN_MS",
                       "from the acknowledgement of a configuration until a key that it takes "
                       "away works nowhere any more"};
  const auto set = [&teams](std::int64_t ms) { teams.revoke_within = ms * kMillisecond; };
  Add(app, within,
      OptionalNumber<std::int64_t>{500, 600'000, teams.revoke_within / kMillisecond, set})
      ->group("Teams");
}

void AddQuota(CLI::App& app, QuotaBounds& quota) {
  const Setting window{"--quota-window-s", "FIGMILL_QUOTA_WINDOW_S",
                       "window of time in which a team's limit must hold, seconds"};
  const auto set_window = [&quota](std::int64_t s) { quota.window = std::chrono::seconds(s); };
  Add(app, window,
      OptionalNumber<std::int64_t>{1, 3'600, quota.window / std::chrono::seconds(1), set_window})
      ->group("Teams");
  const Setting excess{"--quota-excess", "FIGMILL_QUOTA_EXCESS",
                       "share by which a window may pass a team's limit"};
  const auto set_excess = [&quota](double share) { quota.excess = share; };
  Add(app, excess, OptionalNumber<double>{0.01, 1, quota.excess, set_excess})->group("Teams");
  const Setting slack{"--quota-slack", "FIGMILL_QUOTA_SLACK",
                      "requests by which a window may pass it besides"};
  const auto set_slack = [&quota](std::uint32_t requests) { quota.slack = requests; };
  Add(app, slack, OptionalNumber<std::uint32_t>{0, 100'000, quota.slack, set_slack})
      ->group("Teams");
}

void AddGateway(CLI::App& app, GatewaySettings& gateway) {
  AddId(app, {"--node", "FIGMILL_NODE", "name of this process's slot, kept over restarts"},
        gateway.node.value)
      ->required()
      ->group("Identity");
  AddId(app, {"--data-centre", "FIGMILL_DATA_CENTRE", "data centre of this host"},
        gateway.data_centre.value)
      ->group("Identity");
  app.add_option("--cores", gateway.cores, "processor time that this process has, in cores")
      ->envname("FIGMILL_CORES")
      ->check(CLI::Range(0.001, 1024.0))
      ->capture_default_str()
      ->group("Identity");
  const char* const group = "Addresses";
  AddAddress(app, {"--callers", "FIGMILL_CALLERS", "where callers connect"}, gateway.callers,
             Port::kAny)
      ->group(group);
  AddAddress(app, {"--health", "FIGMILL_HEALTH", "where the balancer asks for readiness"},
             gateway.health, Port::kAny)
      ->group(group);
  AddAddress(app, {"--peers", "FIGMILL_PEERS", "where other gateways connect and send datagrams"},
             gateway.peers, Port::kAny)
      ->group(group);
  AddAddress(app, {"--metrics", "FIGMILL_METRICS", "where metrics are served"}, gateway.metrics,
             Port::kAny)
      ->group(group);
  AddAddress(app, {"--store", "FIGMILL_STORE", "the platform's table service"}, gateway.store,
             Port::kFixed)
      ->group(group);
  const Setting seeds{"--seeds", "FIGMILL_SEEDS", "peer addresses of some gateways, may be stale"};
  Add(app, seeds, "IP:PORT,...",
      [&gateway, seeds](const std::string& text) { gateway.seeds = ReadAddresses(seeds, text); })
      ->group(group)
      // Filled in from a list that may be empty: `--seeds=` would take the next flag for its value.
      ->expected(0, 1);
  AddMilliseconds(app,
                  {"--shutdown-grace-ms", "FIGMILL_SHUTDOWN_GRACE_MS",
                   "from the order to stop until the process is killed"},
                  {1'000, 600'000}, gateway.shutdown_grace)
      ->group("Times");
  AddRevocation(app, gateway.teams);
  AddQuota(app, gateway.teams.quota);
}

// What no setting can tell alone.
void CheckTogether(const AgentSettings& agent) {
  const Setting service{"--service", "FIGMILL_SERVICE", ""};
  const bool plain = agent.backend_kind == BackendKind::kPlain;
  if (plain && agent.service.empty()) {
    Refuse(service, "", "with --backend-kind plain, the name of its service");
  }
  if (!plain && !agent.service.empty()) {
    Refuse(service, agent.service.value,
           "nothing with --backend-kind model, whose services come from the configuration");
  }
}

EarlyExit ExitOf(const CLI::App& app, const CLI::ParseError& failure) {
  std::ostringstream text;
  const int code = app.exit(failure, text, text);
  return EarlyExit{code == 0 ? 0 : kBadSettings, text.str()};
}

}  // namespace

std::variant<Settings, GatewaySettings, EarlyExit> ParseSettings(int argc, char** argv) {
  Settings settings;
  GatewaySettings gateway_settings;
  bool check_only = false;
  CLI::App app("figmilld: serves online and batch inference on one fleet", "figmilld");
  app.require_subcommand(1);
  CLI::App* entry = app.add_subcommand("entry", "takes callers' requests and owns batch jobs");
  CLI::App* agent = app.add_subcommand("agent", "runs beside one backend server");
  CLI::App* gateway =
      app.add_subcommand("gateway", "takes callers' requests and calls backend servers itself");
  for (CLI::App* role : {entry, agent}) {
    AddIdentity(*role, settings.common);
    AddAddresses(*role, settings.common);
    AddTimes(*role, settings.common);
    AddObservation(*role, settings.common);
  }
  AddGateway(*gateway, gateway_settings);
  for (CLI::App* role : {entry, agent, gateway}) {
    role->add_flag("--check-settings", check_only, "checks the settings and exits");
    // Without a callback of its own CLI11 also reads the variables of the role
    // that wasn't asked for, and an entry would stumble over an agent's setting.
    role->parse_complete_callback([] {});
  }
  AddBackend(*agent, settings.agent);
  try {
    app.parse(argc, argv);
    if (agent->parsed()) CheckTogether(settings.agent);
  } catch (const CLI::ParseError& failure) {
    return ExitOf(app, failure);
  }
  if (check_only) return EarlyExit{0, "the settings are valid\n"};
  if (gateway->parsed()) return gateway_settings;
  settings.role = agent->parsed() ? Role::kAgent : Role::kEntry;
  return settings;
}

}  // namespace figmill
