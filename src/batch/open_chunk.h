#pragma once

// The items of one chunk while they are worked: attempts, endings, results.

#include <optional>
#include <string>
#include <vector>

#include "figmill/batch.h"

namespace figmill::detail {

// What to do with an item after an attempt.
enum class AfterAttempt : std::uint8_t { kEnded, kTryAgain };

class OpenChunk {
 public:
  OpenChunk(std::uint32_t first_index, std::vector<BatchItem> items);

  // Applies the configuration's word to each item; true when one of them may not
  // be repeated.
  bool ForbidRepeats(const RepeatableRule& rule);

  [[nodiscard]] std::size_t size() const { return items_.size(); }
  [[nodiscard]] std::uint32_t first_index() const { return first_index_; }
  [[nodiscard]] const BatchItem& item(std::uint32_t index) const {
    return items_[index - first_index_].item;
  }
  [[nodiscard]] int attempts(std::uint32_t index) const {
    return items_[index - first_index_].attempts;
  }

  void CountAttempt(std::uint32_t index) { ++items_[index - first_index_].attempts; }
  // An ended item stays as it ended: a late second outcome changes nothing.
  [[nodiscard]] AfterAttempt Take(std::uint32_t index, const ItemOutcome& outcome,
                                  int max_attempts);
  void Fail(std::uint32_t index, const Error& error);

  [[nodiscard]] bool finished() const { return left_ == 0; }
  [[nodiscard]] std::uint32_t succeeded() const { return succeeded_; }
  [[nodiscard]] std::uint32_t failed() const { return failed_; }
  [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }
  // All result lines in item order, in pieces of at most kMaxResultObjectBytes
  // where a line isn't longer; gives their memory away.
  [[nodiscard]] std::vector<std::string> TakeResults();
  // The results lie in the object store now.
  void ForgetBytes() { held_bytes_ = 0; }

  RowVersion row_version = 0;  // of the chunk's row: that of the intent, or 0

 private:
  struct ItemState {
    BatchItem item;
    std::string result;
    int attempts = 0;  // that may have run
    bool ended = false;
  };
  void End(ItemState& state, std::string line, bool success);
  [[nodiscard]] AfterAttempt TakeAnswer(std::uint32_t index, const ItemAnswer& answer,
                                        int max_attempts);
  [[nodiscard]] AfterAttempt TakeError(std::uint32_t index, const Error& error, int max_attempts);

  std::uint32_t first_index_;
  std::vector<ItemState> items_;
  std::size_t left_;
  std::size_t held_bytes_ = 0;
  std::uint32_t succeeded_ = 0;
  std::uint32_t failed_ = 0;
};

}  // namespace figmill::detail
