#pragma once

// Asks agents for the outcome of a dispatch: by revoking it, or by reading its stream again
// from the start.

#include <functional>
#include <memory>
#include <optional>
#include <variant>

#include "figmill/control.h"
#include "figmill/once.h"
#include "figmill/runtime.h"

namespace figmill {

// Lookups of other processes that the handling of keyed items needs.
struct OnceMembershipView {
  // The current process of an agent, whatever its incarnation; nullopt if unknown.
  std::function<std::optional<Member>(const NodeId&)> agent;
  // Whether the process with this incarnation is known to be dead or replaced.
  std::function<bool(const NodeInstance&)> is_dead_or_replaced;
  // The entry that writes rows for its data centre, if it is another process; nullopt if it
  // is this one or none is known.
  std::function<std::optional<Address>()> writer_address;
  // Whether this entry currently sweeps expired rows and takes over items of lost owners.
  std::function<bool()> runs_recovery;
};

class OnceAgentClient {
 public:
  using ResumeResult = std::variant<OnceOutcome, once::StreamNotFound, once::ResumeFailed>;

  OnceAgentClient(HttpClient& client, const OnceMembershipView& view)
      : client_(client), view_(view) {}

  // Reads the agent's clock, before a claim that records it: from it a later owner computes
  // the maximum age of the dispatch for the agent. nullopt if the agent can't be reached.
  void ReadAgentClock(const Address& agent, std::function<void(std::optional<std::int64_t>)> done);
  void Revoke(const once::Revoke& order, std::function<void(RevokeState)> done);
  // `item` and `repeatable` are sent as in the first dispatch.
  void Resume(const once::Resume& order, const ItemKey& item, bool repeatable,
              std::function<void(ResumeResult)> done);

 private:
  void SendRevoke(const Address& agent, const once::Revoke& order, std::int64_t stamp_now,
                  std::function<void(RevokeState)> done);

  HttpClient& client_;
  const OnceMembershipView& view_;
};

// A complete answer, as stored in the row.
[[nodiscard]] OnceOutcome MakeOutcome(int status, std::string content_type, std::string body);

}  // namespace figmill
