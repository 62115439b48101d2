#include "standin/engine_streams.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "standin/run_later.h"

namespace figmill::standin {
namespace {

constexpr Duration kKeepFinished{60'000'000};
constexpr Duration kForgetEvery{5'000'000};
constexpr Duration kSwapWait{1'000'000};  // for the second of a pair
constexpr std::string_view kPoison = "__poison__";
constexpr std::string_view kTruncate = "__truncate__";

HttpResponse JsonAnswer(int status, std::string body) {
  return HttpResponse{.status = status, .body = std::move(body)};
}

}  // namespace

EngineStreams::EngineStreams(Loop& loop, const EngineCosts& costs, bool cancel_on_disconnect)
    : loop_(loop), model_(costs), cancel_on_disconnect_(cancel_on_disconnect) {
  forget_timer_ = loop_.Every(kForgetEvery, [this] { Forget(); });
}

void EngineStreams::Start(RunLabels labels, CompletionRequest request,
                          std::shared_ptr<HttpReply> reply) {
  if (HasWord(request.prompt, kPoison)) {
    const RunId id = executions_.Start(labels.request_id, labels.item_key, labels.repeatable);
    executions_.at(id).state = RunState::kFinished;
    reply->Send(JsonAnswer(500, OpenAiError("server_error", "the engine fails on this prompt")));
    return;
  }
  auto follower = std::make_shared<Follower>();
  follower->reply = std::move(reply);
  follower->streaming = request.stream;
  follower->truncated = HasWord(request.prompt, kTruncate);
  if (!follower->truncated && faults_.truncate_answers > 0) {
    --faults_.truncate_answers;
    follower->truncated = true;
  }
  if (faults_.fail_answers > 0) {
    --faults_.fail_answers;
    follower->failed = true;
  }
  const Result<RunId> run = Submit(std::move(labels), std::move(request), 0);
  if (!IsOk(run)) {
    const Error& error = ErrorOf(run);
    const bool full = error.kind == ErrorKind::kOverloaded;
    follower->reply->Send(
        JsonAnswer(full ? 429 : 400,
                   OpenAiError(full ? "rate_limit_error" : "invalid_request_error", error.detail)));
    return;
  }
  follower->run = ValueOf(run);
  AttachLater(follower);
}

Result<RunId> EngineStreams::Submit(RunLabels labels, CompletionRequest request,
                                    std::uint64_t generated) {
  RunSpec spec{.prompt = Tokenize(request.prompt),
               .max_tokens = request.max_tokens,
               .generated = generated,
               .prefilled = generated > 0};
  const std::uint64_t prompt_tokens = spec.prompt.tokens;
  const RunId id = executions_.Start(labels.request_id, labels.item_key, labels.repeatable);
  spec.run = id;
  const Result<Ok> submitted = model_.Submit(Loop::Now(), std::move(spec));
  if (!IsOk(submitted)) {
    executions_.TakeBack();
    return ErrorOf(submitted);
  }
  by_request_[labels.request_id].push_back(id);
  const std::uint64_t prompt_hash = Fnv1a(request.prompt);
  AnswerWriter writer(request.chat, labels.request_id, request.model);
  runs_.emplace(id, Run{.labels = std::move(labels),
                        .request = std::move(request),
                        .prompt_hash = prompt_hash,
                        .prompt_tokens = prompt_tokens,
                        .generated = generated,
                        .writer = std::move(writer)});
  ScheduleStep();
  return id;
}

void EngineStreams::AttachLater(const std::shared_ptr<Follower>& follower) {
  follower->reply->OnClosed([this, weak = std::weak_ptr(follower)] {
    if (const auto gone = weak.lock()) Detach(gone);
  });
  if (faults_.swap_answers > 0) {
    AttachSwapped(follower);
  } else if (faults_.delay.count() > 0) {
    RunLater(loop_, faults_.delay, [this, follower] { Attach(follower); });
  } else {
    Attach(follower);
  }
}

// Two callers that come one after the other get each other's answers.
void EngineStreams::AttachSwapped(const std::shared_ptr<Follower>& follower) {
  if (const auto other = std::exchange(awaits_swap_, nullptr)) {
    --faults_.swap_answers;
    std::swap(other->run, follower->run);
    Attach(other);
    Attach(follower);
    return;
  }
  awaits_swap_ = follower;
  RunLater(loop_, kSwapWait, [this, follower] {
    if (awaits_swap_ != follower) return;
    awaits_swap_.reset();
    Attach(follower);
  });
}

void EngineStreams::Attach(const std::shared_ptr<Follower>& follower) {
  const auto found = runs_.find(follower->run);
  if (found == runs_.end()) return;
  Run& run = found->second;
  if (!Deliver(run, *follower)) run.followers.push_back(follower);
}

void EngineStreams::Detach(const std::shared_ptr<Follower>& follower) {
  const auto found = runs_.find(follower->run);
  if (found == runs_.end()) return;
  Run& run = found->second;
  std::erase(run.followers, follower);
  if (cancel_on_disconnect_ && run.followers.empty()) CancelRun(found->first, run);
}

Result<Ok> EngineStreams::Follow(const std::string& request_id, std::uint64_t from,
                                 std::shared_ptr<HttpReply> reply) {
  const auto found = by_request_.find(request_id);
  if (found == by_request_.end()) return Error{ErrorKind::kNotFound, "no such stream"};
  auto follower = std::make_shared<Follower>();
  follower->run = found->second.back();
  follower->reply = std::move(reply);
  follower->streaming = true;
  follower->next = from;
  AttachLater(follower);
  return Ok{};
}

Result<Ok> EngineStreams::Cancel(const std::string& request_id) {
  const auto found = by_request_.find(request_id);
  if (found == by_request_.end()) return Error{ErrorKind::kNotFound, "no such stream"};
  for (const RunId id : found->second) CancelRun(id, runs_.at(id));
  return Ok{};
}

void EngineStreams::CancelRun(RunId id, Run& run) {
  if (run.state != RunState::kRunning || !model_.Cancel(id)) return;
  run.state = RunState::kCancelled;
  run.ended = Loop::Now();
  executions_.at(id).state = RunState::kCancelled;
  std::erase_if(run.followers, [&run](const auto& follower) { return Deliver(run, *follower); });
}

Result<std::string> EngineStreams::Export(const std::string& request_id) const {
  const auto found = by_request_.find(request_id);
  if (found == by_request_.end()) return Error{ErrorKind::kNotFound, "no such stream"};
  const Run& run = runs_.at(found->second.back());
  if (run.state != RunState::kRunning) {
    return Error{ErrorKind::kNotFound, "the stream has ended"};
  }
  const nlohmann::json exported = {
      {"item_key", run.labels.item_key}, {"repeatable", run.labels.repeatable},
      {"chat", run.request.chat},        {"model", run.request.model},
      {"prompt", run.request.prompt},    {"max_tokens", run.request.max_tokens},
      {"generated", run.generated},
  };
  return exported.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<std::uint64_t> EngineStreams::Import(const std::string& request_id,
                                            std::string_view exported) {
  const auto found = by_request_.find(request_id);
  if (found != by_request_.end() && runs_.at(found->second.back()).state == RunState::kRunning) {
    return Error{ErrorKind::kConflict, "a stream of this name is running here"};
  }
  RunLabels labels{.request_id = request_id};
  CompletionRequest request{.stream = true};
  std::uint64_t generated = 0;
  try {
    const auto json = nlohmann::json::parse(exported);
    json.at("item_key").get_to(labels.item_key);
    json.at("repeatable").get_to(labels.repeatable);
    json.at("chat").get_to(request.chat);
    json.at("model").get_to(request.model);
    json.at("prompt").get_to(request.prompt);
    json.at("max_tokens").get_to(request.max_tokens);
    json.at("generated").get_to(generated);
  } catch (const nlohmann::json::exception& failure) {
    return Error{ErrorKind::kBadRequest, failure.what()};
  }
  if (generated >= request.max_tokens) {
    return Error{ErrorKind::kBadRequest, "generated must be below max_tokens"};
  }
  const Result<RunId> run = Submit(std::move(labels), std::move(request), generated);
  if (!IsOk(run)) return ErrorOf(run);
  return generated;
}

void EngineStreams::OnToken(const TokenEvent& event) {
  Run& run = runs_.at(event.run);
  run.generated = event.index + 1;
  run.cached_tokens = event.cached_tokens;
  Execution& execution = executions_.at(event.run);
  execution.tokens = run.generated;
  if (event.last) {
    run.state = RunState::kFinished;
    run.ended = Loop::Now();
    execution.state = RunState::kFinished;
  }
  std::erase_if(run.followers, [&run](const auto& follower) { return Deliver(run, *follower); });
}

bool EngineStreams::Deliver(Run& run, Follower& follower) {
  if (follower.failed && run.generated > 0) {
    follower.reply->Send(JsonAnswer(500, OpenAiError("server_error", "the engine failed")));
    return true;
  }
  if (!follower.streaming) return DeliverWhole(run, follower);
  const bool truncated = follower.truncated;
  const std::uint64_t end =
      truncated ? std::min(run.generated, run.request.max_tokens / 2) : run.generated;
  if (follower.next < end && !follower.begun) Begin(run, follower);
  std::string events;
  for (; follower.next < end; ++follower.next) {
    const std::string text = AnswerText(run.prompt_hash, follower.next, follower.next + 1);
    const Usage usage{run.prompt_tokens, run.cached_tokens, run.generated};
    events += follower.next + 1 == run.request.max_tokens ? run.writer.LastEvent(text, usage)
                                                          : run.writer.TokenEvent(text);
  }
  follower.reply->Write(std::move(events));
  const bool cut = truncated && run.generated >= run.request.max_tokens / 2;
  if (cut || run.state != RunState::kRunning) return End(run, follower);
  return false;
}

bool EngineStreams::DeliverWhole(const Run& run, Follower& follower) {
  if (run.state == RunState::kRunning) return false;
  if (run.state == RunState::kCancelled) return End(run, follower);
  const Usage usage{run.prompt_tokens, run.cached_tokens, run.generated};
  std::string body = run.writer.Whole(AnswerText(run.prompt_hash, 0, run.generated), usage);
  if (follower.truncated) body.resize(body.size() / 2);
  HttpResponse answer = JsonAnswer(200, std::move(body));
  answer.headers = {{"X-Request-Id", run.labels.request_id}};
  follower.reply->Send(std::move(answer));
  return true;
}

void EngineStreams::Begin(const Run& run, Follower& follower) {
  follower.begun = true;
  HttpResponse head;
  head.content_type = "text/event-stream";
  head.headers = {{"X-Request-Id", run.labels.request_id}};
  follower.reply->Begin(std::move(head));
}

// A stream that was cancelled or cut ends without its final marker.
bool EngineStreams::End(const Run& run, Follower& follower) {
  if (!follower.begun && run.state == RunState::kCancelled) {
    follower.reply->Send(JsonAnswer(409, OpenAiError("cancelled", "the stream was cancelled")));
    return true;
  }
  if (!follower.begun) Begin(run, follower);
  if (run.state == RunState::kFinished && !follower.truncated) {
    follower.reply->Write(std::string(kDoneEvent));
  }
  follower.reply->End();
  return true;
}

void EngineStreams::ScheduleStep() {
  const std::optional<Time> next = model_.next_step_end();
  if (next == scheduled_) return;
  scheduled_ = next;
  if (!next) return step_timer_.Reset();
  step_timer_ = loop_.After(std::max(*next - Loop::Now(), Duration(0)), [this] { Tick(); });
}

void EngineStreams::Tick() {
  scheduled_.reset();
  for (const TokenEvent& event : model_.Advance(Loop::Now())) OnToken(event);
  ScheduleStep();
}

void EngineStreams::Forget() {
  const Time limit = Loop::Now() - kKeepFinished;
  std::erase_if(runs_, [this, limit](const auto& entry) {
    const auto& [id, run] = entry;
    if (!run.ended || *run.ended > limit) return false;
    const auto found = by_request_.find(run.labels.request_id);
    std::erase(found->second, id);
    if (found->second.empty()) by_request_.erase(found);
    return true;
  });
}

}  // namespace figmill::standin
