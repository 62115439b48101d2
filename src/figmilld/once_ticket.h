#pragma once

// One keyed or not-repeatable request on its way: stands between the online run
// and its caller. The run asks it before each attempt and answers into it; the
// caller's answer waits for the commit of the outcome.

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "figmill/once.h"
#include "figmill/runtime.h"
#include "figmilld/once_agent.h"
#include "figmilld/once_writer.h"
#include "figmilld/online_call.h"

namespace figmill {

// What tickets work with; it outlives them all.
struct OnceTools {
  Loop& loop;
  TableStore& table;
  ObjectStore& objects;
  OnceWriter writer;
  OnceAgent agent;
  OnceView& view;
  RandomBits random;
};

class OnceTicket final : public std::enable_shared_from_this<OnceTicket> {
 public:
  // Starts an online run that answers into `sink` and asks `claim`; the result
  // stops it.
  using Run = std::function<std::function<void()>(OnlineSink sink, ClaimAttempt claim)>;

  // `reply` is null for an item that was accepted for later.
  OnceTicket(OnceTools& tools, KeyedItem item, Run run, std::shared_ptr<HttpReply> reply);

  // Begins the request, or the work of an accepted item.
  void Start();
  [[nodiscard]] bool accepted() const { return reply_ == nullptr; }
  [[nodiscard]] bool finished() const { return item_.finished(); }
  [[nodiscard]] const KeyedItem& item() const { return item_; }

 private:
  using ClaimAnswer = std::function<void(Result<Ok>)>;

  // From the run.
  void StartRun();
  [[nodiscard]] OnlineSink Sink();
  void Claim(const RequestId& request, const Pick& agent, ClaimAnswer answer);
  void Head(int status, const std::string& content_type);
  void Bytes(std::string bytes);
  void Whole();
  void Failed(const Error& error);

  void Step(const once::Event& event);
  void Act(once::Action action);
  void LetGo();
  void WakeAt(Time at);
  template <typename Event>
  std::function<void(Event)> Back();

  // To the caller.
  void Tell(const once::TellOutcome& told);
  void TellWith(const OnceOutcome& outcome, bool replayed);
  void TellError(const Error& error);
  void NameItem(HttpResponse& response) const;

  OnceTools& tools_;
  KeyedItem item_;
  Run run_;
  std::shared_ptr<HttpReply> reply_;
  std::function<void()> stop_run_;
  bool run_over_ = false;
  ClaimAnswer claim_answer_;
  RequestId request_;  // the last one claimed, by which a trace of the run is found
  int status_ = 0;     // of the run's answer, kept whole until its end
  std::string content_type_;
  std::string body_;
  std::size_t passed_ = 0;  // of body_, streamed to the caller already
  bool streaming_ = false;
  std::deque<Timer> timers_;
};

}  // namespace figmill
