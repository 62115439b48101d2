#pragma once

// From the parse tree to the typed one. What the grammar can't say (ranges,
// names, column types) is checked here, and the first fault is kept with the
// column that it stands at.

#include <optional>
#include <string>
#include <string_view>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "figmill/query.h"
#include "query/grammar.h"

namespace figmill::query::detail {

using Node = pegtl::parse_tree::node;

class Builder {
 public:
  // `root` is the tree of a whole statement.
  [[nodiscard]] std::variant<Statement, SyntaxError> Build(const Node& root);

 private:
  Show BuildShow(const Node& node);
  Question BuildQuestion(const Node& node);
  Condition BuildCondition(const Node& node, std::span<const Column> columns);
  std::size_t ColumnIndex(const Node& node, std::span<const Column> columns);
  Cell LiteralOf(const Node& node, const Column& column);

  Order BuildOrder(const Node& node);
  Command BuildCommand(const Node& node);
  ServiceSettings BuildServiceSettings(const Node& node);
  RouteRule BuildRoute(const Node& node);
  SetLimit BuildLimit(const Node& node);
  SetBackend BuildBackend(const Node& node);
  Weights BuildWeights(const Node& node);

  std::string IdOf(const Node& node);
  Sequence DigitsOf(const Node& node);
  double NumberOf(const Node& node);
  Duration SpanOf(const Node& node);
  // Stores `value`; a setting that is given twice is a fault.
  template <typename T>
  void Once(std::optional<T>& into, T value, const Node& node);
  void Fail(const Node& node, std::string expected);

  std::optional<SyntaxError> fault_;
};

// Unquotes where it is quoted.
[[nodiscard]] std::string TextOf(const Node& node);

}  // namespace figmill::query::detail
