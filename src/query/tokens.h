#pragma once

// Words and values of the operators' language as PEGTL rules. Each knows how to
// name itself, and a failed one notes where it was tried: the furthest such
// place is where a statement went wrong, and the names noted there are what was
// expected.

#include <algorithm>
#include <string>
#include <string_view>
#include <tao/pegtl.hpp>
#include <vector>

namespace figmill::query::detail {

namespace pegtl = tao::pegtl;

// The furthest place at which a token was missing, and which.
class Furthest {
 public:
  void Note(std::size_t at, std::string_view expected, bool literal) {
    if (at < at_) return;
    if (at > at_) missing_.clear();
    at_ = at;
    const auto same = [&](const Missing& m) { return m.name == expected; };
    if (std::none_of(missing_.begin(), missing_.end(), same)) {
      missing_.push_back({std::string(expected), literal});
    }
  }
  struct Missing {
    std::string name;
    bool literal = false;  // to be typed as it stands
  };
  [[nodiscard]] std::size_t at() const { return at_; }
  [[nodiscard]] const std::vector<Missing>& missing() const { return missing_; }

 private:
  std::size_t at_ = 0;
  std::vector<Missing> missing_;
};

// Characters of names, besides the quoted ones.
struct NameCharacter : pegtl::sor<pegtl::alnum, pegtl::one<'.', '_', ':', '-'>> {};
struct WordEnd : pegtl::not_at<NameCharacter> {};
struct Blank : pegtl::star<pegtl::space> {};

// Text of a template argument.
template <std::size_t N>
struct FixedText {
  char text[N];
  // NOLINTNEXTLINE(google-explicit-constructor): made from a literal argument
  constexpr FixedText(const char (&from)[N]) { std::copy_n(from, N, text); }
  [[nodiscard]] constexpr std::string_view view() const { return {text, N - 1}; }
};

// Bytes that `Lexeme` takes at the start of `text`; 0 when it doesn't match.
template <typename Lexeme>
std::size_t LengthOf(std::string_view text) {
  pegtl::memory_input in(text.data(), text.size(), "");
  return pegtl::parse<Lexeme>(in) ? in.byte() : 0;
}

// A rule that matches whole or notes its absence.
template <typename Derived>
struct Token {
  using rule_t = Derived;
  using subs_t = pegtl::empty_list;

  template <pegtl::apply_mode, pegtl::rewind_mode, template <typename...> class,
            template <typename...> class, typename Input, typename... States>
  static bool match(Input& in, Furthest& furthest, States&&... /*states*/) {
    const std::string_view rest(in.current(), in.size());
    const std::size_t length = Derived::Length(rest);
    if (length == 0) {
      furthest.Note(in.byte(), Derived::Label(), Derived::kLiteral);
      return false;
    }
    in.bump(length);
    return true;
  }
};

// A word of the language itself.
template <FixedText kText>
struct Keyword : Token<Keyword<kText>> {
  static constexpr bool kLiteral = true;
  static std::string_view Label() { return kText.view(); }
  static std::size_t Length(std::string_view rest) {
    if (!rest.starts_with(kText.view())) return 0;
    const std::string_view after = rest.substr(kText.view().size());
    return after.empty() || LengthOf<NameCharacter>(after) == 0 ? kText.view().size() : 0;
  }
};

// A sign of the language; `<` must not match the start of `<=`, so the grammar
// tries longer ones first.
template <FixedText kText>
struct Sign : Token<Sign<kText>> {
  static constexpr bool kLiteral = true;
  static std::string_view Label() { return kText.view(); }
  static std::size_t Length(std::string_view rest) {
    return rest.starts_with(kText.view()) ? kText.view().size() : 0;
  }
};

// A value that a PEGTL rule describes.
template <typename Derived, typename Lexeme, FixedText kName>
struct Value : Token<Derived> {
  static constexpr bool kLiteral = false;
  static std::string_view Label() { return kName.view(); }
  static std::size_t Length(std::string_view rest) { return LengthOf<Lexeme>(rest); }
};

struct DigitsLexeme : pegtl::seq<pegtl::plus<pegtl::digit>, WordEnd> {};
struct Decimal : pegtl::seq<pegtl::plus<pegtl::digit>,
                            pegtl::opt<pegtl::one<'.'>, pegtl::plus<pegtl::digit>>> {};
struct NumberLexeme : pegtl::seq<Decimal, WordEnd> {};
struct DurationUnit
    : pegtl::sor<pegtl::string<'m', 's'>, pegtl::string<'u', 's'>, pegtl::one<'s', 'm', 'h', 'd'>> {
};
struct DurationLexeme : pegtl::seq<Decimal, DurationUnit, WordEnd> {};
struct QuotedCharacter
    : pegtl::sor<pegtl::seq<pegtl::one<'\\'>, pegtl::one<'"', '\\'>>, pegtl::not_one<'"', '\\'>> {};
struct QuotedLexeme : pegtl::seq<pegtl::one<'"'>, pegtl::star<QuotedCharacter>, pegtl::one<'"'>> {};
struct NameLexeme : pegtl::plus<NameCharacter> {};

struct Digits : Value<Digits, DigitsLexeme, "a whole number"> {};
struct Number : Value<Number, NumberLexeme, "a number"> {};
struct Span : Value<Span, DurationLexeme, "a duration such as 10m"> {};
struct Quoted : Value<Quoted, QuotedLexeme, "text in double quotes"> {};
struct Name : Value<Name, NameLexeme, "a name"> {};

// The end of the statement.
struct End {
  using rule_t = End;
  using subs_t = pegtl::empty_list;

  template <pegtl::apply_mode, pegtl::rewind_mode, template <typename...> class,
            template <typename...> class, typename Input, typename... States>
  static bool match(Input& in, Furthest& furthest, States&&... /*states*/) {
    if (in.empty()) return true;
    furthest.Note(in.byte(), "the end of the statement", false);
    return false;
  }
};

}  // namespace figmill::query::detail
