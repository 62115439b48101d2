#pragma once

// The rows in which entries name themselves to each other in the table service.

#include <functional>

#include "figmill/peer_messages.h"
#include "gateway/refused_rows.h"
#include "gateway/table_follower.h"

namespace figmill {

class EntryRegistry {
 public:
  static constexpr Duration kRetryDelay{300'000};
  // After another writer has spoilt this process's row. Two that write against each other
  // cost the store a call in this time.
  static constexpr Duration kRewriteDelay{1'000'000};

  struct Hooks {
    std::function<void(const Peer&)> on_listed;
    std::function<void(const NodeId&)> on_unlisted;
  };

  EntryRegistry(Loop& loop, SharedTables& tables, Metrics& metrics, Peer self, Hooks hooks);

  void Start();
  // The process goes by another incarnation from now on.
  void UpdateSelf(Peer self);
  // Takes this process's own row away.
  void Leave();
  // Takes away the row of a peer that was found silent, unless a later process has
  // written it.
  void Remove(const Peer& peer);

 private:
  void WriteOwnRow();
  void OnRow(const TableMirror::Change& change);
  void OnUnreadableRow(const TableRow& row, const std::string& why);

  Loop& loop_;
  SharedTables& tables_;
  Peer self_;
  Hooks hooks_;
  TableFollower follower_;
  RefusedRows refused_rows_;
  bool leaving_ = false;
  bool rewrite_scheduled_ = false;
};

}  // namespace figmill
