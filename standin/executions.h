#pragma once

// The record of every run that a backend server ever started. Tests trust it
// to tell what ran, how often, and what became of it.

#include <cstdint>
#include <string>
#include <vector>

namespace figmill::standin {

enum class RunState : std::uint8_t { kRunning, kFinished, kCancelled };

struct Execution {
  std::string request_id;
  std::string item_key;
  bool repeatable = true;
  RunState state = RunState::kRunning;
  std::uint64_t tokens = 0;
};

class Executions {
 public:
  // The number of the new run.
  std::uint64_t Start(std::string request_id, std::string item_key, bool repeatable);
  // The latest run never came about: the backend server refused it.
  void TakeBack() { all_.pop_back(); }
  Execution& at(std::uint64_t run) { return all_.at(run); }
  // NDJSON, in the order of starting.
  [[nodiscard]] std::string ToNdjson() const;

 private:
  std::vector<Execution> all_;
};

}  // namespace figmill::standin
