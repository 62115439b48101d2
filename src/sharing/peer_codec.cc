#include <nlohmann/json.hpp>
#include <stdexcept>

#include "figmill/sharing.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

// Arrays, not maps: the names would be most of a datagram.
Json ToJson(const Peer& peer) {
  return {peer.node.value, peer.incarnation, ToString(peer.address), peer.data_centre.value,
          peer.leaving};
}

Peer ReadPeer(const Json& json) {
  Peer peer;
  peer.node.value = json.at(0).get<std::string>();
  peer.incarnation = json.at(1).get<Incarnation>();
  Result<Address> address = ParseAddress(json.at(2).get<std::string>());
  if (!IsOk(address)) throw std::invalid_argument(ErrorOf(address).detail);
  peer.address = ValueOf(address);
  peer.data_centre.value = json.at(3).get<std::string>();
  peer.leaving = json.at(4).get<bool>();
  return peer;
}

Json ToJson(const PlaceReport& report) {
  Json lines = Json::array();
  for (const PlaceReport::Line& line : report.lines) {
    lines.push_back({line.backend.value, line.online, line.batch});
  }
  return {report.number, report.grant, report.wanted, std::move(lines)};
}

PlaceReport ReadReport(const Json& json) {
  PlaceReport report;
  report.number = json.at(0).get<std::uint64_t>();
  report.grant = json.at(1).get<std::uint64_t>();
  report.wanted = json.at(2).get<int>();
  for (const Json& line : json.at(3)) {
    report.lines.push_back(
        {BackendId{line.at(0).get<std::string>()}, line.at(1).get<int>(), line.at(2).get<int>()});
  }
  return report;
}

Json ToJson(const PlaceGrant& grant) {
  Json lines = Json::array();
  for (const PlaceGrant::Line& line : grant.lines) {
    lines.push_back({line.backend.value, line.online_other, line.batch_other, line.allowed});
  }
  return {grant.number, std::move(lines)};
}

PlaceGrant ReadGrant(const Json& json) {
  PlaceGrant grant;
  grant.number = json.at(0).get<std::uint64_t>();
  for (const Json& line : json.at(1)) {
    grant.lines.push_back({BackendId{line.at(0).get<std::string>()}, line.at(1).get<int>(),
                           line.at(2).get<int>(), line.at(3).get<int>()});
  }
  return grant;
}

std::string Text(const PeerMessage& message) {
  Json known = Json::array();
  for (const Peer& peer : message.known) known.push_back(ToJson(peer));
  const Json json = {ToJson(message.from), message.report ? ToJson(*message.report) : Json(),
                     message.grant ? ToJson(*message.grant) : Json(), std::move(known),
                     message.hello};
  const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

PeerMessage ReadMessage(const Json& json) {
  PeerMessage message;
  message.from = ReadPeer(json.at(0));
  if (!json.at(1).is_null()) message.report = ReadReport(json.at(1));
  if (!json.at(2).is_null()) message.grant = ReadGrant(json.at(2));
  for (const Json& peer : json.at(3)) message.known.push_back(ReadPeer(peer));
  message.hello = json.at(4).get<bool>();
  return message;
}

// Halves what may be cut; false when nothing is left to cut.
bool Shorten(PeerMessage& message) {
  if (!message.known.empty()) {
    message.known.resize(message.known.size() / 2);
    return true;
  }
  if (message.grant && !message.grant->lines.empty()) {
    message.grant->lines.resize(message.grant->lines.size() / 2);
    return true;
  }
  if (message.report && !message.report->lines.empty()) {
    message.report->lines.resize(message.report->lines.size() / 2);
    return true;
  }
  return false;
}

}  // namespace

std::string Encode(const PeerMessage& message) {
  std::string text = Text(message);
  if (text.size() <= kMaxPeerMessageBytes) return text;
  PeerMessage shorter = message;
  while (text.size() > kMaxPeerMessageBytes && Shorten(shorter)) text = Text(shorter);
  return text;
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  try {
    return ReadMessage(Json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const std::exception& mistake) {
    return Error{ErrorKind::kBadRequest, std::string("peer message: ") + mistake.what()};
  }
}

}  // namespace figmill
