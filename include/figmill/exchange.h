#pragma once

// An HTTP/1.1 client that sends each request at most once. curl, which HttpClient uses, retries
// by itself when a pooled connection closes during a request. A request that is not repeatable
// would then run twice, and a conditional write would be rejected because of its own first copy.
// This client leaves every retry to its caller.

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "figmill/base.h"
#include "figmill/runtime.h"

namespace figmill {

struct ConnectionPoolLimits {
  // Maximum number of idle connections to one address; further ones are closed.
  std::size_t max_idle_per_address = 64;
  // An idle connection is not reused after this long, unless the peer announced another timeout.
  // Peers close idle connections, and the outcome of a request that crosses the close is unknown.
  Duration max_idle{4'000'000};
  // Subtracted from the idle timeout of the peer, to allow for the time a request is on its way.
  Duration idle_margin{500'000};
};

// The result of an attempt to connect.
enum class DialResult : std::uint8_t {
  kConnected,
  kRefused,   // the host is reachable, but no process listens on the port
  kNoAnswer,  // timeout, or another failure
};
[[nodiscard]] std::string_view ToString(DialResult result);

// Takes the same HttpCall as HttpClient and uses its fields method, to, target, headers, body,
// connect_timeout, total_timeout, fresh_connection, bytes, hold_reads and max_body_bytes. Adds the
// headers Host and Content-Length unless the call has them.
class NoRetryHttpClient {
 public:
  explicit NoRetryHttpClient(Loop& loop, ConnectionPoolLimits limits = {});
  ~NoRetryHttpClient();
  NoRetryHttpClient(const NoRetryHttpClient&) = delete;
  NoRetryHttpClient& operator=(const NoRetryHttpClient&) = delete;

  // Events are delivered on the loop, never inside this call; the last one is HttpEnd or
  // HttpFailure. The returned function cancels the call: no event follows, and the call's
  // connection is closed at once. HttpFailure::sent is false only if no connection was made.
  CancelCall Start(HttpCall call, std::function<void(HttpEvent)> on_event);
  // Delivers the whole response at once, whatever its status. One whose body is longer than the
  // call allows is none. Errors: kBackendFailed with `ran` no (never sent) or unknown.
  CancelCall Fetch(HttpCall call, std::function<void(Result<HttpResponse>)> done);

  // Opens a connection without a request and keeps it idle for later calls. `done` is called on
  // the loop, never inside this call.
  void Dial(const Address& to, Duration timeout, std::function<void(DialResult)> done);

  // Closes the idle connections to an address, for example after its server was replaced.
  void CloseIdleConnections(const Address& address);
  // Number of connections opened since the start.
  [[nodiscard]] std::uint64_t connections_opened() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace figmill
