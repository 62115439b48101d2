#pragma once

// State machine of one request that an entry forwards to a backend server itself: decides when
// the request is sent, resent, resumed, rejected or aborted. No I/O: typed events and the
// current time go in, typed actions come out. Not thread-safe.
//
// Invariants:
// - a request that is not idempotent is sent a second time only after the backend server
//   reported that it did not run it, or when it was never sent;
// - the final error says "not run" only when that holds for every send;
// - the caller gets each event of a stream once, complete and in order, and an incomplete
//   answer is visibly incomplete;
// - a stream is continued only by the software version that began it, within one answer and when
//   its caller resumes it.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"

namespace figmill {

// Id of a backend server. It may stay the same across a restart of the server.
struct BackendId {
  std::string value;
  auto operator<=>(const BackendId&) const = default;
  [[nodiscard]] bool empty() const { return value.empty(); }
};

// One process lifetime of a backend server, from start to exit. A later incarnation has a
// higher number and keeps no state of an earlier one, nor any request that was sent to it.
struct BackendIncarnation {
  std::uint64_t number = 0;  // 0: unknown
  auto operator<=>(const BackendIncarnation&) const = default;
  [[nodiscard]] bool known() const { return number != 0; }
};
// Whether `now` started after `before` had ended. An unknown incarnation is neither before nor
// after any other.
[[nodiscard]] inline bool IsLater(BackendIncarnation now, BackendIncarnation before) {
  return before.known() && now > before;
}

// The address of a backend server, and its incarnation and version at the time it was chosen.
struct BackendAddress {
  BackendId id;
  Address address;
  BackendIncarnation incarnation = {};
  SoftwareVersion version = {};
};

// Numbers the sends of one request; events of an earlier send are late and are dropped.
using SendNumber = std::uint32_t;

struct RelayPlan {
  RequestId request;
  bool idempotent = false;  // may run more than once
  bool stream = false;      // the answer is forwarded event by event
  bool resumable = false;   // a stream can be resumed after an event id
  int max_backends = 1;     // on how many backend servers it may run
  Time deadline{};          // the final answer is due by then
  // Time without data after which an idempotent request is sent to another backend server. 0:
  // never.
  Duration first_byte_timeout{0};
  Duration next_byte_timeout{0};
  // The event id after which the caller resumes a stream.
  std::optional<std::string> after_event = {};
};

// HTTP status of a backend server that is not the one that the request was addressed to.
inline constexpr int kMisdirected = 421;

// How the request id in an answer compares to the id of the request that was sent.
enum class AnswerIdMatch : std::uint8_t { kSame, kMissing, kOther };
[[nodiscard]] AnswerIdMatch MatchAnswerId(std::string_view echoed, std::string_view ours);
// Whether an answer belongs to our request. A duplicate answer to an earlier request may arrive
// on a reused connection in place of the expected one; if its "not run" were taken for ours, a
// request that is not idempotent would run twice. Backend servers may reject a request without
// a request id; a late answer always has one.
[[nodiscard]] inline bool BelongsToRequest(AnswerIdMatch id, bool not_run) {
  return id == AnswerIdMatch::kSame || (id == AnswerIdMatch::kMissing && not_run);
}

namespace relay {

// --- Events ----------------------------------------------------------------------

struct Start {};
// The result of ChooseBackend.
struct BackendChosen {
  BackendAddress backend;
};
struct NoBackend {
  Error error;
};
// The results of FindSource.
struct SourceFound {
  SoftwareVersion version;
};
struct SourceUnknown {
  Error error;
};
// The head of an answer. `not_run`: the backend server states that it did not run the request.
struct Head {
  SendNumber send = 0;
  HttpHead head;
  bool not_run = false;
  AnswerIdMatch id = AnswerIdMatch::kSame;
};
struct Bytes {
  SendNumber send = 0;
  std::string_view bytes;
};
struct End {
  SendNumber send = 0;
};
// The send failed: its connection was lost or the answer was malformed. `sent` is false only
// when no connection was established.
struct SendFailed {
  SendNumber send = 0;
  bool sent = true;
  std::string why;
};
// The incarnation of the backend server that the request was sent to has ended.
struct BackendRestarted {
  SendNumber send = 0;
};
struct TimerFired {};
struct CallerDisconnected {};
// The entry refuses a request that waits to be sent and has not run; no effect on others.
struct Refuse {
  Error error;
};

using Event =
    std::variant<Start, SourceFound, SourceUnknown, BackendChosen, NoBackend, Head, Bytes, End,
                 SendFailed, BackendRestarted, TimerFired, CallerDisconnected, Refuse>;

// --- Actions -----------------------------------------------------------------------

// Finds out which version began the stream that the caller resumes; the result is SourceFound or
// SourceUnknown, possibly at once.
struct FindSource {};
// Chooses a backend server; the result is BackendChosen or NoBackend, possibly at once.
struct ChooseBackend {
  std::vector<BackendId> tried;  // excluded from the choice
  bool resumes = false;          // part of the answer was already delivered
  // The version that must continue the stream; nullopt: any may run the request.
  std::optional<SoftwareVersion> version = std::nullopt;
};
struct Send {
  SendNumber send = 0;
  BackendAddress backend;
  std::optional<std::string> after_event;  // resume the stream after this event
  Duration time_left{0};
};
// The outcome of a send, which is evaluated for the health of the backend server.
enum class SendEnd : std::uint8_t {
  kAnswered,     // complete, and not a server error
  kRejected,     // not run, as the backend server stated
  kMisdirected,  // not run: another backend server answers at its address
  kFailed,       // complete or partial answer with a server error status
  kUnreachable,  // no connection was established
  kBroken,       // connection lost, answer malformed, or answer to another request
  kSilent,       // no data within the silence timeout
  kAbandoned,    // the caller disconnected, or the deadline passed
};
[[nodiscard]] std::string_view ToString(SendEnd end);
// The request no longer uses the send: close its connection if it is still open and release its
// slot at the backend server.
struct CloseSend {
  SendNumber send = 0;
  BackendAddress backend;
  SendEnd end = SendEnd::kAbandoned;
  std::string why;
};
// Events of a stream that may be resumed follow: its caller may resume it at another entry.
struct RecordSource {
  SoftwareVersion version;
};
struct ForwardHead {
  HttpHead head;
};
struct ForwardBytes {
  std::string bytes;
};
// Forwards a complete answer.
struct ForwardAnswer {
  HttpHead head;
  std::string body;
};
struct Finish {};
// The final answer is an error of this entry.
struct SendError {
  Error error;
};
// The answer can't be completed: close the caller's connection.
struct AbortAnswer {
  Error error;
};
// Sets the only timer of the request, replacing an earlier one.
struct SetTimer {
  Time at{};
};

using Action = std::variant<FindSource, ChooseBackend, Send, CloseSend, RecordSource, ForwardHead,
                            ForwardBytes, ForwardAnswer, Finish, SendError, AbortAnswer, SetTimer>;

}  // namespace relay

// A line of an event. A line without a colon is a name without a value.
struct EventField {
  std::string_view name;
  std::string_view value;
};
// Removes the first line from `event`, which must not be empty, and returns it.
[[nodiscard]] EventField TakeEventField(std::string_view& event);
// The id of an event, from its last "id" line; nullopt if it has none that can be sent in a header.
[[nodiscard]] std::optional<std::string> EventIdOf(std::string_view event);
// Position after the blank line that ends the first event, or npos; the search begins at `from`.
[[nodiscard]] std::size_t EndOfEvent(std::string_view bytes, std::size_t from = 0);

// Splits an event stream into complete events, records the id of the last one with data and detects
// duplicates. Ids increase: an event whose id is not after the last one is a duplicate. An event
// without data delivers nothing, so its id is no position to resume at.
class OrderedEventSplitter {
 public:
  // A longer event, or this much without data, is taken for bytes that are no event stream. Unit:
  // bytes.
  static constexpr std::size_t kMaxEventBytes = 256U << 10;

