// Answers without a length to a request that their server doesn't read to its end, at both clients.

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "figmill/exchange.h"
#include "figmill/runtime.h"
#include "test/scripted-server.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

using fake::ScriptedServer;
using fake::ScriptStep;

constexpr Duration kBound{5'000'000};  // a test that runs longer fails
constexpr std::size_t kUploadBytes = 4'000'000;
constexpr int kCalls = 20;
const std::string kPart = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhel";

// The last event of an upload's answer.
template <typename Client>
std::optional<HttpEvent> Upload(const Address& to) {
  Loop loop;
  Client client(loop);
  HttpCall call;
  call.method = "POST";
  call.to = to;
  call.body = std::string(kUploadBytes, 'r');
  std::optional<HttpEvent> last;
  const CancelCall cancel = client.Start(std::move(call), [&](HttpEvent event) {
    const bool ended =
        std::holds_alternative<HttpEnd>(event) || std::holds_alternative<HttpFailure>(event);
    if (!ended) return;
    last = std::move(event);
    loop.Stop();
  });
  const Timer bound = loop.After(kBound, [&] { loop.Stop(); });
  loop.Run();
  return last;
}

}  // namespace

// Guards against a part of an answer that passes for the whole: its server closed the connection
// with the upload unread, which resets it, and the error of the reset went to the upload's write.
TEST_CASE_TEMPLATE("an answer that a reset ends fails the call", Client, HttpClient,
                   NoRetryHttpClient) {
  for (const std::string late : {"", "l"}) {
    const std::vector<ScriptStep> cut{{kPart, /*close=*/true, late}};
    ScriptedServer server(std::vector<std::vector<ScriptStep>>(kCalls, cut), "\r\n\r\n");
    for (int i = 0; i < kCalls; ++i) {
      const std::optional<HttpEvent> last = Upload<Client>(server.address());
      REQUIRE(last);
      REQUIRE(std::holds_alternative<HttpFailure>(*last));
      CHECK(std::get<HttpFailure>(*last).sent);
    }
  }
}
