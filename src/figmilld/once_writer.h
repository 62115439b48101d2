#pragma once

// The writes of keyed items on their way to the table service, grouped.

#include <functional>
#include <unordered_map>

#include "figmill/once.h"
#include "figmill/runtime.h"

namespace figmill {

class OnceWriter {
 public:
  using Done = std::function<void(OnceFate)>;

  OnceWriter(Loop& loop, TableStore& store, FunnelLimits limits = {});
  // `done` may run before this returns, when the write is refused at once.
  void Write(OnceWrite write, Done done);
  [[nodiscard]] bool store_down() const { return funnel_.store_down(); }

 private:
  void Act(std::vector<CommitFunnel::Action> actions);

  Loop& loop_;
  TableStore& store_;
  CommitFunnel funnel_;
  CommitFunnel::WriteId next_ = 1;
  std::unordered_map<CommitFunnel::WriteId, Done> waiting_;
  Timer timer_;
};

}  // namespace figmill
