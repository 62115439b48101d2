#pragma once

// The gate beside one backend server: it sees all of that server's work, so
// here live the order of online before batch, the limit on concurrent work, and
// the truth about what ran. No I/O: typed events in, typed actions out.

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/control.h"

namespace figmill {

// One arrival of a dispatch, named by the shell, never 0. A request id that
// arrives twice is two arrivals, and each gets its own answer.
using Arrival = std::uint64_t;

// What the headers of a dispatch say (docs/PROTOCOLS.md).
struct Dispatch {
  RequestId request;
  Incarnation incarnation = 0;  // of the agent that the sender means
  WorkClass work_class = WorkClass::kOnline;
  ServiceName service;
  ItemKey item;  // empty: nothing lasting depends on the answer
  bool repeatable = true;
  Duration time_left{60'000'000};
  std::uint32_t tokens = 0;         // most tokens the answer may have; 0 unknown
  std::uint32_t prompt_tokens = 0;  // estimated from the body's size
  // Set: take up the stream of this request id after so many tokens; it is
  // never started anew.
  std::optional<std::uint64_t> resume_from;
  // This agent's clock as the sender heard it before it sent: no copy of the
  // dispatch is older. Clocks of two hosts are never compared.
  std::optional<Time> stamp;
  NodeId owner;  // batch: holder of the job's lease
  JobId job;
  Epoch epoch = 0;
};

// --- Events --------------------------------------------------------------------------

struct Arrived {
  Arrival arrival = 0;
  Dispatch dispatch;
};
// `tokens` more of the answer came.
struct BackendTokens {
  RequestId request;
  std::uint32_t tokens = 1;
};
// The answer is whole.
struct BackendEnded {
  RequestId request;
};
// The answer broke off or never began. `error.ran` is kNo only when the backend
// server can't have seen the request; kNotFound after ResumeBackend means that
// it holds no such stream.
struct BackendFailed {
  RequestId request;
  Error error;
};
// The backend server confirmed a CancelBackend, or can't be asked.
struct BackendStopped {
  RequestId request;
};
struct PeerGone {
  Arrival arrival = 0;
};
// Asks for a promise that the request never starts here. `stamp` is a time, on
// this agent's clock, before the dispatch was sent: without it, or with one too
// old, the promise may have to be refused.
struct Revoke {
  RequestId request;
  Incarnation incarnation = 0;
  std::optional<Time> stamp;
};
struct Cancel {
  RequestId request;
};
// A newer holder works the job under `epoch`.
struct Supersede {
  JobId job;
  Epoch epoch = 0;
};
// Membership has lost a batch owner: its host may be gone without a word, and
// then its connections still look open.
struct OwnerSilent {
  NodeId owner;
};
struct LeavingChanged {
  bool leaving = true;
};
// The backend server's own report; it lags.
struct LoadReported {
  EngineLoad load;
};
struct Tick {};

using GateEvent =
    std::variant<Arrived, BackendTokens, BackendEnded, BackendFailed, BackendStopped, PeerGone,
                 Revoke, Cancel, Supersede, OwnerSilent, LeavingChanged, LoadReported, Tick>;

// --- Actions -------------------------------------------------------------------------

enum class RequestState : std::uint8_t { kNeverStarted, kRunning, kFinished };

// Call the backend server. `rerun`: bytes kept of an earlier run are dropped.
struct StartBackend {
  RequestId request;
  bool rerun = false;
};
// Take the stream up after `from` tokens. `adopted`: for a new arrival, which
// holds those tokens; otherwise the gate's shell does.
struct ResumeBackend {
  RequestId request;
  std::uint64_t from = 0;
  Arrival adopted = 0;
};
// Stop the stream at the backend server; no event of it counts until
// BackendStopped. `keep`: it will be taken up again, so keep what it takes.
struct CancelBackend {
  RequestId request;
  bool keep = false;
};
// The request is over, without a whole answer; `error.ran` is true. `arrival` is
// 0 when nobody waits for it.
struct Refuse {
  Arrival arrival = 0;
  RequestId request;
  Error error;
};
// The request is over and its answer is whole; `arrival` as above.
struct Finish {
  Arrival arrival = 0;
  RequestId request;
};
// Final answer to an arrival; the request itself goes on without it.
struct Detach {
  Arrival arrival = 0;
  RequestId request;
  Error error;
};
// The answer to Revoke or Cancel.
struct OrderAnswer {
  RequestId request;
  Result<RequestState> state;
};

using GateAction =
    std::variant<StartBackend, ResumeBackend, CancelBackend, Refuse, Finish, Detach, OrderAnswer>;

// --- The gate ------------------------------------------------------------------------

struct GateConfig {
  Incarnation incarnation = 1;
  LatencyTarget target;
  // A model engine, whose streams can be resumed. Otherwise a plain service: a
  // call counts as one token, and its whole time is held to target.first_token.
  bool token_streams = true;
  int max_running = 256;  // streams at once, whatever the latency says
  int max_online_queue = 1024;
  int ready_batch = 64;      // batch items kept ready beyond those that run
  double batch_harm = 0.04;  // share by which batch may stretch online's token gap
  int max_records = 32'768;  // finished and revoked ids remembered
  Duration remember{120'000'000};
  Duration keep_for_resume{10'000'000};
  Duration batch_patience{60'000'000};  // longest wait of a batch item in one go
};

struct GateCounts {
  int online_running = 0;
  int online_queued = 0;
  int batch_running = 0;
  int batch_queued = 0;  // never started here
  int batch_paused = 0;  // stopped for online, to be taken up again
  int online_limit = 0;
  // Online streams to which this backend server should be filled before another
  // is used, so that the others are left to batch (docs/design/gate.md).
  int online_mark = 0;
  int batch_limit = 0;
  int room = 0;              // batch items that a sender may add now
  std::uint64_t stops = 0;   // batch streams stopped for online
  std::uint64_t reruns = 0;  // of those, run again from the start
  Duration token_gap{};      // predicted at the present concurrency
};

class Gate {
 public:
  explicit Gate(const GateConfig& config);
  ~Gate();
  Gate(Gate&&) noexcept;
  Gate& operator=(Gate&&) noexcept;

  // Carry the actions out in their order before the next step.
  [[nodiscard]] std::vector<GateAction> Step(Time now, const GateEvent& event);
  // The service's settings changed.
  void SetTarget(const LatencyTarget& target);
  [[nodiscard]] GateCounts counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace figmill
