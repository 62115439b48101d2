// What an entry does for items that nobody else cares for: accepted ones whose
// owner is gone, and rows whose time has passed.

#include "figmilld/traffic/entry_once.h"
#include "figmilld/traffic/stored_request.h"

namespace figmill {
namespace {

constexpr Duration kCarePeriod{2'000'000};
constexpr Duration kClockPeriod{600'000'000};
constexpr Duration kSweepPause{60'000'000};
constexpr Duration kSweepPage{100'000};
constexpr std::uint32_t kCarePage = 500;

}  // namespace

void EntryOnce::StartCare() {
  care_timer_ = loop_.Every(kCarePeriod, [this] { Care(); });
  clock_timer_ = loop_.Every(kClockPeriod, [this] { ReadClock(); });
  sweep_timer_ = loop_.After(kSweepPause, [this] { Sweep(); });
  ReadClock();
}

// --- Accepted items ----------------------------------------------------------------------

void EntryOnce::Care() {
  DropFinished();
  if (!view_.runs_recovery()) return;
  tools_.table.Scan({std::string(kOpenItemMarkerPrefix), care_after_, kCarePage},
                    [this](const Result<std::vector<Row>>& page) {
                      if (!IsOk(page)) return;
                      const std::vector<Row>& rows = ValueOf(page);
                      care_after_ = rows.size() < kCarePage ? std::string() : rows.back().key;
                      for (const Row& row : rows) {
                        const Result<OpenItemMarker> open = ParseOpenItemMarker(row);
                        if (IsOk(open)) CareFor(ValueOf(open));
                      }
                    });
}

void EntryOnce::CareFor(const OpenItemMarker& open) {
  if (open.owner == self_ || !view_.is_dead_or_replaced(open.owner) ||
      owned_.contains(open.key.value))
    return;
  owned_.insert(open.key.value);
  tools_.table.Read(OnceRowKey(open.key),
                    [this, key = open.key](const Result<std::optional<Row>>& read) {
                      owned_.erase(key.value);
                      if (!IsOk(read) || !ValueOf(read)) return;
                      const Row& row = *ValueOf(read);
                      const Result<OnceRow> once = ParseOnceRow(row.value);
                      if (IsOk(once)) TakeOver(key, ValueOf(once), row.version);
                    });
}

void EntryOnce::TakeOver(const ItemKey& key, const OnceRow& row, RowVersion version) {
  const bool open = row.phase == OncePhase::kQueued || row.phase == OncePhase::kClaimed;
  if (!open || !view_.is_dead_or_replaced(row.sender)) return;
  owned_.insert(key.value);
  const OnceWrite write = TakeOverWrite(key, row, version, self_, tools_.random);
  WriteUntilKnown(write, [this, key, value = write.value](const OnceWriteResult& fate) {
    const auto* committed = std::get_if<OnceCommitted>(&fate);
    if (committed == nullptr) {
      owned_.erase(key.value);
      return;
    }
    Adopt(key, ValueOf(ParseOnceRow(value)), committed->version);
  });
}

// Fetches the request of an item that this process owns, and starts it.
void EntryOnce::Adopt(const ItemKey& key, const OnceRow& row, RowVersion version) {
  tools_.objects.Get(row.request_object, [this, key, row, version](Result<std::string> bytes) {
    Result<HttpRequest> request =
        IsOk(bytes) ? ParseStoredRequest(ValueOf(bytes)) : Result<HttpRequest>(ErrorOf(bytes));
    if (!IsOk(request)) {
      Log(LogLevel::kWarning, "once-adopt-failed",
          {{"key", key.value}, {"detail", ErrorOf(request).detail}});
      const std::size_t id = next_retry_++;
      retries_[id] = loop_.After(kCarePeriod, [this, id, key, row, version] {
        Adopt(key, row, version);
        retries_.erase(id);
      });
      return;
    }
    once::Spec spec;
    spec.key = key;
    spec.content = row.content;
    spec.team = row.team;
    spec.repeatable = row.repeatable;
    spec.self = self_;
    spec.retention_tick = sweep_.tick();
    StartAccepted(spec, {row, version}, std::move(ValueOf(request)));
  });
}

// --- Retention -----------------------------------------------------------------------------

void EntryOnce::ReadClock() {
  tools_.table.Read(std::string(kRetentionClockKey),
                    [this](const Result<std::optional<Row>>& read) {
                      if (IsOk(read)) Act(sweep_.OnClock(ValueOf(read), Loop::Now()));
                    });
}

void EntryOnce::Sweep() {
  if (view_.runs_recovery()) Act(sweep_.NextPage());
  sweep_timer_ = loop_.After(sweep_.under_way() ? kSweepPage : kSweepPause, [this] { Sweep(); });
}

void EntryOnce::Act(const std::vector<RetentionSweep::Action>& actions) {
  for (const RetentionSweep::Action& action : actions) {
    std::visit(Overloaded{
                   [this](const RetentionSweep::ReadClock&) { ReadClock(); },
                   [this](const RetentionSweep::Scan& scan) {
                     tools_.table.Scan(scan.range, [this](const Result<std::vector<Row>>& rows) {
                       if (IsOk(rows)) Act(sweep_.OnPage(ValueOf(rows)));
                     });
                   },
                   // Its fate doesn't matter: the next sweep sees what is left.
                   [this](const RetentionSweep::Commit& commit) {
                     tools_.table.Commit(commit.transaction, [](const TransactionOutcome&) {});
                   },
                   [this](const RetentionSweep::DeleteObject& object) {
                     tools_.objects.Delete(object.key, [](const Result<Ok>&) {});
                   },
               },
               action);
  }
}

}  // namespace figmill
