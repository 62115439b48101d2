#include "batch/open_chunk.h"

#include "batch/answers.h"

namespace figmill::detail {
namespace {

// Errors caused by the state of the agent and not by the item.
bool IsAgentError(ErrorKind kind) {
  return kind == ErrorKind::kOverloaded || kind == ErrorKind::kLeaving ||
         kind == ErrorKind::kStaleOrders || kind == ErrorKind::kNoBackend ||
         kind == ErrorKind::kTeamLimit || kind == ErrorKind::kUnknownService;
}

// Errors for which every agent would refuse the item before running it.
bool IsItemError(ErrorKind kind) {
  return kind == ErrorKind::kBadRequest || kind == ErrorKind::kTooLarge ||
         kind == ErrorKind::kNotFound || kind == ErrorKind::kMethodNotAllowed;
}

}  // namespace

OpenChunk::OpenChunk(std::uint32_t first_index, std::vector<BatchItem> items)
    : first_index_(first_index), unfinished_(items.size()) {
  for (BatchItem& item : items) {
    held_bytes_ += sizeof(ItemState) + item.body.size() + item.custom_id.size();
    items_.push_back(ItemState{std::move(item), {}, 0, false});
  }
}

bool OpenChunk::ApplyRepeatableRule(const RepeatableRule& rule) {
  bool any = false;
  for (ItemState& state : items_) {
    BatchItem& item = state.item;
    if (rule && !rule(item.service, item.path)) item.repeatable = false;
    any = any || !item.repeatable;
  }
  return any;
}

AttemptResult OpenChunk::RecordOutcome(std::uint32_t index, const ItemOutcome& outcome,
                                       int max_attempts) {
  if (items_[index - first_index_].ended) return AttemptResult::kEnded;
  return std::visit(
      Overloaded{
          [&](const ItemAnswer& answer) { return RecordAnswer(index, answer, max_attempts); },
          [&](const Error& error) { return RecordError(index, error, max_attempts); },
      },
      outcome);
}

AttemptResult OpenChunk::RecordAnswer(std::uint32_t index, const ItemAnswer& answer,
                                      int max_attempts) {
  ItemState& state = items_[index - first_index_];
  const AnswerClass answer_class = ClassifyAnswer(state.item, answer);
  const bool last_attempt = !state.item.repeatable || state.attempts >= max_attempts;
  if (answer_class == AnswerClass::kRetryable && !last_attempt) return AttemptResult::kRetry;
  if (answer_class == AnswerClass::kSuccess) {
    EndItem(state, AnswerLine(index, state.item, answer), true);
    return AttemptResult::kEnded;
  }
  const bool truncated = answer.status >= 200 && answer.status < 300;
  Error error{truncated ? ErrorKind::kBrokenAnswer : ErrorKind::kBackendFailed,
              truncated
                  ? "the backend server truncated its answer"
                  : "status " + std::to_string(answer.status) + ": " + answer.body.substr(0, 500),
              Ran::kYes};
  EndItem(state, FailureLine(index, state.item, error, state.attempts), false);
  return AttemptResult::kEnded;
}

AttemptResult OpenChunk::RecordError(std::uint32_t index, const Error& error, int max_attempts) {
  ItemState& state = items_[index - first_index_];
  const bool not_run = error.ran == Ran::kNo;
  if (not_run && state.attempts > 0) --state.attempts;
  if (not_run && !IsItemError(error.kind)) return AttemptResult::kRetry;
  if (!not_run && state.item.repeatable) {
    if (IsAgentError(error.kind)) {
      --state.attempts;
      return AttemptResult::kRetry;
    }
    if (state.attempts < max_attempts) return AttemptResult::kRetry;
  }
  Error cause = error;
  if (!state.item.repeatable && error.ran == Ran::kUnknown) cause.kind = ErrorKind::kOutcomeUnknown;
  EndItem(state, FailureLine(index, state.item, cause, state.attempts), false);
  return AttemptResult::kEnded;
}

void OpenChunk::Fail(std::uint32_t index, const Error& error) {
  ItemState& state = items_[index - first_index_];
  if (!state.ended) EndItem(state, FailureLine(index, state.item, error, state.attempts), false);
}

void OpenChunk::EndItem(ItemState& state, std::string line, bool success) {
  state.ended = true;
  held_bytes_ += line.size();
  held_bytes_ -= state.item.body.size();
  state.item.body = std::string();
  state.result = std::move(line);
  --unfinished_;
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
