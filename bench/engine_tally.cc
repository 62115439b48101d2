#include "bench/engine_tally.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace figmill::bench {
namespace {

constexpr Duration kCallTimeout{20'000'000};

struct Gathering {
  Tally tally;
  std::size_t left = 0;
  std::optional<Error> failed;
  std::function<void(Result<Tally>)> done;
};

void AddLine(std::string_view line, Tally& tally) {
  const auto run = nlohmann::json::parse(line, nullptr, false);
  if (!run.is_object()) return;
  const std::string key = run.value("item_key", "");
  const auto tokens = run.value("tokens", std::uint64_t{0});
  const bool batch = key.find('/') != std::string::npos;
  (batch ? tally.batch_tokens : tally.online_tokens) += tokens;
  ++tally.runs;
}

void AddLines(std::string_view body, Tally& tally) {
  while (!body.empty()) {
    const std::size_t end = body.find('\n');
    AddLine(body.substr(0, end), tally);
    if (end == std::string_view::npos) return;
    body.remove_prefix(end + 1);
  }
}

}  // namespace

void TakeTally(HttpClient& client, const std::vector<Address>& engines,
               std::function<void(Result<Tally>)> done) {
  auto gathering = std::make_shared<Gathering>();
  gathering->left = engines.size();
  gathering->done = std::move(done);
  for (const Address& engine : engines) {
    HttpCall call;
    call.to = engine;
    call.target = "/standin/executions";
    call.total_timeout = kCallTimeout;
    client.Fetch(std::move(call), [gathering](const Result<HttpResponse>& response) {
      if (IsOk(response)) {
        AddLines(ValueOf(response).body, gathering->tally);
      } else {
        gathering->failed = ErrorOf(response);
      }
      if (--gathering->left > 0) return;
      if (gathering->failed) {
        gathering->done(*gathering->failed);
      } else {
        gathering->done(gathering->tally);
      }
    });
  }
}

}  // namespace figmill::bench
