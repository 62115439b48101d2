#include "figmilld/traffic/served_models.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "figmill/documents.h"

namespace figmill {
namespace {

constexpr Duration kAskPeriod{1'000'000};

// Names out of "name@version".
std::vector<ServiceName> Models(std::string_view state) {
  std::vector<ServiceName> names;
  const auto body = ParseJson(state);
  if (!body.is_object()) return names;
  for (const auto& model : body.value("models", nlohmann::json::array())) {
    if (!model.is_string()) continue;
    const std::string text = model.get<std::string>();
    names.push_back({text.substr(0, text.find('@'))});
  }
  return names;
}

}  // namespace

ServedModels::ServedModels(Loop& loop, HttpClient& client, const AgentSettings& settings)
    : client_(client), backend_(settings.backend) {
  if (settings.backend_kind == BackendKind::kPlain) {
    services_.push_back(settings.service);
    return;
  }
  timer_ = loop.Every(kAskPeriod, [this] { Ask(); });
  Ask();
}

void ServedModels::Ask() {
  HttpCall call;
  call.to = backend_;
  call.target = "/engine/state";
  call.total_timeout = kAskPeriod;
  client_.Fetch(std::move(call), [this](const Result<HttpResponse>& state) {
    if (IsOk(state) && ValueOf(state).status == 200) services_ = Models(ValueOf(state).body);
  });
}

}  // namespace figmill
