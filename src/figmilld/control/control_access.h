#pragma once

// What the operators' handlers need of this process's control state.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "figmill/control.h"

namespace figmill {

class ControlAccess {
 public:
  virtual ~ControlAccess() = default;
  [[nodiscard]] virtual std::shared_ptr<const ControlState> CurrentFold() const = 0;
  // Alive and suspect ones, this process with them.
  [[nodiscard]] virtual std::vector<Member> CurrentMembers() const = 0;
  // As LogWriter::Append; `done` is called once, on the loop.
  virtual void Append(ControlEntry entry, std::string author, std::optional<Sequence> if_version,
                      std::optional<Sequence> built_on,
                      std::function<void(Result<Sequence>)> done) = 0;
  // Asks who runs on `sequence`; the answers change what InForce reports.
  virtual void AskInForce(Sequence sequence) = 0;
  [[nodiscard]] virtual InForceReport InForce(Sequence sequence) const = 0;
};

}  // namespace figmill
