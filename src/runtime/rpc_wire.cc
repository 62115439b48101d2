#include "runtime/rpc_wire.h"

#include <jsoncpp/json/json.h>
#include <jsonrpccpp/client.h>

#include <memory>

namespace figmill {
namespace detail {
namespace {

// Hands the library's client one canned answer and keeps what it would send;
// the bytes travel through figmill's own HTTP client.
class CapturingConnector : public jsonrpc::IClientConnector {
 public:
  explicit CapturingConnector(std::string answer) : answer_(std::move(answer)) {}
  void SendRPCMessage(const std::string& message, std::string& result) noexcept override {
    sent_ = message;
    result = answer_;
  }
  const std::string& sent() const { return sent_; }

 private:
  std::string answer_;
  std::string sent_;
};

std::string Compact(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

bool Parse(const std::string& text, Json::Value& value) {
  Json::CharReaderBuilder builder;
  builder["failIfExtra"] = true;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
  } catch (const Json::Exception&) {  // nested too deep
    return false;
  }
}

RpcAnswer Malformed(std::string why) {
  RpcAnswer answer;
  answer.message = std::move(why);
  return answer;
}

RpcAnswer ReadWithClient(const std::string& body) {
  RpcAnswer answer;
  CapturingConnector connector(body);
  jsonrpc::Client client(connector);
  try {
    answer.result = Compact(client.CallMethod("answer", Json::Value(Json::objectValue)));
    answer.kind = RpcAnswer::kResult;
  } catch (const jsonrpc::JsonRpcException& error) {
    const bool unreadable = error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
    answer.kind = unreadable ? RpcAnswer::kMalformed : RpcAnswer::kError;
    answer.code = error.GetCode();
    answer.message = error.GetMessage();
    answer.data = Compact(error.GetData());
  }
  return answer;
}

}  // namespace

std::string RpcRequestText(const std::string& id, const std::string& method,
                           const std::string& params) {
  Json::Value arguments;
  if (!Parse(params, arguments) || !arguments.isObject()) return std::string();
  CapturingConnector connector("{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":null}");
  jsonrpc::Client client(connector);
  client.CallMethod(method, arguments);
  Json::Value request;
  if (!Parse(connector.sent(), request)) return std::string();
  // The library gives every request the id 1, under which an answer crossed with
  // another call's would pass for ours.
  request["id"] = id;
  return Compact(request);
}

RpcAnswer ParseRpcAnswer(const std::string& id, const std::string& body) {
  Json::Value answer;
  if (!Parse(body, answer) || !answer.isObject()) return Malformed("it is no JSON object");
  if (answer["id"] != Json::Value(id)) return Malformed("it bears another request's id");
  return ReadWithClient(body);
}

}  // namespace detail
}  // namespace figmill
