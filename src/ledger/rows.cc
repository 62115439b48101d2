#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "figmill/documents.h"
#include "figmill/json_fields.h"
#include "figmill/ledger.h"

namespace figmill::ledger {
namespace {

using fields::Json;

// Nesting levels of arrays and maps: the list of items, an item, its headers, one header.
constexpr std::size_t kMaxDepth = 4;
// Number of digits in row keys.
constexpr std::size_t kPositionDigits = 8;
constexpr std::size_t kPieceDigits = 4;

std::string ToBytes(const Json& json) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

Json Binary(std::string_view bytes) {
  return Json::binary({bytes.begin(), bytes.end()});
}

std::string BytesOf(const Json& json) {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

template <typename T, typename Read>
Result<T> Decoded(std::string_view bytes, std::string_view what, Read read) {
  try {
    return read(ParseCborOrThrow(bytes, kMaxDepth));
  } catch (const std::exception& error) {
    return fields::BadRequest(what, error.what());
  }
}

std::string ItemRowKey(const JobId& job, std::size_t piece) {
  return fmt::format("{}/{:04}", job.value, piece);
}

std::string ResultRowKey(const JobId& job, std::uint32_t position, std::size_t piece) {
  return fmt::format("{}/{:08}.{:04}", job.value, position, piece);
}

std::vector<std::string_view> PiecesOf(std::string_view bytes) {
  std::vector<std::string_view> pieces;
  do {
    pieces.push_back(bytes.substr(0, kPieceBytes));
    bytes.remove_prefix(pieces.back().size());
  } while (!bytes.empty());
  return pieces;
}

Json ToJson(const JobItem& item) {
  Json headers = Json::array();
  for (const Header& header : item.headers) headers.push_back({header.name, header.value});
  return {item.id, item.target, std::move(headers), Binary(item.body), item.tokens};
}

// An element of a list that must have exactly `size` elements.
const Json& At(const Json& list, std::size_t index, std::size_t size) {
  if (!list.is_array() || list.size() != size) {
    throw fields::BadDocument("expected a list of " + std::to_string(size) + " elements");
  }
  return list[index];
}

std::vector<Header> ReadHeaders(const Json& json) {
  std::vector<Header> headers;
  for (const Json& header : json) {
    headers.push_back(
        {fields::TextOf(At(header, 0, 2), "header"), fields::TextOf(At(header, 1, 2), "header")});
  }
  return headers;
}

JobItem ReadItem(const Json& json) {
  constexpr std::size_t kSize = 5;
  JobItem item;
  item.id = fields::TextOf(At(json, 0, kSize), "item");
  item.target = fields::TextOf(At(json, 1, kSize), "target");
  item.headers = ReadHeaders(At(json, 2, kSize));
  item.body = BytesOf(At(json, 3, kSize));
  item.tokens = fields::CountOf<std::int64_t>(At(json, 4, kSize), "tokens");
  return item;
}

StoreTime ReadTime(const Json& json, const char* name) {
  return StoreTime(fields::Count<std::int64_t>(json, name, 0, fields::kMaxTime.count()));
}

// `done` must have one character per item, and `stored_results` must be the number of stored
// results in it. Otherwise code would read past the end of `done`, or overwrite stored results.
void CheckDone(const JobRecord& record) {
  if (record.done.size() != record.total) throw fields::BadDocument("'done' has the wrong length");
  if (record.done.find_first_not_of("x.") != std::string::npos) {
    throw fields::BadDocument("'done' has an unknown character");
  }
  if (std::count(record.done.begin(), record.done.end(), 'x') != record.stored_results) {
    throw fields::BadDocument("'listed' does not match 'done'");
  }
}

JobRecord ReadRecord(const Json& json) {
  JobRecord record;
  record.id.value = fields::Name(json, "id");
  record.route = fields::Text(json, "route");
  record.host = fields::Text(json, "host");
  if (fields::Find(json, "team") != nullptr) record.team.value = fields::Name(json, "team");
  record.total = fields::Count<std::uint32_t>(json, "total");
  record.stored_results = fields::Count<std::uint32_t>(json, "listed");
  record.done = fields::Text(json, "done");
  record.owner.value = fields::Text(json, "owner");
  record.owner_incarnation = fields::Count<Incarnation>(json, "incarnation");
  record.ended = fields::Flag(json, "ended");
  record.submitted = ReadTime(json, "submitted");
  record.due = ReadTime(json, "due");
  record.expires = ReadTime(json, "expires");
  record.digest = fields::Count<std::uint64_t>(json, "digest");
  record.config_version = fields::CountOr<std::uint64_t>(json, "config", 0);
  record.token.value = fields::Text(json, "token");
  CheckDone(record);
  return record;
}

std::optional<std::uint32_t> NumberOf(std::string_view digits, std::size_t size) {
  std::uint32_t number = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, failure] = std::from_chars(digits.data(), end, number);
  if (digits.size() != size || failure != std::errc{} || stop != end) return std::nullopt;
  return number;
}

// The piece number from the key of an item row, "JOB/PIECE".
std::optional<std::uint32_t> PieceOf(const JobId& job, std::string_view key) {
  if (!key.starts_with(job.value + "/")) return std::nullopt;
  return NumberOf(key.substr(job.value.size() + 1), kPieceDigits);
}

struct Place {
  std::uint32_t position = 0;
  std::uint32_t piece = 0;
  bool operator==(const Place&) const = default;
};

// Position and piece from the key of a result or progress row, "JOB/POSITION.PIECE".
std::optional<Place> PlaceOf(const JobId& job, std::string_view key) {
  if (!key.starts_with(job.value + "/")) return std::nullopt;
  const std::string_view rest = key.substr(job.value.size() + 1);
  const std::size_t dot = rest.find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const auto position = NumberOf(rest.substr(0, dot), kPositionDigits);
  const auto piece = NumberOf(rest.substr(dot + 1), kPieceDigits);
  if (!position || !piece) return std::nullopt;
  return Place{*position, *piece};
}

Result<ItemResult> ResultOf(std::string_view bytes) {
  return Decoded<ItemResult>(bytes, "result", [](const Json& json) {
    constexpr std::size_t kSize = 3;
    const bool complete = fields::FlagOf(At(json, 1, kSize), "complete");
    return ItemResult{fields::TextOf(At(json, 0, kSize), "item"),
                      complete ? ResultState::kComplete : ResultState::kDead,
                      BytesOf(At(json, 2, kSize))};
  });
}

Result<ProgressPiece> PieceFrom(std::string_view bytes) {
  return Decoded<ProgressPiece>(bytes, "progress", [](const Json& json) {
    // Entries of an earlier version don't write the source, nor how often the output started over.
    constexpr std::size_t kSizeWithoutSource = 5;
    constexpr std::size_t kSizeWithSource = 8;
    const bool has_source = json.is_array() && json.size() == kSizeWithSource;
    const std::size_t size = has_source ? kSizeWithSource : kSizeWithoutSource;
    ProgressPiece piece;
    piece.item = fields::CountOf<std::uint32_t>(At(json, 0, size), "item");
    piece.number = fields::CountOf<std::uint32_t>(At(json, 1, size), "number");
    piece.text = BytesOf(At(json, 2, size));
    piece.last_id = fields::TextOf(At(json, 3, size), "last_id");
    piece.events = fields::CountOf<std::uint64_t>(At(json, 4, size), "events");
    if (!has_source) return piece;
    piece.source.service.value = fields::TextOf(At(json, 5, size), "service");
    piece.source.version.value = fields::TextOf(At(json, 6, size), "version");
    piece.start = fields::CountOf<std::uint32_t>(At(json, 7, size), "start");
    return piece;
  });
}

}  // namespace

std::vector<std::string> Parts() {
  std::vector<std::string> parts;
  parts.reserve(kParts);
  for (int i = 0; i < kParts; ++i) parts.push_back("j" + std::to_string(i));
  return parts;
}

std::string PartOf(const JobId& job) {
  const std::uint64_t hash = XXH3_64bits(job.value.data(), job.value.size());
  return "j" + std::to_string(hash % kParts);
}

TableKey JobRecordKey(const JobId& job) {
  return {std::string(kJobTable), PartOf(job), job.value};
}

std::string EncodeJobRecord(const JobRecord& record) {
  Json json = {{"id", record.id.value},
               {"route", record.route},
               {"host", record.host},
               {"total", record.total},
               {"listed", record.stored_results},
               {"done", record.done},
               {"owner", record.owner.value},
               {"incarnation", record.owner_incarnation},
               {"ended", record.ended},
               {"submitted", record.submitted.count()},
               {"due", record.due.count()},
               {"expires", record.expires.count()},
               {"digest", record.digest},
               {"config", record.config_version},
               {"token", record.token.value}};
  if (!record.team.empty()) json["team"] = record.team.value;
  return ToBytes(json);
}

Result<JobRecord> DecodeJobRecord(std::string_view value) {
  return Decoded<JobRecord>(value, "job row", ReadRecord);
}

std::optional<std::string_view> InvalidUpdateReason(const JobRecord& known,
                                                    const JobRecord& later) {
  const bool same = known.total == later.total && known.digest == later.digest &&
                    known.team == later.team && known.submitted == later.submitted &&
                    known.due == later.due && known.expires == later.expires;
  if (!same) return "it describes another job";
  for (std::size_t i = 0; i < known.done.size(); ++i) {
    if (known.done[i] == 'x' && later.done[i] != 'x') return "a stored result is missing from it";
  }
  if (known.ended && !later.ended) return "it reopens a job that has ended";
  return std::nullopt;
}

std::vector<TableTransaction> AcceptTransactions(const JobRecord& record,
                                                 const std::vector<JobItem>& items) {
  Json list = Json::array();
  for (const JobItem& item : items) list.push_back(ToJson(item));
  const std::string bytes = ToBytes(list);
  const std::vector<std::string_view> pieces = PiecesOf(bytes);
  const std::string part = PartOf(record.id);
  std::vector<TableTransaction> transactions(1);
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    if (transactions.back().puts.size() == kPiecesPerTransaction) transactions.emplace_back();
    transactions.back().puts.push_back(
        {{std::string(kItemTable), part, ItemRowKey(record.id, i)}, std::string(pieces[i])});
  }
  transactions.back().conditions.push_back({JobRecordKey(record.id), 0});
  transactions.back().puts.push_back({JobRecordKey(record.id), EncodeJobRecord(record)});
  return transactions;
}

