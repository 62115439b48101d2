#pragma once

// Carries out what the control log's state machines ask for, against the store
// and the peers. Lives on the control thread.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "figmill/control.h"
#include "figmill/runtime.h"

namespace figmill {

class ControlLogShell {
 public:
  struct Parts {
    HttpClient& client;
    TableStore& table;
    ObjectStore& objects;
    Metrics& metrics;
    // Where a peer's HTTP is served; empty when it isn't known any more.
    std::function<std::optional<Address>(const NodeId&)> address_of;
    std::function<void()> fold_moved;
    std::function<void()> learned;  // the whole log was read, from the store or a peer
  };
  explicit ControlLogShell(Parts parts);

  void Poll() { Carry(Machine::kReader, reader_.Poll()); }
  void Tick() { Carry(Machine::kWriter, writer_.Tick()); }
  void Hint(const NodeId& peer, Sequence sequence);
  void Append(ControlEntry entry, std::string author, std::optional<Sequence> if_version,
              std::optional<Sequence> built_on, std::function<void(Result<Sequence>)> done);

  [[nodiscard]] const std::shared_ptr<const ControlState>& fold() const { return reader_.state(); }
  // For GET /control/entries?after=N and GET /control/fold.
  [[nodiscard]] HttpResponse EntriesAfter(Sequence after) const;
  [[nodiscard]] HttpResponse WholeFold() const;

 private:
  // Who asked, and gets the answer.
  enum class Machine : std::uint8_t { kReader, kWriter, kCompactor };
  void Carry(Machine machine, const std::vector<LogAction>& actions);
  void Do(Machine machine, const LogAction& action);
  void Answer(Machine machine, LogEvent event);
  void FetchFrom(Machine machine, const NodeId& peer, std::string target,
                 std::function<LogEvent(Result<std::string>)> parse);
  void Finish(const AnswerAppend& answer);

  Parts parts_;
  LogReader reader_;
  LogWriter writer_;
  LogCompactor compactor_;
  std::map<std::uint64_t, std::function<void(Result<Sequence>)>> appends_;
  std::uint64_t next_append_ = 1;
};

}  // namespace figmill
