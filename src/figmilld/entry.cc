// The process that takes callers' requests.

#include <memory>

#include "figmill/runtime.h"
#include "figmilld/entry_online.h"
#include "figmilld/members.h"
#include "figmilld/process.h"

namespace figmill {
namespace {

constexpr Duration kStoreTimeout{2'000'000};

class Entry {
 public:
  explicit Entry(const Settings& settings)
      : settings_(settings), platform_(client_, settings.common.platform, kStoreTimeout) {}

  int Run() {
    Result<std::unique_ptr<HttpServer>> server =
        HttpServer::Listen(loop_, settings_.common.http,
                           [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                             Route(std::move(request), std::move(reply));
                           });
    if (!IsOk(server)) return RowOf(ErrorOf(server).kind).exit_code;
    loop_.OnTerminate([this] { loop_.Stop(); });
    loop_.Run();
    return 0;
  }

 private:
  void Route(HttpRequest request, std::shared_ptr<HttpReply> reply) {
    const bool completion =
        request.path == "/v1/completions" || request.path == "/v1/chat/completions";
    if (completion && request.method == "POST") {
      online_.OnCompletion(std::move(request), std::move(reply));
    } else if (request.path == "/healthz") {
      reply->Send({200, "text/plain", {}, "ok\n"});
    } else if (request.path == "/readyz") {
      const bool ready = !members_.agents().empty();
      reply->Send({ready ? 200 : 503, "text/plain", {}, ready ? "ready\n" : "not ready\n"});
    } else {
      reply->Send(ProblemOf({ErrorKind::kNotFound, "no such path: " + request.path}));
    }
  }

  const Settings& settings_;
  Loop loop_;
  HttpClient client_{loop_};
  HttpPlatform platform_;
  Members members_{loop_, client_, platform_};
  EntryOnline online_{client_, members_, SystemRandom()};
};

}  // namespace

int RunEntry(const Settings& settings) {
  return Entry(settings).Run();
}

}  // namespace figmill
