#include "gateway/relayed_tables.h"

#include <algorithm>

#include "gateway/feed_relay.h"

namespace figmill {
namespace {

constexpr int kOk = 200;

Result<TableChanges> ChangesIn(std::string_view table, const Result<HttpResponse>& response) {
  if (!IsOk(response)) return ErrorOf(response);
  if (ValueOf(response).status != kOk) {
    return Error{ErrorKind::kStoreUnavailable, ValueOf(response).body};
  }
  return DecodeChanges(table, ValueOf(response).body);
}

}  // namespace

RelayedTables::RelayedTables(SharedTables& store, NoRetryHttpClient& client, Metrics& metrics,
                             TrafficMetrics& traffic)
    : store_(store),
      client_(client),
      traffic_(traffic),
      relayed_(metrics.counter("figmill_feed_polls_relayed_total",
                               "Polls for changes that a relay has answered")),
      failed_(metrics.counter("figmill_feed_relays_failed_total",
                              "Polls that a relay has not answered in time, or refused")) {}

void RelayedTables::Follow(std::string table, RowVersion after, Duration wait,
                           std::function<void(FeedOutcome)> done) {
  const std::optional<Address> relay = selector_.Choose(Loop::Now());
  if (!relay) return store_.Follow(std::move(table), after, wait, std::move(done));
  const Duration relay_wait = std::min(wait, kRelayWait);
  HttpCall call;
  call.to = *relay;
  call.target = FeedRelay::TargetOf({table, after, relay_wait});
  call.connect_timeout = kConnectTimeout;
  call.total_timeout = relay_wait + kRelayMargin;
  call.bytes = &traffic_.CounterFor(TrafficKind::kFeed, Reach::kSameCentre);
  client_.Fetch(std::move(call),
                [this, relay = *relay, table = std::move(table), after, wait,
                 done = std::move(done)](const Result<HttpResponse>& response) mutable {
                  Result<TableChanges> changes = ChangesIn(table, response);
                  if (IsOk(changes)) {
                    relayed_.Add();
                    return done(std::move(ValueOf(changes)));
                  }
                  failed_.Add();
                  selector_.RecordFailure(relay, Loop::Now());
                  Log(LogLevel::kInfo, "feed_relay_failed",
                      {{"relay", ToString(relay)},
                       {"table", table},
                       {"after", std::to_string(after)},
                       {"why", ErrorOf(changes).detail}});
                  store_.Follow(std::move(table), after, wait, std::move(done));
                });
}

}  // namespace figmill
