// A proxy for tests that brings about the network's faults, by rules ordered
// over HTTP: GET, POST and DELETE /rules, DELETE /rules/ID.

#include <CLI/CLI.hpp>
#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>

#include "faultproxy/links.h"

namespace figmill::faultproxy {
namespace {

using nlohmann::json;

struct ProxySettings {
  Address admin{"127.0.0.1", 0};
  std::uint64_t seed = 1;
  std::vector<LinkSettings> links;
};

Address ReadAddress(const std::string& text) {
  const Result<Address> address = ParseAddress(text);
  if (!IsOk(address)) throw CLI::ValidationError(ErrorOf(address).detail);
  return ValueOf(address);
}

// Each --listen opens a link, which --forward and --udp after it describe.
LinkSettings& LastLink(ProxySettings& settings) {
  if (settings.links.empty()) throw CLI::ValidationError("--listen must come first");
  return settings.links.back();
}

void AddOptions(CLI::App& app, ProxySettings& settings) {
  const auto address = [&](const std::string& flag, const std::string& help, auto take) {
    app.add_option_function<std::string>(
           flag, [take](const std::string& text) { take(ReadAddress(text)); }, help)
        ->type_name("IP:PORT")
        ->trigger_on_parse();
  };
  address("--admin", "where /rules is served, port 0 for a free one",
          [&](const Address& at) { settings.admin = at; });
  address("--listen", "opens a link here, port 0 for a free one", [&](const Address& at) {
    settings.links.push_back(LinkSettings{at, {}, false});
  });
  address("--forward", "where the link before goes",
          [&](const Address& to) { LastLink(settings).forward = to; });
  app.add_flag_callback(
         "--udp", [&] { LastLink(settings).udp = true; }, "the link before carries datagrams")
      ->trigger_on_parse();
  app.add_option("--seed", settings.seed, "of the dice for probabilities")->capture_default_str();
}

void CheckLinks(const ProxySettings& settings) {
  if (settings.links.empty()) throw CLI::ValidationError("at least one --listen is needed");
  for (const LinkSettings& link : settings.links) {
    if (link.forward.port != 0) continue;
    throw CLI::ValidationError("--listen " + ToString(link.listen) + " needs a --forward");
  }
}

HttpResponse OnRules(RuleBook& rules, const HttpRequest& request) {
  if (request.method == "GET") return {200, "application/json", {}, rules.Json()};
  if (request.method == "DELETE") {
    rules.Clear();
    return {204, "application/json", {}, ""};
  }
  if (request.method != "POST") {
    return ProblemOf({ErrorKind::kMethodNotAllowed, "GET, POST and DELETE are offered"});
  }
  const Result<Rule> rule = ParseRule(request.body);
  if (!IsOk(rule)) return ProblemOf(ErrorOf(rule));
  const json answer = {{"id", rules.Add(ValueOf(rule))}};
  return {201, "application/json", {}, answer.dump()};
}

HttpResponse OnRule(RuleBook& rules, const HttpRequest& request, std::string_view id_text) {
  std::uint64_t id = 0;
  std::from_chars(id_text.data(), id_text.data() + id_text.size(), id);
  if (request.method != "DELETE") {
    return ProblemOf({ErrorKind::kMethodNotAllowed, "DELETE is offered"});
  }
  if (!rules.Remove(id)) return ProblemOf({ErrorKind::kNotFound, "there is no such rule"});
  return {204, "application/json", {}, ""};
}

HttpResponse Answer(RuleBook& rules, const HttpRequest& request) {
  constexpr std::string_view kOne = "/rules/";
  if (request.path == "/rules") return OnRules(rules, request);
  if (request.path.starts_with(kOne)) {
    return OnRule(rules, request, std::string_view(request.path).substr(kOne.size()));
  }
  return ProblemOf({ErrorKind::kNotFound, "there is only /rules"});
}

int Fail(const Error& error) {
  std::cerr << error.detail << "\n";
  return ErrorInfoOf(error.kind).exit_code;
}

int Serve(const ProxySettings& settings) {
  Loop loop;
  RuleBook rules(settings.seed);
  const auto admin =
      HttpServer::Listen(loop, settings.admin,
                         [&](const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
                           reply->Send(Answer(rules, request));
                         });
  if (!IsOk(admin)) return Fail(ErrorOf(admin));
  std::vector<std::unique_ptr<Link>> links;
  json listening = {{"admin", ToString(ValueOf(admin)->address())}, {"links", json::array()}};
  for (const LinkSettings& link : settings.links) {
    auto opened = link.udp ? OpenUdpLink(loop, rules, links.size(), link)
                           : OpenTcpLink(loop, rules, links.size(), link);
    if (!IsOk(opened)) return Fail(ErrorOf(opened));
    links.push_back(std::move(ValueOf(opened)));
    listening["links"].push_back(ToString(links.back()->address()));
  }
  std::cout << listening.dump() << std::endl;  // one line, once it is ready
  loop.OnTerminate([&] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace figmill::faultproxy

int main(int argc, char** argv) {
  figmill::faultproxy::ProxySettings settings;
  CLI::App app("figmill-fault-proxy: brings about the network's faults", "figmill-fault-proxy");
  figmill::faultproxy::AddOptions(app, settings);
  try {
    app.parse(argc, argv);
    figmill::faultproxy::CheckLinks(settings);
  } catch (const CLI::ParseError& failure) {
    return app.exit(failure) == 0 ? 0 : 2;
  }
  return figmill::faultproxy::Serve(settings);
}
