#include "control/gossip_codec.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "figmill/documents.h"

namespace figmill::detail {
namespace {

using Json = nlohmann::json;

// Field names of a datagram; one letter each, as they are part of every datagram.
constexpr const char* kKind = "k";
constexpr const char* kNonce = "n";
constexpr const char* kSender = "f";
constexpr const char* kSequence = "s";
constexpr const char* kHash = "h";
constexpr const char* kUpdates = "b";
constexpr const char* kRecords = "r";
constexpr const char* kRequested = "w";
constexpr const char* kTarget = "t";

constexpr unsigned kLeavingBit = 4;
constexpr std::size_t kSummaryFields = 5;
constexpr std::size_t kRecordFields = 12;

// Reads the fields of an array in order; all reads after the first mismatch fail.
class ArrayReader {
 public:
  ArrayReader(const Json& json, std::size_t size)
      : json_(json), ok_(json.is_array() && json.size() == size) {}
  template <typename N>
  N Natural() {
    const Json* field = Next();
    if (field == nullptr || !field->is_number_unsigned() ||
        field->get<std::uint64_t>() > std::numeric_limits<N>::max()) {
      ok_ = false;
      return {};
    }
    return field->get<N>();
  }
  std::string Text() {
    const Json* field = Next();
    if (field == nullptr || !field->is_string() ||
        field->get_ref<const std::string&>().size() > kMaxIdLength) {
      ok_ = false;
      return {};
    }
    return field->get<std::string>();
  }
  const Json* Next() { return ok_ ? &json_[at_++] : nullptr; }
  void Refuse() { ok_ = false; }
  [[nodiscard]] bool ok() const { return ok_; }