  // Returns the events that `bytes` completes, unchanged. Those with an id and no data are left
  // out: a caller would resume the stream after them.
  [[nodiscard]] std::string Feed(std::string_view bytes);
  // Drops an incomplete event.
  void DropIncomplete() {
    incomplete_.clear();
    scanned_ = 0;
    without_data_ = 0;
    has_duplicate_ = false;
    too_long_ = false;
  }
  // An event, or what came without data, exceeded the limit. Further data is ignored until
  // DropIncomplete.
  [[nodiscard]] bool too_long() const { return too_long_; }
  // A duplicate event arrived, so the data is not the continuation of the stream. Further data
  // is ignored until DropIncomplete; forwarded, it would appear twice in the output.
  [[nodiscard]] bool has_duplicate() const { return has_duplicate_; }
  [[nodiscard]] bool in_event() const { return !incomplete_.empty(); }
  // The id of the last event that has data and an id.
  [[nodiscard]] const std::optional<std::string>& last_id() const { return last_id_; }
  // Whether a stream that continues after last_id() repeats and leaves out nothing: no event
  // without an id came after it, and none before it that had been skipped.
  [[nodiscard]] bool can_resume() const { return !after_last_id_ && !out_of_order_; }
  // Events with data; others are forwarded like comments, and mean nothing.
  [[nodiscard]] std::uint64_t count() const { return count_; }
  // Sets the position of a stream whose earlier events were received elsewhere.
  void ResumeAfter(std::string last_id, std::uint64_t count);

