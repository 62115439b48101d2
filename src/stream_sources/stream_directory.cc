#define XXH_INLINE_ALL
#include <xxhash.h>

#include "figmill/stream_sources.h"

namespace figmill {

StreamKey StreamKeyOf(const RequestId& began) {
  return {XXH3_64bits(began.value.data(), began.value.size())};
}

void StreamDirectory::Put(const StreamRecord& record, Time now) {
  Evict(now);
  records_[record.key.value] = {record.source, now};
  order_.emplace_back(record.key.value, now);
}

// A renewed record has several places in the order, of which the last one counts.
void StreamDirectory::Evict(Time now) {
  while (!order_.empty()) {
    const auto& [key, put_at] = order_.front();
    if (records_.size() < kMaxRecords && now - put_at <= kTtl) return;
    const auto found = records_.find(key);
    if (found != records_.end() && found->second.put_at == put_at) records_.erase(found);
    order_.pop_front();
  }
}

std::optional<OutputSource> StreamDirectory::Find(StreamKey key, Time now) const {
  const auto found = records_.find(key.value);
  if (found == records_.end() || now - found->second.put_at > kTtl) return std::nullopt;
  return found->second.source;
}

}  // namespace figmill
