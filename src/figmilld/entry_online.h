#pragma once

// Callers' online requests: to an agent and back.

#include <memory>

#include "figmill/runtime.h"
#include "figmilld/members.h"

namespace figmill {

class EntryOnline {
 public:
  EntryOnline(HttpClient& client, const Members& members, RandomBits random);
  void OnCompletion(HttpRequest request, std::shared_ptr<HttpReply> reply);

 private:
  HttpClient& client_;
  const Members& members_;
  RandomBits random_;
};

}  // namespace figmill
