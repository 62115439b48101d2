#include <algorithm>
#include <utility>

#include "figmill/online.h"

namespace figmill {
namespace {

// Length of the event at the start of `text` including its blank line, or npos. Lines end in
// "\n" or "\r\n"; the search for newlines starts at `from`.
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

void EventSplitter::Feed(std::string_view bytes,
                         const std::function<void(std::string_view event)>& on_event) {
  incomplete_.append(bytes);
  std::string_view rest = incomplete_;
  std::size_t from = searched_to_;
  while (true) {
    const std::size_t length = EventLength(rest, from);
    if (length == std::string_view::npos) break;
    on_event(rest.substr(0, length));
    rest.remove_prefix(length);
    from = 0;
  }
  incomplete_.erase(0, incomplete_.size() - rest.size());
  // A blank line may be split across reads: at most "\n", "\r" and "\n".
  constexpr std::size_t kMaxSplitBlankLine = 2;
  searched_to_ = incomplete_.size() - std::min(incomplete_.size(), kMaxSplitBlankLine);
}

std::string EventSplitter::TakeIncompleteEvent() {
  searched_to_ = 0;
  return std::exchange(incomplete_, {});
}

bool EventSplitter::HasToken(std::string_view event) {
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