 private:
  const Json& json_;
  std::size_t at_ = 0;
  bool ok_;
};

unsigned Flags(const MemberSummary& summary) {
  return static_cast<unsigned>(summary.liveness) | (summary.leaving ? kLeavingBit : 0);
}

void SetFlags(ArrayReader& reader, MemberSummary& summary) {
  const unsigned flags = reader.Natural<std::uint8_t>();
  const unsigned liveness = flags % kLeavingBit;
  if (liveness > static_cast<unsigned>(Liveness::kDead) || flags >= 2 * kLeavingBit) {
    return reader.Refuse();
  }
  summary.liveness = static_cast<Liveness>(liveness);
  summary.leaving = (flags & kLeavingBit) != 0;
}

Json Write(const MemberSummary& summary) {
  return Json::array({summary.node.value, summary.incarnation, summary.version,
                      summary.details_version, Flags(summary)});
}

MemberSummary ReadSummaryFields(ArrayReader& reader) {
  MemberSummary summary;
  summary.node.value = reader.Text();
  summary.incarnation = reader.Natural<Incarnation>();
  summary.version = reader.Natural<RecordVersion>();
  summary.details_version = reader.Natural<RecordVersion>();
  SetFlags(reader, summary);
  if (summary.node.empty() || summary.details_version > summary.version) reader.Refuse();
  return summary;
}

std::optional<MemberSummary> ReadSummary(const Json& json) {
  ArrayReader reader(json, kSummaryFields);
  MemberSummary summary = ReadSummaryFields(reader);
  if (!reader.ok()) return std::nullopt;
  return summary;
}

Json Write(const MemberRecord& record) {
  const Member& member = record.member;
  Json serves = Json::array();
  for (const ServiceName& name : member.serves) serves.push_back(name.value);
  Json out = Write(SummaryOf(record));
  out.insert(out.end(),
             {static_cast<unsigned>(member.role), member.data_centre.value, member.http.host,
              member.http.port, member.gossip.host, member.gossip.port, std::move(serves)});
  return out;
}

std::optional<MemberRecord> ReadRecord(const Json& json) {
  ArrayReader reader(json, kRecordFields);
  const MemberSummary summary = ReadSummaryFields(reader);
  MemberRecord record;
  record.version = summary.version;
  record.details_version = summary.details_version;
  Member& member = record.member;
  member.node = summary.node;
  member.incarnation = summary.incarnation;
  member.liveness = summary.liveness;
  member.leaving = summary.leaving;
  const auto role = reader.Natural<std::uint8_t>();
  if (role > static_cast<unsigned>(Role::kAgent)) reader.Refuse();
  member.role = role == 0 ? Role::kEntry : Role::kAgent;
  member.data_centre.value = reader.Text();
  member.http.host = reader.Text();
  member.http.port = reader.Natural<std::uint16_t>();
  member.gossip.host = reader.Text();
  member.gossip.port = reader.Natural<std::uint16_t>();
  const Json* serves = reader.Next();
  if (!reader.ok() || !serves->is_array()) return std::nullopt;
  for (const Json& name : *serves) {
    if (!name.is_string()) return std::nullopt;
    member.serves.push_back({name.get<std::string>()});
  }
  return record;
}

// A missing list counts as empty; false if an element is malformed.
template <typename T, typename Read>
bool ReadList(const Json& json, const char* name, std::vector<T>& out, Read read) {
  const auto found = json.find(name);
  if (found == json.end()) return true;
  if (!found->is_array()) return false;
  for (const Json& element : *found) {
    std::optional<T> value = read(element);
    if (!value) return false;
    out.push_back(std::move(*value));
  }
  return true;
}

template <typename N>
std::optional<N> ReadNatural(const Json& json) {
  if (!json.is_number_unsigned() || json.get<std::uint64_t>() > std::numeric_limits<N>::max()) {
    return std::nullopt;
  }
  return json.get<N>();
}

template <typename N>
bool ReadField(const Json& json, const char* name, N& out) {
  const auto found = json.find(name);
  if (found == json.end()) return true;
  const std::optional<N> value = ReadNatural<N>(*found);
  if (value) out = *value;
  return value.has_value();
}

std::optional<NodeId> ReadNode(const Json& json) {
  if (!json.is_string() || json.get_ref<const std::string&>().empty()) return std::nullopt;
  return NodeId{json.get<std::string>()};
}

bool ReadTarget(const Json& json, Address& out) {
  const auto found = json.find(kTarget);
  if (found == json.end()) return true;
  ArrayReader reader(*found, 2);
  out.host = reader.Text();
  out.port = reader.Natural<std::uint16_t>();
  return reader.ok();
}

template <typename T>
void WriteList(Json& json, const char* name, const std::vector<T>& list) {
  if (list.empty()) return;
  Json& out = json[name] = Json::array();
  for (const T& each : list) out.push_back(Write(each));
}

// A malformed datagram must not terminate the process.
Json ParseCbor(std::string_view bytes) {
  try {
    return ParseCborOrThrow(bytes);
  } catch (const Json::exception&) {
    return Json(Json::value_t::discarded);
  }
}

std::string Bytes(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

}  // namespace

MemberSummary SummaryOf(const MemberRecord& record) {
  return MemberSummary{record.member.node,     record.member.incarnation, record.version,
                       record.details_version, record.member.liveness,    record.member.leaving};
}

std::string Encode(const Message& message) {
  Json json = {{kKind, static_cast<unsigned>(message.kind)},
               {kNonce, message.nonce},
               {kSender, Write(message.sender)},
               {kSequence, message.sequence},
               {kHash, message.hash}};
  WriteList(json, kUpdates, message.updates);
  WriteList(json, kRecords, message.records);
  if (!message.requested_records.empty()) {
    Json& requested_records = json[kRequested] = Json::array();
    for (const NodeId& node : message.requested_records) requested_records.push_back(node.value);
  }
  if (!message.target.host.empty()) {
    json[kTarget] = Json::array({message.target.host, message.target.port});
  }
  return Bytes(json);
}

std::optional<Message> Decode(std::string_view bytes) {
  const Json json = ParseCbor(bytes);
  if (!json.is_object() || !json.contains(kKind) || !json.contains(kSender)) return std::nullopt;
  Message message;
  std::uint8_t kind = 0;
  bool ok =
      ReadField(json, kKind, kind) && kind <= static_cast<unsigned>(MessageKind::kSequenceQuery);
  message.kind = static_cast<MessageKind>(kind);
  const std::optional<MemberSummary> sender = ReadSummary(json[kSender]);
  if (!ok || !sender) return std::nullopt;
  message.sender = *sender;
  ok = ReadField(json, kNonce, message.nonce) && ReadField(json, kSequence, message.sequence) &&
       ReadField(json, kHash, message.hash) &&
       ReadList(json, kUpdates, message.updates, ReadSummary) &&
       ReadList(json, kRecords, message.records, ReadRecord) &&
       ReadList(json, kRequested, message.requested_records, ReadNode) &&
       ReadTarget(json, message.target);
  if (!ok) return std::nullopt;
  return message;
}

std::string EncodeTable(const std::vector<MemberRecord>& records) {
  Json json = Json::array();
  for (const MemberRecord& record : records) json.push_back(Write(record));
  return Bytes(json);
}

std::optional<std::vector<MemberRecord>> DecodeTable(std::string_view bytes) {
  const Json json = ParseCbor(bytes);
  if (!json.is_array()) return std::nullopt;
  std::vector<MemberRecord> records;
  for (const Json& element : json) {
    std::optional<MemberRecord> record = ReadRecord(element);
    if (!record) return std::nullopt;
    records.push_back(std::move(*record));
  }
  return records;
}

std::string EncodeSyncRequest(const TableSyncRequest& request) {
  std::vector<std::uint8_t> digest(request.digest.begin(), request.digest.end());
  return Bytes(Json::array({Write(request.self), Json::binary(std::move(digest))}));
}

std::optional<TableSyncRequest> DecodeSyncRequest(std::string_view bytes) {
  const Json json = ParseCbor(bytes);
  if (!json.is_array() || json.size() != 2 || !json[1].is_binary()) return std::nullopt;
  std::optional<MemberRecord> self = ReadRecord(json[0]);
  if (!self) return std::nullopt;
  const auto& digest = json[1].get_binary();
  return TableSyncRequest{std::move(*self), std::string(digest.begin(), digest.end())};
}

std::size_t BytesOf(const MemberSummary& summary) {
  return summary.node.value.size() + 24;
}

std::size_t BytesOf(const MemberRecord& record) {
  const Member& member = record.member;
  std::size_t bytes = BytesOf(SummaryOf(record)) + member.data_centre.value.size() +
                      member.http.host.size() + member.gossip.host.size() + 18;
  for (const ServiceName& name : member.serves) bytes += name.value.size() + 2;
  return bytes;
}

}  // namespace figmill::detail
