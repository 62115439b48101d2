#pragma once

// Which faults the proxy brings about, ordered over its admin call.

#include <cstdint>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "figmill/base.h"

namespace figmill::faultproxy {

enum class Fault : std::uint8_t {
  kDelay,      // bytes and datagrams pass `delay` later
  kDrop,       // a new connection is reset; a datagram is lost
  kCut,        // a connection is reset once `after_bytes` have passed
  kHalfOpen,   // after `after_bytes` the rest is swallowed, the connection stays open
  kSwap,       // two connections get each other's answers from then on
  kDuplicate,  // a datagram arrives twice
  kReorder,    // a datagram arrives after the one that follows it
  kPartition,  // nothing passes; what TCP holds back flows on once the rule is gone
};

enum class Direction : std::uint8_t { kToServer, kToCaller };

struct Rule {
  std::uint64_t id = 0;
  Fault fault = Fault::kDelay;
  std::optional<std::size_t> link;     // else every link
  std::optional<Direction> direction;  // else both
  double probability = 1;
  Duration delay{0};
  std::uint64_t after_bytes = 0;
  std::uint64_t times = 0;  // spent after so many; 0: never
  std::uint64_t hits = 0;
};

// Reads one rule's JSON. Errors: kBadRequest, naming the member.
[[nodiscard]] Result<Rule> ParseRule(std::string_view text);

class RuleBook {
 public:
  explicit RuleBook(std::uint64_t seed) : random_(seed) {}

  std::uint64_t Add(Rule rule);
  bool Remove(std::uint64_t id);
  void Clear() { rules_.clear(); }
  [[nodiscard]] std::string Json() const;

  // The oldest rule of this fault that holds here and isn't spent, else null.
  [[nodiscard]] Rule* Find(Fault fault, std::size_t link, Direction direction);
  // Throws the rule's dice.
  [[nodiscard]] bool Chosen(const Rule& rule);
  // Finds, throws the dice and counts the hit; null when nothing is to be done.
  Rule* Take(Fault fault, std::size_t link, Direction direction);

 private:
  std::list<Rule> rules_;
  std::uint64_t last_id_ = 0;
  std::mt19937_64 random_;
};

}  // namespace figmill::faultproxy
