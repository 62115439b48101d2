#pragma once

// Calls to the backend server beside an agent, over HTTP. A model engine's
// event streams come in whole events, and end only by the engine's own marker;
// an answer that names another request is broken, whatever it holds.

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

  // A running stream with its KV cache, and back: it goes on at its token
  // without reading its prompt again. Errors: kNotFound, kBackendFailed.
  void Export(const RequestId& request, std::function<void(Result<std::string>)> done);
  void Import(const RequestId& request, std::string exported, std::function<void(Result<Ok>)> done);

 private:
  [[nodiscard]] HttpCall CallTo(std::string method, std::string target) const;
  CancelCall StartAnswer(HttpCall call, RequestId request,
                         std::function<void(AnswerEvent)> on_event);
  // Errors: the problem document's, or kBackendFailed.
  void FetchBody(HttpCall call, std::function<void(Result<std::string>)> done);

  HttpClient& client_;
  Address backend_;
  BackendKind kind_;
};

}  // namespace figmill
