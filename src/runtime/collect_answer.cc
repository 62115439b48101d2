#include "figmill/runtime.h"

namespace figmill {

std::function<void(HttpEvent)> CollectAnswer(std::function<void(Result<HttpResponse>)> done) {
  auto response = std::make_shared<HttpResponse>();
  return [response, done = std::move(done)](HttpEvent event) {
    std::visit(Overloaded{
                   [&](HttpHead& head) {
                     response->status = head.status;
                     response->headers = std::move(head.headers);
                   },
                   [&](HttpBytes& bytes) { response->body.append(bytes.bytes); },
                   [&](HttpEnd&) { done(std::move(*response)); },
                   [&](HttpFailure& failure) {
                     done(Error{ErrorKind::kBackendFailed, failure.why,
                                failure.sent ? Ran::kUnknown : Ran::kNo});
                   },
               },
               event);
  };
}

}  // namespace figmill
