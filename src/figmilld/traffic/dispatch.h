#pragma once

// The dispatch hop between entry and agent, both ends (docs/PROTOCOLS.md):
// its headers as an aggregate, and the entry's side of the call.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/runtime.h"
#include "figmilld/traffic/frames.h"

namespace figmill {

// What the agent is asked to run; the body goes beside it.
struct DispatchHeaders {
  RequestId request;
  Incarnation incarnation = 0;  // of the agent that is meant
  WorkClass work = WorkClass::kOnline;
  ServiceName service;
  std::string method = "POST";
  std::string path;
  std::string content_type = "application/json";
  ItemKey item;
  bool repeatable = true;
  Duration time_left{60'000'000};
  std::uint64_t tokens = 0;  // at most, in the answer; 0 when unknown
  // Set: take the stream of this request id up after so many tokens, which the
  // sender holds already; never start it.
  std::optional<std::uint64_t> resume_from;
  Sequence orders = 0;
  NodeId owner;     // batch only
  Epoch epoch = 0;  // batch only
  std::string traceparent;
  // The agent's clock as read before this was sent, microseconds: a copy that
  // the network delivers late is known by it (docs/PROTOCOLS.md).
  std::optional<std::uint64_t> stamp;
};
[[nodiscard]] std::vector<Header> ToHeaders(const DispatchHeaders& dispatch);
// Errors: kBadRequest naming the header.
[[nodiscard]] Result<DispatchHeaders> ParseDispatch(const HttpRequest& request);

// Refused by the agent before anything was relayed.
struct DispatchRefused {
  Error error;
};
// The answer broke off without a word from the agent. `sent` is false only when
// the agent can't have seen the dispatch.
struct DispatchBroke {
  bool sent = true;
  std::string why;
};
using DispatchEvent =
    std::variant<FrameHead, FrameData, FrameEnd, FrameFailure, DispatchRefused, DispatchBroke>;

// Sends one dispatch; one that may not be repeated asks the agent for its stamp
// first, as the agent refuses it without. The last event is FrameEnd, FrameFailure, DispatchRefused
// or DispatchBroke; a FrameEnd whose length is wrong arrives as DispatchBroke.
// Calling the result hangs up, which the agent notices.
CancelCall SendDispatch(HttpClient& client, const Address& agent, const DispatchHeaders& dispatch,
                        std::string body, std::function<void(DispatchEvent)> on_event);

}  // namespace figmill
