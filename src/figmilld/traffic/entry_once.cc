#include "figmilld/traffic/entry_once.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "figmilld/traffic/once_relay.h"
#include "figmilld/traffic/stored_request.h"

namespace figmill {
namespace {

constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr std::string_view kTeamHeader = "Figmill-Team";
constexpr std::string_view kResultsPath = "/v1/results/";
// Requests in the care of this process at once, those whose outcome waits for the
// store included: about 8 KiB each at most, so 80 MB at the worst.
constexpr std::size_t kMaxOpen = 10'000;
constexpr Duration kResubmit{200'000};
constexpr Duration kAcceptPatience{2'000'000};

TeamId TeamOf(const HttpRequest& request) {
  return TeamId{std::string(request.HeaderOr(kTeamHeader))};
}

}  // namespace

EntryOnce::EntryOnce(Loop& loop, HttpClient& client, TableStore& table, ObjectStore& objects,
                     NodeInstance self, OnceMembershipView view, Route route)
    : loop_(loop),
      self_(std::move(self)),
      view_(std::move(view)),
      route_(std::move(route)),
      tools_{loop,
             table,
             objects,
             OnceWriter(loop, client, table, view_.writer_address),
             OnceAgentClient(client, view_),
             view_,
             SystemRandom()} {
  StartCare();
}

EntryOnce::~EntryOnce() = default;

// --- Requests ------------------------------------------------------------------------

std::size_t EntryOnce::open() const {
  return static_cast<std::size_t>(std::count_if(
      open_.begin(), open_.end(), [](const auto& ticket) { return !ticket->finished(); }));
}

bool EntryOnce::Needed(const HttpRequest& request, bool repeatable) {
  return !repeatable || !request.HeaderOr(kKeyHeader).empty();
}

once::Spec EntryOnce::SpecOf(const HttpRequest& request, ItemKey key, bool repeatable) const {
  const TeamId team = TeamOf(request);
  const std::string_view parts[] = {team.value, request.method, request.path, request.query,
                                    request.body};
  once::Spec spec;
  spec.key = std::move(key);
  spec.content = ContentDigest(parts);
  spec.team = team;
  spec.repeatable = repeatable;
  spec.self = self_;
  spec.retention_tick = sweep_.tick();
  return spec;
}

Result<ItemKey> EntryOnce::KeyOf(const HttpRequest& request) const {
  const std::string_view given = request.HeaderOr(kKeyHeader);
  if (given.empty()) return ItemKey{"auto-" + GenerateToken(tools_.random).value};
  Result<std::string> key = ParseId(given, kKeyHeader);
  if (!IsOk(key)) return ErrorOf(key);
  return ItemKey{std::move(ValueOf(key))};
}

Result<std::shared_ptr<OnceTicket>> EntryOnce::Open(const HttpRequest& request, bool repeatable,
                                                    Duration time_left,
                                                    std::shared_ptr<HttpReply> reply) {
  // The run of an accepted item answers to its ticket already.
  if (auto ticket = std::dynamic_pointer_cast<OnceTicket>(reply)) return ticket;
  Result<ItemKey> key = KeyOf(request);
  if (!IsOk(key)) return ErrorOf(key);
  DropFinished();
  if (open_.size() >= kMaxOpen) {
    return Error{ErrorKind::kOverloaded, "too many requests wait for their outcome's commit"};
  }
  once::Spec spec = SpecOf(request, std::move(ValueOf(key)), repeatable);
  spec.caller_deadline = Loop::Now() + time_left;
  auto ticket = std::make_shared<OnceTicket>(tools_, KeyedItem(std::move(spec)), std::move(reply));
  open_.insert(ticket);
  return ticket;
}

void EntryOnce::DropFinished() {
  if (open_.size() < next_drop_) return;
  std::erase_if(open_, [this](const auto& ticket) {
    if (ticket->finished() && ticket->accepted()) owned_.erase(ticket->item().spec().key.value);
    return ticket->finished();
  });
  next_drop_ = 2 * open_.size() + 16;  // so that its cost is constant for each request
}

void EntryOnce::OnWrite(const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
  Result<OnceWrite> write = ParseOnceWrite(request.body);
  if (!IsOk(write)) return reply->Send(ProblemOf(ErrorOf(write)));
  tools_.writer.WriteHere(std::move(ValueOf(write)), [reply](const OnceWriteResult& fate) {
    reply->Send({200, "application/json", {}, SerializeOnceFate(fate)});
  });
}

// --- Results -------------------------------------------------------------------------

void EntryOnce::OnResult(const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
  const ItemKey key{request.path.substr(std::min(kResultsPath.size(), request.path.size()))};
  tools_.table.Read(OnceRowKey(key), [this, key, team = TeamOf(request),
                                      reply](const Result<std::optional<Row>>& read) {
    if (!IsOk(read)) return reply->Send(ProblemOf(ErrorOf(read)));
    const std::optional<Row>& row = ValueOf(read);
    const Result<OnceRow> once = row ? ParseOnceRow(row->value) : OnceRow{};
    if (!IsOk(once)) return reply->Send(ProblemOf(ErrorOf(once)));
    const bool known = row && ValueOf(once).team == team;
    if (!known || ValueOf(once).phase == OncePhase::kReleased) {
      const std::string detail = known ? "the item did not run" : "no such key, or no longer";
      return reply->Send(ProblemOf({ErrorKind::kNotFound, detail}));
    }
    Answer(key, ValueOf(once), reply);
  });
}

void EntryOnce::Answer(const ItemKey& key, const OnceRow& row,
                       const std::shared_ptr<HttpReply>& reply) {
  if (row.phase == OncePhase::kUnknown) {
    return reply->Send(ProblemOf(
        {ErrorKind::kOutcomeUnknown, "it may have run; it will not be run again", Ran::kUnknown}));
  }
  const std::vector<Header> headers = {{std::string(kKeyHeader), key.value}};
  if (row.phase != OncePhase::kDone) {
    const nlohmann::json body = {{"key", key.value}, {"state", ToString(row.phase)}};
    HttpResponse response{202, "application/json", headers, body.dump()};
    response.headers.push_back({"Retry-After", "1"});
    return reply->Send(std::move(response));
  }
  const OnceOutcome& outcome = row.outcome;
  if (outcome.object.empty()) {
    return reply->Send({outcome.status, outcome.content_type, headers, outcome.body});
  }
  tools_.objects.Get(outcome.object, [outcome, headers, reply](Result<std::string> body) {
    if (!IsOk(body)) return reply->Send(ProblemOf(ErrorOf(body)));
    reply->Send({outcome.status, outcome.content_type, headers, std::move(ValueOf(body))});
  });
}

// --- Accepted for later ----------------------------------------------------------------

struct EntryOnce::Acceptance {
  once::Spec spec;
  HttpRequest request;
  OnceWrite write;
  std::shared_ptr<HttpReply> reply;  // null once answered
  Timer patience;