 private:
  // Moves the position behind an event with data. Returns false if the event is a duplicate.
  [[nodiscard]] bool AdvanceTo(std::optional<std::string> id);

  std::string incomplete_;
  std::size_t scanned_ = 0;       // bytes of it that contain no end of an event
  std::size_t without_data_ = 0;  // bytes of whole events since the last one with data
  std::optional<std::string> last_id_;
  std::optional<std::uint64_t> last_number_;  // of the ids that are numbers
  std::uint64_t count_ = 0;
  bool after_last_id_ = false;  // an event with data and without an id came after last_id_
  bool has_skipped_ = false;    // ids that are numbers have left out some
  bool out_of_order_ = false;
  bool has_duplicate_ = false;
  bool too_long_ = false;
};

class RelayStateMachine {
 public:
  // Answers that are not forwarded event by event are buffered up to this size; a longer one is
  // forwarded as it arrives. Unit: bytes. While an answer is buffered, a lost connection can
  // still be recovered by a send to another backend server.
  static constexpr std::size_t kMaxBufferedBytes = 256U << 10;
  // Rejections by backend servers ("not run") after which the caller gets an error: each costs
  // a round trip, and by then the service as a whole is full.
  static constexpr std::size_t kMaxRejections = 3;
  // A timer that fires at least this late shows that this host was suspended: data that the
  // backend server sent meanwhile has not been read yet, so the server is not silent.
  static constexpr Duration kSuspendedTimerDelay{100'000};

  // A stream that only one version can continue waits this long for a backend server of it that was
  // lost, and asks for one at this interval. Callers don't notice a pause of this length.
  static constexpr Duration kVersionWait{500'000};
  static constexpr Duration kVersionRetryInterval{100'000};

  explicit RelayStateMachine(RelayPlan plan);

  [[nodiscard]] std::vector<relay::Action> Step(Time now, const relay::Event& event);

  [[nodiscard]] bool finished() const { return state_ == State::kFinished; }
  [[nodiscard]] const RelayPlan& plan() const { return plan_; }
  [[nodiscard]] int backends_used() const { return backends_used_; }
  [[nodiscard]] std::uint64_t events_forwarded() const { return splitter_.count(); }
  // Whether the request ran at a backend server, or may have, as far as the sends that ended show.
  [[nodiscard]] bool may_have_run() const { return ran_ != Ran::kNo; }
  // Whether the answer has stopped inside an event.
  [[nodiscard]] bool in_event() const { return splitter_.in_event(); }

 private:
  enum class State : std::uint8_t {
    kIdle,
    kFindingSource,
    kChoosingBackend,
    kWaitingForVersion,
    kSent,
    kAnswering,
    kFinished
  };

  void On(Time now, const relay::Start& event);
  void On(Time now, const relay::SourceFound& event);
  void On(Time now, const relay::SourceUnknown& event);
  void On(Time now, const relay::BackendChosen& event);
  void On(Time now, const relay::NoBackend& event);
  void On(Time now, const relay::Head& event);
  void On(Time now, const relay::Bytes& event);
  void On(Time now, const relay::End& event);
  void On(Time now, const relay::SendFailed& event);
  void On(Time now, const relay::BackendRestarted& event);
  void On(Time now, const relay::TimerFired& event);
  void On(Time now, const relay::CallerDisconnected& event);
  void On(Time now, const relay::Refuse& event);

  void OnEventBytes(Time now, std::string_view bytes);
  void ChooseNextBackend(Time now);
  [[nodiscard]] bool ShouldWaitForVersion(Time now, const Error& error);
  void EndSend(relay::SendEnd end, std::string why);
  void RetryOrFail(Time now, relay::SendEnd end, std::string why, Ran ran);
  void OnFailedAnswer(Time now, const relay::Head& event);
  void OnDeadline();
  void FinishWithError(Error error);
  void ArmTimer(Time now);
  [[nodiscard]] bool IsCurrent(SendNumber send) const;
  [[nodiscard]] bool MayResend(Ran ran) const;

  RelayPlan plan_;
  State state_ = State::kIdle;
  std::vector<relay::Action> actions_;
  SendNumber send_ = 0;
  BackendAddress backend_;
  std::vector<BackendId> tried_;
  bool received_stray_answer_ = false;  // ended the last send
  std::size_t rejections_ = 0;
  int backends_used_ = 0;  // backend servers on which the request ran, or may have run
  Ran ran_ = Ran::kNo;
  std::optional<SoftwareVersion> version_;  // that must continue the stream
  std::optional<Time> version_missed_at_;   // when none of it was left to try for the first time
  bool head_forwarded_ = false;
  HttpHead head_;
  std::string buffer_;
  OrderedEventSplitter splitter_;
  Time last_data_at_{};
  Time timer_at_{};
};

}  // namespace figmill
