#include "bench/phases.h"

namespace figmill::bench {
namespace {

constexpr Duration kSettlePoll{200'000};

bool HasOnline(Phase phase) {
  return phase != Phase::kBatch;
}
bool HasBatch(Phase phase) {
  return phase != Phase::kOnline;
}

void Merge(OnlineReport& into, const OnlineReport& from) {
  into.first_token_ms.AddAll(from.first_token_ms);
  into.gap_ms.AddAll(from.gap_ms);
  into.sent += from.sent;
  into.whole += from.whole;
  into.refused += from.refused;
  into.broken += from.broken;
  into.tokens += from.tokens;
}

}  // namespace

std::string_view NameOf(Phase phase) {
  switch (phase) {
    case Phase::kOnline:
      return "online only";
    case Phase::kBatch:
      return "batch only";
    case Phase::kBoth:
      return "both";
    case Phase::kBurst:
      return "both, bursts";
  }
  return "";
}

PhaseRunner::PhaseRunner(Loop& loop, HttpClient& client, PhasePlan plan,
                         std::vector<Address> engines, OnlineLoad& online, BatchLoad& batch)
    : loop_(loop),
      client_(client),
      plan_(plan),
      engines_(std::move(engines)),
      online_(online),
      batch_(batch) {}

void PhaseRunner::Run(std::function<void(Result<Ok>)> done) {
  done_ = std::move(done);
  Begin();
}

void PhaseRunner::Begin() {
  if (HasOnline(phase())) online_.Start(1);
  if (HasBatch(phase())) batch_.Start();
  if (phase() == Phase::kBurst) Burst(true);
  timer_ = loop_.After(plan_.warm_up, [this] { Measure(); });
}

void PhaseRunner::Burst(bool high) {
  online_.Start(high ? plan_.burst_factor : 1);
  burst_timer_ = loop_.After(plan_.burst_period / 2, [this, high] { Burst(!high); });
}

void PhaseRunner::Measure() {
  TakeTally(client_, engines_, [this](const Result<Tally>& tally) {
    if (!IsOk(tally)) {
      done_(ErrorOf(tally));
      return;
    }
    before_ = ValueOf(tally);
    (void)online_.Take();  // the warm-up doesn't count
    measured_from_ = Loop::Now();
    timer_ = loop_.After(plan_.measured, [this] { Finish(); });
  });
}

void PhaseRunner::Finish() {
  TakeTally(client_, engines_, [this](const Result<Tally>& tally) {
    if (!IsOk(tally)) {
      done_(ErrorOf(tally));
      return;
    }
    PhaseReport& total = report(phase());
    total.seconds += static_cast<double>((Loop::Now() - measured_from_).count()) / 1e6;
    total.tokens.online_tokens += ValueOf(tally).online_tokens - before_.online_tokens;
    total.tokens.batch_tokens += ValueOf(tally).batch_tokens - before_.batch_tokens;
    total.tokens.runs += ValueOf(tally).runs - before_.runs;
    Merge(total.online, online_.Take());
    burst_timer_.Reset();
    online_.Stop();
    batch_.Stop([this] { Settle(); });
  });
}

// The next phase starts from quiet engines.
void PhaseRunner::Settle() {
  if (!online_.idle()) {
    timer_ = loop_.After(kSettlePoll, [this] { Settle(); });
    return;
  }
  (void)online_.Take();
  Next();
}

void PhaseRunner::Next() {
  ++step_;
  if (step_ == kPhases.size() * static_cast<std::size_t>(plan_.rounds)) {
    done_(Ok{});
    return;
  }
  Begin();
}

}  // namespace figmill::bench
