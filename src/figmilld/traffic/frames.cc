#include "figmilld/traffic/frames.h"

#include <cassert>
#include <nlohmann/json.hpp>

#include "figmill/documents.h"
#include "figmill/runtime.h"

namespace figmill {
namespace {

using nlohmann::json;

constexpr std::size_t kPrefixBytes = 5;  // type and length

std::string Framed(char type, std::string_view payload) {
  assert(payload.size() <= kMaxFrameBytes);
  const auto size = static_cast<std::uint32_t>(payload.size());
  std::string frame;
  frame.reserve(kPrefixBytes + payload.size());
  frame.push_back(type);
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((size >> shift) & 0xFF));
  }
  frame.append(payload);
  return frame;
}

std::uint32_t LengthOf(std::string_view prefix) {
  std::uint32_t length = 0;
  for (std::size_t i = 1; i < kPrefixBytes; ++i) {
    length = length << 8 | static_cast<unsigned char>(prefix[i]);
  }
  return length;
}

Error Broken(std::string why) {
  return Error{ErrorKind::kBrokenAnswer, std::move(why), Ran::kUnknown};
}

Result<Frame> ParseHead(const json& body) {
  FrameHead head;
  head.status = body.at("status").get<int>();
  head.content_type = body.at("content_type").get<std::string>();
  head.incarnation = body.at("incarnation").get<Incarnation>();
  head.orders = body.at("orders").get<Sequence>();
  head.online_running = body.at("online_running").get<std::uint32_t>();
  head.batch_running = body.at("batch_running").get<std::uint32_t>();
  head.room = body.at("room").get<std::uint32_t>();
  head.online_mark = body.at("online_mark").get<std::uint32_t>();
  head.request.value = body.at("request").get<std::string>();
  return Frame{head};
}

Result<Frame> ParseEnd(const json& body) {
  FrameEnd end;
  end.bytes = body.at("bytes").get<std::uint64_t>();
  end.tokens = body.at("tokens").get<std::uint64_t>();
  end.cached_tokens = body.at("cached_tokens").get<std::uint64_t>();
  return Frame{end};
}

Result<Frame> ParseFrame(char type, std::string_view payload) {
  try {
    switch (type) {
      case 'H':
        return ParseHead(ParseJsonOrThrow(payload));
      case 'D':
        return Frame{FrameData{std::string(payload)}};
      case 'E':
        return ParseEnd(ParseJsonOrThrow(payload));
      case 'F':
        return Frame{FrameFailure{ErrorFromProblem(0, payload)}};
      default:
        return Broken(std::string("frame of unknown type '") + type + "'");
    }
  } catch (const json::exception& failure) {
    return Broken(std::string("unreadable frame: ") + failure.what());
  }
}

json ToJson(const FrameHead& head) {
  return {{"status", head.status},
          {"content_type", head.content_type},
          {"incarnation", head.incarnation},
          {"orders", head.orders},
          {"online_running", head.online_running},
          {"batch_running", head.batch_running},
          {"room", head.room},
          {"online_mark", head.online_mark},
          {"request", head.request.value}};
}

json ToJson(const FrameEnd& end) {
  return {{"bytes", end.bytes}, {"tokens", end.tokens}, {"cached_tokens", end.cached_tokens}};
}

}  // namespace

std::string Encode(const Frame& frame) {
  return std::visit(
      Overloaded{
          [](const FrameHead& head) { return Framed('H', ToJson(head).dump()); },
          [](const FrameData& data) { return Framed('D', data.bytes); },
          [](const FrameEnd& end) { return Framed('E', ToJson(end).dump()); },
          [](const FrameFailure& failure) { return Framed('F', ProblemOf(failure.error).body); },
      },
      frame);
}

Result<std::vector<Frame>> FrameReader::Feed(std::string_view bytes) {
  if (broken_) return Broken("the answer was malformed before");
  pending_.append(bytes);
  std::vector<Frame> frames;
  std::size_t at = 0;
  while (pending_.size() - at >= kPrefixBytes) {
    const std::string_view rest = std::string_view(pending_).substr(at);
    const std::uint32_t length = LengthOf(rest);
    if (length > kMaxFrameBytes) {
      broken_ = true;
      return Broken("frame of " + std::to_string(length) + " bytes");
    }
    if (rest.size() < kPrefixBytes + length) break;
    Result<Frame> frame = ParseFrame(rest[0], rest.substr(kPrefixBytes, length));
    if (!IsOk(frame)) {
      broken_ = true;
      return ErrorOf(frame);
    }
    frames.push_back(std::move(ValueOf(frame)));
    at += kPrefixBytes + length;
  }
  pending_.erase(0, at);
  return frames;
}

}  // namespace figmill
