#pragma once

// KV memory of the stand-in engine: blocks that running streams hold, and an
// LRU cache of prompt blocks that nobody holds any more.

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace figmill::standin {

enum class CacheChange : std::uint8_t { kStored, kEvicted };
struct CacheEvent {
  CacheChange change;
  std::uint64_t block;
};

class KvCache {
 public:
  explicit KvCache(std::uint32_t capacity_blocks) : capacity_(capacity_blocks) {}

  // How many of the first `blocks` are in memory.
  [[nodiscard]] std::uint32_t CachedPrefix(std::span<const std::uint64_t> blocks) const;
  // Holds these prompt blocks and `own` others, or nothing. `reserve` blocks
  // must stay free or evictable. Prompt blocks count as cached at once, though
  // their prefill is still to come.
  [[nodiscard]] bool Hold(std::span<const std::uint64_t> blocks, std::uint32_t own,
                          std::uint32_t reserve);
  // One more own block.
  [[nodiscard]] bool Grow();
  // Prompt blocks that nobody holds stay cached until their room is needed.
  void Release(std::span<const std::uint64_t> blocks, std::uint32_t own);

  [[nodiscard]] std::uint32_t capacity() const { return capacity_; }
  [[nodiscard]] double used_share() const;
  [[nodiscard]] std::vector<CacheEvent> TakeEvents();

 private:
  struct Block {
    std::uint32_t holders = 0;
    std::list<std::uint64_t>::iterator idle_at;  // valid while holders is 0
  };
  [[nodiscard]] std::uint32_t held() const;
  void MakeRoom();

  std::uint32_t capacity_;
  std::uint32_t own_ = 0;
  std::unordered_map<std::uint64_t, Block> cached_;
  std::list<std::uint64_t> idle_;  // longest unused first
  std::vector<CacheEvent> events_;
};

}  // namespace figmill::standin
