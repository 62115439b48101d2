#pragma once

// JSON-RPC texts of the calling side. The library's client headers use dynamic
// exception specifications, which C++17 removed, so that rpc_wire.cc is built as
// gnu++14 and this header stays within it: nothing of figmill's own types.

#include <string>

namespace figmill {
namespace detail {

// The request's body. `id` marks the answer as belonging to this request;
// `params` must be a JSON object, else the result is empty.
std::string RpcRequestText(const std::string& id, const std::string& method,
                           const std::string& params);

struct RpcAnswer {
  enum Kind { kResult, kError, kMalformed };
  Kind kind = kMalformed;
  std::string result;   // kResult: a JSON value
  int code = 0;         // kError
  std::string message;  // kError, and why for kMalformed
  std::string data;     // kError: a JSON value
};

// Malformed too when the answer bears another request's id.
RpcAnswer ParseRpcAnswer(const std::string& id, const std::string& body);

}  // namespace detail
}  // namespace figmill
