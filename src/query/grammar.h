#pragma once

// The grammar of the operators' language. Rules named after a statement or a
// clause become nodes of the parse tree, as do values; the rest is punctuation.

#include <type_traits>

#include "query/tokens.h"

namespace figmill::query::detail::grammar {

template <FixedText kText>
using Key = pegtl::seq<Keyword<kText>, Blank>;
template <FixedText kText>
using Mark = pegtl::seq<Sign<kText>, Blank>;
template <typename V>
using Val = pegtl::seq<V, Blank>;

// A name, quoted or bare.
using AnyName = pegtl::sor<Val<Quoted>, Val<Name>>;
struct True : Keyword<"true"> {};
struct False : Keyword<"false"> {};
using Truth = pegtl::sor<Val<True>, Val<False>>;

// --- Questions -----------------------------------------------------------------

struct Jobs : Key<"jobs"> {};
struct Items : pegtl::seq<Key<"items">, pegtl::opt<Key<"of">, AnyName>> {};
struct Refusals : pegtl::seq<Key<"refusals">, pegtl::opt<Key<"since">, Val<Span>>> {};
struct Hosts : Key<"hosts"> {};
struct Services : Key<"services"> {};
struct Config : pegtl::seq<Key<"config">, pegtl::opt<Key<"at">, Val<Digits>>> {};
struct Log : pegtl::seq<Key<"log">, pegtl::opt<Key<"since">, Val<Digits>>> {};
struct Limits : Key<"limits"> {};
struct Placement : Key<"placement"> {};
using AnyQuestion =
    pegtl::sor<Jobs, Items, Refusals, Hosts, Services, Config, Log, Limits, Placement>;

struct ColumnName : Value<ColumnName, NameLexeme, "a column"> {};
struct AtMost : Sign<"<="> {};
struct AtLeast : Sign<">="> {};
struct NotEqual : Sign<"!="> {};
struct Equal : Sign<"="> {};
struct Less : Sign<"<"> {};
struct More : Sign<">"> {};
using Comparator = pegtl::seq<pegtl::sor<AtMost, AtLeast, NotEqual, Equal, Less, More>, Blank>;
using Literal = pegtl::sor<Val<Quoted>, Val<Span>, Val<Number>, Val<Name>>;
struct Condition : pegtl::seq<Val<ColumnName>, Comparator, Literal> {};
struct Where : pegtl::seq<Key<"where">, pegtl::list<Condition, Key<"and">>> {};
struct Descending : Keyword<"desc"> {};
struct OrderBy : pegtl::seq<Key<"order">, Key<"by">, Val<ColumnName>,
                            pegtl::opt<pegtl::sor<Val<Descending>, Key<"asc">>>> {};
struct Limit : pegtl::seq<Key<"limit">, Val<Digits>> {};
struct Show : pegtl::seq<Key<"show">, AnyQuestion, pegtl::opt<Where>, pegtl::opt<OrderBy>,
                         pegtl::opt<Limit>> {};

// --- Orders --------------------------------------------------------------------

struct Repeatable : pegtl::seq<Key<"repeatable">, Truth> {};
struct FirstToken : pegtl::seq<Key<"first_token">, Val<Span>> {};
struct TokenGap : pegtl::seq<Key<"token_gap">, Val<Span>> {};
struct Deadline : pegtl::seq<Key<"deadline">, Val<Span>> {};
struct Route : pegtl::seq<Key<"route">, Val<Quoted>, Key<"repeatable">, Truth> {};
using ServiceSetting = pegtl::sor<Repeatable, FirstToken, TokenGap, Deadline, Route>;

struct Model : Keyword<"model"> {};
struct Plain : Keyword<"plain"> {};
struct CreateService : pegtl::seq<Key<"create">, Key<"service">, AnyName, Key<"kind">,
                                  pegtl::sor<Val<Model>, Val<Plain>>, pegtl::star<ServiceSetting>> {
};
struct SetService : pegtl::seq<Key<"set">, Key<"service">, AnyName, pegtl::plus<ServiceSetting>> {};
struct RemoveService : pegtl::seq<Key<"remove">, Key<"service">, AnyName> {};

struct Requests : pegtl::seq<Key<"requests">, Val<Number>> {};
struct Tokens : pegtl::seq<Key<"tokens">, Val<Number>> {};
struct Burst : pegtl::seq<Key<"burst">, Val<Span>> {};
struct SetLimit : pegtl::seq<Key<"set">, Key<"limit">, Key<"team">, AnyName,
                             pegtl::plus<pegtl::sor<Requests, Tokens, Burst>>> {};

struct Serves : pegtl::seq<Key<"serves">, pegtl::list<AnyName, Mark<",">>> {};
struct Fencing : pegtl::seq<Key<"fencing">, Truth> {};
struct SetBackend
    : pegtl::seq<Key<"set">, Key<"backend">, AnyName, pegtl::plus<pegtl::sor<Serves, Fencing>>> {};
struct RemoveBackend : pegtl::seq<Key<"remove">, Key<"backend">, AnyName> {};

struct Drain : pegtl::seq<Key<"drain">, AnyName> {};
struct Undrain : pegtl::seq<Key<"undrain">, AnyName> {};
struct CancelJob : pegtl::seq<Key<"cancel">, Key<"job">, AnyName> {};

struct VersionedLexeme : pegtl::seq<NameLexeme, pegtl::one<'@'>, NameLexeme> {};
struct Versioned : Value<Versioned, VersionedLexeme, "NAME@VERSION"> {};
struct Adapter : Keyword<"adapter"> {};
using AnyWeights = pegtl::seq<pegtl::opt<Val<Adapter>>, Val<Versioned>>;
struct Load : pegtl::seq<Key<"load">, AnyWeights, Key<"on">, AnyName> {};
struct Unload : pegtl::seq<Key<"unload">, AnyWeights, Key<"on">, AnyName> {};
struct SetRole : pegtl::seq<Key<"role">, AnyName, AnyName> {};

using AnyCommand = pegtl::sor<CreateService, SetService, RemoveService, SetLimit, SetBackend,
                              RemoveBackend, Drain, Undrain, CancelJob, Load, Unload, SetRole>;
struct IfVersion : pegtl::seq<Key<"if">, Key<"version">, Val<Digits>> {};
struct Order : pegtl::seq<AnyCommand, pegtl::opt<IfVersion>> {};

// --- Statements ----------------------------------------------------------------

struct Await : pegtl::seq<Key<"await">, Val<Digits>> {};
struct Help : pegtl::seq<Key<"help">, pegtl::opt<Val<Name>>> {};
struct Statement
    : pegtl::seq<Blank, pegtl::sor<Show, Order, Await, Help>, pegtl::opt<Mark<";">>, End> {};

// The rules that become nodes.
template <typename Rule, typename... Among>
inline constexpr bool kIsOneOf = (std::is_same_v<Rule, Among> || ...);

template <typename Rule>
struct IsNode
    : std::bool_constant<
          kIsOneOf<Rule, Quoted, Name, Digits, Number, Span, Versioned, True, False> ||
          kIsOneOf<Rule, Jobs, Items, Refusals, Hosts, Services, Config, Log, Limits, Placement> ||
          kIsOneOf<Rule, ColumnName, AtMost, AtLeast, NotEqual, Equal, Less, More, Condition, Where,
                   Descending, OrderBy, Limit, Show> ||
          kIsOneOf<Rule, Repeatable, FirstToken, TokenGap, Deadline, Route, Model, Plain, Requests,
                   Tokens, Burst, Serves, Fencing, Adapter, IfVersion> ||
          kIsOneOf<Rule, CreateService, SetService, RemoveService, SetLimit, SetBackend,
                   RemoveBackend, Drain, Undrain, CancelJob, Load, Unload, SetRole, Order, Await,
                   Help>> {};

}  // namespace figmill::query::detail::grammar
