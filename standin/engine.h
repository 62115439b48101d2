#pragma once

// The stand-in engine's HTTP calls: completions, streams, orders, cache
// events, KV transfer, and its fault switches. See docs/PLATFORM.md.

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "figmill/platform.h"
#include "figmill/runtime.h"
#include "standin/engine_streams.h"
#include "standin/faults.h"

namespace figmill::standin {

struct EngineSettings {
  Address http;
  std::vector<std::string> models;
  EngineCosts costs;
  bool checks_fencing = true;
  bool cancel_on_disconnect = false;
  Duration load_lag{200'000};
  Duration cache_event_lag{500'000};
  double cache_event_loss = 0.02;  // share of events that get lost
  Duration load_model_time{500'000};
};

struct EngineFaults {
  BackendFaults backend;
  std::uint32_t delay_ms = 0;
  std::uint32_t swap_answers = 0;
  bool drop_cache_events = false;
  std::uint32_t lose_order_answers = 0;
};
bool SetFault(EngineFaults& faults, const std::string& name, const nlohmann::json& value);
[[nodiscard]] nlohmann::json ToJson(const EngineFaults& faults);

class Engine {
 public:
  Engine(Loop& loop, const EngineSettings& settings, RandomBits random);
  void Handle(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);

 private:
  struct PublishedEvent {
    std::uint64_t seq;
    CacheEvent event;
  };

  void HandleAdmin(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  void HandleEngine(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  void HandleStream(const std::string& id, const HttpRequest& request,
                    const std::shared_ptr<HttpReply>& reply);
  void HandleKv(const std::string& id, const HttpRequest& request,
                const std::shared_ptr<HttpReply>& reply);
  void Complete(const HttpRequest& request, bool chat, const std::shared_ptr<HttpReply>& reply);
  void Order(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  void CarryOut(const EngineOrder& order);
  void AnswerOrder(const std::shared_ptr<HttpReply>& reply);
  void PublishCacheEvents();
  void ApplyFaults();
  [[nodiscard]] HttpResponse CacheEvents(std::uint64_t after) const;
  [[nodiscard]] HttpResponse State() const;
  [[nodiscard]] HttpResponse Load() const;

  Loop& loop_;
  EngineSettings settings_;
  RandomBits random_;
  EngineStreams streams_;
  EngineFaults faults_;
  Void void_;
  std::map<std::string, std::string> models_;  // name to version
  std::map<std::string, std::string> adapters_;
  std::string role_ = "mixed";
  Sequence fence_ = 0;
  std::map<std::string, Sequence> subject_fences_;  // of the last order about each
  std::uint64_t unnamed_requests_ = 0;
  EngineLoad reported_load_;
  std::deque<PublishedEvent> cache_events_;
  std::uint64_t last_cache_event_ = 0;
  Timer load_timer_;
  Timer cache_timer_;
};

}  // namespace figmill::standin
