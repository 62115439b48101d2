#pragma once

// HTTP client for the backend server next to an agent. Event streams of a model engine are
// delivered in whole events, and are complete only with the engine's end marker. An answer
// that names another request fails with kBrokenAnswer, whatever its content.

#include <functional>
#include <string>

#include "figmill/platform.h"
#include "figmill/runtime.h"
#include "figmilld/settings.h"

namespace figmill {

class EngineClient final : public EnginePort {
 public:
  EngineClient(HttpClient& client, const Address& backend, BackendKind kind);

  CancelCall Call(BackendRequest request, std::function<void(AnswerEvent)> on_event) override;
  CancelCall Resume(RequestId request, std::uint64_t from_token,
                    std::function<void(AnswerEvent)> on_event) override;
  void Cancel(RequestId request, std::function<void(Result<Ok>)> done) override;
  void Order(EngineOrder order, std::function<void(Result<Ok>)> done) override;
  void State(std::function<void(Result<EngineState>)> done) override;
  void Load(std::function<void(Result<EngineLoad>)> done) override;

  // Exports a running stream with its KV cache, and imports it: the stream continues at its
  // token without prefilling its prompt again. Errors: kNotFound, kBackendFailed.
  void Export(const RequestId& request, std::function<void(Result<std::string>)> done);
  void Import(const RequestId& request, std::string exported, std::function<void(Result<Ok>)> done);

 private:
  [[nodiscard]] HttpCall MakeCall(std::string method, std::string target) const;
  CancelCall StartCall(HttpCall call, RequestId request, std::function<void(AnswerEvent)> on_event);
  // Errors: that of the problem document in the response, or kBackendFailed.
  void FetchBody(HttpCall call, std::function<void(Result<std::string>)> done);

  HttpClient& client_;
  Address backend_;
  BackendKind kind_;
};

}  // namespace figmill
