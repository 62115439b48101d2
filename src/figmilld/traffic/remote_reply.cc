#include "figmilld/traffic/remote_reply.h"

#include <utility>

namespace figmill {

void RemoteReply::Send(HttpResponse response) const {
  loop_.Post([reply = reply_, response = std::move(response)] { reply->Send(response); });
}

void RemoteReply::Begin(HttpResponse head) const {
  loop_.Post([reply = reply_, head = std::move(head)] { reply->Begin(head); });
}

void RemoteReply::Write(std::string bytes) const {
  loop_.Post(
      [reply = reply_, bytes = std::move(bytes)]() mutable { reply->Write(std::move(bytes)); });
}

void RemoteReply::End() const {
  loop_.Post([reply = reply_] { reply->End(); });
}

}  // namespace figmill
