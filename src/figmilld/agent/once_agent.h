#pragma once

// Asks agents what became of a dispatch: the order to revoke it, and the attempt
// to read its stream again.

#include <functional>
#include <memory>
#include <optional>
#include <variant>

#include "figmill/control.h"
#include "figmill/once.h"
#include "figmill/runtime.h"

namespace figmill {

// How the shell of the keyed items sees the other processes.
struct OnceView {
  // The agent's present process, whatever its incarnation; null when not known.
  std::function<std::optional<Member>(const NodeId&)> agent;
  // Whether this very process is known to be dead or replaced.
  std::function<bool(const NodeInstance&)> gone;
  // The entry of this data centre that writes for it; nothing when that is this one,
  // or none is known.
  std::function<std::optional<Address>()> writer;
  // Whether this entry is the one that sweeps and takes over, at present.
  std::function<bool()> caretaker;
};

class OnceAgent {
 public:
  using Resumed = std::variant<OnceOutcome, once::StreamNotFound, once::ResumeFailed>;

  OnceAgent(HttpClient& client, const OnceView& view) : client_(client), view_(view) {}

  // The agent's clock, before a claim names it: by it a successor tells the agent
  // how old the dispatch can be at most. Nothing when it can't be reached.
  void ReadStamp(const Address& agent, std::function<void(std::optional<std::int64_t>)> done);
  void Revoke(const once::Revoke& order, std::function<void(RevokeState)> done);
  // `item` and `repeatable` travel along, as with the first dispatch.
  void Resume(const once::Resume& order, const ItemKey& item, bool repeatable,
              std::function<void(Resumed)> done);

 private:
  void RevokeAged(const Address& agent, const once::Revoke& order, std::int64_t stamp_now,
                  std::function<void(RevokeState)> done);

  HttpClient& client_;
  const OnceView& view_;
};

// A whole answer as the row keeps it.
[[nodiscard]] OnceOutcome OutcomeOf(int status, std::string content_type, std::string body);

}  // namespace figmill
