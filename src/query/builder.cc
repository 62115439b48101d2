#include "query/builder.h"

#include <algorithm>

namespace figmill::query::detail {
namespace {

template <typename Rule>
const Node* Find(const Node& node) {
  for (const auto& child : node.children) {
    if (child->is_type<Rule>()) return child.get();
  }
  return nullptr;
}

// The grammar promises that it is there.
const Node& Child(const Node& node, std::size_t index) {
  return *node.children.at(index);
}

bool TruthOf(const Node& node) {
  return node.is_type<grammar::True>();
}

Comparison ComparisonOf(const Node& node) {
  if (node.is_type<grammar::AtMost>()) return Comparison::kAtMost;
  if (node.is_type<grammar::AtLeast>()) return Comparison::kAtLeast;
  if (node.is_type<grammar::NotEqual>()) return Comparison::kNotEqual;
  if (node.is_type<grammar::Less>()) return Comparison::kLess;
  if (node.is_type<grammar::More>()) return Comparison::kMore;
  return Comparison::kEqual;
}

}  // namespace

std::variant<Statement, SyntaxError> Builder::Build(const Node& root) {
  const Node& node = Child(root, 0);
  Statement statement;
  if (node.is_type<grammar::Show>()) {
    statement = BuildShow(node);
  } else if (node.is_type<grammar::Order>()) {
    statement = BuildOrder(node);
  } else if (node.is_type<grammar::Await>()) {
    statement = Await{DigitsOf(Child(node, 0))};
  } else {
    statement = Help{node.children.empty() ? std::string() : TextOf(Child(node, 0))};
  }
  if (fault_) return *fault_;
  return statement;
}

// --- Questions -----------------------------------------------------------------

Show Builder::BuildShow(const Node& node) {
  Show show{BuildQuestion(Child(node, 0)), {}};
  const std::span<const Column> columns = ColumnsOf(show.question);
  if (const Node* where = Find<grammar::Where>(node)) {
    for (const auto& condition : where->children) {
      show.selection.where.push_back(BuildCondition(*condition, columns));
    }
  }
  if (const Node* order = Find<grammar::OrderBy>(node)) {
    show.selection.order = Ordering{ColumnIndex(Child(*order, 0), columns),
                                    Find<grammar::Descending>(*order) != nullptr};
  }
  if (const Node* limit = Find<grammar::Limit>(node)) {
    show.selection.limit = DigitsOf(Child(*limit, 0));
  }
  return show;
}

Question Builder::BuildQuestion(const Node& node) {
  const Node* const argument = node.children.empty() ? nullptr : &Child(node, 0);
  if (node.is_type<grammar::Items>()) {
    return argument ? ShowItems{JobId{IdOf(*argument)}} : ShowItems{};
  }
  if (node.is_type<grammar::Refusals>()) {
    return argument ? ShowRefusals{SpanOf(*argument)} : ShowRefusals{};
  }
  if (node.is_type<grammar::Config>()) {
    return argument ? ShowConfig{DigitsOf(*argument)} : ShowConfig{};
  }
  if (node.is_type<grammar::Log>()) {
    return argument ? ShowLog{DigitsOf(*argument)} : ShowLog{};
  }
  if (node.is_type<grammar::Hosts>()) return ShowHosts{};
  if (node.is_type<grammar::Services>()) return ShowServices{};
  if (node.is_type<grammar::Limits>()) return ShowLimits{};
  if (node.is_type<grammar::Placement>()) return ShowPlacement{};
  return ShowJobs{};
}

std::size_t Builder::ColumnIndex(const Node& node, std::span<const Column> columns) {
  const auto same = [&](const Column& column) { return column.name == node.string_view(); };
  const auto found = std::find_if(columns.begin(), columns.end(), same);
  if (found != columns.end()) return static_cast<std::size_t>(found - columns.begin());
  std::string names;
  for (const Column& column : columns) {
    names += (names.empty() ? "" : ", ") + std::string(column.name);
  }
  Fail(node, "one of the columns " + names);
  return 0;
}

Condition Builder::BuildCondition(const Node& node, std::span<const Column> columns) {
  Condition condition;
  condition.column = ColumnIndex(Child(node, 0), columns);
  condition.comparison = ComparisonOf(Child(node, 1));
  condition.value = LiteralOf(Child(node, 2), columns[condition.column]);
  return condition;
}

// --- Orders --------------------------------------------------------------------

template <typename T>
void Builder::Once(std::optional<T>& into, T value, const Node& node) {
  if (into) Fail(node, "each setting once");
  into = std::move(value);
}

Order Builder::BuildOrder(const Node& node) {
  Order order{BuildCommand(Child(node, 0)), std::nullopt};
  if (const Node* condition = Find<grammar::IfVersion>(node)) {
    order.if_version = DigitsOf(Child(*condition, 0));
  }
  return order;
}

Command Builder::BuildCommand(const Node& node) {
  if (node.is_type<grammar::SetLimit>()) return BuildLimit(node);
  if (node.is_type<grammar::SetBackend>()) return BuildBackend(node);
  if (node.is_type<grammar::Load>()) {
    return LoadWeights{BuildWeights(node), NodeId{IdOf(*node.children.back())}};
  }
  if (node.is_type<grammar::Unload>()) {
    return UnloadWeights{BuildWeights(node), NodeId{IdOf(*node.children.back())}};
  }
  std::string name = IdOf(Child(node, 0));
  if (node.is_type<grammar::CreateService>()) {
    const ServiceKind kind = Find<grammar::Model>(node) ? ServiceKind::kModel : ServiceKind::kPlain;
    return CreateService{ServiceName{std::move(name)}, kind, BuildServiceSettings(node)};
  }
  if (node.is_type<grammar::SetService>()) {
    return SetService{ServiceName{std::move(name)}, BuildServiceSettings(node)};
  }
  if (node.is_type<grammar::RemoveService>()) return RemoveService{ServiceName{std::move(name)}};
  if (node.is_type<grammar::RemoveBackend>()) return RemoveBackend{NodeId{std::move(name)}};
  if (node.is_type<grammar::Drain>()) return Drain{NodeId{std::move(name)}};
  if (node.is_type<grammar::Undrain>()) return Undrain{NodeId{std::move(name)}};
  if (node.is_type<grammar::CancelJob>()) return CancelJob{JobId{std::move(name)}};
  return SetRole{NodeId{std::move(name)}, IdOf(Child(node, 1))};
}

ServiceSettings Builder::BuildServiceSettings(const Node& node) {
  ServiceSettings settings;
  for (const auto& child : node.children) {
    if (child->is_type<grammar::Repeatable>()) {
      Once(settings.repeatable, TruthOf(Child(*child, 0)), *child);
    } else if (child->is_type<grammar::FirstToken>()) {
      Once(settings.first_token, SpanOf(Child(*child, 0)), *child);
    } else if (child->is_type<grammar::TokenGap>()) {
      Once(settings.token_gap, SpanOf(Child(*child, 0)), *child);
    } else if (child->is_type<grammar::Deadline>()) {
      Once(settings.deadline, SpanOf(Child(*child, 0)), *child);
    } else if (child->is_type<grammar::Route>()) {
      settings.routes.push_back(BuildRoute(*child));
    }
  }
  return settings;
}

RouteRule Builder::BuildRoute(const Node& node) {
  RouteRule rule{TextOf(Child(node, 0)), TruthOf(Child(node, 1))};
  if (!rule.path_prefix.starts_with('/')) Fail(Child(node, 0), "a path that starts with /");
  return rule;
}

SetLimit Builder::BuildLimit(const Node& node) {
  SetLimit limit{TeamId{IdOf(Child(node, 0))}, {}, {}, {}};
  for (const auto& child : node.children) {
    if (child->is_type<grammar::Requests>()) {
      Once(limit.requests_per_second, NumberOf(Child(*child, 0)), *child);
    } else if (child->is_type<grammar::Tokens>()) {
      Once(limit.tokens_per_second, NumberOf(Child(*child, 0)), *child);
    } else if (child->is_type<grammar::Burst>()) {
      const Duration burst = SpanOf(Child(*child, 0));
      Once(limit.burst_seconds, std::chrono::duration<double>(burst).count(), *child);
    }
  }
  return limit;
}

SetBackend Builder::BuildBackend(const Node& node) {
  SetBackend backend{NodeId{IdOf(Child(node, 0))}, {}, {}};
  for (const auto& child : node.children) {
    if (child->is_type<grammar::Serves>()) {
      std::vector<ServiceName> serves;
      for (const auto& name : child->children) serves.push_back(ServiceName{IdOf(*name)});
      Once(backend.serves, std::move(serves), *child);
    } else if (child->is_type<grammar::Fencing>()) {
      Once(backend.checks_fencing, TruthOf(Child(*child, 0)), *child);
    }
  }
  return backend;
}

Weights Builder::BuildWeights(const Node& node) {
  const Node* const versioned = Find<grammar::Versioned>(node);
  const std::string text = TextOf(*versioned);  // the grammar promises it and its '@'
  const std::size_t at = text.find('@');
  return {Find<grammar::Adapter>(node) != nullptr, text.substr(0, at), text.substr(at + 1)};
}

}  // namespace figmill::query::detail
