#include <charconv>
#include <cmath>
#include <limits>

#include "query/builder.h"

namespace figmill::query::detail {
namespace {

// Longer spans are typing errors; the bound keeps microseconds within range.
constexpr double kLongestSpanSeconds = 10.0 * 365 * 24 * 3600;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kLargestNumber = 1e15;

double SecondsOfUnit(std::string_view unit) {
  if (unit == "us") return 1e-6;
  if (unit == "ms") return 1e-3;
  if (unit == "s") return 1;
  if (unit == "m") return 60;
  if (unit == "h") return 3600;
  return 24 * 3600;  // "d", by the grammar
}

template <typename T>
std::optional<T> ParseWhole(std::string_view text) {
  T value{};
  const char* const last = text.data() + text.size();
  const auto [end, failure] = std::from_chars(text.data(), last, value);
  if (failure != std::errc{} || end != last) return std::nullopt;
  return value;
}

}  // namespace

std::string TextOf(const Node& node) {
  const std::string_view text = node.string_view();
  if (!node.is_type<Quoted>()) return std::string(text);
  std::string plain;
  for (std::size_t i = 1; i + 1 < text.size(); ++i) {
    if (text[i] == '\\') ++i;
    plain.push_back(text[i]);
  }
  return plain;
}

void Builder::Fail(const Node& node, std::string expected) {
  if (fault_) return;
  fault_ = SyntaxError{node.begin().byte + 1, {std::move(expected)}, node.string()};
}

std::string Builder::IdOf(const Node& node) {
  Result<std::string> id = ParseId(TextOf(node), "a name");
  if (IsOk(id)) return ValueOf(id);
  Fail(node, "a name of 1 to " + std::to_string(kMaxIdLength) +
                 " letters, digits and . _ : - characters");
  return {};
}

Sequence Builder::DigitsOf(const Node& node) {
  const std::optional<Sequence> value = ParseWhole<Sequence>(node.string_view());
  if (value && *value <= static_cast<Sequence>(std::numeric_limits<std::int64_t>::max())) {
    return *value;
  }
  Fail(node, "a whole number below 2^63");
  return 0;
}

double Builder::NumberOf(const Node& node) {
  const std::optional<double> value = ParseWhole<double>(node.string_view());
  if (value && *value <= kLargestNumber) return *value;
  Fail(node, "a number up to 1e15");
  return 0;
}

Duration Builder::SpanOf(const Node& node) {
  const std::string_view text = node.string_view();
  const std::size_t unit_at = text.find_first_not_of("0123456789.");
  const std::optional<double> count = ParseWhole<double>(text.substr(0, unit_at));
  const double seconds = count.value_or(-1) * SecondsOfUnit(text.substr(unit_at));
  if (!count || seconds > kLongestSpanSeconds) {
    Fail(node, "a duration of at most ten years");
    return {};
  }
  // Rounded, so that 840ms is 840000 us and not one less.
  return Duration(std::llround(seconds * kMicrosecondsPerSecond));
}

Cell Builder::LiteralOf(const Node& node, const Column& column) {
  const std::string text = TextOf(node);
  switch (column.type) {
    case CellType::kText:
      return text;
    case CellType::kInteger:
      if (const auto value = ParseWhole<std::int64_t>(text)) return *value;
      Fail(node, "a whole number");
      break;
    case CellType::kNumber:
      if (node.is_type<Number>()) return NumberOf(node);
      Fail(node, "a number");
      break;
    case CellType::kYesNo:
      if (text == "yes" || text == "true") return true;
      if (text == "no" || text == "false") return false;
      Fail(node, "yes or no");
      break;
    case CellType::kDuration:
      if (node.is_type<Span>()) return SpanOf(node);
      Fail(node, "a duration such as 10m");
      break;
    case CellType::kMoment: {
      const Result<WallTime> at = ParseIso8601(text);
      if (IsOk(at)) return ValueOf(at);
      Fail(node, "a moment such as 2026-04-01T06:00Z");
      break;
    }
  }
  return {};
}

}  // namespace figmill::query::detail
