// Crash reports as rows of a shared table.

#include <algorithm>
#include <charconv>

#include "figmill/documents.h"
#include "figmill/json_fields.h"
#include "figmill/quarantine.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr char kSeparator = '/';

Error InvalidRow(const std::string& why) {
  return Error{ErrorKind::kBadRequest, why.substr(0, fields::kMaxReasonBytes)};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (failure != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

}  // namespace

std::string CrashRowKey(const Crash& crash) {
  return crash.suspect.value + kSeparator + std::to_string(crash.process.incarnation.number) +
         kSeparator + crash.process.backend.value;
}

std::string CrashRowValue(const CrashReport& report, const NodeId& seen_by,
                          std::string_view attempt) {
  const Json row{{"chain", report.chain},
                 {"online", report.online},
                 {"seen_by", seen_by.value},
                 {"attempt", attempt}};
  return row.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Crash> ParseCrashKey(std::string_view key) {
  const std::size_t first = key.find(kSeparator);
  const std::size_t second = key.find(kSeparator, first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return InvalidRow("the key does not have three parts");
  }
  const std::string_view suspect = key.substr(0, first);
  const auto incarnation = ParseNumber(key.substr(first + 1, second - first - 1));
  const std::string_view backend = key.substr(second + 1);
  if (!IsFingerprint(suspect)) return InvalidRow("the key does not begin with a fingerprint");
  if (!incarnation) return InvalidRow("the incarnation in the key is not a number");
  if (backend.empty()) return InvalidRow("the key names no backend server");
  return Crash{{std::string(suspect)}, {{std::string(backend)}, {*incarnation}}};
}

Result<CrashReport> ParseCrashRow(const TableRow& row) {
  const Result<Crash> crash = ParseCrashKey(row.at.key);
  if (!IsOk(crash)) return ErrorOf(crash);
  try {
    const Json value = ParseJsonOrThrow(row.value);
    const auto chain = fields::CountOf<std::uint32_t>(fields::Require(value, "chain"), "chain", 1,
                                                      CrashReport::kMaxChain);
    // Rows of releases before this field are taken for those of batch items.
    const bool online = fields::FlagOr(value, "online", false);
    return CrashReport{ValueOf(crash), static_cast<int>(chain), online};
  } catch (const std::exception& error) {
    return InvalidRow(error.what());
  }
}

}  // namespace figmill
