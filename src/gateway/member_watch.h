#pragma once

// The rows in which entries name themselves to each other in the table service.

#include <functional>

#include "figmill/sharing.h"
#include "gateway/table_follower.h"

namespace figmill {

class MemberWatch {
 public:
  static constexpr Duration kRetryPause{300'000};

  struct Hooks {
    std::function<void(const Peer&)> named;
    std::function<void(const NodeId&)> unlisted;
  };

  MemberWatch(Loop& loop, SharedTables& tables, Peer self, Hooks hooks);

  void Start();
  // The process goes by another incarnation from now on.
  void Rename(Peer self);
  // Takes this process's own row away.
  void Leave();
  // Takes away the row of a peer that was found silent, unless a later process has
  // written it.
  void Remove(const Peer& peer);

 private:
  void WriteOwn();
  void OnRow(const TableMirror::Change& change);

  Loop& loop_;
  SharedTables& tables_;
  Peer self_;
  Hooks hooks_;
  TableFollower follower_;
  bool leaving_ = false;
};

}  // namespace figmill
