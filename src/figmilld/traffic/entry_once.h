#pragma once

// The entry's side of keyed and not-repeatable requests: tickets for the online
// run, `Prefer: respond-async`, stored results, and the care for what other
// entries left behind.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "figmill/once.h"
#include "figmill/runtime.h"
#include "figmilld/traffic/once_ticket.h"

namespace figmill {

class EntryOnce {
 public:
  using Route = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

  // `route` runs a stored request as if a caller had sent it.
  EntryOnce(Loop& loop, HttpClient& client, TableStore& table, ObjectStore& objects,
            NodeInstance self, OnceMembershipView view, Route route);
  ~EntryOnce();

  // Whether the request must have a ticket: it has a key, or may not be repeated.
  [[nodiscard]] static bool Needed(const HttpRequest& request, bool repeatable);
  // A ticket for one request, to be used in place of `reply` from then on. Errors:
  // kBadRequest (the key), kOverloaded.
  [[nodiscard]] Result<std::shared_ptr<OnceTicket>> Open(const HttpRequest& request,
                                                         bool repeatable, Duration time_left,
                                                         std::shared_ptr<HttpReply> reply);

  [[nodiscard]] static bool WantsAsync(const HttpRequest& request);
  // Answers 202 once the item is durable, and runs it. `repeatable` as the
  // configuration and the request say.
  void Accept(HttpRequest request, bool repeatable, std::shared_ptr<HttpReply> reply);
  // GET /v1/results/{key}.
  void OnResult(const HttpRequest& request, std::shared_ptr<HttpReply> reply);

  // POST /once/write, from the other entries of the data centre.
  void OnWrite(const HttpRequest& request, std::shared_ptr<HttpReply> reply);

  // Requests whose outcome isn't durable yet.
  [[nodiscard]] std::size_t open() const;

 private:
  struct Acceptance;
  [[nodiscard]] Result<ItemKey> KeyOf(const HttpRequest& request) const;
  [[nodiscard]] once::Spec SpecOf(const HttpRequest& request, ItemKey key, bool repeatable) const;
  void WriteUntilKnown(OnceWrite write, std::function<void(OnceWriteResult)> done,
                       bool unknown_before = false);
  void WriteAcceptance(const std::shared_ptr<Acceptance>& acceptance, const std::string& object,
                       RowVersion released);
  void OnAcceptFate(const std::shared_ptr<Acceptance>& acceptance, const std::string& object,
                    const OnceWriteResult& fate);
  void StartAccepted(const once::Spec& spec, once::Accepted accepted, HttpRequest request);
  void Answer(const ItemKey& key, const OnceRow& row, const std::shared_ptr<HttpReply>& reply);
  void StartCare();
  void Care();
  void CareFor(const OpenItemMarker& open);
  void TakeOver(const ItemKey& key, const OnceRow& row, RowVersion version);
  void Adopt(const ItemKey& key, const OnceRow& row, RowVersion version);
  void ReadClock();
  void Sweep();
  void Act(const std::vector<RetentionSweep::Action>& actions);
  void DropFinished();

  Loop& loop_;
  NodeInstance self_;
  OnceMembershipView view_;
  Route route_;
  OnceTools tools_;
  RetentionSweep sweep_;
  std::set<std::shared_ptr<OnceTicket>> open_;
  std::set<std::string> owned_;  // accepted items in this process's care, by key
  std::string care_after_;
  Timer care_timer_;
  Timer clock_timer_;
  Timer sweep_timer_;
  std::size_t next_drop_ = 16;
  std::map<std::size_t, Timer> retries_;
  std::size_t next_retry_ = 0;
};

}  // namespace figmill
