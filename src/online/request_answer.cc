// Handling of the answer of a RequestStateMachine: buffering, forwarding, and comparison of a rerun
// with what was already sent.

#include <string>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "figmill/online.h"
#include "online/request_errors.h"

namespace figmill {
namespace {

Error BrokenAnswerError(std::string detail) {
  return Error{ErrorKind::kBrokenAnswer, std::move(detail)};
}

// The part of an event that must be the same in a rerun: the token. Ids, times and usage differ
// between runs.
std::string_view TokenOf(std::string_view event) {
  const std::size_t from = event.find("\"choices\":");
  const std::size_t to = event.rfind(']');
  if (from == std::string_view::npos || to == std::string_view::npos || to < from) return event;
  return event.substr(from, to - from);
}

bool IsEventStream(std::string_view content_type) {
  return content_type.starts_with("text/event-stream");
}

}  // namespace

void RequestStateMachine::OnHead(const event::Head& head, Time now) {
  if (!IsCurrent(head.call)) return;
  if (phase_ == Phase::kStreaming || head.request != attempt_.request) {
    // An answer to another request, or a second head in one call: nothing of it may reach the
    // caller.
    ++late_events_;
    return HandleBrokenCall(BrokenAnswerError("received an answer to another request"), now);
  }
  attempt_.ran = Ran::kYes;
  phase_ = Phase::kStreaming;
  const bool differs =
      head_sent_ ? head.status != status_ || head.content_type != content_type_
                 : attempt_.resuming && IsEventStream(head.content_type) != plan_.wants_stream;
  if (differs) {
    last_error_ = BrokenAnswerError("the resumed stream has a different status or content type");
    CloseCall(AttemptEnd::kFailed, last_error_);
    return RerunOrFail(now);
  }
  status_ = head.status;
  content_type_ = head.content_type;
  event_stream_ = IsEventStream(head.content_type);
  ArmSilenceTimer(kStreamTimeout, now);
}

void RequestStateMachine::OnData(const event::Data& data, Time now) {
  if (!IsCurrent(data.call)) return;
  if (phase_ != Phase::kStreaming) {
    return HandleBrokenCall(BrokenAnswerError("received data before the head of the answer"), now);
  }
  call_bytes_ += data.bytes.size();
  attempt_.consecutive_resumes = 0;
  attempt_.finished_probes = 0;
  Deliver(data.bytes);
  if (rerun_differs_) return FinishWithError(BrokenAnswerError("a rerun gave different output"));
  if (!event_stream_ && buffer_.size() > kMaxBufferedBytes) {
    return FinishWithError(Error{ErrorKind::kTooLarge, "the answer is too large to be buffered"});
  }
  ArmSilenceTimer(kStreamTimeout, now);
}

void RequestStateMachine::OnEnd(const event::End& end, Time now) {
  if (!IsCurrent(end.call)) return;
  if (phase_ != Phase::kStreaming || end.bytes != call_bytes_) {
    return HandleBrokenCall(
        BrokenAnswerError("the length of the answer doesn't match its final marker"), now);
  }
  if (rerun_events_left_ > 0) {
    return FinishWithError(BrokenAnswerError("a rerun gave different output"));
  }
  // The remaining bytes don't end in a blank line, but the byte count confirms that they are
  // complete.
  const std::string rest = splitter_.TakeIncompleteEvent();
  SendToCaller(std::exchange(buffer_, {}) + rest);
  CloseCall(AttemptEnd::kAnswered);
  budget_.RecordSuccess();
  phase_ = Phase::kDone;
  out_.emplace_back(action::Finish{end.tokens, end.cached_tokens});
}

void RequestStateMachine::Deliver(std::string_view bytes) {
  if (event_stream_) {
    return splitter_.Feed(bytes, [this](std::string_view event) { DeliverEvent(event); });
  }
  buffer_.append(bytes);
}

void RequestStateMachine::DeliverEvent(std::string_view event) {
  if (!EventSplitter::HasToken(event)) {
    // Buffered until the end or the next token: if a closing event were sent before a lost
    // connection, the caller would get it twice.
    buffer_.append(event);
    return;
  }
  const std::string_view token = TokenOf(event);
  if (rerun_events_left_ > 0) {
    buffer_.clear();
    rerun_hash_ = XXH3_64bits_withSeed(token.data(), token.size(), rerun_hash_);
    if (--rerun_events_left_ == 0 && rerun_hash_ != sent_hash_) rerun_differs_ = true;
    return;
  }
  if (rerun_differs_) return;
  ++tokens_sent_;
  sent_hash_ = XXH3_64bits_withSeed(token.data(), token.size(), sent_hash_);
  SendToCaller(std::exchange(buffer_, {}) + std::string(event));
}

void RequestStateMachine::SendToCaller(std::string bytes) {
  if (!head_sent_) {
    head_sent_ = true;
    out_.emplace_back(action::SendHead{status_, content_type_});
  }
  if (!bytes.empty()) out_.emplace_back(action::SendBytes{std::move(bytes)});
}

// Drops data that was received and not sent; a resume or a rerun delivers it again.
void RequestStateMachine::DropUnsent() {
  buffer_.clear();
  static_cast<void>(splitter_.TakeIncompleteEvent());
}

}  // namespace figmill