TableRange ItemRange(const JobId& job) {
  return {std::string(kItemTable), PartOf(job), job.value + "/", job.value + "0"};
}

Result<std::vector<JobItem>> DecodeItems(const JobId& job, const std::vector<TableRow>& rows) {
  std::string bytes;
  std::uint32_t next = 0;
  for (const TableRow& row : rows) {
    if (PieceOf(job, row.at.key) != next) continue;
    bytes += row.value;
    ++next;
  }
  return Decoded<std::vector<JobItem>>(bytes, "job items", [](const Json& json) {
    if (!json.is_array()) throw fields::BadDocument("expected a list");
    std::vector<JobItem> items;
    for (const Json& item : json) items.push_back(ReadItem(item));
    return items;
  });
}

TableRange ResultRange(const JobId& job, std::uint32_t from) {
  return {std::string(kResultTable), PartOf(job), ResultRowKey(job, from, 0), job.value + "0"};
}

std::vector<TablePut> ResultRows(const JobId& job, std::uint32_t position,
                                 const ItemResult& result) {
  const std::string bytes =
      ToBytes({result.item, result.state == ResultState::kComplete, Binary(result.output)});
  const std::vector<std::string_view> pieces = PiecesOf(bytes);
  std::vector<TablePut> puts;
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    // The first byte tells whether more pieces follow, since a page may end between two pieces.
    puts.push_back({{std::string(kResultTable), PartOf(job), ResultRowKey(job, position, i)},
                    (i + 1 == pieces.size() ? "." : "+") + std::string(pieces[i])});
  }
  return puts;
}

