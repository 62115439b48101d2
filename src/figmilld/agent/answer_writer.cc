#include "figmilld/agent/answer_writer.h"

namespace figmill {

bool AnswerWriter::Begin(const FrameHead& head) {
  if (std::exchange(begun_, true)) return status_ == head.status;
  status_ = head.status;
  reply_->Begin({200, std::string(kFramesType), {}, Encode(head)});
  return true;
}

void AnswerWriter::WriteData(std::string_view bytes) {
  constexpr std::size_t kMaxDataBytes = 1U << 20;  // well below kMaxFrameBytes
  bytes_ += bytes.size();
  for (std::size_t at = 0; at < bytes.size(); at += kMaxDataBytes) {
    reply_->Write(Encode(FrameData{std::string(bytes.substr(at, kMaxDataBytes))}));
  }
}

void AnswerWriter::KeepAlive() {
  if (begun_) reply_->Write(Encode(FrameData{}));
}

void AnswerWriter::End(std::uint64_t tokens, std::uint64_t cached_tokens) {
  reply_->Write(Encode(FrameEnd{bytes_, tokens, cached_tokens}));
  reply_->End();
}

void AnswerWriter::Fail(const Error& error) {
  if (!begun_) {
    reply_->Send(ProblemOf(error));
    return;
  }
  reply_->Write(Encode(FrameFailure{error}));
  reply_->End();
}

}  // namespace figmill
