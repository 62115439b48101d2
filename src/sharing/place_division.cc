// The keeper's division of places among the entries' batch items.

#include <algorithm>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// The group of the item that would start next, after `taken` others; none waits: nullptr.
const WaitingItems* GroupOfNext(const std::vector<WaitingItems>& waiting, int taken) {
  for (const WaitingItems& each : waiting) {
    if (taken < each.items) return &each;
    taken -= each.items;
  }
  return nullptr;
}

}  // namespace

int PlaceKeeper::UnusedElsewhere(const NodeId& entry, const Kept& but) const {
  const EntryState& state = entries_.at(entry);
  const bool under_way = state.urgent || state.acted < state.granted;
  if (!under_way) return 0;
  int unused = 0;
  for (const auto& [id, kept] : kept_) {
    if (&kept == &but || kept.backend.service != but.backend.service) continue;
    const auto found = kept.shares.find(entry);
    if (found == kept.shares.end()) continue;
    unused += std::max(0, found->second.allowed - found->second.batch);
  }
  return unused;
}

std::vector<PlaceKeeper::Holder> PlaceKeeper::HoldersOf(Kept& kept) {
  std::vector<Holder> holders;
  for (auto& [node, share] : kept.shares) {
    EntryState& entry = entries_[node];
    // A grant that is under way may be acted on any moment.
    const bool in_flight = entry.acted < entry.granted;
    const int holds = in_flight ? std::max(share.batch, share.allowed) : share.batch;
    holders.push_back({&node, &share, &entry, holds, 0});
  }
  return holders;
}

PlaceKeeper::Holder* PlaceKeeper::NextInLine(std::vector<Holder>& holders) {
  Holder* first = nullptr;
  std::pair<std::pair<bool, StoreTime>, int> first_rank;
  for (Holder& each : holders) {
    const WaitingItems* next = GroupOfNext(each.entry->waiting, each.taken);
    if (next == nullptr) continue;
    const std::pair rank{next->order(), each.holds};
    if (first != nullptr && rank >= first_rank) continue;
    first = &each;
    first_rank = rank;
  }
  return first;
}

void PlaceKeeper::GrantSpare(const Kept& kept, std::vector<Holder>& holders, int spare) const {
  if (spare <= 0) return;
  for (Holder& each : holders) {
    if (each.entry->waiting.empty()) continue;
    each.taken = each.holds - each.share->batch + UnusedElsewhere(*each.node, kept);
  }
  for (; spare > 0; --spare) {
    Holder* next = NextInLine(holders);
    if (next == nullptr) return;
    ++next->holds;
    ++next->taken;
  }
}

// Each entry keeps what it runs, and a place that it gives up is not given out again.
void PlaceKeeper::LeaveToEnd(Kept& kept) {
  for (auto& [node, share] : kept.shares) {
    if (share.allowed == share.batch) continue;
    share.allowed = share.batch;
    entries_[node].urgent = true;
  }
}

// Divides what online leaves of one backend server. An entry keeps what it runs;
// when that is too much, the one that runs most gives up first. What is free goes
// one by one to the entry whose next item goes first. Shared out evenly, all jobs
// would take as long as the last one, and when places are short all would be late.
void PlaceKeeper::Divide(Kept& kept, Time now) {
  if (kept.backend.frozen) return LeaveToEnd(kept);
  std::vector<Holder> holders = HoldersOf(kept);
  const int places = kept.ejected ? 0 : kept.backend.places;
  int free = std::max(0, places - reserve_ - OnlineOf(kept));
  for (const Holder& each : holders) free -= each.holds;
  const auto fewer = [](const Holder& a, const Holder& b) { return a.holds < b.holds; };
  for (; free < 0; ++free) --std::max_element(holders.begin(), holders.end(), fewer)->holds;
  const bool settled = now - kept.since >= kSettle;
  if (settled && free > 0) {
    GrantSpare(kept, holders, std::min(free, SpareFor(kept.backend.service)));
  }
  for (const Holder& each : holders) {
    if (each.share->allowed == each.holds) continue;
    each.share->allowed = each.holds;
    each.entry->urgent = true;
  }
}

}  // namespace figmill
