// The writes that accept an item for later and hand it to a successor.

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
  row.tick = spec.tick;

  OnceWrite write;
  write.condition = RowCondition{OnceRowKey(spec.key), released};
  write.value = SerializeOnceRow(row);
  write.side.emplace_back(PutRow{OnceOpenKey(spec.self.node, spec.key), SerializeOnceOpen(row)});
  write.refusable = true;
  return write;
}

OnceWrite TakeOverWrite(const ItemKey& key, const OnceRow& row, RowVersion version,
                        const OnceParty& self, const RandomBits& random) {
  OnceRow taken = row;
  taken.token = GenerateToken(random);
  taken.sender = self;
  ++taken.epoch;

  OnceWrite write;
  write.condition = RowCondition{OnceRowKey(key), version};
  write.value = SerializeOnceRow(taken);
  if (row.sender.node != self.node) {
    write.side.emplace_back(DeleteRow{OnceOpenKey(row.sender.node, key)});
  }
  write.side.emplace_back(PutRow{OnceOpenKey(self.node, key), SerializeOnceOpen(taken)});
  return write;
}

}  // namespace figmill
