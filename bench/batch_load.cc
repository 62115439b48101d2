#include "bench/batch_load.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace figmill::bench {
namespace {

constexpr Duration kPollPeriod{500'000};
constexpr Duration kCallTimeout{10'000'000};

}  // namespace

BatchLoad::BatchLoad(Loop& loop, HttpClient& client, BatchShape shape, std::uint64_t seed)
    : loop_(loop),
      client_(client),
      shape_(std::move(shape)),
      prefix_("bench-" + std::to_string(seed) + "-") {}

void BatchLoad::Start() {
  running_ = true;
  TopUp();
  timer_ = loop_.Every(kPollPeriod, [this] { Poll(); });
}

void BatchLoad::Stop(std::function<void()> done) {
  running_ = false;
  timer_.Reset();
  auto left = std::make_shared<std::size_t>(open_.size());
  if (open_.empty()) {
    loop_.Post(std::move(done));
    return;
  }
  for (const std::string& job : std::exchange(open_, {})) {
    HttpCall call;
    call.method = "DELETE";
    call.to = EntryFor(serial_);
    call.target = "/v1/jobs/" + job;
    call.total_timeout = kCallTimeout;
    client_.Fetch(std::move(call), [left, done](const Result<HttpResponse>&) {
      if (--*left == 0) done();
    });
  }
}

const Address& BatchLoad::EntryFor(std::uint64_t serial) const {
  return shape_.entries[serial % shape_.entries.size()];
}

std::string BatchLoad::JobBody(std::uint64_t serial) const {
  std::string body;
  for (int item = 0; item < shape_.items_per_job; ++item) {
    std::string prompt = "Seasonal report " + std::to_string(serial) + ":";
    for (int word = 0; word < shape_.prompt_words; ++word) {
      prompt += " r" + std::to_string((item * 13 + word * 5) % 991);
    }
    const nlohmann::json line = {
        {"custom_id", "i" + std::to_string(item)},
        {"url", "/v1/completions"},
        {"body",
         {{"model", shape_.model}, {"prompt", prompt}, {"max_tokens", shape_.answer_tokens}}}};
    body += line.dump() + "\n";
  }
  return body;
}

void BatchLoad::TopUp() {
  while (running_ && static_cast<int>(open_.size()) < shape_.open_jobs) {
    const std::string job = prefix_ + std::to_string(serial_);
    open_.insert(job);
    Put(job);
    ++serial_;
  }
}

void BatchLoad::Put(const std::string& job) {
  HttpCall call;
  call.method = "PUT";
  call.to = EntryFor(serial_);
  call.target = "/v1/jobs/" + job + "?team=bench";
  call.headers = {{"Content-Type", "application/x-ndjson"}};
  call.body = JobBody(serial_);
  call.total_timeout = kCallTimeout;
  client_.Fetch(std::move(call), [this, job](const Result<HttpResponse>& result) {
    const bool ok = IsOk(result) && ValueOf(result).status < 300;
    if (ok) {
      ++accepted_;
    } else {
      ++refused_;
      open_.erase(job);
    }
  });
}

void BatchLoad::Poll() {
  for (const std::string& job : open_) Ask(job);
  TopUp();
}

void BatchLoad::Ask(const std::string& job) {
  HttpCall call;
  call.to = EntryFor(serial_);
  call.target = "/v1/jobs/" + job;
  call.total_timeout = kCallTimeout;
  client_.Fetch(std::move(call), [this, job](const Result<HttpResponse>& result) {
    if (!IsOk(result)) return;
    const auto state = nlohmann::json::parse(ValueOf(result).body, nullptr, false);
    if (!state.is_object()) return;
    const std::string name = state.value("state", "");
    if (name != "done" && name != "cancelled") return;
    open_.erase(job);
    TopUp();
  });
}

}  // namespace figmill::bench
