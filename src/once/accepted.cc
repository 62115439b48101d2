// The writes that accept an item for asynchronous execution and transfer it to a successor.

#include "figmill/once.h"

namespace figmill {

OnceWrite AcceptWrite(const once::Spec& spec, std::string request_object, RowVersion released,
                      const RandomBits& random) {
  OnceRow row;
  row.token = GenerateToken(random);
  row.phase = OncePhase::kQueued;
  row.content = spec.content;
  row.team = spec.team;
  row.repeatable = spec.repeatable;
  row.epoch = 1;
  row.sender = spec.self;
  row.request_object = std::move(request_object);
  row.retention_tick = spec.retention_tick;

  OnceWrite write;
  write.condition = RowCondition{OnceRowKey(spec.key), released};
  write.value = SerializeOnceRow(row);
  write.marker_writes.emplace_back(
      PutRow{OpenItemMarkerKey(spec.self.node, spec.key), SerializeOpenItemMarker(row)});
  write.fail_fast = true;
  return write;
}

OnceWrite TakeOverWrite(const ItemKey& key, const OnceRow& row, RowVersion version,
                        const NodeInstance& self, const RandomBits& random) {
  OnceRow successor_row = row;
  successor_row.token = GenerateToken(random);
  successor_row.sender = self;
  ++successor_row.epoch;

  OnceWrite write;
  write.condition = RowCondition{OnceRowKey(key), version};
  write.value = SerializeOnceRow(successor_row);
  if (row.sender.node != self.node) {
    write.marker_writes.emplace_back(DeleteRow{OpenItemMarkerKey(row.sender.node, key)});
  }
  write.marker_writes.emplace_back(
      PutRow{OpenItemMarkerKey(self.node, key), SerializeOpenItemMarker(successor_row)});
  return write;
}

}  // namespace figmill
