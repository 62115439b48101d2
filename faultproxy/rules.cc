#include "faultproxy/rules.h"

#include <array>
#include <nlohmann/json.hpp>

namespace figmill::faultproxy {
namespace {

using nlohmann::json;

struct FaultName {
  Fault fault;
  std::string_view name;
};
constexpr std::array<FaultName, 8> kFaults = {{{Fault::kDelay, "delay"},
                                               {Fault::kDrop, "drop"},
                                               {Fault::kCut, "cut"},
                                               {Fault::kHalfOpen, "half-open"},
                                               {Fault::kSwap, "swap"},
                                               {Fault::kDuplicate, "duplicate"},
                                               {Fault::kReorder, "reorder"},
                                               {Fault::kPartition, "partition"}}};
constexpr std::array<std::string_view, 2> kDirections = {"to-server", "to-caller"};

Error BadMember(std::string_view member, std::string_view allowed) {
  return Error{ErrorKind::kBadRequest, std::string(member) + " must be " + std::string(allowed)};
}

std::optional<Error> ReadName(const json& value, Rule& rule, std::string_view member) {
  const std::string text = value.is_string() ? value.get<std::string>() : "";
  if (member == "fault") {
    for (const FaultName& named : kFaults) {
      if (named.name != text) continue;
      rule.fault = named.fault;
      return std::nullopt;
    }
    return BadMember(member,
                     "one of delay, drop, cut, half-open, swap, duplicate, reorder, partition");
  }
  for (std::size_t i = 0; i < kDirections.size(); ++i) {
    if (kDirections[i] != text) continue;
    rule.direction = static_cast<Direction>(i);
    return std::nullopt;
  }
  return BadMember(member, "to-server or to-caller");
}

std::optional<Error> ReadNumber(const json& value, Rule& rule, std::string_view member) {
  if (member == "probability") {
    const double number = value.is_number() ? value.get<double>() : -1;
    if (number < 0 || number > 1) return BadMember(member, "a number from 0 to 1");
    rule.probability = number;
    return std::nullopt;
  }
  if (!value.is_number_unsigned()) return BadMember(member, "a whole number, 0 or more");
  const auto number = value.get<std::uint64_t>();
  if (member == "link") rule.link = number;
  if (member == "delay_ms") rule.delay = std::chrono::milliseconds(number);
  if (member == "after_bytes") rule.after_bytes = number;
  if (member == "times") rule.times = number;
  return std::nullopt;
}

std::optional<Error> ReadMember(const json& value, Rule& rule, std::string_view member) {
  if (member == "fault" || member == "direction") return ReadName(value, rule, member);
  for (const std::string_view known : {"link", "probability", "delay_ms", "after_bytes", "times"}) {
    if (member == known) return ReadNumber(value, rule, member);
  }
  return BadMember(member, "left out: it is no member of a rule");
}

json RuleJson(const Rule& rule) {
  json out = {{"id", rule.id},
              {"fault", kFaults[static_cast<std::size_t>(rule.fault)].name},
              {"probability", rule.probability},
              {"delay_ms", rule.delay / std::chrono::milliseconds(1)},
              {"after_bytes", rule.after_bytes},
              {"times", rule.times},
              {"hits", rule.hits}};
  if (rule.link) out["link"] = *rule.link;
  if (rule.direction) out["direction"] = kDirections[static_cast<std::size_t>(*rule.direction)];
  return out;
}

bool Holds(const Rule& rule, Fault fault, std::size_t link, Direction direction) {
  if (rule.fault != fault) return false;
  if (rule.times != 0 && rule.hits >= rule.times) return false;
  return rule.link.value_or(link) == link && rule.direction.value_or(direction) == direction;
}

}  // namespace

Result<Rule> ParseRule(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) return Error{ErrorKind::kBadRequest, "a rule is a JSON object"};
  if (!object.contains("fault")) return BadMember("fault", "given");
  Rule rule;
  for (const auto& [member, value] : object.items()) {
    if (const std::optional<Error> error = ReadMember(value, rule, member)) return *error;
  }
  return rule;
}

std::uint64_t RuleBook::Add(Rule rule) {
  rule.id = ++last_id_;
  rules_.push_back(rule);
  return rule.id;
}

bool RuleBook::Remove(std::uint64_t id) {
  return rules_.remove_if([id](const Rule& rule) { return rule.id == id; }) > 0;
}

std::string RuleBook::Json() const {
  json out = json::array();
  for (const Rule& rule : rules_) out.push_back(RuleJson(rule));
  return out.dump();
}

Rule* RuleBook::Find(Fault fault, std::size_t link, Direction direction) {
  for (Rule& rule : rules_) {
    if (Holds(rule, fault, link, direction)) return &rule;
  }
  return nullptr;
}

bool RuleBook::Chosen(const Rule& rule) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < rule.probability;
}

Rule* RuleBook::Take(Fault fault, std::size_t link, Direction direction) {
  Rule* const rule = Find(fault, link, direction);
  if (rule == nullptr || !Chosen(*rule)) return nullptr;
  ++rule->hits;
  return rule;
}

}  // namespace figmill::faultproxy
