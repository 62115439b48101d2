#pragma once

// Gossip datagrams as CBOR. Private to the control library.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figmill/control.h"

namespace figmill::detail {

// Raised by a member itself with each change of its record, so that its own
// word beats what others say of it.
using RecordVersion = std::uint32_t;

// What changes often about a member; enough for who has the rest already.
struct Brief {
  NodeId node;
  Incarnation incarnation = 0;
  RecordVersion version = 0;
  RecordVersion shape = 0;  // the version that last changed addresses or services
  Liveness liveness = Liveness::kAlive;
  bool leaving = false;
};
// All about a member. `member.control_sequence` isn't carried.
struct Record {
  Member member;
  RecordVersion version = 0;
  RecordVersion shape = 0;
};
[[nodiscard]] Brief BriefOf(const Record& record);

enum class MessageKind : std::uint8_t {
  kPing,  // answer with kAck and the same nonce
  kAck,
  kPingRequest,  // ping `target`, and pass its ack on with this nonce
  kNews,
  kAsk,  // answer with an empty kNews, for the control sequence on it
};

struct Message {
  MessageKind kind = MessageKind::kNews;
  std::uint64_t nonce = 0;
  Brief sender;
  Sequence sequence = 0;   // the sender's control sequence
  std::uint64_t hash = 0;  // of the sender's table
  std::vector<Brief> news;
  std::vector<Record> records;
  std::vector<NodeId> wants;  // send the records of these
  Address target;
};

[[nodiscard]] std::string Encode(const Message& message);
// Nothing if the bytes aren't a message.
[[nodiscard]] std::optional<Message> Decode(std::string_view bytes);

[[nodiscard]] std::string EncodeTable(const std::vector<Record>& records);
[[nodiscard]] std::optional<std::vector<Record>> DecodeTable(std::string_view bytes);

// What a member sends along with FetchMembers.
struct Have {
  Record self;
  std::string digest;  // MemberTable::Digest
};
[[nodiscard]] std::string EncodeHave(const Have& have);
[[nodiscard]] std::optional<Have> DecodeHave(std::string_view bytes);

// Upper bounds of the encoded sizes, bytes.
inline constexpr std::size_t kEmptyMessageBytes = 120;
[[nodiscard]] std::size_t BytesOf(const Brief& brief);
[[nodiscard]] std::size_t BytesOf(const Record& record);

}  // namespace figmill::detail
