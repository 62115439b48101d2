#pragma once

// This process's control state, on a thread of its own: follows the control log,
// gossips with the other processes, and publishes what traffic routes from.

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figmill/control.h"
#include "figmill/runtime.h"
#include "figmilld/control/control_access.h"

namespace figmill {

struct ControlSettings {
  Member self;
  Address platform;
  Duration store_timeout{2'000'000};
};

// All calls on the traffic loop; callbacks come on it.
class ControlShell final : public ControlAccess {
 public:
  ControlShell(Loop& traffic, Metrics& metrics, ControlSettings settings);
  ~ControlShell() override;

  // Binds the gossip socket and starts the control thread. `failed` is called on
  // the traffic loop when that thread can't go on. Errors: kInternal.
  [[nodiscard]] Result<Ok> Start(std::function<void(Error)> failed);
  // Ends the control thread; what was published stays.
  void Stop();
  // Called with each new snapshot.
  void OnChange(std::function<void(const std::shared_ptr<const RoutingSnapshot>&)> changed);
  // Called once when a newer process has taken this one's slot; this one must
  // stop, as its dispatches would be refused and its writes fenced anyway.
  void OnSuperseded(std::function<void()> superseded);

  [[nodiscard]] std::shared_ptr<const RoutingSnapshot> current() const { return snapshot_.load(); }
  // Whether the orders in force could be learned since the start, from the store
  // or from a peer.
  [[nodiscard]] bool ready() const { return ready_.load(); }

  // Gossips that this process takes nothing new.
  void SetLeaving();
  void SetServes(std::vector<ServiceName> serves);

  // `/control/...`, by which processes fetch from each other what they lack.
  [[nodiscard]] static bool Handles(std::string_view path) { return path.starts_with("/control/"); }
  void OnRequest(HttpRequest request, std::shared_ptr<HttpReply> reply);

  [[nodiscard]] std::shared_ptr<const ControlState> CurrentFold() const override;
  // As last heard: a snapshot is made anew when members come and go, but not
  // for each sequence that one of them reports.
  [[nodiscard]] std::vector<Member> CurrentMembers() const override;
  void Append(ControlEntry entry, std::string author, std::optional<Sequence> if_version,
              std::optional<Sequence> built_on,
              std::function<void(Result<Sequence>)> done) override;
  void AskInForce(Sequence sequence) override;
  [[nodiscard]] InForceReport InForce(Sequence sequence) const override;

 private:
  class Core;  // all that lives on the control thread

  Loop& traffic_;
  std::atomic<std::shared_ptr<const RoutingSnapshot>> snapshot_;
  std::atomic<bool> ready_{false};
  std::function<void(const std::shared_ptr<const RoutingSnapshot>&)> changed_;
  std::function<void()> superseded_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<Core> core_;
};

}  // namespace figmill
