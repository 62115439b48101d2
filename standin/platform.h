#pragma once

// The stand-in platform's HTTP calls and its fault switches. See
// docs/PLATFORM.md.

#include <map>
#include <string>
#include <vector>

#include "figmill/runtime.h"
#include "standin/faults.h"
#include "standin/platform_model.h"

namespace figmill::standin {

struct PlatformSettings {
  Address http;
  double writes_per_second = 500;  // transactions or objects, each store
  double reads_per_second = 2000;  // each store
  double weight_bytes_per_second = 1e9;
  Duration latency{1'000};
  Duration host_lag{2'000'000};
};

struct PlatformFaults {
  std::vector<std::string> down;  // areas
  std::vector<std::string> hang;  // areas
  std::uint32_t slow_ms = 0;
  WriteFault lose_answers;
  WriteFault garble_answers;
  WriteFault drop_writes;
  bool stale_hosts = false;
};
bool SetFault(PlatformFaults& faults, const std::string& name, const nlohmann::json& value);
[[nodiscard]] nlohmann::json ToJson(const PlatformFaults& faults);

class Platform {
 public:
  Platform(Loop& loop, const PlatformSettings& settings);
  void Handle(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);

 private:
  struct Store {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t rows_written = 0;
    std::uint64_t bytes_written = 0;
    std::uint64_t rejected = 0;
    std::uint64_t refused = 0;
    Meter read_meter;
    Meter write_meter;
  };
  using Reply = std::shared_ptr<HttpReply>;

  void HandleAdmin(const HttpRequest& request, const Reply& reply);
  void HandleTable(const HttpRequest& request, const Reply& reply);
  void HandleObject(const HttpRequest& request, const Reply& reply);
  void HandleHosts(const HttpRequest& request, const Reply& reply);
  void HandleWeights(const HttpRequest& request, const Reply& reply);
  void Commit(const HttpRequest& request, const Reply& reply);
  // False when the store is too busy; the request is answered then.
  bool Take(Store& store, Meter& meter, const Reply& reply);
  void Answer(Duration wait, HttpResponse answer, const Reply& reply);
  // Carries `write` out and answers it, unless a fault strikes these keys.
  void AnswerWrite(Store& store, const std::vector<std::string>& keys, const Reply& reply,
                   const std::function<HttpResponse()>& write);
  [[nodiscard]] static Store NewStore(const PlatformSettings& settings);
  [[nodiscard]] HttpResponse Counters() const;

  Loop& loop_;
  PlatformSettings settings_;
  PlatformFaults faults_;
  Void void_;
  Store table_store_;
  Store object_store_;
  TableModel table_;
  std::map<std::string, std::string> objects_;
  HostListModel hosts_;
  Meter weights_;
};

}  // namespace figmill::standin
