#include "gateway/version_recorder.h"

#include <utility>

#include "gateway/log_text.h"

namespace figmill {

VersionRecorder::VersionRecorder(Loop& loop, SharedTables& tables, std::string members,
                                 Metrics& metrics, RandomBits random,
                                 std::function<void()> on_change)
    : loop_(loop),
      tables_(tables),
      members_(std::move(members)),
      random_(std::move(random)),
      on_change_(std::move(on_change)),
      refused_rows_(metrics, {"version", "version_row_refused", "row"}),
      follower_(
          loop, tables, VersionHistory::kTable, {""},
          [this](const TableMirror::Change& change) { OnRow(change); }, [this] { OnResponse(); }) {}

void VersionRecorder::Start(std::function<void()> on_started) {
  on_started_ = std::move(on_started);
  upkeep_timer_ = loop_.Every(
      kUpkeepPeriod, [this] { loop_.Later(RandomDelay(kUpkeepPeriod / 2), [this] { Upkeep(); }); });
  follower_.SetMinInterval(kMinFeedInterval);
  follower_.Start();
}

Duration VersionRecorder::RandomDelay(Duration most) {
  return Duration{static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(most.count()))};
}

void VersionRecorder::OnRow(const TableMirror::Change& change) {
  auto history = std::make_shared<VersionHistory>(*history_);
  refused_rows_.Clear(change.at.key);
  if (change.row == nullptr) {
    history->Remove(change.at.key);
  } else if (const Result<Ok> put = history->Put(*change.row); !IsOk(put)) {
    refused_rows_.Refuse(change.at.key, change.row->version, ErrorOf(put).detail);
  }
  history_ = std::move(history);
  changed_ = true;
}

void VersionRecorder::OnResponse() {
  if (loaded() && !history_->started()) BeginHistory();
  if (history_->started() && on_started_) std::exchange(on_started_, nullptr)();
  changed_ |= std::exchange(was_connected_, connected()) != connected();
  if (std::exchange(changed_, false)) on_change_();
}

// --- Start -------------------------------------------------------------------------

// Where no entry has registered yet, no stream has begun before.
void VersionRecorder::BeginHistory() {
  if (std::exchange(beginning_, true)) return;
  loop_.Later(RandomDelay(kWriteSpread), [this] {
    beginning_ = !history_->started();
    if (!beginning_) return;
    tables_.Read({members_, "", {}, {}, 1}, [this](const Result<TablePage>& page) {
      beginning_ = false;
      if (!IsOk(page) || history_->started()) return;
      const bool first_start = ValueOf(page).rows.empty();
      if (!first_start && !ValueOf(page).now) return;
      beginning_ = true;
      WriteStart(first_start ? StoreTime{0} : *ValueOf(page).now);
    });
  });
}

void VersionRecorder::WriteStart(StoreTime since) {
  const TableRow* row = follower_.mirror().Find(VersionHistory::StartKey());
  TableTransaction transaction;
  transaction.conditions.push_back({VersionHistory::StartKey(), row == nullptr ? 0 : row->version});
  transaction.puts.push_back({VersionHistory::StartKey(), VersionHistory::StartValue(since)});
  tables_.Commit(std::move(transaction), [this, since](const TableOutcome& outcome) {
    beginning_ = false;
    const bool written = std::holds_alternative<TableCommitted>(outcome);
    Log(LogLevel::kInfo, "version_history_start",
        {{"since_ms", Milliseconds(since)}, {"written", written ? "yes" : "no"}});
  });
}

// --- Recording ---------------------------------------------------------------------

BackendList VersionRecorder::Admit(const BackendList& listed) {
  std::set<OutputSource> sources;
  std::set<ServiceName> served;  // by versions that are in use
  unrecorded_.clear();
  for (const auto& [id, info] : listed) {
    const OutputSource source{info.service, info.version};
    sources.insert(source);
    if (history_->Serves(source)) {
      Use(source);
    } else {
      unrecorded_.insert(source);
    }
    const bool ready = info.state == BackendState::kReady;
    if (ready && admitted_.contains(source)) served.insert(info.service);
  }
  for (const OutputSource& source : unrecorded_) {
    if (write_failed_ && !served.contains(source.service)) Use(source);
  }
  std::erase_if(admitted_, [&](const OutputSource& source) { return !sources.contains(source); });
  TrackUnlisted(sources);
  ScheduleWrite();
  BackendList admitted;
  for (const auto& [id, info] : listed) {
    if (admitted_.contains({info.service, info.version})) admitted.emplace(id, info);
  }
  return admitted;
}

