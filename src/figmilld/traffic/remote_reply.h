#pragma once

// A reply that is used from another loop than the server's: each call is carried
// over to the server's loop.

#include <memory>
#include <string>

#include "figmill/runtime.h"

namespace figmill {

class RemoteReply {
 public:
  RemoteReply(Loop& loop, std::shared_ptr<HttpReply> reply)
      : loop_(loop), reply_(std::move(reply)) {}
  void Send(HttpResponse response) const;
  void Begin(HttpResponse head) const;
  void Write(std::string bytes) const;
  void End() const;

 private:
  Loop& loop_;
  std::shared_ptr<HttpReply> reply_;
};

}  // namespace figmill
