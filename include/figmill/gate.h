#pragma once

// Scheduler of one backend server, in the agent next to it. All requests to that
// server pass through it, so it ranks online before batch, limits concurrency, and
// records which requests ran. No I/O: typed events in, typed actions out.

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/control.h"

namespace figmill {

// Identifies one arrival of a dispatch; chosen by the caller of Step(), never 0. A
// request id that arrives twice is two arrivals, and each gets its own answer.
using ArrivalId = std::uint64_t;

// Contents of the headers of a dispatch (docs/PROTOCOLS.md).
struct Dispatch {
  RequestId request;
  Incarnation incarnation = 0;  // of the agent that the sender addresses
  WorkClass work_class = WorkClass::kOnline;
  ServiceName service;
  ItemKey item;  // empty: the answer isn't stored under a key
  bool repeatable = true;
  Duration time_left{60'000'000};
  std::uint32_t max_tokens = 0;     // limit on answer tokens; 0: unknown
  std::uint32_t prompt_tokens = 0;  // estimated from the size of the body
  // If set, resume the stream of this request id after so many tokens; it is never
  // started anew.
  std::optional<std::uint64_t> resume_from;
  // Time on this agent's clock, as last received by the sender before it sent the
  // dispatch: no copy is older. Clocks of two hosts are never compared.
  std::optional<Time> stamp;
  NodeId owner;  // for batch: holder of the job's lease
  JobId job;
  Epoch epoch = 0;
};

// --- Events --------------------------------------------------------------------------

struct DispatchArrived {
  ArrivalId arrival = 0;
  Dispatch dispatch;
};
// `tokens` further tokens of the answer were received.
struct StreamTokens {
  RequestId request;
  std::uint32_t tokens = 1;
};
// The answer is complete.
struct StreamFinished {
  RequestId request;
};
// The answer broke off or never started. `error.ran` is kNo only when the backend
// server can't have received the request; kNotFound after ResumeStream means that
// it holds no such stream.
struct StreamFailed {
  RequestId request;
  Error error;
};
// The backend server confirmed a StopStream, or can't be reached.
struct StreamStopped {
  RequestId request;
};
struct SenderDisconnected {
  ArrivalId arrival = 0;
};
// Requests a promise that the request never starts here. `stamp` is a time on this
// agent's clock before the dispatch was sent; without it, or when it is too old, the
// promise may be refused.
struct Revoke {
  RequestId request;
  Incarnation incarnation = 0;
  std::optional<Time> stamp;
};
struct Cancel {
  RequestId request;
};
// A newer lease holder runs the job under `epoch`.
struct Supersede {
  JobId job;
  Epoch epoch = 0;
};
// Membership has lost a batch owner. Its host may have failed without closing its
// connections, which then still look open.
struct OwnerLost {
  NodeId owner;
};
struct LeavingChanged {
  bool leaving = true;
};
// The backend server's own load report; it lags.
struct LoadReported {
  EngineLoad load;
};
struct Tick {};

using SchedulerEvent = std::variant<DispatchArrived, StreamTokens, StreamFinished, StreamFailed,
                                    StreamStopped, SenderDisconnected, Revoke, Cancel, Supersede,
                                    OwnerLost, LeavingChanged, LoadReported, Tick>;

// --- Actions -------------------------------------------------------------------------

enum class RequestState : std::uint8_t { kNeverStarted, kRunning, kFinished };

// Calls the backend server. `rerun`: bytes stored from an earlier run are dropped.
struct StartStream {
  RequestId request;
  bool rerun = false;
};
// Resumes the stream after `from` tokens. If `reattached_arrival` is set, the answer
// goes to that new arrival, whose sender holds those tokens; otherwise the caller of
// Step() holds them.
struct ResumeStream {
  RequestId request;
  std::uint64_t from = 0;
  ArrivalId reattached_arrival = 0;
};
// Stops the stream at the backend server; its events are ignored until
// StreamStopped. `keep`: the stream will be resumed, so its state must be kept.
struct StopStream {
  RequestId request;
  bool keep = false;
};
// The request has ended without a complete answer; `error.ran` tells reliably whether
// it ran. `arrival` is 0 when no sender waits for it.
struct FailRequest {
  ArrivalId arrival = 0;
  RequestId request;
  Error error;
};
// The request has ended with a complete answer; `arrival` as above.
struct CompleteRequest {
  ArrivalId arrival = 0;
  RequestId request;
};
// Final answer to an arrival; the request itself continues without it.
struct DetachSender {
  ArrivalId arrival = 0;
  RequestId request;
  Error error;
};
// The answer to Revoke or Cancel.
struct CommandReply {
  RequestId request;
  Result<RequestState> state;
};

using SchedulerAction = std::variant<StartStream, ResumeStream, StopStream, FailRequest,
                                     CompleteRequest, DetachSender, CommandReply>;

// --- The scheduler -------------------------------------------------------------------

struct SchedulerConfig {
  Incarnation incarnation = 1;
  LatencyTarget target;
  // True for a model engine, whose streams can be resumed. Otherwise a plain service:
  // a call counts as one token, and its total time is held to target.first_token.
  bool token_streams = true;
  int max_running = 256;  // hard limit on concurrent streams
  int max_online_queue = 1024;
  int batch_queue_target = 64;       // batch items to keep queued in addition to the running ones
  double max_batch_slowdown = 0.04;  // share by which batch may increase the online token gap
  int max_records = 32'768;          // records of finished and revoked ids
  Duration record_retention{120'000'000};
  Duration resume_window{10'000'000};
  Duration max_batch_wait{60'000'000};  // longest uninterrupted wait of a batch item
};

struct SchedulerStats {
  int online_running = 0;
  int online_queued = 0;
  int batch_running = 0;
  int batch_queued = 0;  // not started yet
  int batch_paused = 0;  // stopped for online, to be resumed
  int online_limit = 0;  // the lower of the next two
  int gap_limit = 0;     // within the target of the token gap
  int engine_slots = 0;  // what the engine is taken to run at once
  // Number of online streams up to which senders should fill this backend server
  // before they use another, so that the others stay free for batch
  // (docs/design/gate.md).
  int online_mark = 0;
  int batch_limit = 0;
  int room = 0;                    // batch items that senders may add now
  std::uint64_t batch_stops = 0;   // batch streams stopped for online
  std::uint64_t batch_reruns = 0;  // stopped batch streams that were restarted from the beginning
  Duration predicted_token_gap{};  // predicted at the current concurrency
  Duration single_token_gap{};     // predicted for a single stream
  Duration online_service{};       // usual time of an online request from its start
};

class BackendScheduler {
 public:
  explicit BackendScheduler(const SchedulerConfig& config);
  ~BackendScheduler();
  BackendScheduler(BackendScheduler&&) noexcept;
  BackendScheduler& operator=(BackendScheduler&&) noexcept;

  // The returned actions must be carried out in their order before the next step.
  [[nodiscard]] std::vector<SchedulerAction> Step(Time now, const SchedulerEvent& event);
  // The service's settings changed.
  void SetTarget(const LatencyTarget& target);
  [[nodiscard]] SchedulerStats counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace figmill
