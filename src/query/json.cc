#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

#include "figmill/documents.h"
#include "figmill/query.h"

namespace figmill::query {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::pair<CellType, std::string_view>, 6> kTypeNames = {{
    {CellType::kText, "text"},
    {CellType::kInteger, "integer"},
    {CellType::kNumber, "number"},
    {CellType::kYesNo, "yes-no"},
    {CellType::kDuration, "duration"},
    {CellType::kMoment, "moment"},
}};

std::string_view NameOf(CellType type) {
  return kTypeNames[static_cast<std::size_t>(type)].second;
}

// Throws std::out_of_range, which ParseAnswer turns into its error.
CellType TypeNamed(std::string_view name) {
  const auto found = std::find_if(kTypeNames.begin(), kTypeNames.end(),
                                  [&](const auto& entry) { return entry.second == name; });
  if (found == kTypeNames.end()) throw std::out_of_range("unknown column type");
  return found->first;
}

Json JsonOf(const Cell& cell) {
  return std::visit(
      Overloaded{
          [](std::monostate) -> Json { return nullptr; },
          [](Duration value) -> Json { return std::chrono::duration<double>(value).count(); },
          [](WallTime value) -> Json { return ToIso8601(value); },
          [](const auto& value) -> Json { return value; },
      },
      cell);
}

Cell CellOf(const Json& json, CellType type) {
  if (json.is_null()) return {};
  switch (type) {
    case CellType::kText:
      return json.get<std::string>();
    case CellType::kInteger:
      return json.get<std::int64_t>();
    case CellType::kNumber:
      return json.get<double>();
    case CellType::kYesNo:
      return json.get<bool>();
    case CellType::kDuration:
      return Duration(std::llround(json.get<double>() * 1e6));
    case CellType::kMoment: {
      const Result<WallTime> at = ParseIso8601(json.get<std::string>());
      if (!IsOk(at)) throw std::out_of_range(ErrorOf(at).detail);
      return ValueOf(at);
    }
  }
  return {};
}

Json JsonOf(const Table& table) {
  Json columns = Json::array();
  for (const Column& column : table.columns) {
    columns.push_back({{"name", column.name}, {"type", NameOf(column.type)}});
  }
  Json rows = Json::array();
  for (const TableRow& row : table.rows) {
    Json& object = rows.emplace_back(Json::object());
    for (std::size_t i = 0; i < row.size(); ++i) object[table.columns[i].name] = JsonOf(row[i]);
  }
  return {{"columns", std::move(columns)}, {"rows", std::move(rows)}};
}

Table TableOf(const Json& json) {
  Table table;
  for (const Json& column : json.at("columns")) {
    table.columns.push_back(
        {column.at("name").get<std::string>(), TypeNamed(column.at("type").get<std::string>())});
  }
  for (const Json& row : json.at("rows")) {
    TableRow& cells = table.rows.emplace_back();
    for (const Column& column : table.columns) {
      cells.push_back(CellOf(row.at(column.name), column.type));
    }
  }
  return table;
}

Json JsonOf(const Accepted& accepted) {
  return {{"sequence", accepted.sequence}};
}

Json JsonOf(const Spread& spread) {
  Json behind = Json::array();
  for (const NodeId& node : spread.behind) behind.push_back(node.value);
  return {{"sequence", spread.sequence},
          {"nodes", spread.nodes},
          {"in_force", spread.in_force},
          {"complete", spread.complete()},
          {"behind", std::move(behind)}};
}

Spread SpreadOf(const Json& json) {
  Spread spread{json.at("sequence").get<Sequence>(),
                json.at("nodes").get<std::uint64_t>(),
                json.at("in_force").get<std::uint64_t>(),
                {}};
  for (const Json& node : json.at("behind")) {
    spread.behind.push_back(NodeId{node.get<std::string>()});
  }
  return spread;
}

Json JsonOf(const HelpText& help) {
  Json statements = Json::array();
  for (const StatementHelp& statement : help.statements) {
    statements.push_back({{"usage", statement.usage},
                          {"meaning", statement.meaning},
                          {"example", statement.example}});
  }
  return {{"statements", std::move(statements)}};
}

HelpText HelpOf(const Json& json) {
  HelpText help;
  for (const Json& statement : json.at("statements")) {
    help.statements.push_back({statement.at("usage").get<std::string>(),
                               statement.at("meaning").get<std::string>(),
                               statement.at("example").get<std::string>()});
  }
  return help;
}

QueryAnswer AnswerOf(const Json& json) {
  if (json.contains("columns")) return TableOf(json);
  if (json.contains("statements")) return HelpOf(json);
  if (json.contains("in_force")) return SpreadOf(json);
  return Accepted{json.at("sequence").get<Sequence>()};
}

}  // namespace

std::string ToJson(const QueryAnswer& answer) {
  const Json json = std::visit([](const auto& value) { return JsonOf(value); }, answer);
  // Causes come from outside and may not be UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<QueryAnswer> ParseAnswer(std::string_view json) {
  try {
    if (!IsJsonWithinDepth(json)) throw std::invalid_argument("it nests too deeply");
    return AnswerOf(Json::parse(json));
  } catch (const std::exception& failure) {
    return Error{ErrorKind::kBadRequest, std::string("not an answer: ") + failure.what()};
  }
}

}  // namespace figmill::query
