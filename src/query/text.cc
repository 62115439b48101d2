#include <algorithm>
#include <array>
#include <cstdio>

#include "figmill/query.h"

namespace figmill::query {
namespace {

constexpr std::size_t kGap = 2;  // blanks between columns

// Causes and names may hold bytes that would steer the operator's terminal.
std::string Printable(std::string text) {
  const auto steers = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; };
  std::replace_if(text.begin(), text.end(), steers, '?');
  return text;
}

// Code points, as good a width as the terminal needs for names.
std::size_t WidthOf(std::string_view text) {
  return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) & 0xC0) != 0x80;
  }));
}

std::string NumberText(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.10g", value);
  return text.data();
}

std::string DurationText(Duration value) {
  const double seconds = std::chrono::duration<double>(value).count();
  return seconds < 1 ? NumberText(seconds * 1e3) + "ms" : NumberText(seconds) + "s";
}

std::string CellText(const Cell& cell) {
  return std::visit(Overloaded{
                        [](std::monostate) { return std::string("-"); },
                        [](const std::string& value) { return Printable(value); },
                        [](std::int64_t value) { return std::to_string(value); },
                        [](double value) { return NumberText(value); },
                        [](bool value) { return std::string(value ? "yes" : "no"); },
                        [](Duration value) { return DurationText(value); },
                        [](WallTime value) { return ToIso8601(value); },
                    },
                    cell);
}

bool AlignsRight(CellType type) {
  return type == CellType::kInteger || type == CellType::kNumber || type == CellType::kDuration;
}

using Line = std::vector<std::string>;

std::string Laid(const Line& line, const std::vector<std::size_t>& widths,
                 const std::vector<Column>& columns) {
  std::string text;
  for (std::size_t i = 0; i < line.size(); ++i) {
    const std::string blanks(widths[i] - WidthOf(line[i]), ' ');
    const bool right = AlignsRight(columns[i].type);
    text += right ? blanks + line[i] : line[i] + blanks;
    text += std::string(kGap, ' ');
  }
  text.erase(text.find_last_not_of(' ') + 1);
  return text + "\n";
}

std::string TextOf(const Table& table) {
  std::vector<Line> lines(1);
  for (const Column& column : table.columns) lines.front().push_back(column.name);
  for (const TableRow& row : table.rows) {
    Line& line = lines.emplace_back();
    std::transform(row.begin(), row.end(), std::back_inserter(line), CellText);
  }
  std::vector<std::size_t> widths(table.columns.size(), 0);
  for (const Line& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], WidthOf(line[i]));
  }
  std::string text;
  for (const Line& line : lines) text += Laid(line, widths, table.columns);
  const std::size_t count = table.rows.size();
  return text + "(" + std::to_string(count) + (count == 1 ? " row)\n" : " rows)\n");
}

std::string TextOf(const Spread& spread) {
  const std::string where =
      std::to_string(spread.in_force) + " of " + std::to_string(spread.nodes) + " processes";
  if (spread.complete()) {
    return std::to_string(spread.sequence) + " is in force on all " + std::to_string(spread.nodes) +
           " processes\n";
  }
  std::string text = std::to_string(spread.sequence) + " is in force on " + where + "; behind:";
  for (const NodeId& node : spread.behind) text += " " + Printable(node.value);
  return text + "\n";
}

std::string TextOf(const HelpText& help) {
  std::string text;
  for (const StatementHelp& statement : help.statements) {
    text +=
        statement.usage + "\n    " + statement.meaning + "\n    e.g. " + statement.example + "\n";
  }
  return text;
}

}  // namespace

std::string ToText(const QueryAnswer& answer) {
  return std::visit(Overloaded{
                        [](const Accepted& accepted) {
                          return "accepted as " + std::to_string(accepted.sequence) + "\n";
                        },
                        [](const auto& other) { return TextOf(other); },
                    },
                    answer);
}

}  // namespace figmill::query
