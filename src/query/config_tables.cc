#include <map>
#include <nlohmann/json.hpp>

#include "figmill/query.h"

namespace figmill::query {
namespace {

using Json = nlohmann::json;
using Values = std::map<std::string, std::string>;  // path -> value, as JSON

// The member that names an element of one of the configuration's arrays, so
// that a path stays the same when elements before it come or go.
std::string NameOfElement(const Json& element) {
  for (const char* key : {"name", "team", "agent", "path_prefix"}) {
    if (element.is_object() && element.contains(key)) return element.at(key).get<std::string>();
  }
  return {};
}

std::string Under(std::string path, std::string_view name) {
  if (!path.empty()) path.push_back('/');
  path.append(name);
  return path;
}

void Flatten(const Json& json, const std::string& path, Values& values) {
  if (json.is_object()) {
    for (const auto& [key, value] : json.items()) {
      Flatten(value, Under(path, key), values);
    }
    return;
  }
  const bool named = json.is_array() && !json.empty() && !NameOfElement(json.front()).empty();
  if (!named) {
    values[path] = json.dump();
    return;
  }
  for (const Json& element : json) Flatten(element, Under(path, NameOfElement(element)), values);
}

Values ValuesOf(const Config& config) {
  Values values;
  Flatten(Json::parse(ToJson(config)), "", values);
  return values;
}

Cell CellAt(const Values& values, const std::string& path) {
  const auto found = values.find(path);
  return found == values.end() ? Cell{} : Cell(found->second);
}

}  // namespace

Table ConfigTable(const Config& config) {
  Table table = EmptyTable(ShowConfig{});
  for (const auto& [path, value] : ValuesOf(config)) table.rows.push_back({path, value});
  return table;
}

Table DifferenceTable(const Config& now, const Config& wanted) {
  Table table{{{"path", CellType::kText}, {"now", CellType::kText}, {"wanted", CellType::kText}},
              {}};
  const Values before = ValuesOf(now);
  const Values after = ValuesOf(wanted);
  Values paths = before;
  paths.insert(after.begin(), after.end());
  for (const auto& [path, value] : paths) {
    Cell left = CellAt(before, path);
    Cell right = CellAt(after, path);
    if (left != right) table.rows.push_back({path, std::move(left), std::move(right)});
  }
  return table;
}

}  // namespace figmill::query
