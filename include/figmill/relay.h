#pragma once

// The life of one request that an entry passes to a backend server itself: when
// it is sent, sent again, resumed, refused or broken off. No I/O: typed events go
// in with the time, typed actions come out. Not thread-safe.
//
// What it keeps to:
// - a request that may not be repeated goes out a second time only after the
//   backend server said that it did not run it, or when it was never sent;
// - "not run" is said only when that is true of every send;
// - the caller gets each event of a stream once, whole and in order, and what
//   breaks off looks broken.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"

namespace figmill {

// A backend server. One that starts again may keep its id.
struct BackendId {
  std::string value;
  auto operator<=>(const BackendId&) const = default;
  [[nodiscard]] bool empty() const { return value.empty(); }
};

// One life of a backend server, from a start of its process to its end. A later one has a
// higher number, and nothing of what an earlier one held or was sent.
struct BackendIncarnation {
  std::uint64_t number = 0;  // 0: not known
  auto operator<=>(const BackendIncarnation&) const = default;
  [[nodiscard]] bool known() const { return number != 0; }
};
// Whether `now` began after `before` had ended. One that is not known is neither before nor
// after any other.
[[nodiscard]] inline bool IsLater(BackendIncarnation now, BackendIncarnation before) {
  return before.known() && now > before;
}

// Where a backend server is reached, and in which incarnation it was when it was chosen.
struct BackendAddress {
  BackendId id;
  Address address;
  BackendIncarnation incarnation = {};
};

// Numbers the sends of one request; events of an earlier one are late and dropped.
using SendNumber = std::uint32_t;

struct RelayPlan {
  RequestId request;
  bool idempotent = false;  // may run more than once
  bool stream = false;      // the answer is passed on event by event
  bool resumable = false;   // a stream can go on after an event id
  int max_backends = 1;     // on how many backend servers it may run
  Time limit{};             // final answer by then
  // Silence after which an idempotent request is tried elsewhere. 0: never.
  Duration first_byte_patience{0};
  Duration next_byte_patience{0};
  // Where the caller itself resumes from.
  std::optional<std::string> after_event = {};
};

// The status of a backend server that is not the one that a request was meant for.
inline constexpr int kMisdirected = 421;

// Whose request an answer names.
enum class AnsweredId : std::uint8_t { kOurs, kNone, kAnothers };
[[nodiscard]] AnsweredId AnsweredIdOf(std::string_view echoed, std::string_view ours);
// Whether an answer is the one to our request. A second answer to an earlier request may come
// where this one's is due; "not run" in it says nothing of ours, and a request that may not be
// repeated would run twice if it were believed. Backend servers refuse without naming a request
// as well; a late answer always names one.
[[nodiscard]] inline bool IsOurs(AnsweredId id, bool not_run) {
  return id == AnsweredId::kOurs || (id == AnsweredId::kNone && not_run);
}

namespace relay {

// --- Events ----------------------------------------------------------------------

struct Start {};
// The answer to AskPlace.
struct Placed {
  BackendAddress backend;
};
struct NoPlace {
  Error error;
};
// The head of an answer. `not_run`: the backend server says that it did not run
// the request.
struct Head {
  SendNumber send = 0;
  HttpHead head;
  bool not_run = false;
  AnsweredId id = AnsweredId::kOurs;
};
struct Bytes {
  SendNumber send = 0;
  std::string_view bytes;
};
struct End {
  SendNumber send = 0;
};
// `sent` is false only when no connection was made.
struct Broke {
  SendNumber send = 0;
  bool sent = true;
  std::string why;
};
// The incarnation of the backend server that it was sent to has ended.
struct BackendRestarted {
  SendNumber send = 0;
};
struct TimerFired {};
struct CallerGone {};

using Event = std::variant<Start, Placed, NoPlace, Head, Bytes, End, Broke, BackendRestarted,
                           TimerFired, CallerGone>;

// --- Actions -----------------------------------------------------------------------

// Choose a backend server; the answer is Placed or NoPlace, also at once.
struct AskPlace {
  std::vector<BackendId> tried;  // not again
  bool resumes = false;          // part of the answer has been delivered
};
struct Send {
  SendNumber send = 0;
  BackendAddress backend;
  std::optional<std::string> after_event;  // resume after this event
  Duration time_left{0};
};
// How a send ended, for the health of the backend server.
enum class SendEnd : std::uint8_t {
  kAnswered,     // whole, and no failure
  kRejected,     // not run, says the backend server
  kMisdirected,  // not run: another backend server answers at its address
  kFailed,       // an answer that says it failed
  kUnreachable,  // no connection
  kBroken,       // broke off, was malformed or belonged to another request
  kSilent,       // given up for its silence
  kAbandoned,    // the caller left, or its time was up
};
[[nodiscard]] std::string_view ToString(SendEnd end);
// The send is over: close its connection if it is still open, give its place back.
struct SendOver {
  SendNumber send = 0;
  BackendAddress backend;
  SendEnd end = SendEnd::kAbandoned;
  std::string why;
};
struct PassHead {
  HttpHead head;
};
struct PassBytes {
  std::string bytes;
};
// A whole answer at once.
struct PassAnswer {
  HttpHead head;
  std::string body;
};
struct Finish {};
// The final answer is this entry's own.
struct Refuse {
  Error error;
};
// The answer can't be finished: close the caller's connection.
struct BreakOff {
  Error error;
};
// One timer; a later one replaces it.
struct SetTimer {
  Time at{};
};

using Action = std::variant<AskPlace, Send, SendOver, PassHead, PassBytes, PassAnswer, Finish,
                            Refuse, BreakOff, SetTimer>;

}  // namespace relay

// Cuts an event stream into whole events and knows the id of the last one. Ids increase: an
// event at or before the last one is a repetition.
class EventPieces {
 public:
  // The whole events that `bytes` completes, as they came.
  [[nodiscard]] std::string Feed(std::string_view bytes);
  // Gives up an event that was begun and not finished.
  void DropTail() {
    tail_.clear();
    repeats_ = false;
  }
  // An event came again: what is sent is not the rest of the stream. Nothing more is taken of
  // it until DropTail; passed on, it would stand in the output twice.
  [[nodiscard]] bool repeats() const { return repeats_; }
  [[nodiscard]] bool in_event() const { return !tail_.empty(); }
  [[nodiscard]] const std::optional<std::string>& last_id() const { return last_id_; }
  [[nodiscard]] std::uint64_t count() const { return count_; }
  // Goes on after events that came otherwise.
  void GoOnAfter(std::string last_id, std::uint64_t count) {
    last_id_ = std::move(last_id);
    count_ = count;
  }

