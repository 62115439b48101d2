#pragma once

// One keyed or not-repeatable request on its way: stands between the online run
// and its caller. The run asks it before each fresh dispatch and answers through
// it as through any HttpReply; the caller's answer waits for its commit.

#include <deque>
#include <functional>
#include <memory>

#include "figmill/once.h"
#include "figmill/runtime.h"
#include "figmilld/agent/once_agent_client.h"
#include "figmilld/traffic/once_writer.h"

namespace figmill {

// What a ticket works with; it outlives them all.
struct OnceTools {
  Loop& loop;
  TableStore& table;
  ObjectStore& objects;
  OnceWriter writer;
  OnceAgentClient agent;
  OnceMembershipView& view;
  RandomBits random;
};

class OnceTicket final : public HttpReply, public std::enable_shared_from_this<OnceTicket> {
 public:
  // `reply` is null for an item that was accepted for later; `try_again` starts
  // another run of such an item.
  OnceTicket(OnceTools& tools, KeyedItem item, std::shared_ptr<HttpReply> reply,
             std::function<void()> try_again = {});

  // Gets the agent's stamp for the dispatch, or nothing when the agent can't be
  // reached and nothing was claimed.
  using Go = std::function<void(std::optional<std::uint64_t> stamp)>;
  // Before each fresh dispatch (not before a resume), also after an earlier one
  // that did not run: `go` is called once the claim is durable. It is never called
  // when the ticket answers the caller by itself.
  void Claim(const RequestId& request, const Member& agent, Go go);
  // The run ended without a whole answer; `error.ran` says what is known.
  void Fail(const Error& error);

  // The run's answer. Send takes figmill's own refusals, as ProblemOf makes them;
  // an answer of a backend server comes by Begin, Write and End.
  void Send(HttpResponse response) override;
  void Begin(HttpResponse head) override;
  void Write(std::string bytes) override;
  void End() override;
  // Told only of a caller that leaves before anything is claimed: what is claimed
  // runs to its end.
  void OnClosed(std::function<void()> closed) override;

  // Begins an accepted item's work.
  void Start() { Step(once::Tick{}); }
  [[nodiscard]] bool accepted() const { return reply_ == nullptr; }
  [[nodiscard]] bool finished() const { return item_.finished(); }
  [[nodiscard]] const KeyedItem& item() const { return item_; }

 private:
  void ClaimWith(const once::Claim& claim);
  void Step(const once::Event& event);
  void Act(once::Action action);
  void WakeAt(Time at);
  void Tell(const once::ReplyOutcome& told);
  void TellWith(const OnceOutcome& outcome, bool replayed);
  void TellError(const Error& error);
  void NameItem(HttpResponse& response) const;
  template <typename Event>
  std::function<void(Event)> Back();

  OnceTools& tools_;
  KeyedItem item_;
  std::shared_ptr<HttpReply> reply_;
  std::function<void()> try_again_;
  Go go_;
  std::int64_t stamp_ = 0;
  RequestId request_;  // the last one claimed, which a trace of the run is found by
  bool claimed_ = false;
  bool run_over_ = false;
  int status_ = 0;  // of the run's answer, kept whole until its end
  std::string content_type_;
  std::string body_;
  std::size_t passed_ = 0;  // of body_, streamed to the caller already
  bool streaming_ = false;
  std::deque<Timer> timers_;
};

}  // namespace figmill
