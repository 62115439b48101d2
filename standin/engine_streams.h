#pragma once

// The stand-in engine's runs and who follows their answers. A follower may
// come at any time and at any token, since answers follow from the prompt.

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "figmill/runtime.h"
#include "standin/completion.h"
#include "standin/engine_model.h"
#include "standin/executions.h"

namespace figmill::standin {

struct StreamFaults {
  Duration delay{0};                   // before answers start
  std::uint32_t swap_answers = 0;      // pairs
  std::uint32_t truncate_answers = 0;  // answers
  std::uint32_t fail_answers = 0;      // answers
};

// Who asked, as the request's headers say.
struct RunLabels {
  std::string request_id;
  std::string item_key;
  bool repeatable = true;
};

class EngineStreams {
 public:
  EngineStreams(Loop& loop, const EngineCosts& costs, bool cancel_on_disconnect);

  void Start(RunLabels labels, CompletionRequest request, std::shared_ptr<HttpReply> reply);
  // Goes on with the latest run of this request at a token. Errors: kNotFound.
  Result<Ok> Follow(const std::string& request_id, std::uint64_t from,
                    std::shared_ptr<HttpReply> reply);
  // Ends all its runs; again is harmless. Errors: kNotFound.
  Result<Ok> Cancel(const std::string& request_id);
  // A running stream with its KV, as JSON text. Errors: kNotFound.
  [[nodiscard]] Result<std::string> Export(const std::string& request_id) const;
  // Goes on where the exported run was; returns that token.
  // Errors: kBadRequest, kConflict, and those of EngineModel::Submit.
  Result<std::uint64_t> Import(const std::string& request_id, std::string_view exported);

  [[nodiscard]] EngineModel& model() { return model_; }
  [[nodiscard]] StreamFaults& faults() { return faults_; }
  [[nodiscard]] std::string executions() const { return executions_.ToNdjson(); }

 private:
  // One connection that gets a run's answer.
  struct Follower {
    RunId run = 0;
    std::shared_ptr<HttpReply> reply;
    bool streaming = false;
    std::uint64_t next = 0;  // token
    bool begun = false;
    bool truncated = false;
    bool failed = false;
  };
  struct Run {
    RunLabels labels;
    CompletionRequest request;
    std::uint64_t prompt_hash = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t generated = 0;
    RunState state = RunState::kRunning;
    std::optional<Time> ended;
    AnswerWriter writer;
    std::vector<std::shared_ptr<Follower>> followers;
  };

  Result<RunId> Submit(RunLabels labels, CompletionRequest request, std::uint64_t generated);
  void Attach(const std::shared_ptr<Follower>& follower);
  void AttachLater(const std::shared_ptr<Follower>& follower);
  void AttachSwapped(const std::shared_ptr<Follower>& follower);
  void Detach(const std::shared_ptr<Follower>& follower);
  void CancelRun(RunId id, Run& run);
  void OnToken(const TokenEvent& event);
  // Writes what the follower lacks; true when it is done with.
  static bool Deliver(Run& run, Follower& follower);
  static bool DeliverWhole(const Run& run, Follower& follower);
  static void Begin(const Run& run, Follower& follower);
  static bool End(const Run& run, Follower& follower);
  void ScheduleStep();
  void Tick();
  void Forget();

  Loop& loop_;
  EngineModel model_;
  bool cancel_on_disconnect_;
  StreamFaults faults_;
  Executions executions_;
  std::unordered_map<RunId, Run> runs_;
  std::unordered_map<std::string, std::vector<RunId>> by_request_;
  std::shared_ptr<Follower> awaits_swap_;
  std::optional<Time> scheduled_;
  Timer step_timer_;
  Timer forget_timer_;
};

}  // namespace figmill::standin
