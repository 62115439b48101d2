#include "gateway/entry_registry.h"

#include <utility>

namespace figmill {
namespace {

TableKey KeyOf(const NodeId& node) {
  return {EntryRegistry::kTable, "", node.value};
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
  follower_.SetMinInterval(kMinFeedInterval);
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
  // `joining` is temporary, but the row is not updated when it ends. Readers of the row query this
  // process directly.
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
      Log(LogLevel::kWarning, "member_row_left",
          {{"why", "the store did not confirm the removal"}});
    }
  });
}

void EntryRegistry::Remove(const Peer& peer) {
  const TableRow* row = follower_.mirror().Find(KeyOf(peer.node));
  if (row == nullptr) return;
  const Result<PeerMessage> listed = DecodePeerMessage(row->value);
  if (IsOk(listed) && ValueOf(listed).from.incarnation > peer.incarnation) return;
  // If this fails, another entry that watches the peer removes the row, or this one does later.
  tables_.Commit({{{KeyOf(peer.node), row->version}}, {}, {KeyOf(peer.node)}},
                 [](const TableOutcome& /*outcome*/) {});
}

// The peer stays known, because its datagrams show whether it is alive. Processes that start later
// learn of an entry only from its row, so an entry rewrites its own row.
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
    refused_rows_.Clear(change.at.key);
    // Another entry took this process for dead and removed its row.
    if (change.at.key == self_.node.value) return WriteOwnRow();
    return hooks_.on_unlisted(NodeId{change.at.key});
  }
  const Result<PeerMessage> message = DecodePeerMessage(change.row->value);
  if (!IsOk(message)) return OnUnreadableRow(*change.row, ErrorOf(message).detail);
  if (ValueOf(message).from.node.value != change.at.key) {
    return OnUnreadableRow(*change.row, "the node in the row differs from the row's key");
  }
  refused_rows_.Clear(change.at.key);
  hooks_.on_listed(ValueOf(message).from);
}

}  // namespace figmill
