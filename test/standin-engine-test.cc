#include <doctest/doctest.h>

#include <map>

#include "standin/engine_model.h"

using namespace figmill;           // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::standin;  // NOLINT(google-build-using-namespace)

namespace {

std::string Words(int count, const std::string& word) {
  std::string text;
  for (int i = 0; i < count; ++i) text += word + std::to_string(i) + " ";
  return text;
}

RunSpec Spec(RunId run, const std::string& prompt, std::uint64_t max_tokens) {
  return RunSpec{.run = run, .prompt = Tokenize(prompt), .max_tokens = max_tokens};
}

// Runs the model until it is idle; tokens by run.
std::map<RunId, std::vector<std::uint64_t>> Drain(EngineModel& model, Time& now) {
  std::map<RunId, std::vector<std::uint64_t>> tokens;
  while (model.next_step_end()) {
    now = *model.next_step_end();
    for (const TokenEvent& event : model.Advance(now)) tokens[event.run].push_back(event.index);
  }
  return tokens;
}

}  // namespace

TEST_CASE("an answer's words follow from the prompt and the index alone") {
  const std::uint64_t hash = Fnv1a("rye field west");
  CHECK(AnswerText(hash, 0, 4) == "rega lobe doso zeme");
  CHECK(AnswerText(hash, 0, 2) + AnswerText(hash, 2, 4) == AnswerText(hash, 0, 4));
  CHECK(AnswerText(Fnv1a("rye field east"), 0, 4) != AnswerText(hash, 0, 4));
}

