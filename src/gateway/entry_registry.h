#pragma once

// Registers this entry in the table service and follows the rows of the other entries.

#include <functional>

#include "figmill/peer_messages.h"
#include "gateway/refused_rows.h"
#include "gateway/table_follower.h"

namespace figmill {

class EntryRegistry {
 public:
  static constexpr const char* kTable = "members";
  static constexpr Duration kRetryDelay{300'000};
  // Minimum interval between calls for changes. All entries of a fleet may start at once, and each
  // reads the rows of all.
  static constexpr Duration kMinFeedInterval{100'000};
  // Delay before this process's own row is rewritten after another writer has corrupted it. Two
  // writers that keep overwriting each other cost the store one call per delay.
  static constexpr Duration kRewriteDelay{1'000'000};

  struct Hooks {
    std::function<void(const Peer&)> on_listed;
    std::function<void(const NodeId&)> on_unlisted;
  };

  EntryRegistry(Loop& loop, SharedTables& tables, Metrics& metrics, Peer self, Hooks hooks);

  void Start();
  // Sets the new incarnation of this process and rewrites its row.
  void UpdateSelf(Peer self);
  // Removes this process's own row.
  void Leave();
  // Removes the row of a peer that stopped responding, unless a later incarnation has written it.
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
