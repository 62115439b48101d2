#include <algorithm>

#include "figmill/runtime.h"
#include "runtime/otlp.h"

namespace figmill {
namespace {

constexpr std::size_t kMaxBufferedSpans = 4096;
constexpr std::size_t kMaxBatchSpans = 512;
constexpr Duration kFlushPeriod{1'000'000};
constexpr Duration kExportTimeout{5'000'000};
constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;

bool IsLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool IsZero(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c == '0'; });
}

std::string FreshDigits() {
  thread_local RandomBits random = SystemRandom();
  return GenerateToken(random).value;
}

int HexDigit(char c) {
  return c <= '9' ? c - '0' : c - 'a' + 10;
}

}  // namespace

// version "-" trace-id "-" parent-id "-" flags. A later version may be longer,
// so only version 00 must end there; version ff is forbidden.
std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  constexpr std::size_t kLength = 2 + 1 + kTraceIdDigits + 1 + kSpanIdDigits + 1 + 2;
  if (header.size() < kLength) return std::nullopt;
  const std::string_view version = header.substr(0, 2);
  const std::string_view trace_id = header.substr(3, kTraceIdDigits);
  const std::string_view span_id = header.substr(4 + kTraceIdDigits, kSpanIdDigits);
  const std::string_view flags = header.substr(kLength - 2, 2);
  if (header[2] != '-' || header[3 + kTraceIdDigits] != '-' || header[kLength - 3] != '-') {
    return std::nullopt;
  }
  if (!IsLowerHex(version) || !IsLowerHex(trace_id) || !IsLowerHex(span_id) || !IsLowerHex(flags)) {
    return std::nullopt;
  }
  if (version == "ff" || IsZero(trace_id) || IsZero(span_id)) return std::nullopt;
  if (header.size() > kLength && (version == "00" || header[kLength] != '-')) return std::nullopt;
  const bool sampled = (HexDigit(flags[1]) & 1) != 0;
  return TraceContext{std::string(trace_id), std::string(span_id), sampled};
}

std::string ToTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id + (context.sampled ? "-01" : "-00");
}

class Tracer::Impl : public std::enable_shared_from_this<Tracer::Impl> {
 public:
  Impl(Loop& loop, HttpClient& client, std::optional<Address> endpoint, std::string service,
       Metrics& metrics)
      : loop_(loop),
        client_(client),
        endpoint_(std::move(endpoint)),
        service_(std::move(service)),
        sent_(metrics.counter("figmill_trace_spans_sent_total", "Spans that the collector took")),
        dropped_(metrics.counter("figmill_trace_spans_dropped_total",
                                 "Spans lost to a full buffer or a failing collector")) {}

  void Start() {
    if (!endpoint_) return;
    flush_ = loop_.Every(kFlushPeriod, [this] { Flush(); });
  }

  void Stop() {
    stopped_ = true;
    flush_.Reset();
    if (cancel_) std::exchange(cancel_, nullptr)();
  }

  void Add(Span span) {
    if (!endpoint_ || !span.context.sampled) return;
    bool batch_full = false;
    {
      const std::scoped_lock lock(mutex_);
      if (buffer_.size() >= kMaxBufferedSpans) {
        dropped_.Add();
        return;
      }
      buffer_.push_back(std::move(span));
      batch_full = buffer_.size() == kMaxBatchSpans;
    }
    if (!batch_full) return;
    loop_.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Flush();
    });
  }

 private:
  std::vector<Span> TakeBatch() {
    const std::scoped_lock lock(mutex_);
    const auto end =
        buffer_.begin() + static_cast<std::ptrdiff_t>(std::min(buffer_.size(), kMaxBatchSpans));
    std::vector<Span> batch(std::make_move_iterator(buffer_.begin()), std::make_move_iterator(end));
    buffer_.erase(buffer_.begin(), end);
    return batch;
  }

  // One batch at a time: a collector that hangs must not pile calls up.
  void Flush() {
    if (sending_ || stopped_) return;
    const std::vector<Span> batch = TakeBatch();
    if (batch.empty()) return;
    HttpCall call;
    call.method = "POST";
    call.to = *endpoint_;
    call.target = "/v1/traces";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = detail::OtlpJson(service_, batch);
    call.total_timeout = kExportTimeout;
    sending_ = true;
    cancel_ = client_.Fetch(std::move(call), [weak = weak_from_this(), size = batch.size()](
                                                 const Result<HttpResponse>& answer) {
      if (const auto self = weak.lock()) self->OnSent(size, answer);
    });
  }

  void OnSent(std::size_t size, const Result<HttpResponse>& answer) {
    sending_ = false;
    cancel_ = nullptr;
    const bool taken = IsOk(answer) && ValueOf(answer).status / 100 == 2;
    (taken ? sent_ : dropped_).Add(size);
    if (taken) Flush();  // what has gathered meanwhile
  }

  Loop& loop_;
  HttpClient& client_;
  std::optional<Address> endpoint_;
  std::string service_;
  Counter& sent_;
  Counter& dropped_;
  Timer flush_;
  bool stopped_ = false;
  bool sending_ = false;
  CancelCall cancel_;
  std::mutex mutex_;
  std::vector<Span> buffer_;
};

Tracer::Tracer(Loop& loop, HttpClient& client, std::optional<Address> endpoint, std::string service,
               Metrics& metrics)
    : impl_(
          std::make_shared<Impl>(loop, client, std::move(endpoint), std::move(service), metrics)) {
  impl_->Start();
}

Tracer::~Tracer() {
  impl_->Stop();
}

Span Tracer::Start(std::string name, const std::optional<TraceContext>& parent) {
  Span span;
  span.name = std::move(name);
  span.start = Loop::WallNow();
  if (parent) {
    span.context = *parent;
    span.parent_span_id = parent->span_id;
  } else {
    span.context.trace_id = FreshDigits();
  }
  span.context.span_id = FreshDigits().substr(0, kSpanIdDigits);
  return span;
}

void Tracer::Finish(Span span) {
  if (span.end == WallTime{}) span.end = Loop::WallNow();
  impl_->Add(std::move(span));
}

}  // namespace figmill
