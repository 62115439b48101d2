#pragma once

// HTTP/1.1 calls that are sent exactly once. curl, behind HttpClient, sends a
// request again by itself when a kept connection closes under it; a request that
// may not be repeated would then run twice, and a conditional write would be told
// that it lost against itself. This client leaves every repetition to its caller.

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "figmill/base.h"
#include "figmill/runtime.h"

namespace figmill {

struct ExchangeLimits {
  // Kept connections to one address beyond this are closed. Unit: connections.
  std::size_t max_idle_per_address = 64;
  // A kept connection is not used again after this long without a call, unless
  // the peer named another time. Peers close idle connections, and a request that
  // crosses the close is lost with its fate unknown.
  Duration max_idle{4'000'000};
  // The peer's own idle time is cut by this much, for a request on its way.
  Duration idle_margin{500'000};
};

// What an attempt to connect found.
enum class DialResult : std::uint8_t {
  kConnected,
  kRefused,   // the host is there, and no process listens
  kNoAnswer,  // nothing in time, or another failure
};
[[nodiscard]] std::string_view ToString(DialResult result);

// An HttpCall as HttpClient takes it. Used here: method, to, target, headers,
// body, connect_timeout, total_timeout and fresh_connection. Host and
// Content-Length are added unless the headers have them.
class ExchangeClient {
 public:
  explicit ExchangeClient(Loop& loop, ExchangeLimits limits = {});
  ~ExchangeClient();
  ExchangeClient(const ExchangeClient&) = delete;
  ExchangeClient& operator=(const ExchangeClient&) = delete;

  // Events come on the loop, never inside this call; the last is HttpEnd or
  // HttpFailure. None comes after the returned function was called, which also
  // closes the call's connection at once. HttpFailure::sent is false only when no
  // connection was made.
  CancelCall Start(HttpCall call, std::function<void(HttpEvent)> on_event);
  // The whole answer at once; any status is a value. Errors: kBackendFailed with
  // `ran` no (never sent) or unknown.
  CancelCall Fetch(HttpCall call, std::function<void(Result<HttpResponse>)> done);

  // Connects without a call. The connection is kept for later calls. `done` comes on the loop,
  // never inside this call.
  void Dial(const Address& to, Duration patience, std::function<void(DialResult)> done);

  // Forgets the kept connections to an address, as after its server was replaced.
  void DropIdle(const Address& address);
  // Connections opened since the start.
  [[nodiscard]] std::uint64_t opened() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace figmill
