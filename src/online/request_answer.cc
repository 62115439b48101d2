// The answer's side of a request's life: what is held, sent, and matched.

#include <string>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "figmill/online.h"
#include "online/request_errors.h"

namespace figmill {
namespace {

Error BrokenAnswer(std::string detail) {
  return Error{ErrorKind::kBrokenAnswer, std::move(detail)};
}

// What must come again in a new run: the token. Ids, times and usage differ from
// run to run.
std::string_view TokenPart(std::string_view event) {
  const std::size_t from = event.find("\"choices\":");
  const std::size_t to = event.rfind(']');
  if (from == std::string_view::npos || to == std::string_view::npos || to < from) return event;
  return event.substr(from, to - from);
}

bool IsEventStream(std::string_view content_type) {
  return content_type.starts_with("text/event-stream");
}

}  // namespace

void RequestRun::OnHead(const event::Head& head, Time now) {
  if (!IsCurrent(head.call)) return;
  if (phase_ == Phase::kStreaming || head.request != attempt_.request) {
    // Another caller's answer, or two answers in one: nothing of it may pass.
    ++late_;
    return Broken(BrokenAnswer("an answer to another request came"), now);
  }
  attempt_.ran = Ran::kYes;
  phase_ = Phase::kStreaming;
  const bool differs =
      head_sent_ ? head.status != status_ || head.content_type != content_type_
                 : attempt_.resuming && IsEventStream(head.content_type) != plan_.wants_stream;
  if (differs) {
    last_error_ = BrokenAnswer("the stream didn't go on as it began");
    CloseCall(AttemptEnd::kFailed, last_error_);
    return CantResume(now);
  }
  status_ = head.status;
  content_type_ = head.content_type;
  event_stream_ = IsEventStream(head.content_type);
  Listen(kStreamPatience, now);
}

void RequestRun::OnData(const event::Data& data, Time now) {
  if (!IsCurrent(data.call)) return;
  if (phase_ != Phase::kStreaming) {
    return Broken(BrokenAnswer("the answer came without its head"), now);
  }
  call_bytes_ += data.bytes.size();
  attempt_.resumes_in_row = 0;
  attempt_.said_finished = 0;
  Deliver(data.bytes);
  if (differs_) return GiveUp(BrokenAnswer("the stream broke, and a new run answered differently"));
  if (!event_stream_ && held_.size() > kHoldBytes) {
    return GiveUp(Error{ErrorKind::kTooLarge, "the answer is too large to be passed on whole"});
  }
  Listen(kStreamPatience, now);
}

void RequestRun::OnEnd(const event::End& end, Time now) {
  if (!IsCurrent(end.call)) return;
  if (phase_ != Phase::kStreaming || end.bytes != call_bytes_) {
    return Broken(BrokenAnswer("the answer's length isn't what its end says"), now);
  }
  if (replay_left_ > 0) {
    return GiveUp(BrokenAnswer("the stream broke, and a new run answered differently"));
  }
  // What is left has no blank line after it, yet the count says that it is whole.
  const std::string tail = cutter_.TakeTail();
  Send(std::exchange(held_, {}) + tail);
  CloseCall(AttemptEnd::kAnswered);
  budget_.Succeeded();
  phase_ = Phase::kDone;
  out_.emplace_back(action::Finish{end.tokens, end.cached_tokens});
}

void RequestRun::Deliver(std::string_view bytes) {
  if (event_stream_) {
    return cutter_.Feed(bytes, [this](std::string_view event) { DeliverEvent(event); });
  }
  held_.append(bytes);
}

void RequestRun::DeliverEvent(std::string_view event) {
  if (!EventCutter::CarriesToken(event)) {
    // Kept back until the end or the next token: sent before a break, a closing
    // event would come twice.
    held_.append(event);
    return;
  }
  const std::string_view token = TokenPart(event);
  if (replay_left_ > 0) {
    held_.clear();
    replay_hash_ = XXH3_64bits_withSeed(token.data(), token.size(), replay_hash_);
    if (--replay_left_ == 0 && replay_hash_ != sent_hash_) differs_ = true;
    return;
  }
  if (differs_) return;
  ++tokens_sent_;
  sent_hash_ = XXH3_64bits_withSeed(token.data(), token.size(), sent_hash_);
  Send(std::exchange(held_, {}) + std::string(event));
}

void RequestRun::Send(std::string bytes) {
  if (!head_sent_) {
    head_sent_ = true;
    out_.emplace_back(action::SendHead{status_, content_type_});
  }
  if (!bytes.empty()) out_.emplace_back(action::SendBytes{std::move(bytes)});
}

// Forgets what came and wasn't sent; it comes again with a resume or a new run.
void RequestRun::DropUnsent() {
  held_.clear();
  static_cast<void>(cutter_.TakeTail());
}

}  // namespace figmill
