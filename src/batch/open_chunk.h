#pragma once

// The items of one chunk that is being processed: attempts, outcomes, results.

#include <optional>
#include <string>
#include <vector>

#include "figmill/batch.h"

namespace figmill::detail {

// Whether an item has ended or needs another attempt.
enum class AttemptResult : std::uint8_t { kEnded, kRetry };

class OpenChunk {
 public:
  OpenChunk(std::uint32_t first_index, std::vector<BatchItem> items);

  // Applies the configuration's rule to each item. Returns whether any item of the
  // chunk is not repeatable.
  bool ApplyRepeatableRule(const RepeatableRule& rule);

  [[nodiscard]] std::size_t size() const { return items_.size(); }
  [[nodiscard]] std::uint32_t first_index() const { return first_index_; }
  [[nodiscard]] const BatchItem& item(std::uint32_t index) const {
    return items_[index - first_index_].item;
  }
  [[nodiscard]] int attempts(std::uint32_t index) const {
    return items_[index - first_index_].attempts;
  }

  void CountAttempt(std::uint32_t index) { ++items_[index - first_index_].attempts; }
  // The first final outcome of an item counts; later ones are ignored.
  [[nodiscard]] AttemptResult RecordOutcome(std::uint32_t index, const ItemOutcome& outcome,
                                            int max_attempts);
  void Fail(std::uint32_t index, const Error& error);

  [[nodiscard]] bool has_ended(std::uint32_t index) const {
    return items_[index - first_index_].ended;
  }
  [[nodiscard]] bool finished() const { return unfinished_ == 0; }
  [[nodiscard]] std::uint32_t succeeded() const { return succeeded_; }
  [[nodiscard]] std::uint32_t failed() const { return failed_; }
  [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }
  // Moves out all result lines in item order, in pieces of at most
  // kMaxResultObjectBytes, except that a longer line forms a piece by itself.
  [[nodiscard]] std::vector<std::string> TakeResults();
  // Called when the results are in the object store and no longer in memory.
  void ClearHeldBytes() { held_bytes_ = 0; }

  RowVersion row_version = 0;  // of the chunk's intent row; 0 when it has none
  bool recording_intent = false;
  bool started = false;  // an item has started, or may have run

 private:
  struct ItemState {
    BatchItem item;
    std::string result;
    int attempts = 0;  // attempts that may have run
    bool ended = false;
  };
  void EndItem(ItemState& state, std::string line, bool success);
  [[nodiscard]] AttemptResult RecordAnswer(std::uint32_t index, const ItemAnswer& answer,
                                           int max_attempts);
  [[nodiscard]] AttemptResult RecordError(std::uint32_t index, const Error& error,
                                          int max_attempts);

  std::uint32_t first_index_;
  std::vector<ItemState> items_;
  std::size_t unfinished_;
  std::size_t held_bytes_ = 0;
  std::uint32_t succeeded_ = 0;
  std::uint32_t failed_ = 0;
};

}  // namespace figmill::detail
