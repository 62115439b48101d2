#pragma once

// The shell around the decisions: event loops, HTTP, JSON-RPC, datagrams, the
// platform's clients, traces and the supervisor tree. Asio,
// RESTinio, curl and jsonrpccpp stay behind this header.

#include <atomic>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/observe.h"
#include "figmill/platform.h"

namespace figmill {

// --- Event loop ----------------------------------------------------------------

namespace detail {
struct LoopCore;
struct TimerCore;
}  // namespace detail

// Cancels its timer when destroyed or reset.
class Timer {
 public:
  Timer() = default;
  explicit Timer(std::shared_ptr<detail::TimerCore> core) : core_(std::move(core)) {}
  Timer(Timer&&) noexcept = default;
  Timer& operator=(Timer&& other) noexcept;
  ~Timer() { Reset(); }
  void Reset();

 private:
  std::shared_ptr<detail::TimerCore> core_;
};

// One thread's event loop. Only Post and Stop may be called from other threads.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Run();  // until Stop
  void Stop();
  void Restart();  // so that Run may be called again
  void Post(std::function<void()> task);
  [[nodiscard]] Timer After(Duration delay, std::function<void()> task);
  // As After, for what is never called off.
  void Later(Duration delay, std::function<void()> task);
  // Repeats until the timer is destroyed; never overlaps itself.
  [[nodiscard]] Timer Every(Duration period, std::function<void()> task);
  // Runs `task` on this loop for SIGTERM and SIGINT.
  void OnTerminate(std::function<void()> task);
  // Runs `task` on this loop for SIGHUP, which ends the process otherwise.
  void OnReload(std::function<void()> task);

  [[nodiscard]] static Time Now();
  [[nodiscard]] static WallTime WallNow();
  // Also counts while the host is suspended, which Now doesn't.
  [[nodiscard]] static Duration SinceBoot();
  // How long the host has been suspended since it started.
  [[nodiscard]] static Duration Suspended() { return SinceBoot() - Now().time_since_epoch(); }
  [[nodiscard]] detail::LoopCore& core() { return *core_; }

 private:
  std::unique_ptr<detail::LoopCore> core_;
};

// A random source seeded from the operating system, for one thread.
[[nodiscard]] RandomBits SystemRandom();

// --- HTTP server -----------------------------------------------------------------

struct HttpRequest {
  std::string method;
  std::string path;   // without the query, still percent-encoded
  std::string query;  // without '?'
  std::vector<Header> headers;
  std::string body;

