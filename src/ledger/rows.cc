#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "figmill/ledger.h"

namespace figmill::ledger {
namespace {

using Json = nlohmann::json;

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
    return read(Json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const std::exception& mistake) {
    return Error{ErrorKind::kBadRequest, std::string(what) + ": " + mistake.what()};
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

JobItem ReadItem(const Json& json) {
  JobItem item;
  item.id = json.at(0).get<std::string>();
  item.target = json.at(1).get<std::string>();
  for (const Json& header : json.at(2)) {
    item.headers.push_back({header.at(0).get<std::string>(), header.at(1).get<std::string>()});
  }
  item.body = BytesOf(json.at(3));
  item.tokens = json.at(4).get<std::int64_t>();
  return item;
}

JobHead ReadHead(const Json& json) {
  JobHead head;
  head.id.value = json.at("id").get<std::string>();
  head.route = json.at("route").get<std::string>();
  head.host = json.at("host").get<std::string>();
  head.total = json.at("total").get<std::uint32_t>();
  head.listed = json.at("listed").get<std::uint32_t>();
  head.done = json.at("done").get<std::string>();
  head.owner.value = json.at("owner").get<std::string>();
  head.owner_incarnation = json.at("incarnation").get<Incarnation>();
  head.ended = json.at("ended").get<bool>();
  head.submitted = StoreTime(json.at("submitted").get<std::int64_t>());
  head.due = StoreTime(json.at("due").get<std::int64_t>());
  head.expires = StoreTime(json.at("expires").get<std::int64_t>());
  head.digest = json.at("digest").get<std::uint64_t>();
  head.config_version = json.value("config", std::uint64_t{0});
  head.token.value = json.at("token").get<std::string>();
  if (head.done.size() != head.total) throw std::invalid_argument("'done' has the wrong length");
  return head;
}

// "job/POSITION.PIECE"
std::optional<std::pair<std::uint32_t, std::size_t>> PlaceOf(std::string_view key) {
  const std::size_t slash = key.rfind('/');
  const std::size_t dot = key.rfind('.');
  if (slash == std::string_view::npos || dot == std::string_view::npos || dot < slash) {
    return std::nullopt;
  }
  try {
    return std::pair{
        static_cast<std::uint32_t>(std::stoul(std::string(key.substr(slash + 1, dot - slash - 1)))),
        static_cast<std::size_t>(std::stoul(std::string(key.substr(dot + 1))))};
  } catch (const std::exception&) {
    return std::nullopt;  // not a key of ours; the caller says so
  }
}

Result<ItemResult> ResultOf(std::string_view bytes) {
  return Decoded<ItemResult>(bytes, "result", [](const Json& json) {
    return ItemResult{json.at(0).get<std::string>(),
                      json.at(1).get<bool>() ? ResultState::kComplete : ResultState::kDead,
                      BytesOf(json.at(2))};
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

TableKey HeadKey(const JobId& job) {
  return {std::string(kJobTable), PartOf(job), job.value};
}

std::string EncodeHead(const JobHead& head) {
  return ToBytes({{"id", head.id.value},
                  {"route", head.route},
                  {"host", head.host},
                  {"total", head.total},
                  {"listed", head.listed},
                  {"done", head.done},
                  {"owner", head.owner.value},
                  {"incarnation", head.owner_incarnation},
                  {"ended", head.ended},
                  {"submitted", head.submitted.count()},
                  {"due", head.due.count()},
                  {"expires", head.expires.count()},
                  {"digest", head.digest},
                  {"config", head.config_version},
                  {"token", head.token.value}});
}

Result<JobHead> DecodeHead(std::string_view value) {
  return Decoded<JobHead>(value, "job row", ReadHead);
}

std::vector<TableTransaction> Accept(const JobHead& head, const std::vector<JobItem>& items) {
  Json list = Json::array();
  for (const JobItem& item : items) list.push_back(ToJson(item));
  const std::string bytes = ToBytes(list);
  const std::vector<std::string_view> pieces = PiecesOf(bytes);
  const std::string part = PartOf(head.id);
  std::vector<TableTransaction> transactions(1);
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    if (transactions.back().puts.size() == kPiecesPerTransaction) transactions.emplace_back();
    transactions.back().puts.push_back(
        {{std::string(kItemTable), part, ItemRowKey(head.id, i)}, std::string(pieces[i])});
  }
  transactions.back().conditions.push_back({HeadKey(head.id), 0});
  transactions.back().puts.push_back({HeadKey(head.id), EncodeHead(head)});
  return transactions;
}

TableRange ItemRange(const JobId& job) {
  return {std::string(kItemTable), PartOf(job), job.value + "/", job.value + "0"};
}

Result<std::vector<JobItem>> DecodeItems(const std::vector<TableRow>& rows) {
  std::string bytes;
  for (const TableRow& row : rows) bytes += row.value;
  return Decoded<std::vector<JobItem>>(bytes, "job items", [](const Json& json) {
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
    // The first byte says whether more pieces follow: a page may end between two.
    puts.push_back({{std::string(kResultTable), PartOf(job), ResultRowKey(job, position, i)},
                    (i + 1 == pieces.size() ? "." : "+") + std::string(pieces[i])});
  }
  return puts;
}

Result<std::vector<ItemResult>> DecodeResults(const std::vector<TableRow>& rows) {
  std::vector<ItemResult> results;
  std::string bytes;
  for (const TableRow& row : rows) {
    const auto place = PlaceOf(row.at.key);
    if (!place || row.value.empty()) {
      return Error{ErrorKind::kBadRequest, "no result row: '" + row.at.key + "'"};
    }
    if (place->second == 0) bytes.clear();
    bytes.append(row.value, 1);
    if (row.value.front() == '+') continue;
    Result<ItemResult> result = ResultOf(bytes);
    if (!IsOk(result)) return ErrorOf(result);
    results.push_back(std::move(ValueOf(result)));
  }
  return results;
}

TableRange ProgressRange(const JobId& job) {
  return {std::string(kProgressTable), PartOf(job), job.value + "/", job.value + "0"};
}

TablePut ProgressRow(const JobId& job, const ProgressPiece& piece) {
  return {{std::string(kProgressTable), PartOf(job),
           fmt::format("{}/{:08}.{:04}", job.value, piece.item, piece.number)},
          ToBytes({piece.item, piece.number, Binary(piece.text), piece.last_id, piece.events})};
}

std::vector<ProgressPiece> DecodeProgress(const std::vector<TableRow>& rows) {
  std::vector<ProgressPiece> pieces;
  for (const TableRow& row : rows) {
    Result<ProgressPiece> piece =
        Decoded<ProgressPiece>(row.value, "progress", [](const Json& json) {
          return ProgressPiece{json.at(0).get<std::size_t>(), json.at(1).get<std::uint32_t>(),
                               BytesOf(json.at(2)), json.at(3).get<std::string>(),
                               json.at(4).get<std::uint64_t>()};
        });
    if (IsOk(piece)) pieces.push_back(std::move(ValueOf(piece)));
  }
  return pieces;
}

std::uint64_t DigestOf(const JobSubmission& submission) {
  std::string text = submission.id.value;
  for (const JobItem& item : submission.items) {
    text.append("\n").append(item.id).append(" ").append(item.target).append(" ").append(item.body);
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace figmill::ledger
