#pragma once

// Looks after sends that broke off: whether their backend server has crashed.

#include <functional>
#include <string>

#include "figmill/exchange.h"
#include "figmill/quarantine.h"
#include "figmill/relay.h"

namespace figmill {

class CrashWatch {
 public:
  // A process that has ended refuses connections within a round trip. A host that doesn't answer
  // may be busy or cut off, and says nothing of the request.
  static constexpr Duration kDialPatience{50'000};

  // A send whose connection was lost before its answer was whole.
  struct LostSend {
    std::string id;  // of the request's attempt, or of the item
    RequestFingerprint request;
    BackendAddress backend;
    Time begun_at{};
  };

  explicit CrashWatch(ExchangeClient& client) : client_(client) {}

  // Calls `done` once it is known whether the backend server still listens, never inside this
  // call.
  void Check(LostSend lost, std::function<void()> done);

 private:
  static void LogLost(const LostSend& lost, DialResult found);

  ExchangeClient& client_;
};

}  // namespace figmill
