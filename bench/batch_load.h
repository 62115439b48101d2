#pragma once

// Batch work: jobs put one after the other, so that there is always a backlog
// while a phase with batch runs.

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "figmill/runtime.h"

namespace figmill::bench {

struct BatchShape {
  std::vector<Address> entries;
  std::string model;
  int items_per_job = 400;
  int prompt_words = 60;
  int answer_tokens = 80;
  int open_jobs = 4;  // kept unfinished at a time
};

class BatchLoad {
 public:
  BatchLoad(Loop& loop, HttpClient& client, BatchShape shape, std::uint64_t seed);
  void Start();
  // Cancels the open jobs; `done` follows once every cancel was answered.
  void Stop(std::function<void()> done);
  [[nodiscard]] std::uint64_t accepted() const { return accepted_; }
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  void Poll();
  void TopUp();
  void Put(const std::string& job);
  void Ask(const std::string& job);
  [[nodiscard]] std::string JobBody(std::uint64_t serial) const;
  [[nodiscard]] const Address& EntryFor(std::uint64_t serial) const;

  Loop& loop_;
  HttpClient& client_;
  BatchShape shape_;
  std::string prefix_;  // keeps job names of two runs apart
  std::set<std::string> open_;
  std::uint64_t serial_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t refused_ = 0;
  bool running_ = false;
  Timer timer_;
};

}  // namespace figmill::bench
