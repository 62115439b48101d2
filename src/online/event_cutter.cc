#include <algorithm>
#include <utility>

#include "figmill/online.h"

namespace figmill {
namespace {

// Length of the event at the start of `text` with its blank line, or npos.
// Lines end in "\n" or "\r\n"; `from` is where a newline was not yet looked for.
std::size_t EventLength(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    std::size_t next = at + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next < text.size() && text[next] == '\n') return next + 1;
  }
  return std::string_view::npos;
}

}  // namespace

void EventCutter::Feed(std::string_view bytes,
                       const std::function<void(std::string_view event)>& on_event) {
  tail_.append(bytes);
  std::string_view rest = tail_;
  std::size_t from = scanned_;
  while (true) {
    const std::size_t length = EventLength(rest, from);
    if (length == std::string_view::npos) break;
    on_event(rest.substr(0, length));
    rest.remove_prefix(length);
    from = 0;
  }
  tail_.erase(0, tail_.size() - rest.size());
  // A blank line may lie across two reads: "\n", "\r" and "\n" at most.
  constexpr std::size_t kOverlap = 2;
  scanned_ = tail_.size() - std::min(tail_.size(), kOverlap);
}

std::string EventCutter::TakeTail() {
  scanned_ = 0;
  return std::exchange(tail_, {});
}

bool EventCutter::CarriesToken(std::string_view event) {
  constexpr std::string_view kData = "data:";
  std::size_t at = 0;
  while (at < event.size()) {
    const std::size_t end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with(kData)) continue;
    line.remove_prefix(kData.size());
    return line.find("[DONE]") == std::string_view::npos || line.size() > sizeof("[DONE]") + 1;
  }
  return false;
}

}  // namespace figmill
