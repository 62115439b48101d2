#include <algorithm>
#include <utility>

#include "figmill/stream_sources.h"

namespace figmill {

StreamLookup::StreamLookup(Request request, const std::optional<OutputSource>& local,
                           std::set<NodeId> asked)
    : request_(std::move(request)), unanswered_(std::move(asked)) {
  if (local) {
    Conclude(*local);
  } else if (unanswered_.empty()) {
    ConcludeWithoutRecord();
  }
}

void StreamLookup::OnResponse(const NodeId& from, const StreamResponse& response) {
  if (result_ || unanswered_.erase(from) == 0) return;
  if (response.source) return Conclude(*response.source);
  if (unanswered_.empty()) ConcludeWithoutRecord();
}

void StreamLookup::GiveUp() {
  if (!result_) ConcludeWithoutRecord();
}

void StreamLookup::OnHistory(const std::optional<SoftwareVersion>& only) {
  if (result_) return;
  if (!only) return Refuse();
  Conclude({request_.services.front(), *only});
}

void StreamLookup::ConcludeWithoutRecord() {
  if (request_.services.size() != 1) return Refuse();
  needs_history_ = true;
}

void StreamLookup::Refuse() {
  result_ = Error{ErrorKind::kNoBackend, "it is not known which version began the stream", Ran::kNo,
                  kRetryDelay};
}

void StreamLookup::Conclude(OutputSource source) {
  const auto& services = request_.services;
  if (std::find(services.begin(), services.end(), source.service) == services.end()) {
    result_ = Error{ErrorKind::kNoBackend,
                    "the route doesn't lead to the service that began the stream", Ran::kNo};
    return;
  }
  result_ = std::move(source);
}

}  // namespace figmill
