#pragma once

// CBOR encoding of gossip messages. Private to the control library.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figmill/control.h"

namespace figmill::detail {

// Incremented by the member itself with each change of its record, so that its own
// updates take precedence over what other members report about it.
using RecordVersion = std::uint32_t;

// The fields of a member that change often; sufficient for a receiver that already has
// the whole record.
struct MemberSummary {
  NodeId node;
  Incarnation incarnation = 0;
  RecordVersion version = 0;
  // The version that last changed the other fields of the record.
  RecordVersion details_version = 0;
  Liveness liveness = Liveness::kAlive;
  bool leaving = false;
};
// All fields of a member. `member.control_sequence` is not encoded.
struct MemberRecord {
  Member member;
  RecordVersion version = 0;
  RecordVersion details_version = 0;
};
[[nodiscard]] MemberSummary SummaryOf(const MemberRecord& record);

enum class MessageKind : std::uint8_t {
  kPing,  // to be answered with kAck and the same nonce
  kAck,
  kPingRequest,  // ping `target`, and forward its ack with this nonce
  kUpdates,
  kSequenceQuery,  // to be answered with an empty kUpdates, which carries the control sequence
};

struct Message {
  MessageKind kind = MessageKind::kUpdates;
  std::uint64_t nonce = 0;
  MemberSummary sender;
  Sequence sequence = 0;   // the sender's control sequence
  std::uint64_t hash = 0;  // of the sender's member table
  std::vector<MemberSummary> updates;
  std::vector<MemberRecord> records;
  std::vector<NodeId> requested_records;  // members whose records the sender requests
  Address target;
};

[[nodiscard]] std::string Encode(const Message& message);
// nullopt if the bytes aren't a valid message.
[[nodiscard]] std::optional<Message> Decode(std::string_view bytes);

[[nodiscard]] std::string EncodeTable(const std::vector<MemberRecord>& records);
[[nodiscard]] std::optional<std::vector<MemberRecord>> DecodeTable(std::string_view bytes);

// The body of a FetchMembers request.
struct TableSyncRequest {
  MemberRecord self;
  std::string digest;  // MemberTable::Digest
};
[[nodiscard]] std::string EncodeSyncRequest(const TableSyncRequest& request);
[[nodiscard]] std::optional<TableSyncRequest> DecodeSyncRequest(std::string_view bytes);

// Upper bounds of the encoded sizes in bytes.
inline constexpr std::size_t kEmptyMessageBytes = 120;
[[nodiscard]] std::size_t BytesOf(const MemberSummary& summary);
[[nodiscard]] std::size_t BytesOf(const MemberRecord& record);

}  // namespace figmill::detail
