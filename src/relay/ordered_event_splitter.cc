#include <algorithm>
#include <charconv>

#include "figmill/relay.h"

namespace figmill {
namespace {

// A longer id would not fit into a header or a row.
constexpr std::size_t kMaxIdBytes = 256;

std::optional<std::uint64_t> ParseNumber(std::string_view id) {
  std::uint64_t number = 0;
  const char* const end = id.data() + id.size();
  const auto [read_to, failure] = std::from_chars(id.data(), end, number);
  if (failure != std::errc{} || read_to != end) return std::nullopt;
  return number;
}

// Whether the id can be named in a request that resumes the stream.
bool IsUsableId(std::string_view id) {
  const auto is_visible = [](char c) { return c > ' ' && c <= '~'; };
  return !id.empty() && id.size() <= kMaxIdBytes && std::all_of(id.begin(), id.end(), is_visible);
}

bool HasField(std::string_view event, std::string_view name) {
  while (!event.empty()) {
    if (TakeEventField(event).name == name) return true;
  }
  return false;
}

}  // namespace

EventField TakeEventField(std::string_view& event) {
  const std::size_t end = std::min(event.find('\n'), event.size());
  std::string_view line = event.substr(0, end);
  event.remove_prefix(std::min(end + 1, event.size()));
  if (line.ends_with('\r')) line.remove_suffix(1);
  const std::size_t colon = std::min(line.find(':'), line.size());
  EventField field{line.substr(0, colon), line.substr(std::min(colon + 1, line.size()))};
  if (field.value.starts_with(' ')) field.value.remove_prefix(1);
  return field;
}

std::optional<std::string> EventIdOf(std::string_view event) {
  std::optional<std::string_view> id;
  while (!event.empty()) {
    const EventField field = TakeEventField(event);
    if (field.name == "id") id = field.value;
  }
  if (!id || !IsUsableId(*id)) return std::nullopt;
  return std::string(*id);
}

std::size_t EndOfEvent(std::string_view bytes, std::size_t from) {
  for (std::size_t at = bytes.find('\n', from); at != std::string_view::npos;
       at = bytes.find('\n', at + 1)) {
    const std::string_view rest = bytes.substr(at + 1);
    if (rest.starts_with('\n')) return at + 2;
    if (rest.starts_with("\r\n")) return at + 3;
  }
  return std::string_view::npos;
}

std::string OrderedEventSplitter::Feed(std::string_view bytes) {
  if (has_duplicate_ || too_long_) return {};
  incomplete_.append(bytes);
  std::string events;
  std::size_t whole = 0;
  for (std::size_t end = EndOfEvent(incomplete_, scanned_); end != std::string_view::npos;
       end = EndOfEvent(incomplete_, whole)) {
    const std::string_view event = std::string_view(incomplete_).substr(whole, end - whole);
    if (HasField(event, "data")) {
      if (!AdvanceTo(EventIdOf(event))) break;
      ++count_;
      without_data_ = 0;
      events.append(event);
    } else {
      without_data_ += event.size();
      if (!HasField(event, "id")) events.append(event);
    }
    whole = end;
  }
  incomplete_.erase(0, whole);
  too_long_ = without_data_ + incomplete_.size() > kMaxEventBytes;
  if (too_long_) incomplete_.assign(1, '\n');  // still in an event
  // The end of an event has three bytes at most, of which two may have arrived.
  scanned_ = incomplete_.size() - std::min<std::size_t>(incomplete_.size(), 2);
  return events;
}

void OrderedEventSplitter::ResumeAfter(std::string last_id, std::uint64_t count) {
  last_number_ = ParseNumber(last_id);
  last_id_ = std::move(last_id);
  count_ = count;
  after_last_id_ = false;
}

// Ids that are not numbers have no known order.
bool OrderedEventSplitter::AdvanceTo(std::optional<std::string> id) {
  if (!id) {
    after_last_id_ = true;
    return true;
  }
  const std::optional<std::uint64_t> number = ParseNumber(*id);
  const bool comparable = number && last_number_;
  if (comparable ? *number <= *last_number_ : id == last_id_) {
    has_duplicate_ = true;
    out_of_order_ |= has_skipped_;
    return false;
  }
  has_skipped_ |= comparable && *number - *last_number_ > 1;
  if (number) last_number_ = number;
  last_id_ = std::move(id);
  after_last_id_ = false;
  return true;
}

}  // namespace figmill
