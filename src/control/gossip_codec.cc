#include "control/gossip_codec.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace figmill::detail {
namespace {

using Json = nlohmann::json;

// Fields of a datagram; one letter each, as every datagram carries them.
constexpr const char* kKind = "k";
constexpr const char* kNonce = "n";
constexpr const char* kSender = "f";
constexpr const char* kSequence = "s";
constexpr const char* kHash = "h";
constexpr const char* kNews = "b";
constexpr const char* kRecords = "r";
constexpr const char* kWants = "w";
constexpr const char* kTarget = "t";

constexpr unsigned kLeavingBit = 4;
constexpr std::size_t kBriefFields = 5;
constexpr std::size_t kRecordFields = 12;

// Reads arrays field by field; after the first mismatch everything is refused.
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

unsigned Flags(const Brief& brief) {
  return static_cast<unsigned>(brief.liveness) | (brief.leaving ? kLeavingBit : 0);
}

void SetFlags(ArrayReader& reader, Brief& brief) {
  const unsigned flags = reader.Natural<std::uint8_t>();
  const unsigned liveness = flags % kLeavingBit;
  if (liveness > static_cast<unsigned>(Liveness::kDead) || flags >= 2 * kLeavingBit) {
    return reader.Refuse();
  }
  brief.liveness = static_cast<Liveness>(liveness);
  brief.leaving = (flags & kLeavingBit) != 0;
}

Json Write(const Brief& brief) {
  return Json::array(
      {brief.node.value, brief.incarnation, brief.version, brief.shape, Flags(brief)});
}

Brief ReadBriefFields(ArrayReader& reader) {
  Brief brief;
  brief.node.value = reader.Text();
  brief.incarnation = reader.Natural<Incarnation>();
  brief.version = reader.Natural<RecordVersion>();
  brief.shape = reader.Natural<RecordVersion>();
  SetFlags(reader, brief);
  if (brief.node.empty() || brief.shape > brief.version) reader.Refuse();
  return brief;
}

std::optional<Brief> ReadBrief(const Json& json) {
  ArrayReader reader(json, kBriefFields);
  Brief brief = ReadBriefFields(reader);
  if (!reader.ok()) return std::nullopt;
  return brief;
}

Json Write(const Record& record) {
  const Member& member = record.member;
  Json serves = Json::array();
  for (const ServiceName& name : member.serves) serves.push_back(name.value);
  Json out = Write(BriefOf(record));
  out.insert(out.end(),
             {static_cast<unsigned>(member.role), member.data_centre.value, member.http.host,
              member.http.port, member.gossip.host, member.gossip.port, std::move(serves)});
  return out;
}

std::optional<Record> ReadRecord(const Json& json) {
  ArrayReader reader(json, kRecordFields);
  const Brief brief = ReadBriefFields(reader);
  Record record;
  record.version = brief.version;
  record.shape = brief.shape;
  Member& member = record.member;
  member.node = brief.node;
  member.incarnation = brief.incarnation;
  member.liveness = brief.liveness;
  member.leaving = brief.leaving;
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

// An absent list is an empty one; false if an element can't be read.
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

// Even when told not to, the library throws at an announced size that no memory
// could hold: one stray datagram would end the process.
Json ParseCbor(std::string_view bytes) {
  try {
    return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
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

Brief BriefOf(const Record& record) {
  return Brief{record.member.node, record.member.incarnation, record.version,
               record.shape,       record.member.liveness,    record.member.leaving};
}

std::string Encode(const Message& message) {
  Json json = {{kKind, static_cast<unsigned>(message.kind)},
               {kNonce, message.nonce},
               {kSender, Write(message.sender)},
               {kSequence, message.sequence},
               {kHash, message.hash}};
  WriteList(json, kNews, message.news);
  WriteList(json, kRecords, message.records);
  if (!message.wants.empty()) {
    Json& wants = json[kWants] = Json::array();
    for (const NodeId& node : message.wants) wants.push_back(node.value);
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
  bool ok = ReadField(json, kKind, kind) && kind <= static_cast<unsigned>(MessageKind::kAsk);
  message.kind = static_cast<MessageKind>(kind);
  const std::optional<Brief> sender = ReadBrief(json[kSender]);
  if (!ok || !sender) return std::nullopt;
  message.sender = *sender;
  ok = ReadField(json, kNonce, message.nonce) && ReadField(json, kSequence, message.sequence) &&
       ReadField(json, kHash, message.hash) && ReadList(json, kNews, message.news, ReadBrief) &&
       ReadList(json, kRecords, message.records, ReadRecord) &&
       ReadList(json, kWants, message.wants, ReadNode) && ReadTarget(json, message.target);
  if (!ok) return std::nullopt;
  return message;
}

std::string EncodeTable(const std::vector<Record>& records) {
  Json json = Json::array();
  for (const Record& record : records) json.push_back(Write(record));
  return Bytes(json);
}

std::optional<std::vector<Record>> DecodeTable(std::string_view bytes) {
  const Json json = ParseCbor(bytes);
  if (!json.is_array()) return std::nullopt;
  std::vector<Record> records;
  for (const Json& element : json) {
    std::optional<Record> record = ReadRecord(element);
    if (!record) return std::nullopt;
    records.push_back(std::move(*record));
  }
  return records;
}

std::string EncodeHave(const Have& have) {
  std::vector<std::uint8_t> digest(have.digest.begin(), have.digest.end());
  return Bytes(Json::array({Write(have.self), Json::binary(std::move(digest))}));
}

std::optional<Have> DecodeHave(std::string_view bytes) {
  const Json json = ParseCbor(bytes);
  if (!json.is_array() || json.size() != 2 || !json[1].is_binary()) return std::nullopt;
  std::optional<Record> self = ReadRecord(json[0]);
  if (!self) return std::nullopt;
  const auto& digest = json[1].get_binary();
  return Have{std::move(*self), std::string(digest.begin(), digest.end())};
}

std::size_t BytesOf(const Brief& brief) {
  return brief.node.value.size() + 24;
}

std::size_t BytesOf(const Record& record) {
  const Member& member = record.member;
  std::size_t bytes = BytesOf(BriefOf(record)) + member.data_centre.value.size() +
                      member.http.host.size() + member.gossip.host.size() + 18;
  for (const ServiceName& name : member.serves) bytes += name.value.size() + 2;
  return bytes;
}

}  // namespace figmill::detail