TEST_CASE("a step takes the stated time, and a newcomer joins the next one") {
  const EngineCosts costs;
  EngineModel model(costs);
  const Time start{Duration(1'000)};
  REQUIRE(IsOk(model.Submit(start, Spec(1, Words(100, "a"), 2))));
  REQUIRE(IsOk(model.Submit(start + Duration(1), Spec(2, Words(40, "b"), 1))));
  const Time first_end = start + StepTime(costs, 1, 100);
  CHECK(model.next_step_end() == first_end);
  CHECK(model.Advance(first_end - Duration(1)).empty());
  CHECK(model.Advance(first_end).size() == 1);
  CHECK(model.next_step_end() == first_end + StepTime(costs, 2, 40));
}

TEST_CASE("a long prompt is prefilled over several steps while others go on") {
  EngineCosts costs;
  costs.prefill_budget = 64;
  EngineModel model(costs);
  Time now{};
  REQUIRE(IsOk(model.Submit(now, Spec(1, "short", 10))));
  REQUIRE(IsOk(model.Submit(now, Spec(2, Words(200, "w"), 1))));
  int steps = 0;
  for (bool seen = false; !seen; ++steps) {
    for (const TokenEvent& event : model.Advance(*model.next_step_end())) seen |= event.run == 2;
  }
  CHECK(steps == 5);  // one before it came in, then 200 tokens at 64 a step
  CHECK(Drain(model, now)[1].size() == 5);
}

TEST_CASE("a prefix that is in memory needs no prefill") {
  const EngineCosts costs;
  EngineModel model(costs);
  Time now{};
  const std::string shared = Words(160, "p");
  REQUIRE(IsOk(model.Submit(now, Spec(1, shared + "east", 1))));
  Drain(model, now);
  REQUIRE(IsOk(model.Submit(now, Spec(2, shared + "west", 1))));
  CHECK(*model.next_step_end() - now == StepTime(costs, 1, 1));
  const auto events = model.Advance(*model.next_step_end());
  REQUIRE(events.size() == 1);
  CHECK(events[0].cached_tokens == 160);
}

TEST_CASE("the longest unused prefix goes first when memory is short") {
  KvCache cache(4);
  const std::vector<std::uint64_t> a = {1, 2};
  const std::vector<std::uint64_t> b = {11};
  REQUIRE(cache.Hold(a, 0, 0));
  cache.Release(a, 0);
  REQUIRE(cache.Hold(b, 0, 0));
  cache.Release(b, 0);
  REQUIRE(cache.Hold({}, 2, 0));
  CHECK(cache.CachedPrefix(a) == 1);  // its end went, its beginning is of use still
  CHECK(cache.CachedPrefix(b) == 1);
  REQUIRE(cache.Grow());
  CHECK(cache.CachedPrefix(a) == 0);
  CHECK(cache.CachedPrefix(b) == 1);
  REQUIRE(cache.Grow());
  CHECK_FALSE(cache.Grow());
}

TEST_CASE("full memory preempts the stream that came last, and loses no token") {
  EngineCosts costs;
  costs.kv_tokens = 20 * kBlockTokens;
  EngineModel model(costs);
  Time now{};
  for (RunId run = 0; run < 6; ++run) {
    REQUIRE(IsOk(model.Submit(now, Spec(run, Words(20, std::string(1, 'a' + run)), 100))));
  }
  const auto tokens = Drain(model, now);
  CHECK(model.preemptions() > 0);
  REQUIRE(tokens.size() == 6);
  for (const auto& [run, indexes] : tokens) {
    REQUIRE(indexes.size() == 100);
    for (std::uint64_t i = 0; i < 100; ++i) CHECK(indexes[i] == i);
  }
  CHECK(model.load().kv_used == 0.0);
}

TEST_CASE("what can't fit, or finds the queue full, is refused before it starts") {
  EngineCosts costs;
  costs.kv_tokens = 64;
  costs.max_running = 1;
  costs.max_waiting = 1;
  EngineModel model(costs);
  const Time now{};
  CHECK(ErrorOf(model.Submit(now, Spec(1, Words(60, "a"), 5))).kind == ErrorKind::kTooLarge);
  CHECK_FALSE(model.next_step_end());
  REQUIRE(IsOk(model.Submit(now, Spec(2, "a", 5))));
  REQUIRE(IsOk(model.Submit(now, Spec(3, "b", 5))));
  CHECK(ErrorOf(model.Submit(now, Spec(4, "c", 5))).kind == ErrorKind::kOverloaded);
}

TEST_CASE("a cancelled stream gives no further token and frees its memory") {
  EngineModel model(EngineCosts{});
  Time now{};
  REQUIRE(IsOk(model.Submit(now, Spec(1, Words(50, "a"), 50))));
  now = *model.next_step_end();
  CHECK(model.Advance(now).size() == 1);
  CHECK(model.Cancel(1));
  CHECK_FALSE(model.Cancel(1));
  CHECK(Drain(model, now).empty());
  CHECK(model.load().kv_used == 0.0);
}

TEST_CASE("a process that was stopped did no work meanwhile") {
  EngineModel model(EngineCosts{});
  const Time now{};
  REQUIRE(IsOk(model.Submit(now, Spec(1, "a", 10'000))));
  const Time late = now + Duration(60'000'000);
  const auto events = model.Advance(late);
  const auto most = EngineModel::kMaxCatchUp / StepTime(EngineCosts{}, 1, 0) + 2;
  CHECK(events.size() <= static_cast<std::size_t>(most));
  CHECK(*model.next_step_end() > late);
}

TEST_CASE("an engine that is always full reaches the bound and not more") {
  const EngineCosts costs;
  EngineModel model(costs);
  Time now{};
  constexpr std::uint64_t kRuns = 960;
  constexpr std::uint64_t kAnswer = 64;
  for (RunId run = 0; run < kRuns; ++run) {
    REQUIRE(IsOk(model.Submit(now, Spec(run, Words(100, "r" + std::to_string(run)), kAnswer))));
  }
  Drain(model, now);
  const double seconds = static_cast<double>(now.time_since_epoch().count()) / 1e6;
  const double share = kRuns * kAnswer / seconds / TokensPerSecondBound(costs, 100, kAnswer);
  CHECK(share <= 1.0);
  CHECK(share >= 0.95);
}
