#include "figmill/version_history.h"

#include <array>
#include <utility>

#include "figmill/json_fields.h"

namespace figmill {
namespace {

using fields::Json;

constexpr std::string_view kVersionPrefix = "version/";
constexpr std::string_view kStart = "start";

std::string Milliseconds(StoreTime time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

Result<StoreTime> ParseStart(const std::string& value) {
  return fields::Parsed<StoreTime>(value, "the start of the history", [](const Json& json) {
    return Result<StoreTime>(fields::Milliseconds(json, "since_ms"));
  });
}

}  // namespace

TableKey VersionHistory::RowKey(const OutputSource& source) {
  // A digest, since both names together may be longer than a key.
  const std::array<std::string_view, 2> names{source.service.value, source.version.value};
  return {kTable, "", std::string(kVersionPrefix) + ContentDigest(names)};
}

std::string VersionHistory::RowValue(const ServedVersion& version) {
  Json json{{"service", version.source.service.value}, {"version", version.source.version.value}};
  if (version.ended_at) {
    json["ended_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(*version.ended_at).count();
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

TableKey VersionHistory::StartKey() {
  return {kTable, "", std::string(kStart)};
}

std::string VersionHistory::StartValue(StoreTime since) {
  return "{\"since_ms\":" + Milliseconds(since) + "}";
}

Result<ServedVersion> ParseServedVersion(const TableRow& row) {
  return fields::Parsed<ServedVersion>(
      row.value, "the row of a version", [&row](const Json& json) -> Result<ServedVersion> {
        ServedVersion version;
        version.source.service.value = fields::Name(json, "service");
        version.source.version.value = fields::Text(json, "version");
        if (fields::Has(json, "ended_ms")) {
          version.ended_at = fields::Milliseconds(json, "ended_ms");
        }
        if (VersionHistory::RowKey(version.source).key != row.at.key) {
          return Error{ErrorKind::kBadRequest, "the version in the row differs from the row's key"};
        }
        return version;
      });
}

Result<Ok> VersionHistory::Put(const TableRow& row) {
  Remove(row.at.key);
  if (row.at.key == kStart) {
    const Result<StoreTime> since = ParseStart(row.value);
    if (!IsOk(since)) return ErrorOf(since);
    since_ = ValueOf(since);
    return Ok{};
  }
  const Result<ServedVersion> version = ParseServedVersion(row);
  if (!IsOk(version)) {
    unreadable_.insert(row.at.key);
    return ErrorOf(version);
  }
  const auto& [source, ended_at] = ValueOf(version);
  versions_[source] = {ended_at, row.version};
  sources_[row.at.key] = source;
  return Ok{};
}

void VersionHistory::Remove(const std::string& key) {
  if (key == kStart) since_.reset();
  unreadable_.erase(key);
  const auto found = sources_.find(key);
  if (found == sources_.end()) return;
  versions_.erase(found->second);
  sources_.erase(found);
}

bool VersionHistory::Serves(const OutputSource& source) const {
  const auto found = versions_.find(source);
  return found != versions_.end() && !found->second.ended_at;
}

std::optional<SoftwareVersion> VersionHistory::Only(const ServiceName& service,
                                                    StoreTime now) const {
  if (!since_ || !unreadable_.empty()) return std::nullopt;
  const bool complete = *since_ == StoreTime{0} || now - *since_ >= kRetention;
  const auto first = versions_.lower_bound({service, {}});
  if (!complete || first == versions_.end() || first->first.service != service) return std::nullopt;
  const auto second = std::next(first);
  if (second != versions_.end() && second->first.service == service) return std::nullopt;
  return first->first.version;
}

std::vector<TableTransaction> VersionHistory::Upkeep(const std::set<OutputSource>& unlisted,
                                                     StoreTime now) const {
  std::vector<TableTransaction> writes;
  for (const auto& [source, entry] : versions_) {
    TableTransaction write;
    write.conditions.push_back({RowKey(source), entry.row_version});
    if (!entry.ended_at && unlisted.contains(source)) {
      write.puts.push_back({RowKey(source), RowValue({source, now})});
    } else if (entry.ended_at && now - *entry.ended_at >= kRetention) {
      write.removes.push_back(RowKey(source));
    } else {
      continue;
    }
    writes.push_back(std::move(write));
  }
  return writes;
}

std::vector<OutputSource> VersionHistory::Serving() const {
  std::vector<OutputSource> serving;
  for (const auto& [source, entry] : versions_) {
    if (!entry.ended_at) serving.push_back(source);
  }
  return serving;
}

bool VersionHistory::has_ended() const {
  for (const auto& [source, entry] : versions_) {
    if (entry.ended_at) return true;
  }
  return false;
}

}  // namespace figmill