  // First header of this name, whatever its case; empty when absent.
  [[nodiscard]] std::string_view HeaderOr(std::string_view name,
                                          std::string_view fallback = {}) const;
  // Decoded value of a query parameter.
  [[nodiscard]] std::optional<std::string> QueryValue(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";  // empty: `headers` has it, or none
  std::vector<Header> headers;
  std::string body;
  bool close = false;  // the connection ends with this answer
};

// The answer to one request; used on the server's loop only. Either Send once,
// or Begin, any number of Writes, then End.
class HttpReply {
 public:
  virtual ~HttpReply() = default;
  virtual void Send(HttpResponse response) = 0;
  virtual void Begin(HttpResponse head) = 0;  // its body, if any, is the first chunk
  virtual void Write(std::string bytes) = 0;
  virtual void End() = 0;
  // Called once when the peer goes away before the answer is complete.
  virtual void OnClosed(std::function<void()> closed) = 0;
  // Breaks the answer off by closing the connection, so that the peer sees that
  // it is not whole. OnClosed is not called. A reply without a connection of its
  // own has nothing to close.
  virtual void Abort() {}
  // Bytes written here that the peer has not taken yet.
  [[nodiscard]] virtual std::size_t unsent() const { return 0; }
};
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

inline constexpr std::size_t kMaxBodyBytes = 8U << 20;  // a caller's body

class HttpServer {
 public:
  // Asked for each new connection; if it returns false, the connection is closed unread.
  using ConnectionFilter = std::function<bool()>;
  // Listens at once; port 0 takes a free one. Errors: kInternal, with the cause.
  static Result<std::unique_ptr<HttpServer>> Listen(Loop& loop, const Address& at,
                                                    HttpHandler handler,
                                                    ConnectionFilter filter = nullptr);
  virtual ~HttpServer() = default;
  [[nodiscard]] virtual Address address() const = 0;
  // No new connections; the ones that are open finish their requests.
  virtual void StopAccepting() = 0;
  // Closes the connections that had a request and have none now. A caller whose
  // next request crosses that sees that it was not read.
  virtual void CloseIdle() = 0;
  // Requests whose answers have not been written out yet.
  [[nodiscard]] virtual std::size_t open_replies() const = 0;
};

// application/problem+json with kind, detail, ran, and Retry-After.
[[nodiscard]] HttpResponse ProblemOf(const Error& error);
// Reads a problem document back; other bodies give kBackendFailed with `status`.
[[nodiscard]] Error ErrorFromProblem(int status, std::string_view body);

// --- HTTP client -----------------------------------------------------------------

struct HttpCall {
  std::string method = "GET";
  Address to;
  std::string target = "/";
  std::vector<Header> headers;
  std::string body;
  Duration connect_timeout{1'000'000};
  Duration total_timeout{0};  // 0: none
  Duration idle_timeout{0};   // longest silence, in whole seconds; 0: none
  // A pooled connection that the peer has just closed makes the client send
  // again on a fresh one. A request that may not be repeated must not take that
  // risk: it gets a connection of its own.
  bool fresh_connection = false;
  // Counts the call's bytes, both ways; stays until the call's last event. Only with
  // NoRetryHttpClient.
  Counter* bytes = nullptr;
  // While it returns true, no more of the answer is read, so that a peer that sends faster than
  // the answer can be passed on fills no memory here. Only with NoRetryHttpClient.
  std::function<bool()> hold_reads = nullptr;
  // An answer with a longer body fails. Unit: bytes. 0: no limit with Start, kMaxFetchedBytes with
  // Fetch.
  std::size_t max_body_bytes = 0;
};

struct HttpBytes {
  std::string_view bytes;  // valid during the call
};
// The answer ended by HTTP's own rules.
struct HttpEnd {
  // Neither a length nor a last chunk ended it, only the peer's close. The peer may have crashed.
  bool by_close = false;
  // Time since that close arrived at this host; nullopt: unknown. Only with NoRetryHttpClient.
  std::optional<Duration> closed_ago = std::nullopt;
};
// It did not. `sent` is false only when no connection was made, so that the
// peer can't have seen the request.
struct HttpFailure {
  bool sent = true;
  bool timed_out = false;
  std::string why;
};
using HttpEvent = std::variant<HttpHead, HttpBytes, HttpEnd, HttpFailure>;

// Limit on the body of an answer that is kept as a whole, well above the largest that the store,
// a backend server or another process of figmill sends. Unit: bytes.
inline constexpr std::size_t kMaxFetchedBytes = 4 * kMaxBodyBytes;

// Gathers the events of one call into a whole answer; any status is a value. The call must have a
// limit on the body. Errors: kBackendFailed with `ran` no (never sent) or unknown.
[[nodiscard]] std::function<void(HttpEvent)> CollectAnswer(
    std::function<void(Result<HttpResponse>)> done);

// Calls run on the loop that it was made with.
class HttpClient {
 public:
  explicit HttpClient(Loop& loop);
  ~HttpClient();
  // Events come on the loop, the last is HttpEnd or HttpFailure; none comes
  // after the returned function was called.
  CancelCall Start(HttpCall call, std::function<void(HttpEvent)> on_event);
  // The whole answer at once; any status is a value. An answer that neither a length nor chunks
  // end is none, and neither is one whose body is longer than the call allows. Errors:
  // kBackendFailed with `ran` no (never sent) or unknown.
  CancelCall Fetch(HttpCall call, std::function<void(Result<HttpResponse>)> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// --- JSON-RPC ----------------------------------------------------------------------

// Control orders between figmill's processes. Parameters and results are JSON
// objects as text; each side parses them into its own aggregates.
class RpcServer {
 public:
  using Method = std::function<Result<std::string>(std::string_view params)>;
  // Counts what it can't read as figmill_rpc_malformed_total.
  explicit RpcServer(Metrics* metrics = nullptr);
  ~RpcServer();
  void Bind(std::string name, Method method);
  // The body of a JSON-RPC request to the body of its answer.
  [[nodiscard]] std::string Handle(std::string_view body);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// POST /rpc at `to`; `params` is a JSON object. Errors: those of the method; kBackendFailed when
// not reached, with `ran` as for HttpClient::Fetch.
void CallRpc(HttpClient& client, const Address& to, std::string_view method,
             std::string_view params, Duration timeout,
             std::function<void(Result<std::string>)> done);

// --- Datagrams ---------------------------------------------------------------------

inline constexpr std::size_t kMaxDatagramBytes = 1400;

class UdpSocket {
 public:
  using Handler = std::function<void(std::string_view bytes, const Address& from)>;
  // Binds at once; port 0 takes a free one. Datagrams over the limit are counted
  // as figmill_datagrams_oversized_total and dropped, both ways. Errors:
  // kInternal, with the cause.
  static Result<std::unique_ptr<UdpSocket>> Bind(Loop& loop, const Address& at, Handler handler,
                                                 Metrics* metrics = nullptr);
  virtual ~UdpSocket() = default;
  virtual void Send(std::string bytes, const Address& to) = 0;  // may be lost
  [[nodiscard]] virtual Address address() const = 0;
};

// --- The platform over HTTP ----------------------------------------------------------

// Clients of the platform's services (docs/PLATFORM.md has the calls).
class HttpPlatform final : public TableStore,
                           public ObjectStore,
                           public HostList,
                           public WeightStore {
 public:
  HttpPlatform(HttpClient& client, Address platform, Duration timeout);
  void Commit(Transaction transaction, std::function<void(TransactionOutcome)> done) override;
  void Read(std::string key, std::function<void(Result<std::optional<Row>>)> done) override;
  void Scan(RowRange range, std::function<void(Result<std::vector<Row>>)> done) override;
  void Put(std::string key, std::string bytes, std::function<void(Result<Ok>)> done) override;
  void Get(std::string key, std::function<void(Result<std::string>)> done) override;
  void Delete(std::string key, std::function<void(Result<Ok>)> done) override;
  void List(std::function<void(Result<std::vector<ListedHost>>)> done) override;
  void Reserve(std::string object, std::uint64_t bytes,
               std::function<void(Result<Duration>)> done) override;

 private:
  HttpClient& client_;
  Address platform_;
  Duration timeout_;
};

// --- Traces --------------------------------------------------------------------------

// W3C trace context.
struct TraceContext {
  std::string trace_id;  // 32 hexadecimal digits
  std::string span_id;   // 16
  bool sampled = true;
};
[[nodiscard]] std::optional<TraceContext> ParseTraceparent(std::string_view header);
[[nodiscard]] std::string ToTraceparent(const TraceContext& context);

struct SpanAttribute {
  std::string name;
  std::string value;
};
struct Span {
  TraceContext context;
  std::string parent_span_id;
  std::string name;
  WallTime start;
  WallTime end;
  std::vector<SpanAttribute> attributes;
  bool failed = false;
};

// Collects spans and sends them in batches as OTLP/JSON, off the hot path: a
// full buffer drops spans and counts them, it never holds traffic up.
class Tracer {
 public:
  // Without an endpoint spans still get contexts, for logs and next hops.
  Tracer(Loop& loop, HttpClient& client, std::optional<Address> endpoint, std::string service,
         Metrics& metrics);
  ~Tracer();
  [[nodiscard]] Span Start(std::string name, const std::optional<TraceContext>& parent);
  void Finish(Span span);  // any thread

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// --- Supervisor tree -----------------------------------------------------------------

// Starts its children in order and restarts one that fails, at most
// `max_restarts` times in `window`; then it fails itself, and its parent
// decides. The root's failure ends the process with the cause logged.
struct RestartPolicy {
  int max_restarts = 5;
  Duration window{60'000'000};
};

class Child {
 public:
  virtual ~Child() = default;
  // Calls `failed` at most once, later, on the loop, if it can't go on.
  virtual Result<Ok> Start(std::function<void(Error)> failed) = 0;
  virtual void Stop() = 0;
};

class Supervisor final : public Child {
 public:
  using Factory = std::function<std::unique_ptr<Child>()>;
  Supervisor(Loop& loop, std::string name, RestartPolicy policy = {});
  ~Supervisor() override;
  void Add(std::string name, Factory factory);
  Result<Ok> Start(std::function<void(Error)> failed) override;
  void Stop() override;  // children in reverse order

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace figmill
