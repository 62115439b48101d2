#include "bench/online_load.h"

#include <nlohmann/json.hpp>

namespace figmill::bench {
namespace {

constexpr std::string_view kDone = "data: [DONE]";
constexpr Duration kRequestTimeout{120'000'000};

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

// A prompt that shares its beginning with a few others, as notes of one team do.
std::string Prompt(std::uint64_t serial, int words) {
  std::string prompt = "Field note of team " + std::to_string(serial % 8) + ":";
  for (int i = 0; i < words; ++i) {
    const std::uint64_t of_note = i < words / 2 ? serial % 8 : serial;
    prompt += " w" + std::to_string((of_note * 31 + static_cast<std::uint64_t>(i) * 7) % 997);
  }
  return prompt;
}

}  // namespace

struct OnlineLoad::Request {
  Time sent{};
  Time last_token{};
  int status = 0;
  std::uint64_t tokens = 0;
  bool done_marker = false;
  std::string line;
};

OnlineLoad::OnlineLoad(Loop& loop, HttpClient& client, OnlineShape shape, std::uint64_t seed)
    : loop_(loop), client_(client), shape_(std::move(shape)), random_(seed) {}

void OnlineLoad::Start(double rate_factor) {
  rate_ = shape_.requests_per_second * rate_factor;
  next_ = Loop::Now();
  if (rate_ > 0) ScheduleNext();
}

void OnlineLoad::Stop() {
  rate_ = 0;
  timer_.Reset();
}

OnlineReport OnlineLoad::Take() {
  return std::exchange(report_, {});
}

// Arrivals keep to their own schedule: a late timer is caught up with.
void OnlineLoad::ScheduleNext() {
  std::exponential_distribution<double> gap(rate_);
  next_ += Duration(static_cast<std::int64_t>(gap(random_) * 1e6));
  const Duration wait = std::max(Duration{0}, next_ - Loop::Now());
  timer_ = loop_.After(wait, [this] {
    Send();
    if (rate_ > 0) ScheduleNext();
  });
}

void OnlineLoad::Send() {
  const std::uint64_t serial = serial_++;
  const nlohmann::json body = {{"model", shape_.model},
                               {"prompt", Prompt(serial, shape_.prompt_words)},
                               {"max_tokens", shape_.answer_tokens},
                               {"stream", true}};
  HttpCall call;
  call.method = "POST";
  call.to = shape_.targets[serial % shape_.targets.size()];
  call.target = "/v1/completions";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = body.dump();
  call.total_timeout = kRequestTimeout;
  auto request = std::make_shared<Request>();
  request->sent = Loop::Now();
  ++running_;
  ++report_.sent;
  client_.Start(std::move(call),
                [this, request](HttpEvent event) { OnEvent(request, std::move(event)); });
}

void OnlineLoad::OnBytes(Request& request, std::string_view bytes) {
  if (request.status != 200) return;
  const Time now = Loop::Now();
  for (const char c : bytes) {
    if (c != '\n') {
      if (request.line.size() < kDone.size()) request.line.push_back(c);
      continue;
    }
    if (request.line == kDone) {
      request.done_marker = true;
    } else if (request.line.starts_with("data:")) {
      if (request.tokens++ == 0) {
        report_.first_token_ms.Add(Milliseconds(now - request.sent));
      } else {
        report_.gap_ms.Add(Milliseconds(now - request.last_token));
      }
      request.last_token = now;
    }
    request.line.clear();
  }
}

void OnlineLoad::OnEvent(const std::shared_ptr<Request>& request, HttpEvent event) {
  if (const auto* head = std::get_if<HttpHead>(&event)) request->status = head->status;
  if (const auto* bytes = std::get_if<HttpBytes>(&event)) OnBytes(*request, bytes->bytes);
  const bool ended = std::holds_alternative<HttpEnd>(event);
  if (!ended && !std::holds_alternative<HttpFailure>(event)) return;
  --running_;
  report_.tokens += request->tokens;
  if (ended && request->status == 200 && request->done_marker) {
    ++report_.whole;
  } else if (ended && request->status != 200) {
    ++report_.refused;
  } else {
    ++report_.broken;
  }
}

}  // namespace figmill::bench
