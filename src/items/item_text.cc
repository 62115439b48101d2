#include <algorithm>

#include "figmill/items.h"

namespace figmill {
namespace {

// Limit on the text of a piece; the rest of its row holds ids and numbers.
constexpr std::size_t kMaxPieceText = ledger::kPieceBytes - 2'000;

// The data lines of one event, joined by line feeds; empty if the event has no data.
std::optional<std::string> DataOf(std::string_view event) {
  std::optional<std::string> data;
  while (!event.empty()) {
    const EventField field = TakeEventField(event);
    if (field.name != "data") continue;
    if (data) {
      data->append("\n").append(field.value);
    } else {
      data = std::string(field.value);
    }
  }
  return data;
}

}  // namespace

void ItemText::BeginRun(const OutputSource& source) {
  const bool other_source = has_output() && source_ != source;
  if (other_source || !pieces_.can_resume()) StartOver();
  source_ = source;
}

void ItemText::StartOver() {
  pieces_ = {};
  text_.clear();
  appended_events_ = 0;
  untaken_.clear();
  taken_bytes_ = 0;
  next_piece_ = 0;
  ++start_;
}

std::optional<std::string_view> ItemText::Defect() const {
  if (has_duplicate()) return "duplicate event in the response";
  if (pieces_.too_long()) return "bytes that are no event stream";
  if (too_long()) return "the output is longer than a result may be";
  return std::nullopt;
}

std::optional<OutputSource> ItemText::source() const {
  if (!has_output()) return std::nullopt;
  return source_;
}

std::optional<ledger::ProgressPiece> ItemText::TakePiece(std::size_t item) {
  if (untaken_.empty()) return std::nullopt;
  const Position& end = untaken_.front();
  const std::size_t size = end.bytes - taken_bytes_;
  if (size > kMaxPieceText) return std::nullopt;
  ledger::ProgressPiece piece{item,        next_piece_++, text_.substr(taken_bytes_, size),
                              end.last_id, end.events,    source_,
                              start_};
  taken_bytes_ = end.bytes;
  untaken_.pop_front();
  return piece;
}

void ItemText::Restore(const ledger::ProgressPiece& piece) {
  if (piece.number != next_piece_) return;
  ++next_piece_;
  source_ = piece.source;
  start_ = piece.start;
  text_ += piece.text;
  taken_bytes_ = text_.size();
  appended_events_ = piece.events;
  pieces_.ResumeAfter(piece.last_id, piece.events);
}

void ItemText::Feed(std::string_view bytes) {
  const std::string events = pieces_.Feed(bytes);
  std::string_view rest = events;
  while (!rest.empty()) {
    const std::size_t length = EndOfEvent(rest);
    Append(rest.substr(0, length));
    rest.remove_prefix(std::min(length, rest.size()));
  }
}

void ItemText::Append(std::string_view event) {
  if (const auto data = DataOf(event)) {
    ++appended_events_;
    if (!text_.empty()) text_ += '\n';
    text_ += *data;
  }
  std::optional<std::string> id = EventIdOf(event);
  if (!id) return;
  // The last piece grows while it fits into a row.
  std::size_t begin = taken_bytes_;
  if (untaken_.size() > 1) begin = untaken_[untaken_.size() - 2].bytes;
  const bool fits = !untaken_.empty() && text_.size() - begin <= kMaxPieceText;
  if (fits) untaken_.pop_back();
  untaken_.push_back({text_.size(), *std::move(id), appended_events_});
}

}  // namespace figmill
