#pragma once

// The writes of keyed items on their way to the table service: relayed to the
// entry that writes for this data centre, or grouped and committed here.

#include <functional>
#include <optional>
#include <unordered_map>

#include "figmill/once.h"
#include "figmill/runtime.h"

namespace figmill {

class OnceWriter {
 public:
  using Done = std::function<void(OnceWriteResult)>;
  // The entry that writes for this one at present; nothing when it does so itself.
  using WriterOf = std::function<std::optional<Address>()>;

  OnceWriter(Loop& loop, HttpClient& client, TableStore& store, WriterOf writer_of);
  // `done` may run before this returns, when the write is refused at once.
  void Write(OnceWrite write, Done done);
  // Commits here, whoever asks.
  void WriteHere(OnceWrite write, Done done);

 private:
  void Relay(const Address& to, OnceWrite write, Done done);
  void Act(std::vector<GroupCommitter::Action> actions);

  Loop& loop_;
  HttpClient& client_;
  TableStore& store_;
  WriterOf writer_of_;
  GroupCommitter funnel_;
  GroupCommitter::WriteId next_ = 1;
  std::unordered_map<GroupCommitter::WriteId, Done> waiting_;
  Time avoid_until_;
  Timer timer_;
};

}  // namespace figmill
