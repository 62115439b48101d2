#include "figmill/items.h"

namespace figmill {
namespace {

constexpr std::string_view kDataField = "data:";

// The data lines of one event, joined by line feeds; empty if the event has no data.
std::optional<std::string> DataOf(std::string_view event) {
  std::optional<std::string> data;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with(kDataField)) {
      line.remove_prefix(kDataField.size());
      if (line.starts_with(' ')) line.remove_prefix(1);
      if (data) {
        data->append("\n").append(line);
      } else {
        data = std::string(line);
      }
    }
    if (end == std::string_view::npos) break;
    event.remove_prefix(end + 1);
  }
  return data;
}

}  // namespace

void ItemText::BeginRun(const OutputSource& source) {
  if (events() > 0 && source_ != source) StartOver();
  source_ = source;
}

void ItemText::StartOver() {
  pieces_ = {};
  text_.clear();
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
  if (events() == 0) return std::nullopt;
  return source_;
}

std::optional<ledger::ProgressPiece> ItemText::TakePiece(std::size_t item) {
  if (text_.size() == taken_bytes_ || !pieces_.last_id()) return std::nullopt;
  ledger::ProgressPiece piece{
      item,    next_piece_++, text_.substr(taken_bytes_), *pieces_.last_id(), pieces_.count(),
      source_, start_};
  taken_bytes_ = text_.size();
  return piece;
}

void ItemText::Restore(const ledger::ProgressPiece& piece) {
  if (piece.number != next_piece_) return;
  ++next_piece_;
  source_ = piece.source;
  start_ = piece.start;
  text_ += piece.text;
  taken_bytes_ = text_.size();
  pieces_.ResumeAfter(piece.last_id, piece.events);
}

void ItemText::Feed(std::string_view bytes) {
  const std::string events = pieces_.Feed(bytes);
  std::string_view rest = events;
  while (!rest.empty()) {
    std::size_t end = rest.find("\n\n");
    const std::size_t crlf = rest.find("\n\r\n");
    std::size_t length = end == std::string_view::npos ? rest.size() : end + 2;
    if (crlf != std::string_view::npos && crlf + 3 < length) length = crlf + 3;
    if (const auto data = DataOf(rest.substr(0, length))) {
      if (!text_.empty()) text_ += '\n';
      text_ += *data;
    }
    rest.remove_prefix(length);
  }
}

}  // namespace figmill
