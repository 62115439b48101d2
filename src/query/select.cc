#include <algorithm>

#include "figmill/query.h"

namespace figmill::query {
namespace {

bool Holds(Comparison comparison, const Cell& left, const Cell& right) {
  switch (comparison) {
    case Comparison::kEqual:
      return left == right;
    case Comparison::kNotEqual:
      return left != right;
    case Comparison::kLess:
      return left < right;
    case Comparison::kAtMost:
      return left <= right;
    case Comparison::kMore:
      return left > right;
    case Comparison::kAtLeast:
      return left >= right;
  }
  return false;
}

// An empty cell is neither less nor more than anything; it only differs.
bool Meets(const TableRow& row, const Condition& condition) {
  const Cell& cell = row[condition.column];
  if (std::holds_alternative<std::monostate>(cell)) {
    return condition.comparison == Comparison::kNotEqual;
  }
  return Holds(condition.comparison, cell, condition.value);
}

void Sort(std::vector<TableRow>& rows, const Ordering& order) {
  std::stable_sort(rows.begin(), rows.end(), [&](const TableRow& a, const TableRow& b) {
    const Cell& left = a[order.column];
    const Cell& right = b[order.column];
    return order.descending ? right < left : left < right;
  });
}

}  // namespace

bool Meets(const TableRow& row, const Selection& selection) {
  return std::all_of(selection.where.begin(), selection.where.end(),
                     [&](const Condition& condition) { return Meets(row, condition); });
}

Table Select(Table table, const Selection& selection) {
  std::erase_if(table.rows, [&](const TableRow& row) { return !Meets(row, selection); });
  if (selection.order) Sort(table.rows, *selection.order);
  if (selection.limit && table.rows.size() > *selection.limit) {
    table.rows.resize(*selection.limit);
  }
  return table;
}

}  // namespace figmill::query
