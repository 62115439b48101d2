#include <algorithm>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {

int PlaceKeeper::OnlineOf(const Kept& kept) {
  int online = static_cast<int>(kept.reserved.size());
  for (const auto& [node, share] : kept.shares) online += share.online;
  return online;
}

int PlaceKeeper::BatchOf(const Kept& kept) {
  int batch = 0;
  for (const auto& [node, share] : kept.shares) batch += std::max(share.batch, share.allowed);
  return batch;
}

void PlaceKeeper::Keep(const std::map<BackendId, KeptBackend>& backends, Time now) {
  std::erase_if(kept_, [&backends](const auto& each) { return !backends.contains(each.first); });
  for (const auto& [id, backend] : backends) {
    const auto [at, fresh] = kept_.try_emplace(id);
    if (fresh) at->second.since = now;
    if (at->second.backend == backend) continue;
    at->second.backend = backend;
    Divide(at->second, now);
  }
  ServeQueue(now);
}

void PlaceKeeper::OnReport(const Peer& from, bool near, const PlaceReport& report, Time now) {
  if (from.incarnation < entries_[from.node].incarnation) return;
  if (from.incarnation > entries_[from.node].incarnation) {
    Forget(from.node, now);
    entries_[from.node].incarnation = from.incarnation;
  }
  EntryState& entry = entries_[from.node];
  if (report.number <= entry.number) return;  // overtaken by a later one
  entry.number = report.number;
  entry.acted = std::max(entry.acted, report.grant);
  entry.wanted = report.wanted;
  entry.at = now;
  entry.near = near;
  // What it did with its places is in this report's lines.
  for (auto& [id, kept] : kept_) {
    std::erase_if(kept.reserved, [&](const Reservation& each) {
      return each.entry == from.node &&
             std::find(report.asked.begin(), report.asked.end(), each.ask) != report.asked.end();
    });
  }
  for (const PlaceReport::Line& line : report.lines) {
    const auto found = kept_.find(line.backend);
    if (found == kept_.end()) continue;
    Share& share = found->second.shares[from.node];
    if (share.online != line.online || share.batch != line.batch) {
      MarkOthersStale(found->second, from.node);
    }
    if (line.online > share.online) CountStarted(line.online - share.online, now);
    share.online = line.online;
    share.batch = line.batch;
    Divide(found->second, now);
  }
  ServeQueue(now);
}

void PlaceKeeper::Forget(const NodeId& entry, Time now) {
  for (auto& [id, kept] : kept_) {
    std::erase_if(kept.reserved, [&](const Reservation& each) { return each.entry == entry; });
    if (kept.shares.erase(entry) == 0) continue;
    MarkOthersStale(kept, entry);
    Divide(kept, now);
  }
  queue_.Forget(entry);
  entries_.erase(entry);
}

void PlaceKeeper::MarkOthersStale(const Kept& kept, const NodeId& but) {
  for (const auto& [node, share] : kept.shares) {
    if (node != but) entries_[node].stale = true;
  }
}

// A grant is under way that the entry has not acted on yet.
bool PlaceKeeper::InFlight(const NodeId& entry) const {
  const auto found = entries_.find(entry);
  return found != entries_.end() && found->second.acted < found->second.granted;
}

// Divides what online leaves of one backend server. An entry keeps what it runs;
// when that is too much, the one that runs most gives up first. What is free goes
// one by one to the entry that runs least there and wants more.
void PlaceKeeper::Divide(Kept& kept, Time now) {
  const int free = kept.backend.places - reserve_ - OnlineOf(kept);
  std::map<NodeId, int> next;
  int used = 0;
  for (const auto& [node, share] : kept.shares) {
    const int held = InFlight(node) ? std::max(share.batch, share.allowed) : share.batch;
    next[node] = held;
    used += held;
  }
  while (used > std::max(free, 0)) {
    const auto most = std::max_element(
        next.begin(), next.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (most == next.end() || most->second == 0) break;
    --most->second;
    --used;
  }
  const bool settled = now - kept.since >= kSettle;
  int spare = settled ? SpareFor(kept.backend.service) : 0;
  while (spare-- > 0 && used < free) {
    std::map<NodeId, int>::iterator least = next.end();
    for (auto at = next.begin(); at != next.end(); ++at) {
      const EntryState& entry = entries_[at->first];
      const int extra = at->second - kept.shares[at->first].batch;
      if (entry.wanted <= extra) continue;
      if (least == next.end() || at->second < least->second) least = at;
    }
    if (least == next.end()) break;
    ++least->second;
    ++used;
  }
  for (auto& [node, share] : kept.shares) {
    if (share.allowed == next[node]) continue;
    share.allowed = next[node];
    entries_[node].urgent = true;
  }
}

PlaceGrant PlaceKeeper::GrantFor(const NodeId& entry) const {
  PlaceGrant grant;
  for (const auto& [id, kept] : kept_) {
    const auto mine = kept.shares.find(entry);
    if (mine == kept.shares.end()) continue;
    PlaceGrant::Line line{id, 0, 0, mine->second.allowed};
    for (const auto& [node, share] : kept.shares) {
      if (node == entry) continue;
      line.online_other += share.online;
      line.batch_other += share.batch;
    }
    grant.lines.push_back(std::move(line));
  }
  return grant;
}

std::vector<PlaceKeeper::Outgoing> PlaceKeeper::Due(Time now) {
  std::vector<NodeId> silent;
  for (const auto& [node, entry] : entries_) {
    if (entry.number > 0 && now - entry.at >= kReportLife) silent.push_back(node);
  }
  for (const NodeId& node : silent) Forget(node, now);
  CountStarted(0, now);
  // What is spare changes with time, not only with reports.
  for (auto& [id, kept] : kept_) Divide(kept, now);
  ExpireReservations(now);
  ServeQueue(now);
  std::vector<Outgoing> due = std::exchange(answers_, {});
  for (auto& [node, entry] : entries_) {
    const Duration told = now - entry.told_at;
    const bool waited = told >= (entry.near ? kCoalesce : kCoalesceFar);
    if (!entry.urgent && !(entry.stale && waited) && told < kHeartbeat) continue;
    PlaceGrant grant = GrantFor(node);
    grant.number = ++entry.granted;
    entry.urgent = false;
    entry.stale = false;
    entry.told_at = now;
    due.push_back({node, std::move(grant), std::nullopt});
  }
  return due;
}

int PlaceKeeper::Allowed(const BackendId& backend, const NodeId& entry) const {
  const auto found = kept_.find(backend);
  if (found == kept_.end()) return 0;
  const auto share = found->second.shares.find(entry);
  return share == found->second.shares.end() ? 0 : share->second.allowed;
}

}  // namespace figmill
