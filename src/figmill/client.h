#pragma once

// Talks to the entries, one request at a time, and waits for each answer.

#include <string>

#include "figmill/runtime.h"
#include "figmill/settings.h"

namespace figmill {

// Whether asking twice could do something twice.
enum class Effect : std::uint8_t { kNone, kOrder };

struct ToolRequest {
  std::string method = "GET";
  std::string target;
  std::string body;
  Effect effect = Effect::kNone;
};

class ToolClient {
 public:
  explicit ToolClient(const ToolSettings& settings) : settings_(settings) {}

  // The body of a good answer. The next entry is tried when one can't be reached
  // or is leaving; an order goes on to the next only when the one before surely
  // didn't take it. Errors: those of the entry; kNoBackend when none was reached;
  // kOutcomeUnknown when an order's answer was lost.
  [[nodiscard]] Result<std::string> Send(const ToolRequest& request);

 private:
  [[nodiscard]] Result<HttpResponse> Fetch(const Address& entry, const ToolRequest& request) const;
  [[nodiscard]] Result<std::string> Try(const Address& entry, const ToolRequest& request) const;

  const ToolSettings& settings_;
  std::size_t first_ = 0;  // the entry that answered last
};

}  // namespace figmill
