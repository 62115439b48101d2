#include "gateway/feed_relay.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "figmill/encoding.h"

namespace figmill {
namespace {

constexpr std::string_view kPathPrefix = "/feeds/";
constexpr std::string_view kContentType = "application/msgpack";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;

std::optional<std::uint64_t> ParseNumber(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  std::uint64_t number = 0;
  const auto [end, failure] = std::from_chars(text->data(), text->data() + text->size(), number);
  if (failure != std::errc{} || end != text->data() + text->size()) return std::nullopt;
  return number;
}

}  // namespace

FeedRelay::FeedRelay(Loop& loop, SharedTables& tables, std::vector<Table> relayed, Metrics& metrics)
    : loop_(loop),
      tables_(tables),
      relayed_(std::move(relayed)),
      feeds_gauge_(metrics.gauge("figmill_feeds_relayed",
                                 "Tables whose changes this entry relays to other entries")) {}

std::string FeedRelay::TargetOf(const FeedRequest& request) {
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(request.wait).count();
  return std::string(kPathPrefix) + PercentEncoded(request.table) +
         "?after=" + std::to_string(request.after) + "&wait_ms=" + std::to_string(wait_ms);
}

bool FeedRelay::IsFeedRequest(const HttpRequest& request) {
  return request.path.starts_with(kPathPrefix);
}

Result<FeedRequest> FeedRelay::ParseRequest(const HttpRequest& request) {
  FeedRequest feed;
  feed.table = request.path.substr(kPathPrefix.size());
  const std::optional<std::uint64_t> after = ParseNumber(request.QueryValue("after"));
  const std::optional<std::uint64_t> wait_ms = ParseNumber(request.QueryValue("wait_ms"));
  if (!after || !wait_ms) {
    return Error{ErrorKind::kBadRequest, "'after' and 'wait_ms' must be numbers"};
  }
  feed.after = *after;
  const auto max_ms = std::chrono::duration_cast<std::chrono::milliseconds>(kMaxWait).count();
  feed.wait = std::chrono::milliseconds(
      std::min<std::uint64_t>(*wait_ms, static_cast<std::uint64_t>(max_ms)));
  return feed;
}

void FeedRelay::Refuse(HttpReply& reply, std::string why) {
  reply.Send({kServiceUnavailable, "text/plain", {}, std::move(why)});
}

void FeedRelay::OnRequest(const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
  const Result<FeedRequest> parsed = ParseRequest(request);
  if (!IsOk(parsed)) return reply->Send({kBadRequest, "text/plain", {}, ErrorOf(parsed).detail});
  const FeedRequest& asked = ValueOf(parsed);
  const auto table = std::find_if(relayed_.begin(), relayed_.end(), [&](const Table& each) {
    return PercentEncoded(each.name) == asked.table;
  });
  if (table == relayed_.end()) return Refuse(*reply, "the table is not relayed");
  if (leaving_) return Refuse(*reply, "this entry is shutting down");
  if (waiting_count_ >= kMaxWaiting) return Refuse(*reply, "too many requests wait");
  Feed& feed = FeedOf(*table);
  feed.asked_at = Loop::Now();
  const WaitingPoll poll{asked.after, feed.asked_at + asked.wait, std::move(reply)};
  if (TryAnswer(feed, poll, /*must_answer=*/asked.wait.count() == 0)) return;
  const std::uint64_t number = ++next_poll_;
  poll.reply->OnClosed([this, name = table->name, number] {
    const auto found = feeds_.find(name);
    if (found != feeds_.end()) waiting_count_ -= found->second.waiting.erase(number);
  });
  feed.waiting.emplace(number, poll);
  ++waiting_count_;
}

FeedRelay::Feed& FeedRelay::FeedOf(const Table& table) {
  const auto [at, is_new] = feeds_.try_emplace(table.name);
  Feed& feed = at->second;
  if (!is_new) return feed;
  Log(LogLevel::kInfo, "feed_relay_started", {{"table", table.name}});
  feeds_gauge_.Set(static_cast<double>(feeds_.size()));
  if (feeds_.size() == 1) check_timer_ = loop_.Every(kCheckPeriod, [this] { Check(); });
  feed.follower = std::make_unique<TableFollower>(
      loop_, tables_, table.name, table.parts, [](const TableMirror::Change& /*change*/) {},
      [this, &feed] { AnswerWaiting(feed); });
  feed.follower->SetMinInterval(table.min_interval);
  feed.follower->SetWait(kStoreWait);
  feed.follower->Start();
  return feed;
}

Result<TableChanges> FeedRelay::ChangesFor(const Feed& feed, RowVersion after) {
  const std::optional<Duration> confirmed_at = feed.follower->confirmed_at();
  if (!confirmed_at) return Error{ErrorKind::kStoreUnavailable, "the table is not read yet"};
  const Duration age = Loop::SinceBoot() - *confirmed_at;
  if (age > kMaxAge) return Error{ErrorKind::kStoreUnavailable, "the copy is too old"};
  std::optional<TableChanges> changes = feed.follower->mirror().ChangesSince(after);
  if (!changes) return Error{ErrorKind::kStoreUnavailable, "the changes are not known"};
  changes->age = age;
  return *std::move(changes);
}

void FeedRelay::SendChanges(Feed& feed, const WaitingPoll& poll, TableChanges changes) {
  EncodedChanges& encoded = feed.last_sent;
  const Duration now = Loop::SinceBoot();
  changes.age += EncodedChanges::kLifetime;
  encoded = {poll.after, now, EncodeChanges(changes)};
  poll.reply->Send({kOk, std::string(kContentType), {}, encoded.body});
}

bool FeedRelay::TryAnswer(Feed& feed, const WaitingPoll& poll, bool must_answer) {
  const EncodedChanges& encoded = feed.last_sent;
  const bool reusable = !encoded.body.empty() && encoded.after == poll.after &&
                        Loop::SinceBoot() - encoded.encoded_at < EncodedChanges::kLifetime;
  if (reusable) {
    poll.reply->Send({kOk, std::string(kContentType), {}, encoded.body});
    return true;
  }
  Result<TableChanges> changes = ChangesFor(feed, poll.after);
  if (!IsOk(changes)) {
    // Once the table is listed and followed the changes are known. Sent to the store meanwhile, all
    // entries would list the table there.
    const bool starting = feed.follower->mirror().listing() || !feed.follower->confirmed_at();
    if (starting && !must_answer) return false;
    Refuse(*poll.reply, ErrorOf(changes).detail);
    return true;
  }
  if (ValueOf(changes).rows.empty()) {
    if (!must_answer) return false;
    poll.reply->Send({kOk, std::string(kContentType), {}, EncodeChanges(ValueOf(changes))});
    return true;
  }
  SendChanges(feed, poll, std::move(ValueOf(changes)));
  return true;
}

void FeedRelay::AnswerWaiting(Feed& feed) {
  const Time now = Loop::Now();
  for (auto at = feed.waiting.begin(); at != feed.waiting.end();) {
    if (!TryAnswer(feed, at->second, /*must_answer=*/now >= at->second.until)) {
      ++at;
      continue;
    }
    at = feed.waiting.erase(at);
    --waiting_count_;
  }
}

void FeedRelay::Check() {
  const Time now = Loop::Now();
  for (auto at = feeds_.begin(); at != feeds_.end();) {
    Feed& feed = at->second;
    AnswerWaiting(feed);
    if (now - feed.asked_at < kIdleTimeout) {
      ++at;
      continue;
    }
    Log(LogLevel::kInfo, "feed_relay_stopped", {{"table", at->first}});
    at = feeds_.erase(at);
  }
  feeds_gauge_.Set(static_cast<double>(feeds_.size()));
  if (feeds_.empty()) check_timer_.Reset();
}

void FeedRelay::SetLeaving() {
  leaving_ = true;
  for (auto& [name, feed] : feeds_) {
    for (const auto& [number, poll] : feed.waiting) {
      Refuse(*poll.reply, "this entry is shutting down");
    }
    feed.waiting.clear();
  }
  waiting_count_ = 0;
}

}  // namespace figmill
