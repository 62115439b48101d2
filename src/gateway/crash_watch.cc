#include "gateway/crash_watch.h"

#include <utility>

#include "figmill/observe.h"
#include "figmill/runtime.h"

namespace figmill {

void CrashWatch::Check(LostSend lost, std::function<void()> done) {
  const Address to = lost.backend.address;
  client_.Dial(to, kDialPatience,
               [lost = std::move(lost), done = std::move(done)](DialResult found) {
                 LogLost(lost, found);
                 done();
               });
}

void CrashWatch::LogLost(const LostSend& lost, DialResult found) {
  const auto ran =
      std::chrono::duration_cast<std::chrono::milliseconds>(Loop::Now() - lost.begun_at);
  Log(LogLevel::kInfo, "send_lost",
      {{"request", lost.id},
       {"fingerprint", lost.request.value},
       {"backend", lost.backend.id.value},
       {"incarnation", std::to_string(lost.backend.incarnation.number)},
       {"dialed", std::string(ToString(found))},
       {"ran_ms", std::to_string(ran.count())}});
}

}  // namespace figmill
