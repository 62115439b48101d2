#include <algorithm>
#include <stdexcept>

#include "encoding/bounded_unpack.h"
#include "figmill/peer_messages.h"
#include "peer_messages/codec_fields.h"
#include "peer_messages/quota_codec.h"
#include "peer_messages/stream_codec.h"

namespace figmill {
namespace {

// Messages are MessagePack arrays, not maps: member names would take up most of a datagram. They
// are packed and unpacked without intermediate copies, because a process handles some hundreds of
// them a second.

// Array nesting in a message: the message, its records of streams, their list, a record, its
// source.
constexpr std::size_t kMaxDepth = 5;
// Largest sum of run times. Unit: milliseconds.
constexpr std::uint64_t kMaxTotalMs = std::uint64_t{1} << 40;
// Incarnations are times of day in milliseconds, or one more than another incarnation.
constexpr Incarnation kMaxIncarnation = Incarnation{1} << 53;

void Pack(Packer& packer, const Peer& peer) {
  // The last element is left out once the peer has joined, to save its byte.
  packer.pack_array(peer.joining ? 7 : 6);
  packer.pack(peer.node.value);
  packer.pack(peer.incarnation);
  packer.pack(ToString(peer.address));
  packer.pack(peer.data_centre.value);
  packer.pack(peer.capacity);
  packer.pack(peer.leaving);
  if (peer.joining) packer.pack(peer.joining);
}

void Pack(Packer& packer, const SlotReport& report) {
  packer.pack_array(6);
  packer.pack(report.number);
  packer.pack(report.acked_grant);
  packer.pack(report.acked_requests);
  packer.pack_array(static_cast<std::uint32_t>(report.waiting.size()));
  for (const WaitingItems& waiting : report.waiting) {
    packer.pack_array(3);
    packer.pack(waiting.due.count());
    packer.pack(waiting.items);
    packer.pack(waiting.started);
  }
  packer.pack_array(static_cast<std::uint32_t>(report.lines.size()));
  for (const SlotReport::Line& line : report.lines) {
    // The last elements are left out until events were timed.
    const bool timed = line.timing.events > 0;
    packer.pack_array(timed ? 9 : 7);
    packer.pack(line.backend.value);
    packer.pack(line.online);
    packer.pack(line.batch);
    packer.pack(line.typical_run_time.count());
    packer.pack(line.answers);
    packer.pack(line.faults);
    packer.pack(line.incarnation.value);
    if (!timed) continue;
    packer.pack(line.timing.events);
    packer.pack(std::chrono::duration_cast<std::chrono::milliseconds>(line.timing.time).count());
  }
  packer.pack(report.rest_unused);
}

void Pack(Packer& packer, const SlotGrant& grant) {
  packer.pack_array(3);
  packer.pack(grant.number);
  packer.pack_array(static_cast<std::uint32_t>(grant.lines.size()));
  for (const SlotGrant::Line& line : grant.lines) {
    packer.pack_array(line.speed_code > 0 ? 7 : 6);
    packer.pack(line.backend.value);
    packer.pack(line.online_other);
    packer.pack(line.batch_other);
    packer.pack(line.allowed);
    packer.pack(line.ejected);
    packer.pack(line.incarnation.value);
    if (line.speed_code > 0) packer.pack(line.speed_code);
  }
  packer.pack_array(static_cast<std::uint32_t>(grant.services.size()));
  for (const SlotGrant::ServiceUsage& usage : grant.services) {
    packer.pack_array(3);
    packer.pack(usage.service.value);
    packer.pack(usage.slots);
    packer.pack(usage.online);
  }
}

void Pack(Packer& packer, const SlotRequest& request) {
  const bool has_team = !request.team.empty();
  packer.pack_array(request.version ? 10 : has_team ? 9 : 7);
  packer.pack(request.number);
  packer.pack(request.service.value);
  packer.pack(request.goal_left.count());
  packer.pack(request.time_left.count());
  packer.pack(request.last_try);
  packer.pack(request.may_queue);
  packer.pack_array(static_cast<std::uint32_t>(request.tried.size()));
  for (const BackendId& id : request.tried) packer.pack(id.value);
  if (!has_team && !request.version) return;
  packer.pack(request.team.value);
  packer.pack(std::min(request.rank, kMaxCount));
  if (request.version) packer.pack(request.version->value);
}

void Pack(Packer& packer, const SlotResponse& answer) {
  packer.pack_array(5);
  packer.pack(answer.number);
  packer.pack(static_cast<int>(answer.kind));
  packer.pack(answer.backend.value);
  packer.pack(answer.wait.count());
  packer.pack(answer.retry_after.count());
}

template <typename T>
void PackOptional(Packer& packer, const std::optional<T>& value) {
  if (value) {
    Pack(packer, *value);
  } else {
    packer.pack_nil();
  }
}

std::string Serialize(const PeerMessage& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  const bool quota = message.quota_request || message.quota_grant || message.stream;
  packer.pack_array(message.stream ? 10 : quota ? 9 : 7);
  if (message.from.node.empty()) {
    packer.pack_nil();
  } else {
    Pack(packer, message.from);
  }
  PackOptional(packer, message.report);
  PackOptional(packer, message.grant);
  PackOptional(packer, message.slot_request);
  PackOptional(packer, message.slot_response);
  packer.pack_array(static_cast<std::uint32_t>(message.known_peers.size()));
  for (const Peer& peer : message.known_peers) Pack(packer, peer);
  packer.pack(static_cast<int>(message.wanted_reply));
  if (quota) {
    PackOptional(packer, message.quota_request);
    PackOptional(packer, message.quota_grant);
  }
  if (message.stream) Pack(packer, *message.stream);
  return {buffer.data(), buffer.size()};
}

NodeId GetNode(const Object& array, std::uint32_t index) {
  Result<std::string> node = ParseId(Get<std::string>(array, index), "a node's name");
  if (!IsOk(node)) throw std::invalid_argument(ErrorOf(node).detail);
  return NodeId{std::move(ValueOf(node))};
}

// The entry that it belongs to takes the next higher one, which overflows to 0 after the largest
// number.
Incarnation GetIncarnation(const Object& array, std::uint32_t index) {
  const auto incarnation = Get<Incarnation>(array, index);
  if (incarnation > kMaxIncarnation) throw std::invalid_argument("an incarnation is out of range");
  return incarnation;
}

double GetCapacity(const Object& array, std::uint32_t index) {
  const auto capacity = Get<double>(array, index);
  if (!(capacity >= 0 && capacity <= kMaxCount)) {
    throw std::invalid_argument("a capacity is out of range");
  }
  return capacity;
}

Address GetAddress(const Object& array, std::uint32_t index) {
  Result<Address> address = ParseAddress(Get<std::string>(array, index));
  if (!IsOk(address)) throw std::invalid_argument(ErrorOf(address).detail);
  return std::move(ValueOf(address));
}

// Entries of an earlier version, which run beside this one during a release, don't send the tag; it
// is unknown then.
IncarnationTag GetIncarnationTag(const Object& line, std::uint32_t index) {
  if (index >= SizeOf(line)) return {};
  return IncarnationTag{Get<std::uint16_t>(line, index)};
}

// Sums over all runs since the sender started. Entries of an earlier version don't send them.
EventTiming GetTiming(const Object& line, std::uint32_t index) {
  if (index >= SizeOf(line)) return {};
  const auto time_ms = Get<std::uint64_t>(line, index + 1);
  if (time_ms > kMaxTotalMs) throw std::invalid_argument("a total is out of range");
  return {Get<std::uint64_t>(line, index), std::chrono::milliseconds(time_ms)};
}

int GetSpeedCode(const Object& line, std::uint32_t index) {
  if (index >= SizeOf(line)) return 0;
  const int code = Get<int>(line, index);
  if (code < 0 || code > kMaxSpeedCode) throw std::invalid_argument("a speed is out of range");
  return code;
}

Peer ReadPeer(const Object& object) {
  Peer peer;
  peer.node = GetNode(object, 0);
  peer.incarnation = GetIncarnation(object, 1);
  peer.address = GetAddress(object, 2);
  peer.data_centre.value = GetName(object, 3);
  peer.capacity = GetCapacity(object, 4);
  peer.leaving = Get<bool>(object, 5);
  peer.joining = SizeOf(object) > 6 && Get<bool>(object, 6);
  return peer;
}

SlotReport ReadSlotReport(const Object& object) {
  SlotReport report;
  report.number = Get<std::uint64_t>(object, 0);
  report.acked_grant = Get<std::uint64_t>(object, 1);
  report.acked_requests = Get<std::vector<std::uint64_t>>(object, 2);
  const Object& waiting = Element(object, 3);
  for (std::uint32_t i = 0; i < SizeOf(waiting); ++i) {
    const Object& group = Element(waiting, i);
    // Entries of an earlier version don't send `begun`.
    const bool started = SizeOf(group) > 2 && Get<bool>(group, 2);
    report.waiting.push_back({StoreTime(Get<std::int64_t>(group, 0)), GetCount(group, 1), started});
  }
  const Object& lines = Element(object, 4);
  for (std::uint32_t i = 0; i < SizeOf(lines); ++i) {
    const Object& line = Element(lines, i);
    report.lines.push_back({BackendId{GetName(line, 0)}, GetCount(line, 1), GetCount(line, 2),
                            GetDuration(line, 3), Get<std::uint64_t>(line, 4),
                            Get<std::uint64_t>(line, 5), GetIncarnationTag(line, 6),
                            GetTiming(line, 7)});
  }
  // Entries of an earlier version don't send it.
  report.rest_unused = SizeOf(object) > 5 && Get<bool>(object, 5);
  return report;
}

SlotGrant ReadSlotGrant(const Object& object) {
  SlotGrant grant;
  grant.number = Get<std::uint64_t>(object, 0);
  const Object& lines = Element(object, 1);
  for (std::uint32_t i = 0; i < SizeOf(lines); ++i) {
    const Object& line = Element(lines, i);
    grant.lines.push_back({BackendId{GetName(line, 0)}, GetCount(line, 1), GetCount(line, 2),
                           GetCount(line, 3), Get<bool>(line, 4), GetIncarnationTag(line, 5),
                           GetSpeedCode(line, 6)});
  }
  if (SizeOf(object) <= 2) return grant;  // sent by an earlier version
  const Object& services = Element(object, 2);
  for (std::uint32_t i = 0; i < SizeOf(services); ++i) {
    const Object& usage = Element(services, i);
    grant.services.push_back(
        {ServiceName{GetName(usage, 0)}, GetCount(usage, 1), GetCount(usage, 2)});
  }
  return grant;
}

SlotRequest ReadSlotRequest(const Object& object) {
  SlotRequest request;
  request.number = Get<std::uint64_t>(object, 0);
  request.service.value = GetName(object, 1);
  request.goal_left = GetTimeLeft(object, 2);
  request.time_left = GetTimeLeft(object, 3);
  request.last_try = Get<bool>(object, 4);
  request.may_queue = Get<bool>(object, 5);
  const Object& tried = Element(object, 6);
  for (std::uint32_t i = 0; i < SizeOf(tried); ++i) {
    request.tried.push_back(BackendId{GetName(tried, i)});
  }
  // Only requests of teams, and those that continue a stream, have these elements.
  if (SizeOf(object) <= 8) return request;
  request.team.value = GetName(object, 7);
  request.rank = GetCount(object, 8);
  if (SizeOf(object) > 9) request.version = SoftwareVersion{GetName(object, 9)};
  return request;
}

SlotResponse ReadSlotResponse(const Object& object) {
  SlotResponse answer;
  answer.number = Get<std::uint64_t>(object, 0);
  const int kind = Get<int>(object, 1);
  if (kind < 0 || kind > static_cast<int>(SlotResponse::Kind::kNotOwned)) {
    throw std::invalid_argument("unknown kind of slot response");
  }
  answer.kind = static_cast<SlotResponse::Kind>(kind);
  answer.backend.value = GetName(object, 2);
  answer.wait = GetDuration(object, 3);
  // Entries of an earlier version, which run beside this one during a release, don't send it.
  answer.retry_after = SizeOf(object) > 4 ? GetDuration(object, 4) : answer.wait;
  return answer;
}

bool NeedsSender(const PeerMessage& message) {
  return !message.stream || !std::holds_alternative<StreamRecords>(*message.stream);
}

PeerMessage ReadMessage(const Object& object) {
  PeerMessage message;
  if (!Element(object, 0).is_nil()) message.from = ReadPeer(Element(object, 0));
  if (!Element(object, 1).is_nil()) message.report = ReadSlotReport(Element(object, 1));
  if (!Element(object, 2).is_nil()) message.grant = ReadSlotGrant(Element(object, 2));
  if (!Element(object, 3).is_nil()) message.slot_request = ReadSlotRequest(Element(object, 3));
  if (!Element(object, 4).is_nil()) message.slot_response = ReadSlotResponse(Element(object, 4));
  const Object& known = Element(object, 5);
  for (std::uint32_t i = 0; i < SizeOf(known); ++i) {
    message.known_peers.push_back(ReadPeer(Element(known, i)));
  }
  const int wanted_reply = Get<int>(object, 6);
  if (wanted_reply < 0 || wanted_reply > static_cast<int>(PeerMessage::WantedReply::kKnownPeers)) {
    throw std::invalid_argument("unknown kind of wanted reply");
  }
  message.wanted_reply = static_cast<PeerMessage::WantedReply>(wanted_reply);
  // Only messages about quotas and streams have these elements.
  if (SizeOf(object) <= 8) return message;
  if (!Element(object, 7).is_nil()) message.quota_request = ReadQuotaRequest(Element(object, 7));
  if (!Element(object, 8).is_nil()) message.quota_grant = ReadQuotaGrant(Element(object, 8));
  if (SizeOf(object) > 9) message.stream = ReadStreamMessage(Element(object, 9));
  return message;
}

// Halves one of the lists that may be truncated; returns false if all of them are empty.
bool Truncate(PeerMessage& message) {
  if (!message.known_peers.empty()) {
    message.known_peers.resize(message.known_peers.size() / 2);
    return true;
  }
  if (message.grant && !message.grant->lines.empty()) {
    message.grant->lines.resize(message.grant->lines.size() / 2);
    return true;
  }
  if (message.report && !message.report->lines.empty()) {
    message.report->lines.resize(message.report->lines.size() / 2);
    message.report->rest_unused = false;
    return true;
  }
  return false;
}

}  // namespace

int CountItems(std::span<const WaitingItems> waiting) {
  int items = 0;
  for (const WaitingItems& each : waiting) items += each.items;
  return items;
}

IncarnationTag TagOf(BackendIncarnation incarnation) {
  constexpr std::uint64_t kTags = 0xFFFF;  // without 0
  if (!incarnation.known()) return {};
  return {static_cast<std::uint16_t>(1 + incarnation.number % kTags)};
}

std::string Encode(const PeerMessage& message) {
  std::string text = Serialize(message);
  if (text.size() <= kMaxPeerMessageBytes) return text;
  PeerMessage truncated = message;
  while (text.size() > kMaxPeerMessageBytes && Truncate(truncated)) text = Serialize(truncated);
  return text;
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(bytes, kMaxDepth);
    PeerMessage message = ReadMessage(handle.get());
    if (message.from.node.empty() && NeedsSender(message)) {
      throw std::invalid_argument("its sender is not named");
    }
    return message;
  } catch (const std::exception& error) {
    return Error{ErrorKind::kBadRequest, std::string("peer message: ") + error.what()};
  }
}

}  // namespace figmill
