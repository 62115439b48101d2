#include "gateway/entry_registry.h"

#include <utility>

namespace figmill {
namespace {

constexpr const char* kTable = "members";

TableKey KeyOf(const NodeId& node) {
  return {kTable, "", node.value};
}

}  // namespace

EntryRegistry::EntryRegistry(Loop& loop, SharedTables& tables, Metrics& metrics, Peer self,
                             Hooks hooks)
    : loop_(loop),
      tables_(tables),
      self_(std::move(self)),
      hooks_(std::move(hooks)),
      follower_(
          loop, tables, kTable, {""}, [this](const TableMirror::Change& change) { OnRow(change); },
          [] {}),
      refused_rows_(metrics, {"member", "member_row_refused", "node"}) {}

void EntryRegistry::Start() {
  WriteOwnRow();
  follower_.Start();
}

void EntryRegistry::UpdateSelf(Peer self) {
  self_ = std::move(self);
  WriteOwnRow();
}

void EntryRegistry::WriteOwnRow() {
  if (leaving_) return;
  PeerMessage message;
  message.from = self_;
  // The row outlasts it. Who reads the row asks this process itself.
  message.from.joining = false;
  tables_.Commit({{}, {{KeyOf(self_.node), Encode(message)}}, {}},
                 [this](const TableOutcome& outcome) {
                   if (std::holds_alternative<TableCommitted>(outcome)) return;
                   loop_.Later(kRetryDelay, [this] { WriteOwnRow(); });
                 });
}

void EntryRegistry::Leave() {
  leaving_ = true;
  tables_.Commit({{}, {}, {KeyOf(self_.node)}}, [](const TableOutcome& outcome) {
    if (!std::holds_alternative<TableCommitted>(outcome)) {
      Log(LogLevel::kWarning, "member_row_left", {{"why", "the store did not take it away"}});
    }
  });
}

void EntryRegistry::Remove(const Peer& peer) {
  const TableRow* row = follower_.mirror().Find(KeyOf(peer.node));
  if (row == nullptr) return;
  const Result<PeerMessage> listed = DecodePeerMessage(row->value);
  if (IsOk(listed) && ValueOf(listed).from.incarnation > peer.incarnation) return;
  // When it fails another watcher takes the row away, or this one a little later.
  tables_.Commit({{{KeyOf(peer.node), row->version}}, {}, {KeyOf(peer.node)}},
                 [](const TableOutcome& /*outcome*/) {});
}

// What is known of the peer stays as it was: its datagrams tell whether it is there. But
// processes that start later learn of it by its row alone, so that its own is written anew.
void EntryRegistry::OnUnreadableRow(const TableRow& row, const std::string& why) {
  refused_rows_.Refuse(row.at.key, row.version, why);
  if (row.at.key != self_.node.value || std::exchange(rewrite_scheduled_, true)) return;
  loop_.Later(kRewriteDelay, [this] {
    rewrite_scheduled_ = false;
    WriteOwnRow();
  });
}

void EntryRegistry::OnRow(const TableMirror::Change& change) {
  if (change.row == nullptr) {
    refused_rows_.Forget(change.at.key);
    // Somebody could not hear this process; it is there all the same.
    if (change.at.key == self_.node.value) return WriteOwnRow();
    return hooks_.on_unlisted(NodeId{change.at.key});
  }
  const Result<PeerMessage> message = DecodePeerMessage(change.row->value);
  if (!IsOk(message)) return OnUnreadableRow(*change.row, ErrorOf(message).detail);
  if (ValueOf(message).from.node.value != change.at.key) {
    return OnUnreadableRow(*change.row, "it names another node than its key");
  }
  refused_rows_.Forget(change.at.key);
  hooks_.on_listed(ValueOf(message).from);
}

}  // namespace figmill
