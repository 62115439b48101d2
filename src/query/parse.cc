#include <algorithm>

#include "query/builder.h"

namespace figmill::query {
namespace detail {
namespace {

struct Parsed {
  std::unique_ptr<Node> root;  // null when the text is no statement
  Furthest furthest;
};

Parsed ParseTree(std::string_view text) {
  Parsed parsed;
  pegtl::memory_input in(text.data(), text.size(), "");
  parsed.root = pegtl::parse_tree::parse<grammar::Statement, Node, grammar::IsNode, pegtl::nothing,
                                         pegtl::normal>(in, parsed.furthest);
  return parsed;
}

bool IsSpace(char c) {
  return LengthOf<pegtl::space>({&c, 1}) > 0;
}

// The word, sign or quote at `at`, for the message.
std::string WordAt(std::string_view text, std::size_t at) {
  const std::string_view rest = text.substr(std::min(at, text.size()));
  const std::size_t end =
      static_cast<std::size_t>(std::find_if(rest.begin(), rest.end(), IsSpace) - rest.begin());
  return std::string(rest.substr(0, end));
}

// Columns of the question that `text` starts with, if any.
std::span<const Column> ColumnsAsked(std::string_view text) {
  pegtl::memory_input in(text.data(), text.size(), "");
  using Start = pegtl::seq<Blank, grammar::Key<"show">, grammar::AnyQuestion>;
  Furthest furthest;
  const auto root =
      pegtl::parse_tree::parse<Start, Node, grammar::IsNode, pegtl::nothing, pegtl::normal>(
          in, furthest);
  if (!root) return {};
  const std::string head(text.substr(0, in.byte()));
  const auto statement = ParseStatement(head);
  const auto* const show = std::get_if<Statement>(&statement);
  return show != nullptr ? ColumnsOf(std::get<Show>(*show).question) : std::span<const Column>{};
}

SyntaxError Missing(const Furthest& furthest, std::string_view text) {
  SyntaxError error{furthest.at() + 1, {}, WordAt(text, furthest.at())};
  for (const Furthest::Missing& missing : furthest.missing()) {
    if (missing.name == grammar::ColumnName::Label()) {
      for (const Column& column : ColumnsAsked(text)) error.expected.emplace_back(column.name);
    } else {
      error.expected.push_back(missing.name);
    }
  }
  if (error.expected.empty()) error.expected.emplace_back("a statement");
  return error;
}

std::string Joined(const std::vector<std::string>& expected) {
  std::string text;
  for (std::size_t i = 0; i < expected.size(); ++i) {
    if (i > 0) text += i + 1 == expected.size() ? " or " : ", ";
    text += expected[i];
  }
  return text;
}

// Bytes of the statement shown on each side of a fault.
constexpr std::size_t kShownBytes = 60;

}  // namespace
}  // namespace detail

std::variant<Statement, SyntaxError> ParseStatement(std::string_view text) {
  if (text.size() > kMaxStatementBytes) {
    return SyntaxError{kMaxStatementBytes + 1,
                       {"a statement of at most " + std::to_string(kMaxStatementBytes) + " bytes"},
                       {}};
  }
  const detail::Parsed parsed = detail::ParseTree(text);
  if (!parsed.root) return detail::Missing(parsed.furthest, text);
  return detail::Builder().Build(*parsed.root);
}

Error ToError(const SyntaxError& error, std::string_view text) {
  const std::size_t at = std::min(error.column - 1, text.size());
  const std::size_t from = at > detail::kShownBytes ? at - detail::kShownBytes : 0;
  std::string shown(text.substr(from, at - from + detail::kShownBytes));
  // A caret under a tab or a line break would point elsewhere.
  std::replace_if(shown.begin(), shown.end(), detail::IsSpace, ' ');
  std::string detail = "column " + std::to_string(error.column) + ": expected " +
                       detail::Joined(error.expected) + ", found " +
                       (error.found.empty() ? "the end" : "'" + error.found.substr(0, 40) + "'");
  detail += "\n  " + shown + "\n  " + std::string(at - from, ' ') + "^";
  return Error{ErrorKind::kBadRequest, std::move(detail)};
}

std::vector<std::string> Completions(std::string_view text) {
  if (text.size() > kMaxStatementBytes) return {};
  std::size_t start = text.size();
  while (start > 0 && detail::LengthOf<detail::NameCharacter>(text.substr(start - 1, 1)) > 0) {
    --start;
  }
  const std::string_view before = text.substr(0, start);
  const detail::Parsed parsed = detail::ParseTree(before);
  // A whole statement ends in `End`, which matched: what else could stand there
  // was noted at the same place.
  if (parsed.furthest.at() != before.size()) return {};
  std::vector<std::string> words;
  for (const detail::Furthest::Missing& missing : parsed.furthest.missing()) {
    if (missing.literal) words.push_back(missing.name);
    if (missing.name == detail::grammar::ColumnName::Label()) {
      for (const Column& column : detail::ColumnsAsked(before)) words.emplace_back(column.name);
    }
  }
  const std::string_view begun = text.substr(start);
  std::erase_if(words, [&](const std::string& word) { return !word.starts_with(begun); });
  std::sort(words.begin(), words.end());
  return words;
}

}  // namespace figmill::query
