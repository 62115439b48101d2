#include "gateway/member_watch.h"

#include <utility>

namespace figmill {
namespace {

constexpr const char* kTable = "members";

TableKey KeyOf(const NodeId& node) {
  return {kTable, "", node.value};
}

}  // namespace

MemberWatch::MemberWatch(Loop& loop, SharedTables& tables, Peer self, Hooks hooks)
    : loop_(loop),
      tables_(tables),
      self_(std::move(self)),
      hooks_(std::move(hooks)),
      follower_(
          loop, tables, kTable, {""}, [this](const TableMirror::Change& change) { OnRow(change); },
          [] {}) {}

void MemberWatch::Start() {
  WriteOwn();
  follower_.Start();
}

void MemberWatch::Rename(Peer self) {
  self_ = std::move(self);
  WriteOwn();
}

void MemberWatch::WriteOwn() {
  if (leaving_) return;
  PeerMessage message;
  message.from = self_;
  // The row outlasts it. Who reads the row asks this process itself.
  message.from.joining = false;
  tables_.Commit({{}, {{KeyOf(self_.node), Encode(message)}}, {}},
                 [this](const TableOutcome& outcome) {
                   if (std::holds_alternative<TableCommitted>(outcome)) return;
                   loop_.Later(kRetryPause, [this] { WriteOwn(); });
                 });
}

void MemberWatch::Leave() {
  leaving_ = true;
  tables_.Commit({{}, {}, {KeyOf(self_.node)}}, [](const TableOutcome& outcome) {
    if (!std::holds_alternative<TableCommitted>(outcome)) {
      Log(LogLevel::kWarning, "member_row_left", {{"why", "the store did not take it away"}});
    }
  });
}

void MemberWatch::Remove(const Peer& peer) {
  const TableRow* row = follower_.mirror().Find(KeyOf(peer.node));
  if (row == nullptr) return;
  const Result<PeerMessage> listed = DecodePeerMessage(row->value);
  if (IsOk(listed) && ValueOf(listed).from.incarnation > peer.incarnation) return;
  // When it fails another watcher takes the row away, or this one a little later.
  tables_.Commit({{{KeyOf(peer.node), row->version}}, {}, {KeyOf(peer.node)}},
                 [](const TableOutcome& /*outcome*/) {});
}

void MemberWatch::OnRow(const TableMirror::Change& change) {
  if (change.row == nullptr) {
    // Somebody could not hear this process; it is there all the same.
    if (change.at.key == self_.node.value) return WriteOwn();
    return hooks_.unlisted(NodeId{change.at.key});
  }
  const Result<PeerMessage> message = DecodePeerMessage(change.row->value);
  if (!IsOk(message)) {
    Log(LogLevel::kWarning, "member_row_refused",
        {{"node", change.at.key}, {"why", ErrorOf(message).detail}});
    return;
  }
  hooks_.named(ValueOf(message).from);
}

}  // namespace figmill
