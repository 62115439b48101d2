#pragma once

// Callers: streamed completions at random intervals that don't depend on how
// fast the answers come, so that slow answers can't hide by thinning the load.

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/samples.h"
#include "figmill/runtime.h"

namespace figmill::bench {

struct OnlineShape {
  std::vector<Address> targets;  // used in turn
  std::string model;
  double requests_per_second = 0;
  int prompt_words = 60;
  int answer_tokens = 40;
};

// What the callers of one phase saw.
struct OnlineReport {
  Samples first_token_ms;
  Samples gap_ms;
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;
  std::uint64_t refused = 0;  // a problem document
  std::uint64_t broken = 0;   // neither whole nor refused
  std::uint64_t tokens = 0;
};

class OnlineLoad {
 public:
  OnlineLoad(Loop& loop, HttpClient& client, OnlineShape shape, std::uint64_t seed);
  void Start(double rate_factor);
  void Stop();  // no new requests; those that run are counted to their phase
  [[nodiscard]] bool idle() const { return running_ == 0; }
  // The report since the last call.
  [[nodiscard]] OnlineReport Take();

 private:
  struct Request;
  void ScheduleNext();
  void Send();
  void OnBytes(Request& request, std::string_view bytes);
  void OnEvent(const std::shared_ptr<Request>& request, HttpEvent event);

  Loop& loop_;
  HttpClient& client_;
  OnlineShape shape_;
  std::mt19937_64 random_;
  double rate_ = 0;
  std::uint64_t serial_ = 0;
  int running_ = 0;
  Timer timer_;
  Time next_{};
  OnlineReport report_;
};

}  // namespace figmill::bench
