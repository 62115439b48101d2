#include "standin/kv_cache.h"

#include <algorithm>
#include <utility>

namespace figmill::standin {

std::uint32_t KvCache::CachedPrefix(std::span<const std::uint64_t> blocks) const {
  const auto missing = std::find_if(blocks.begin(), blocks.end(), [this](std::uint64_t block) {
    return !cached_.contains(block);
  });
  return static_cast<std::uint32_t>(missing - blocks.begin());
}

std::uint32_t KvCache::held() const {
  return own_ + static_cast<std::uint32_t>(cached_.size() - idle_.size());
}

bool KvCache::Hold(std::span<const std::uint64_t> blocks, std::uint32_t own,
                   std::uint32_t reserve) {
  std::uint32_t needed = own + reserve;
  for (const std::uint64_t block : blocks) {
    const auto found = cached_.find(block);
    if (found == cached_.end() || found->second.holders == 0) ++needed;
  }
  if (held() + needed > capacity_) return false;

  // Held first, so that making room for the new ones can't evict them.
  std::vector<std::uint64_t> fresh;
  for (const std::uint64_t block : blocks) {
    const auto found = cached_.find(block);
    if (found == cached_.end()) {
      fresh.push_back(block);
    } else if (found->second.holders++ == 0) {
      idle_.erase(found->second.idle_at);
    }
  }
  for (const std::uint64_t block : fresh) {
    MakeRoom();
    cached_[block].holders = 1;
    events_.push_back({CacheChange::kStored, block});
  }
  for (std::uint32_t i = 0; i < own; ++i) {
    MakeRoom();
    ++own_;
  }
  return true;
}

bool KvCache::Grow() {
  if (held() >= capacity_) return false;
  MakeRoom();
  ++own_;
  return true;
}

void KvCache::Release(std::span<const std::uint64_t> blocks, std::uint32_t own) {
  own_ -= own;
  // Last blocks first: a prefix is of use without its end, not the other way.
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    Block& cell = cached_.at(*block);
    if (--cell.holders == 0) cell.idle_at = idle_.insert(idle_.end(), *block);
  }
}

void KvCache::MakeRoom() {
  if (own_ + cached_.size() < capacity_ || idle_.empty()) return;
  const std::uint64_t oldest = idle_.front();
  idle_.pop_front();
  cached_.erase(oldest);
  events_.push_back({CacheChange::kEvicted, oldest});
}

double KvCache::used_share() const {
  return static_cast<double>(held()) / static_cast<double>(capacity_);
}

std::vector<CacheEvent> KvCache::TakeEvents() {
  return std::exchange(events_, {});
}

}  // namespace figmill::standin
