#include "peer_messages/stream_codec.h"

namespace figmill {
namespace {

// The first element of a message, in the order of StreamMessage.
enum class Kind : std::uint8_t { kRecords, kQuery, kResponse };

void PackKind(Packer& packer, Kind kind) {
  packer.pack(static_cast<int>(kind));
}

void PackSource(Packer& packer, const OutputSource& source) {
  packer.pack_array(2);
  packer.pack(source.service.value);
  packer.pack(source.version.value);
}

OutputSource GetSource(const Object& array, std::uint32_t index) {
  const Object& source = Element(array, index);
  return {ServiceName{GetName(source, 0)}, SoftwareVersion{GetName(source, 1)}};
}

void PackBody(Packer& packer, const StreamRecords& records) {
  packer.pack_array(2);
  PackKind(packer, Kind::kRecords);
  packer.pack_array(static_cast<std::uint32_t>(records.records.size()));
  for (const StreamRecord& record : records.records) {
    packer.pack_array(2);
    packer.pack(record.key.value);
    PackSource(packer, record.source);
  }
}

void PackBody(Packer& packer, const StreamQuery& query) {
  packer.pack_array(4);
  PackKind(packer, Kind::kQuery);
  packer.pack(query.number);
  packer.pack(query.key.value);
  packer.pack("");  // required by entries of earlier releases
}

void PackBody(Packer& packer, const StreamResponse& response) {
  packer.pack_array(6);
  PackKind(packer, Kind::kResponse);
  packer.pack(response.number);
  packer.pack(response.key.value);
  packer.pack(0);  // required by entries of earlier releases, as is the last element
  if (response.source) {
    PackSource(packer, *response.source);
  } else {
    packer.pack_nil();
  }
  packer.pack_nil();
}

StreamRecords ReadRecords(const Object& object) {
  const Object& list = Element(object, 1);
  if (SizeOf(list) > StreamRecords::kMaxRecords) throw std::invalid_argument("too many records");
  StreamRecords records;
  for (std::uint32_t i = 0; i < SizeOf(list); ++i) {
    const Object& record = Element(list, i);
    records.records.push_back({{Get<std::uint64_t>(record, 0)}, GetSource(record, 1)});
  }
  return records;
}

StreamQuery ReadQuery(const Object& object) {
  return {Get<std::uint64_t>(object, 1), {Get<std::uint64_t>(object, 2)}};
}

StreamResponse ReadResponse(const Object& object) {
  StreamResponse response;
  response.number = Get<std::uint64_t>(object, 1);
  response.key.value = Get<std::uint64_t>(object, 2);
  if (!Element(object, 4).is_nil()) response.source = GetSource(object, 4);
  return response;
}

}  // namespace

void Pack(Packer& packer, const StreamMessage& message) {
  std::visit([&packer](const auto& each) { PackBody(packer, each); }, message);
}

StreamMessage ReadStreamMessage(const Object& object) {
  switch (Get<int>(object, 0)) {
    case static_cast<int>(Kind::kRecords):
      return ReadRecords(object);
    case static_cast<int>(Kind::kQuery):
      return ReadQuery(object);
    case static_cast<int>(Kind::kResponse):
      return ReadResponse(object);
    default:
      throw std::invalid_argument("unknown kind of stream message");
  }
}

}  // namespace figmill
