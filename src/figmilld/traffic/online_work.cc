#include "figmilld/traffic/online_work.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "figmill/documents.h"

namespace figmill {
namespace {

using nlohmann::json;

constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kDefaultTeam = "default";
// Engines cache whole blocks of a prompt's start; what differs later doesn't
// change which engine holds them.
constexpr std::size_t kPrefixBytes = 256;
// For sizing, when the caller sets no bound.
constexpr double kAssumedTokens = 256;
constexpr std::int64_t kLongestDeadlineMs = 86'400'000;  // a day

Error Bad(std::string detail) {
  return Error{ErrorKind::kBadRequest, std::move(detail)};
}

// Reads the headers that callers may set; the rest of `work` is there already.
Result<Ok> ReadHeaders(const HttpRequest& request, OnlineWork& work, Time now) {
  const std::string_view deadline = request.HeaderOr("Figmill-Deadline-Ms");
  if (!deadline.empty()) {
    std::int64_t ms = 0;
    const auto [end, failure] =
        std::from_chars(deadline.data(), deadline.data() + deadline.size(), ms);
    const bool whole = failure == std::errc{} && end == deadline.data() + deadline.size();
    if (!whole || ms <= 0 || ms > kLongestDeadlineMs) {
      return Bad("Figmill-Deadline-Ms must be a whole number of milliseconds, 1 to 86400000");
    }
    work.plan.deadline = now + std::chrono::milliseconds(ms);
  }
  const std::string_view repeatable = request.HeaderOr("Figmill-Repeatable", "true");
  if (repeatable != "true" && repeatable != "false") {
    return Bad("Figmill-Repeatable must be true or false");
  }
  if (repeatable == "false") work.plan.repeatable = false;
  Result<std::string> team =
      ParseId(request.HeaderOr("Figmill-Team", kDefaultTeam), "Figmill-Team");
  if (!IsOk(team)) return ErrorOf(team);
  work.team.value = std::move(ValueOf(team));
  work.parent = ParseTraceparent(request.HeaderOr("traceparent"));
  return Ok{};
}

bool IsServed(const RoutingSnapshot& snapshot, const ServiceName& service) {
  const auto names_it = [&](const std::vector<ServiceName>& serves) {
    return std::find(serves.begin(), serves.end(), service) != serves.end();
  };
  const bool by_member = std::any_of(snapshot.members.begin(), snapshot.members.end(),
                                     [&](const Member& member) { return names_it(member.serves); });
  return by_member ||
         (snapshot.config != nullptr &&
          std::any_of(snapshot.config->backends.begin(), snapshot.config->backends.end(),
                      [&](const auto& backend) { return names_it(backend.second.serves); }));
}

// The stricter of the service's word and the route's.
bool MayRepeat(const ServiceConfig& service, std::string_view path) {
  return service.repeatable &&
         std::none_of(service.routes.begin(), service.routes.end(), [path](const RouteRule& rule) {
           return !rule.repeatable && path.starts_with(rule.path_prefix);
         });
}

Result<OnlineWork> Begin(const HttpRequest& request, std::string_view service_name,
                         std::string path, ServiceKind kind, const RoutingSnapshot& snapshot,
                         Time now, const RandomBits& random) {
  const Result<std::string> name = ParseId(service_name, "the service's name");
  if (!IsOk(name)) return ErrorOf(name);
  OnlineWork work;
  work.plan.service.value = ValueOf(name);
  ServiceConfig service;
  service.kind = kind;
  const Config* config = snapshot.config.get();
  if (config != nullptr && config->services.contains(work.plan.service)) {
    service = config->services.at(work.plan.service);
  } else if (!IsServed(snapshot, work.plan.service)) {
    return Error{ErrorKind::kUnknownService, "there is no service '" + ValueOf(name) + "'"};
  }
  work.plan.request.value = GenerateToken(random).value;
  work.plan.repeatable = MayRepeat(service, path);
  work.plan.can_resume = service.kind == ServiceKind::kModel;
  work.plan.deadline = now + service.default_deadline;
  const Result<Ok> headers = ReadHeaders(request, work, now);
  if (!IsOk(headers)) return ErrorOf(headers);
  work.dispatch.service = work.plan.service;
  work.dispatch.method = request.method;
  work.dispatch.path = std::move(path);
  work.dispatch.content_type = request.HeaderOr("Content-Type", "application/json");
  work.dispatch.repeatable = work.plan.repeatable;
  work.dispatch.orders = snapshot.sequence;
  return work;
}

std::uint64_t MaxTokens(const json& body) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto found = body.find(name);
    if (found != body.end() && found->is_number_unsigned()) return found->get<std::uint64_t>();
  }
  return 0;
}

std::string PromptPrefix(const json& body) {
  std::string prefix;
  if (const auto prompt = body.find("prompt"); prompt != body.end() && prompt->is_string()) {
    prefix = prompt->get_ref<const std::string&>().substr(0, kPrefixBytes);
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) return prefix;
  for (const json& message : *messages) {
    if (prefix.size() >= kPrefixBytes || !message.is_object()) break;
    const auto content = message.find("content");
    if (content != message.end() && content->is_string()) {
      prefix += content->get_ref<const std::string&>().substr(0, kPrefixBytes - prefix.size());
    }
  }
  return prefix;
}

}  // namespace

Result<OnlineWork> ParseCompletion(const HttpRequest& request, const RoutingSnapshot& snapshot,
                                   Time now, const RandomBits& random) {
  const json body = ParseJson(request.body);
  if (!body.is_object()) return Bad("the body must be a JSON object");
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Bad("the body must name a model, which is the service to call");
  }
  Result<OnlineWork> begun = Begin(request, model->get_ref<const std::string&>(), request.path,
                                   ServiceKind::kModel, snapshot, now, random);
  if (!IsOk(begun)) return begun;
  OnlineWork& work = ValueOf(begun);
  work.dispatch.tokens = MaxTokens(body);
  work.plan.tokens =
      work.dispatch.tokens > 0 ? static_cast<double>(work.dispatch.tokens) : kAssumedTokens;
  work.plan.prefix = PromptPrefix(body);
  const auto stream = body.find("stream");
  const bool has_stream = stream != body.end() && !stream->is_null();
  if (has_stream && !stream->is_boolean()) return Bad("stream must be true or false");
  work.plan.wants_stream = has_stream && stream->get<bool>();
  return begun;
}

Result<OnlineWork> ParseServiceCall(const HttpRequest& request, const RoutingSnapshot& snapshot,
                                    Time now, const RandomBits& random) {
  const std::string_view rest = std::string_view(request.path).substr(kServicesPath.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  std::string path = slash < rest.size() ? std::string(rest.substr(slash)) : "/";
  if (!request.query.empty()) path += "?" + request.query;
  return Begin(request, rest.substr(0, slash), std::move(path), ServiceKind::kPlain, snapshot, now,
               random);
}

}  // namespace figmill
