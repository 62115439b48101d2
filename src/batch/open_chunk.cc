#include "batch/open_chunk.h"

#include "batch/answers.h"

namespace figmill::detail {
namespace {

// The agent says so of its own state, not of the item.
bool IsAboutTheAgent(ErrorKind kind) {
  return kind == ErrorKind::kOverloaded || kind == ErrorKind::kLeaving ||
         kind == ErrorKind::kStaleOrders || kind == ErrorKind::kNoBackend ||
         kind == ErrorKind::kTeamLimit || kind == ErrorKind::kUnknownService;
}

// Refused before it ran, and would be again.
bool IsAboutTheItem(ErrorKind kind) {
  return kind == ErrorKind::kBadRequest || kind == ErrorKind::kTooLarge ||
         kind == ErrorKind::kNotFound || kind == ErrorKind::kMethodNotAllowed;
}

}  // namespace

OpenChunk::OpenChunk(std::uint32_t first_index, std::vector<BatchItem> items)
    : first_index_(first_index), left_(items.size()) {
  for (BatchItem& item : items) {
    held_bytes_ += sizeof(ItemState) + item.body.size() + item.custom_id.size();
    items_.push_back(ItemState{std::move(item), {}, 0, false});
  }
}

bool OpenChunk::ForbidRepeats(const RepeatableRule& rule) {
  bool any = false;
  for (ItemState& state : items_) {
    BatchItem& item = state.item;
    if (rule && !rule(item.service, item.path)) item.repeatable = false;
    any = any || !item.repeatable;
  }
  return any;
}

AfterAttempt OpenChunk::Take(std::uint32_t index, const ItemOutcome& outcome, int max_attempts) {
  if (items_[index - first_index_].ended) return AfterAttempt::kEnded;
  return std::visit(
      Overloaded{
          [&](const ItemAnswer& answer) { return TakeAnswer(index, answer, max_attempts); },
          [&](const Error& error) { return TakeError(index, error, max_attempts); },
      },
      outcome);
}

AfterAttempt OpenChunk::TakeAnswer(std::uint32_t index, const ItemAnswer& answer,
                                   int max_attempts) {
  ItemState& state = items_[index - first_index_];
  const Verdict verdict = Judge(state.item, answer);
  const bool last = !state.item.repeatable || state.attempts >= max_attempts;
  if (verdict == Verdict::kRetry && !last) return AfterAttempt::kTryAgain;
  if (verdict == Verdict::kSuccess) {
    End(state, AnswerLine(index, state.item, answer), true);
    return AfterAttempt::kEnded;
  }
  const bool cut_short = answer.status >= 200 && answer.status < 300;
  Error error{cut_short ? ErrorKind::kBrokenAnswer : ErrorKind::kBackendFailed,
              cut_short
                  ? "the backend server cut its answer short"
                  : "status " + std::to_string(answer.status) + ": " + answer.body.substr(0, 500),
              Ran::kYes};
  End(state, FailureLine(index, state.item, error, state.attempts), false);
  return AfterAttempt::kEnded;
}

AfterAttempt OpenChunk::TakeError(std::uint32_t index, const Error& error, int max_attempts) {
  ItemState& state = items_[index - first_index_];
  const bool not_run = error.ran == Ran::kNo;
  if (not_run && state.attempts > 0) --state.attempts;
  if (not_run && !IsAboutTheItem(error.kind)) return AfterAttempt::kTryAgain;
  if (!not_run && state.item.repeatable) {
    if (IsAboutTheAgent(error.kind)) {
      --state.attempts;
      return AfterAttempt::kTryAgain;
    }
    if (state.attempts < max_attempts) return AfterAttempt::kTryAgain;
  }
  Error cause = error;
  if (!state.item.repeatable && error.ran == Ran::kUnknown) cause.kind = ErrorKind::kOutcomeUnknown;
  End(state, FailureLine(index, state.item, cause, state.attempts), false);
  return AfterAttempt::kEnded;
}

void OpenChunk::Fail(std::uint32_t index, const Error& error) {
  ItemState& state = items_[index - first_index_];
  if (!state.ended) End(state, FailureLine(index, state.item, error, state.attempts), false);
}

void OpenChunk::End(ItemState& state, std::string line, bool success) {
  state.ended = true;
  held_bytes_ += line.size();
  held_bytes_ -= state.item.body.size();
  state.item.body = std::string();
  state.result = std::move(line);
  --left_;
  ++(success ? succeeded_ : failed_);
}

std::vector<std::string> OpenChunk::TakeResults() {
  std::vector<std::string> pieces(1);
  for (ItemState& state : items_) {
    const std::string line = std::exchange(state.result, std::string());
    if (!pieces.back().empty() && pieces.back().size() + line.size() > kMaxResultObjectBytes) {
      pieces.emplace_back();
    }
    pieces.back() += line;
  }
  items_.clear();
  return pieces;
}

}  // namespace figmill::detail
