#include <jsoncpp/json/json.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include "figmill/runtime.h"

namespace figmill {
namespace {

// The bytes come through figmill's own HTTP server; this only lends the library
// its place to hang the protocol handler on.
class InProcessConnector final : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* into) override {
    *static_cast<std::string*>(into) = response;
    return true;
  }
};

std::string Compact(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value ParseResult(const std::string& text) {
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
    throw jsonrpc::JsonRpcException(ErrorInfoOf(ErrorKind::kInternal).rpc_code,
                                    "a method's result is no JSON");
  }
  return value;
}

jsonrpc::JsonRpcException ExceptionOf(const Error& error) {
  const ErrorKindInfo& row = ErrorInfoOf(error.kind);
  Json::Value data(Json::objectValue);
  data["kind"] = std::string(row.name);
  data["detail"] = error.detail;
  data["ran"] = std::string(ToString(error.ran));
  if (error.retry_after) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(*error.retry_after);
    data["retry_after_ms"] = static_cast<Json::Int64>(wait.count());
  }
  return {row.rpc_code, std::string(row.title), data};
}

// What the JSON-RPC 2.0 specification answers to a text that is no JSON.
constexpr std::string_view kUnreadable =
    R"({"error":{"code":-32700,"message":"JSON_PARSE_ERROR: The JSON-Object is not JSON-Valid"},)"
    R"("id":null,"jsonrpc":"2.0"})";

}  // namespace

class RpcServer::Impl final : public jsonrpc::IProcedureInvokationHandler {
 public:
  explicit Impl(Metrics* metrics)
      : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                        *this)) {
    connector_.SetHandler(protocol_.get());
    if (metrics != nullptr) {
      malformed_ = &metrics->counter("figmill_rpc_malformed_total",
                                     "JSON-RPC requests that were no valid call");
    }
  }

  void Bind(std::string name, Method method) {
    protocol_->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    methods_.insert_or_assign(std::move(name), std::move(method));
  }

  std::string Handle(std::string_view body) {
    std::string answer;
    called_ = false;
    try {
      connector_.GetHandler()->HandleRequest(std::string(body), answer);
    } catch (const std::exception&) {
      // The JSON parser throws on text nested past its limit; a peer's bad text
      // must not end the process.
      answer = kUnreadable;
    }
    if (!called_ && malformed_ != nullptr) malformed_->Add();
    return answer;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    // The library takes a list for parameters without declared names.
    if (!input.isNull() && !input.isObject()) {
      throw ExceptionOf(Error{ErrorKind::kBadRequest, "params must be an object"});
    }
    called_ = true;
    const Result<std::string> result = Call(procedure.GetProcedureName(), input);
    if (!IsOk(result)) throw ExceptionOf(ErrorOf(result));
    output = ParseResult(ValueOf(result));
  }

  void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

 private:
  Result<std::string> Call(const std::string& name, const Json::Value& input) const {
    const auto method = methods_.find(name);
    if (method == methods_.end()) return Error{ErrorKind::kMethodNotAllowed, name};
    try {
      return method->second(input.isNull() ? "{}" : Compact(input));
    } catch (const std::exception& defect) {
      return Error{ErrorKind::kInternal, defect.what(), Ran::kUnknown};
    }
  }

  InProcessConnector connector_;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  std::map<std::string, Method> methods_;
  Counter* malformed_ = nullptr;
  bool called_ = false;  // whether the current text reached a method
};

RpcServer::RpcServer(Metrics* metrics) : impl_(std::make_unique<Impl>(metrics)) {}
RpcServer::~RpcServer() = default;

void RpcServer::Bind(std::string name, Method method) {
  impl_->Bind(std::move(name), std::move(method));
}

std::string RpcServer::Handle(std::string_view body) {
  return impl_->Handle(body);
}

}  // namespace figmill