 private:
  std::string tail_;
  std::optional<std::string> last_id_;
  std::uint64_t count_ = 0;
  bool repeats_ = false;
};

class RelayRun {
 public:
  // Answers that are passed on whole are held up to this size; a longer one is
  // passed on as it comes. Unit: bytes. An answer held whole can still be had from
  // another backend server when it breaks off.
  static constexpr std::size_t kMaxHeldBytes = 256U << 10;
  // Backend servers that may say "not run" before the caller is told so: each
  // costs a round trip, and by then the service as a whole is full.
  static constexpr std::size_t kMaxRejections = 3;
  // A timer that fires this late says that this host stood still: what the backend
  // server sent meanwhile has not been read yet, and it is not silent.
  static constexpr Duration kOverslept{100'000};

  explicit RelayRun(RelayPlan plan);

  [[nodiscard]] std::vector<relay::Action> Step(Time now, const relay::Event& event);

  [[nodiscard]] bool finished() const { return state_ == State::kFinished; }
  [[nodiscard]] const RelayPlan& plan() const { return plan_; }
  [[nodiscard]] int backends_used() const { return backends_used_; }
  [[nodiscard]] std::uint64_t events_passed() const { return pieces_.count(); }

 private:
  enum class State : std::uint8_t { kIdle, kAsking, kSent, kAnswering, kFinished };

  void On(Time now, const relay::Start& event);
  void On(Time now, const relay::Placed& event);
  void On(Time now, const relay::NoPlace& event);
  void On(Time now, const relay::Head& event);
  void On(Time now, const relay::Bytes& event);
  void On(Time now, const relay::End& event);
  void On(Time now, const relay::Broke& event);
  void On(Time now, const relay::BackendRestarted& event);
  void On(Time now, const relay::TimerFired& event);
  void On(Time now, const relay::CallerGone& event);

  void Ask(Time now);
  void EndSend(relay::SendEnd end, std::string why);
  void TryElsewhere(Time now, relay::SendEnd end, std::string why, Ran ran);
  void OnFailedAnswer(Time now, const relay::Head& event);
  void OnTimeUp();
  void GiveUp(Error error);
  void ArmTimer(Time now);
  [[nodiscard]] bool IsCurrent(SendNumber send) const;
  [[nodiscard]] bool MaySendAgain(Ran ran) const;

  RelayPlan plan_;
  State state_ = State::kIdle;
  std::vector<relay::Action> actions_;
  SendNumber send_ = 0;
  BackendAddress backend_;
  std::vector<BackendId> tried_;
  std::size_t rejections_ = 0;
  int backends_used_ = 0;  // on which it ran, or may have run
  Ran ran_ = Ran::kNo;
  bool head_passed_ = false;
  HttpHead head_;
  std::string held_;
  EventPieces pieces_;
  Time heard_at_{};
  Time timer_at_{};
};

}  // namespace figmill