Result<std::vector<ItemResult>> DecodeResults(const JobId& job, std::uint32_t from,
                                              const std::vector<TableRow>& rows) {
  std::vector<ItemResult> results;
  std::string bytes;
  Place next{from, 0};
  for (const TableRow& row : rows) {
    if (PlaceOf(job, row.at.key) != next) continue;
    if (row.value.empty()) {
      return Error{ErrorKind::kBadRequest, "not a result row: '" + row.at.key + "'"};
    }
    bytes.append(row.value, 1);
    ++next.piece;
    if (row.value.front() == '+') continue;
    Result<ItemResult> result = ResultOf(bytes);
    if (!IsOk(result)) return ErrorOf(result);
    results.push_back(std::move(ValueOf(result)));
    bytes.clear();
    next = {next.position + 1, 0};
  }
  return results;
}

TableRange ProgressRange(const JobId& job) {
  return {std::string(kProgressTable), PartOf(job), job.value + "/", job.value + "0"};
}

TablePut ProgressRow(const JobId& job, const ProgressPiece& piece) {
  return {{std::string(kProgressTable), PartOf(job),
           fmt::format("{}/{:08}.{:04}", job.value, piece.item, piece.number)},
          ToBytes({piece.item, piece.number, Binary(piece.text), piece.last_id, piece.events,
                   piece.source.service.value, piece.source.version.value, piece.start})};
}

std::vector<ProgressPiece> DecodeProgress(const JobId& job, const std::vector<TableRow>& rows,
                                          const OnRefusedRow& refused) {
  std::vector<ProgressPiece> pieces;
  std::map<std::uint32_t, std::uint32_t> next;   // by item: the number of the next piece
  std::map<std::uint32_t, std::uint32_t> start;  // by item: of its first piece
  for (const TableRow& row : rows) {
    const auto place = PlaceOf(job, row.at.key);
    Result<ProgressPiece> piece = PieceFrom(row.value);
    if (!place || !IsOk(piece)) {
      refused(row, place ? ErrorOf(piece).detail : "its key is not the key of a progress piece");
      continue;
    }
    const bool matches = ValueOf(piece).item == place->position &&
                         ValueOf(piece).number == place->piece &&
                         next[place->position] == place->piece;
    if (!matches) {
      refused(row, "it does not follow the pieces before it");
      continue;
    }
    if (start.try_emplace(place->position, ValueOf(piece).start).first->second !=
        ValueOf(piece).start) {
      refused(row, "it is left of an earlier output of the item");
      continue;
    }
    ++next[place->position];
    pieces.push_back(std::move(ValueOf(piece)));
  }
  return pieces;
}

std::uint64_t SubmissionDigest(const JobSubmission& submission, const TeamId& team) {
  std::string text = submission.id.value;
  if (!team.empty()) text.append("\n").append(team.value);
  for (const JobItem& item : submission.items) {
    text.append("\n").append(item.id).append(" ").append(item.target).append(" ").append(item.body);
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace figmill::ledger