  void Tell(HttpResponse response) {
    if (const auto to = std::exchange(reply, nullptr)) to->Send(std::move(response));
  }
  void Tell(const Error& error) { Tell(ProblemOf(error)); }
  void TellAccepted() {
    const nlohmann::json body = {{"key", spec.key.value}, {"state", "queued"}};
    Tell({202,
          "application/json",
          {{std::string(kKeyHeader), spec.key.value},
           {"Location", std::string(kResultsPath) + spec.key.value}},
          body.dump()});
  }
};

bool EntryOnce::WantsAsync(const HttpRequest& request) {
  return request.HeaderOr("Prefer").find("respond-async") != std::string_view::npos;
}

void EntryOnce::Accept(HttpRequest request, bool repeatable, std::shared_ptr<HttpReply> reply) {
  Result<ItemKey> key = KeyOf(request);
  if (!IsOk(key)) return reply->Send(ProblemOf(ErrorOf(key)));
  if (owned_.size() >= kMaxOpen) {
    return reply->Send(ProblemOf({ErrorKind::kOverloaded, "too many accepted items here"}));
  }
  auto acceptance = std::make_shared<Acceptance>();
  acceptance->spec = SpecOf(request, std::move(ValueOf(key)), repeatable);
  acceptance->reply = std::move(reply);
  std::erase_if(request.headers, [](const Header& header) { return header.name == "Prefer"; });
  acceptance->request = std::move(request);
  const std::string object =
      "results/" + acceptance->spec.key.value + "/request-" + acceptance->spec.content;
  tools_.objects.Put(object, SerializeRequest(acceptance->request),
                     [this, acceptance, object](const Result<Ok>& stored) {
                       if (!IsOk(stored)) {
                         Error error = ErrorOf(stored);
                         error.ran = Ran::kNo;  // an object that no row names is nothing
                         return acceptance->Tell(error);
                       }
                       WriteAcceptance(acceptance, object, 0);
                     });
}

void EntryOnce::WriteAcceptance(const std::shared_ptr<Acceptance>& acceptance,
                                const std::string& object, RowVersion released) {
  acceptance->write = AcceptWrite(acceptance->spec, object, released, tools_.random);
  // Until the fate is known the item may be accepted, or not: no "not run" then.
  acceptance->patience = loop_.After(kAcceptPatience, [acceptance] {
    acceptance->Tell({ErrorKind::kStoreUnavailable,
                      "the item may be accepted: ask for its result, or send it again",
                      Ran::kUnknown});
  });
  WriteUntilKnown(acceptance->write, [this, acceptance, object](const OnceWriteResult& fate) {
    OnAcceptFate(acceptance, object, fate);
  });
}

void EntryOnce::OnAcceptFate(const std::shared_ptr<Acceptance>& acceptance,
                             const std::string& object, const OnceWriteResult& fate) {
  if (std::holds_alternative<NotWritten>(fate)) {
    return acceptance->Tell({ErrorKind::kStoreUnavailable, "the item could not be recorded"});
  }
  if (const auto* committed = std::get_if<OnceCommitted>(&fate)) {
    acceptance->TellAccepted();
    const Result<OnceRow> row = ParseOnceRow(acceptance->write.value);
    return StartAccepted(acceptance->spec, {ValueOf(row), committed->version}, acceptance->request);
  }
  const auto* rejected = std::get_if<OnceRejected>(&fate);
  if (rejected == nullptr || !rejected->current) {
    return acceptance->Tell({ErrorKind::kInternal, "the key was freed meanwhile; send it again"});
  }
  const Result<OnceRow> row = ParseOnceRow(rejected->current->value);
  if (!IsOk(row)) return acceptance->Tell(ErrorOf(row));
  if (ValueOf(row).phase == OncePhase::kReleased) {
    return WriteAcceptance(acceptance, object, rejected->current->version);
  }
  if (ValueOf(row).content != acceptance->spec.content) {
    return acceptance->Tell({ErrorKind::kConflict, "the key was used with other content"});
  }
  // Durable already, by an earlier request: its result comes under the same key.
  acceptance->TellAccepted();
}

void EntryOnce::StartAccepted(const once::Spec& spec, once::Accepted accepted,
                              HttpRequest request) {
  owned_.insert(spec.key.value);
  auto slot = std::make_shared<std::weak_ptr<OnceTicket>>();
  auto ticket = std::make_shared<OnceTicket>(tools_, KeyedItem(spec, std::move(accepted)), nullptr,
                                             [this, slot, request = std::move(request)] {
                                               if (auto self = slot->lock()) route_(request, self);
                                             });
  *slot = ticket;
  open_.insert(ticket);
  ticket->Start();
}

// Submits again until the fate is known; a refusal counts only when no earlier
// submission can have taken effect.
void EntryOnce::WriteUntilKnown(OnceWrite write, std::function<void(OnceWriteResult)> done,
                                bool unknown_before) {
  const OnceWrite copy = write;
  tools_.writer.Write(copy, [this, write = std::move(write), done = std::move(done),
                             unknown_before](OnceWriteResult fate) {
    const bool lost = std::holds_alternative<FateUnknown>(fate);
    if (lost || (unknown_before && std::holds_alternative<NotWritten>(fate))) {
      const std::size_t id = next_retry_++;
      retries_[id] = loop_.After(kResubmit, [this, id, write, done] {
        WriteUntilKnown(write, done, true);
        retries_.erase(id);
      });
      return;
    }
    // Rejected by our own earlier submission: that one took effect.
    const auto* rejected = std::get_if<OnceRejected>(&fate);
    if (unknown_before && rejected != nullptr && rejected->current &&
        rejected->current->value == write.value) {
      return done(OnceCommitted{rejected->current->version});
    }
    done(std::move(fate));
  });
}

}  // namespace figmill
