#include "figmilld/settings.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

namespace figmill {
namespace {

constexpr int kBadSettings = 2;

void AddAddress(CLI::App& app, const std::string& flag, const std::string& variable, Address& into,
                const std::string& help) {
  app.add_option_function<std::string>(
         flag,
         [&into, flag](const std::string& text) {
           const Result<Address> address = ParseAddress(text);
           if (!IsOk(address)) throw CLI::ValidationError(flag, ErrorOf(address).detail);
           into = ValueOf(address);
         },
         help + " [" + ToString(into) + "]")
      ->envname(variable)
      ->type_name("IP:PORT");
}

void AddId(CLI::App& app, const std::string& flag, const std::string& variable, std::string& into,
           const std::string& help) {
  app.add_option_function<std::string>(
         flag,
         [&into, flag](const std::string& text) {
           const Result<std::string> id = ParseId(text, flag);
           if (!IsOk(id)) throw CLI::ValidationError(flag, ErrorOf(id).detail);
           into = ValueOf(id);
         },
         help)
      ->envname(variable)
      ->type_name("ID");
}

void AddCommon(CLI::App& app, CommonSettings& common) {
  AddId(app, "--node", "FIGMILL_NODE", common.node.value, "name of this process's slot");
  app.get_option("--node")->required();
  AddAddress(app, "--http", "FIGMILL_HTTP", common.http, "where HTTP is served");
  AddAddress(app, "--gossip", "FIGMILL_GOSSIP", common.gossip, "where datagrams are read");
  AddAddress(app, "--platform", "FIGMILL_PLATFORM", common.platform, "the platform's services");
  AddId(app, "--data-centre", "FIGMILL_DATA_CENTRE", common.data_centre.value,
        "data centre of this host");
}

void AddAgent(CLI::App& app, AgentSettings& agent) {
  AddAddress(app, "--backend", "FIGMILL_BACKEND", agent.backend, "the backend server beside it");
  app.add_option("--backend-kind", agent.backend_kind, "what the backend server is [model]")
      ->transform(CLI::CheckedTransformer(std::map<std::string, BackendKind>{
          {"model", BackendKind::kModel}, {"plain", BackendKind::kPlain}}))
      ->envname("FIGMILL_BACKEND_KIND");
  AddId(app, "--service", "FIGMILL_SERVICE", agent.service.value,
        "service of a plain backend server");
}

}  // namespace

Settings ParseSettings(int argc, char** argv) {
  Settings settings;
  CLI::App app("figmilld: serves online and batch inference on one fleet", "figmilld");
  app.require_subcommand(1);
  CLI::App* entry = app.add_subcommand("entry", "takes callers' requests and owns batch jobs");
  CLI::App* agent = app.add_subcommand("agent", "runs beside one backend server");
  AddCommon(*entry, settings.common);
  AddCommon(*agent, settings.common);
  AddAgent(*agent, settings.agent);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    const int code = app.exit(failure);
    std::exit(code == 0 ? 0 : kBadSettings);
  }
  settings.role = agent->parsed() ? Role::kAgent : Role::kEntry;
  return settings;
}

}  // namespace figmill