void VersionRecorder::Use(const OutputSource& source) {
  if (!admitted_.insert(source).second) return;
  Log(LogLevel::kInfo, "version_admitted",
      {{"service", source.service.value},
       {"version", source.version.value},
       {"recorded", history_->Serves(source) ? "yes" : "no"}});
}

void VersionRecorder::TrackUnlisted(const std::set<OutputSource>& listed) {
  std::erase_if(unlisted_since_, [&](const auto& each) { return listed.contains(each.first); });
  for (const OutputSource& source : history_->Serving()) {
    if (!listed.contains(source)) unlisted_since_.try_emplace(source, Loop::Now());
  }
}

std::set<ServiceName> VersionRecorder::incomplete() const {
  std::set<ServiceName> services;
  for (const OutputSource& source : unrecorded_) services.insert(source.service);
  return services;
}

void VersionRecorder::ScheduleWrite() {
  if (!loaded() || unrecorded_.empty() || std::exchange(write_scheduled_, true)) return;
  loop_.Later(RandomDelay(kWriteSpread), [this] { WriteUnrecorded(); });
}

void VersionRecorder::WriteUnrecorded() {
  for (const OutputSource& source : unrecorded_) {
    if (!history_->Serves(source)) Write(source);
  }
  // The feed brings rows that were written within this time.
  loop_.Later(kRetryDelay, [this] {
    write_scheduled_ = false;
    ScheduleWrite();
  });
}

void VersionRecorder::Write(const OutputSource& source) {
  const TableKey key = VersionHistory::RowKey(source);
  const TableRow* row = follower_.mirror().Find(key);
  TableTransaction transaction;
  transaction.conditions.push_back({key, row == nullptr ? 0 : row->version});
  transaction.puts.push_back({key, VersionHistory::RowValue({source, std::nullopt})});
  tables_.Commit(std::move(transaction), [this, source](const TableOutcome& outcome) {
    const bool written = std::holds_alternative<TableCommitted>(outcome);
    // Rejected: another entry has written it.
    const bool failed = !written && !std::holds_alternative<TableRejected>(outcome);
    Log(failed ? LogLevel::kWarning : LogLevel::kInfo,
        failed ? "version_not_recorded" : "version_recorded",
        {{"service", source.service.value},
         {"version", source.version.value},
         {"by", written  ? "self"
                : failed ? "nobody"
                         : "other"}});
    if (std::exchange(write_failed_, failed) != failed) on_change_();
  });
}

// --- Upkeep ------------------------------------------------------------------------

std::set<OutputSource> VersionRecorder::Unlisted(Time now) const {
  std::set<OutputSource> unlisted;
  for (const auto& [source, since] : unlisted_since_) {
    if (now - since >= VersionHistory::kEndDelay) unlisted.insert(source);
  }
  return unlisted;
}

// The table is read first, since the rows' times are those of the store.
void VersionRecorder::Upkeep() {
  if (Unlisted(Loop::Now()).empty() && !history_->has_ended()) return;
  tables_.Read({VersionHistory::kTable}, [this](const Result<TablePage>& page) {
    if (IsOk(page)) ApplyUpkeep(ValueOf(page));
  });
}

void VersionRecorder::ApplyUpkeep(const TablePage& page) {
  if (!page.now) return;
  VersionHistory history;
  for (const TableRow& row : page.rows) static_cast<void>(history.Put(row));
  for (TableTransaction& write : history.Upkeep(Unlisted(Loop::Now()), *page.now)) {
    tables_.Commit(std::move(write), [](const TableOutcome& outcome) {
      if (std::holds_alternative<TableCommitted>(outcome)) return;
      Log(LogLevel::kInfo, "version_upkeep_left",
          {{"why", "the row has changed, or the store did not confirm"}});
    });
  }
}

}  // namespace figmill
