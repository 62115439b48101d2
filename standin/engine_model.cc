#include "standin/engine_model.h"

#include <algorithm>

namespace figmill::standin {
namespace {

// Part of the KV memory that admission leaves for the streams that run, so that
// a new one isn't preempted right after it came in.
constexpr std::uint32_t kReserveDivisor = 64;

std::uint32_t BlocksFor(std::uint64_t tokens) {
  return static_cast<std::uint32_t>((tokens + kBlockTokens - 1) / kBlockTokens);
}

}  // namespace

Duration StepTime(const EngineCosts& costs, std::uint32_t running, std::uint32_t prefill_tokens) {
  return costs.step_base + costs.per_running * running + costs.per_prefill_token * prefill_tokens;
}

double TokensPerSecondBound(const EngineCosts& costs, double prefill_tokens, double answer_tokens) {
  // A full step gives max_running tokens, and must prefill as much as the
  // answers that end in it bring in.
  const double running = costs.max_running;
  const double step = static_cast<double>(StepTime(costs, costs.max_running, 0).count());
  const double prefill = static_cast<double>(costs.per_prefill_token.count()) * prefill_tokens *
                         running / answer_tokens;
  return 1e6 * running / (step + prefill);
}

EngineModel::EngineModel(const EngineCosts& costs)
    : costs_(costs), kv_(BlocksFor(costs.kv_tokens)) {}

Result<Ok> EngineModel::Submit(Time now, RunSpec spec) {
  const std::uint64_t most_tokens = spec.prompt.tokens + spec.max_tokens;
  if (most_tokens > costs_.kv_tokens) {
    return Error{ErrorKind::kTooLarge, "prompt and answer are larger than the KV memory"};
  }
  if (waiting_.size() >= costs_.max_waiting) {
    return Error{ErrorKind::kOverloaded, "the engine's queue is full"};
  }
  waiting_.push_back(Stream{.spec = std::move(spec)});
  if (!step_end_) StartStep(now);
  return Ok{};
}

bool EngineModel::Cancel(RunId run) {
  const auto is_run = [run](const Stream& stream) { return stream.spec.run == run; };
  const auto running = std::find_if(running_.begin(), running_.end(), is_run);
  if (running != running_.end()) {
    Release(*running);
    running_.erase(running);
    return true;
  }
  return std::erase_if(waiting_, is_run) > 0;
}

std::vector<TokenEvent> EngineModel::Advance(Time now) {
  std::vector<TokenEvent> events;
  while (step_end_ && *step_end_ <= now) {
    const Time end = *step_end_;
    FinishStep(events);
    StartStep(std::max(end, now - kMaxCatchUp));
  }
  return events;
}

EngineLoad EngineModel::load() const {
  return EngineLoad{.running = static_cast<std::uint32_t>(running_.size()),
                    .waiting = static_cast<std::uint32_t>(waiting_.size()),
                    .kv_used = kv_.used_share()};
}

void EngineModel::StartStep(Time at) {
  AdmitWaiting();
  if (running_.empty()) {
    step_end_.reset();
    return;
  }
  std::uint32_t budget = costs_.prefill_budget;
  for (Stream& stream : running_) {
    const std::uint32_t tokens = std::min(stream.prefill_left, budget);
    stream.prefill_left -= tokens;
    budget -= tokens;
  }
  const auto running = static_cast<std::uint32_t>(running_.size());
  step_end_ = at + StepTime(costs_, running, costs_.prefill_budget - budget) + extra_step_time_;
}

void EngineModel::AdmitWaiting() {
  while (!waiting_.empty() && running_.size() < costs_.max_running && Admit(waiting_.front())) {
    running_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
}

bool EngineModel::Admit(Stream& stream) {
  const TokenizedPrompt& prompt = stream.spec.prompt;
  const std::uint64_t tokens = prompt.tokens + stream.spec.generated;
  const auto own = BlocksFor(tokens) - static_cast<std::uint32_t>(prompt.blocks.size());
  const std::uint32_t reserve = running_.empty() ? 0 : kv_.capacity() / kReserveDivisor;
  const auto cached = static_cast<std::uint32_t>(kv_.CachedPrefix(prompt.blocks) * kBlockTokens);
  if (!kv_.Hold(prompt.blocks, own, reserve)) return false;

  stream.own_blocks = own;
  stream.prefill_left = stream.spec.prefilled ? 0 : static_cast<std::uint32_t>(tokens) - cached;
  stream.spec.prefilled = false;  // a later preemption loses the KV
  if (!stream.cached_tokens) stream.cached_tokens = cached;
  return true;
}

void EngineModel::FinishStep(std::vector<TokenEvent>& events) {
  for (std::size_t i = 0; i < running_.size(); ++i) {
    if (running_[i].prefill_left > 0 || !MakeRoomForToken(i)) continue;
    Stream& stream = running_[i];
    const bool last = stream.spec.generated + 1 >= stream.spec.max_tokens;
    events.push_back(TokenEvent{stream.spec.run, stream.spec.generated++,
                                stream.cached_tokens.value_or(0), last});
    if (last) Release(stream);
  }
  std::erase_if(running_, [](const Stream& stream) {
    return stream.spec.generated >= stream.spec.max_tokens;
  });
}

// False when the stream itself had to give way.
bool EngineModel::MakeRoomForToken(std::size_t index) {
  while (true) {
    Stream& stream = running_[index];
    const std::uint64_t tokens = stream.spec.prompt.tokens + stream.spec.generated + 1;
    const auto blocks = stream.spec.prompt.blocks.size() + stream.own_blocks;
    if (BlocksFor(tokens) <= blocks) return true;
    if (kv_.Grow()) {
      ++stream.own_blocks;
      return true;
    }
    Preempt();
    if (index >= running_.size()) return false;
  }
}

void EngineModel::Preempt() {
  Release(running_.back());
  waiting_.push_front(std::move(running_.back()));
  running_.pop_back();
  ++preemptions_;
}

void EngineModel::Release(const Stream& stream) {
  kv_.Release(stream.spec.prompt.blocks, stream.own_blocks);
}

}  // namespace figmill::standin
