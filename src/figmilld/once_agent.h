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
  std::function<bool(const OnceParty&)> gone;
  // Whether this entry is the one that sweeps and takes over, at present.
  std::function<bool()> caretaker;
};

class OnceAgent {
 public:
  using Resumed = std::variant<OnceOutcome, once::StreamGone, once::ResumeFailed>;

  OnceAgent(HttpClient& client, const OnceView& view) : client_(client), view_(view) {}

  void Revoke(const once::Revoke& order, std::function<void(RevokeState)> done);
  // `item` and `repeatable` travel along, as with the first dispatch.
  void Resume(const once::Resume& order, const ItemKey& item, bool repeatable,
              std::function<void(Resumed)> done);

 private:
  HttpClient& client_;
  const OnceView& view_;
};

// A whole answer as the row keeps it.
[[nodiscard]] OnceOutcome OutcomeOf(int status, std::string content_type, std::string body);

}  // namespace figmill
