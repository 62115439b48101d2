#pragma once

// The stand-in engine's timing, without I/O: continuous batching under a
// stated cost model. It admits as requests arrive and knows no priorities.
//
//   step time = step_base + per_running * running + per_prefill_token * prefilled
//
// Every running stream whose prefill is done gets one token at the step's end.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "figmill/base.h"
#include "figmill/platform.h"
#include "standin/kv_cache.h"
#include "standin/text.h"

namespace figmill::standin {

struct EngineCosts {
  Duration step_base{8'000};
  Duration per_running{250};
  Duration per_prefill_token{25};
  std::uint32_t prefill_budget = 1024;  // prompt tokens in one step, over all streams
  std::uint32_t max_running = 48;
  std::uint32_t max_waiting = 1024;
  std::uint32_t kv_tokens = 65'536;
};

[[nodiscard]] Duration StepTime(const EngineCosts& costs, std::uint32_t running,
                                std::uint32_t prefill_tokens);

// Tokens a second of an engine that is always full of requests with
// `answer_tokens` each and `prefill_tokens` uncached prompt tokens: the bound
// that a scheduler before it can reach, KV memory aside.
[[nodiscard]] double TokensPerSecondBound(const EngineCosts& costs, double prefill_tokens,
                                          double answer_tokens);

// One run of one request; numbered in order of arrival.
using RunId = std::uint64_t;

struct RunSpec {
  RunId run = 0;
  TokenizedPrompt prompt;
  std::uint64_t max_tokens = 0;
  std::uint64_t generated = 0;  // by the engine that this run was exported from
  bool prefilled = false;       // its KV was imported
};

struct TokenEvent {
  RunId run = 0;
  std::uint64_t index = 0;
  std::uint32_t cached_tokens = 0;  // of the prompt, at its first admission
  bool last = false;
};

class EngineModel {
 public:
  explicit EngineModel(const EngineCosts& costs);

  // Errors: kTooLarge when it can never fit, kOverloaded when the queue is
  // full; then nothing was started.
  Result<Ok> Submit(Time now, RunSpec spec);
  // False when no such run is waiting or running.
  bool Cancel(RunId run);
  // When Advance has something to do; empty while idle.
  [[nodiscard]] std::optional<Time> next_step_end() const { return step_end_; }
  // Ends the steps that are over by now. Late calls are caught up with, but
  // not more than kMaxCatchUp: a process that was stopped did no work meanwhile.
  std::vector<TokenEvent> Advance(Time now);

  void set_extra_step_time(Duration extra) { extra_step_time_ = extra; }
  [[nodiscard]] EngineLoad load() const;
  [[nodiscard]] std::vector<CacheEvent> TakeCacheEvents() { return kv_.TakeEvents(); }
  [[nodiscard]] std::uint64_t preemptions() const { return preemptions_; }

  static constexpr Duration kMaxCatchUp{100'000};

 private:
  struct Stream {
    RunSpec spec;
    std::uint32_t prefill_left = 0;
    std::uint32_t own_blocks = 0;
    std::optional<std::uint32_t> cached_tokens;
  };

  void StartStep(Time at);
  void AdmitWaiting();
  bool Admit(Stream& stream);
  void FinishStep(std::vector<TokenEvent>& events);
  bool MakeRoomForToken(std::size_t index);
  void Preempt();
  void Release(const Stream& stream);

  EngineCosts costs_;
  KvCache kv_;
  Duration extra_step_time_{0};
  std::optional<Time> step_end_;
  std::vector<Stream> running_;  // in order of admission
  std::deque<Stream> waiting_;
  std::uint64_t preemptions_ = 0;
};

}  // namespace figmill::standin
