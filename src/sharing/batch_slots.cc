// Division of the slots that online requests leave among the entries' batch items.

#include <algorithm>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// The group of the next item to start after `claimed` others; null if none waits.
const WaitingItems* NextGroup(const std::vector<WaitingItems>& waiting, int claimed) {
  for (const WaitingItems& each : waiting) {
    if (claimed < each.items) return &each;
    claimed -= each.items;
  }
  return nullptr;
}

}  // namespace

int SlotAllocator::UnusedGrantsElsewhere(const NodeId& entry, const OwnedBackend& except) const {
  const EntryState& state = entries_.at(entry);
  const bool has_unapplied_grant = state.allowed_changed || state.acked_grant < state.last_grant;
  if (!has_unapplied_grant) return 0;
  int unused = 0;
  for (const auto& [id, owned] : backends_) {
    if (&owned == &except || owned.info.service != except.info.service) continue;
    const auto found = owned.shares.find(entry);
    if (found == owned.shares.end()) continue;
    unused += std::max(0, found->second.allowed - found->second.batch);
  }
  return unused;
}

std::vector<SlotAllocator::Candidate> SlotAllocator::CandidatesOf(OwnedBackend& owned) {
  std::vector<Candidate> candidates;
  for (auto& [node, share] : owned.shares) {
    EntryState& entry = entries_[node];
    // The entry may apply a pending grant at any moment.
    const bool grant_pending = entry.acked_grant < entry.last_grant;
    const int assigned = grant_pending ? std::max(share.batch, share.allowed) : share.batch;
    candidates.push_back({&node, &share, &entry, assigned, 0});
  }
  return candidates;
}

SlotAllocator::Candidate* SlotAllocator::NextCandidate(std::vector<Candidate>& candidates) {
  Candidate* first = nullptr;
  std::pair<std::pair<bool, StoreTime>, int> first_rank;
  for (Candidate& each : candidates) {
    const WaitingItems* next = NextGroup(each.entry->waiting, each.claimed);
    if (next == nullptr) continue;
    const std::pair rank{next->order(), each.assigned};
    if (first != nullptr && rank >= first_rank) continue;
    first = &each;
    first_rank = rank;
  }
  return first;
}

void SlotAllocator::GrantSpareSlots(const OwnedBackend& owned, std::vector<Candidate>& candidates,
                                    int spare) const {
  if (spare <= 0) return;
  for (Candidate& each : candidates) {
    if (each.entry->waiting.empty()) continue;
    each.claimed = each.assigned - each.share->batch + UnusedGrantsElsewhere(*each.node, owned);
  }
  for (; spare > 0; --spare) {
    Candidate* next = NextCandidate(candidates);
    if (next == nullptr) return;
    ++next->assigned;
    ++next->claimed;
  }
}

// Each entry keeps the slots that it uses; slots that it releases are not granted again.
void SlotAllocator::LetRunsFinish(OwnedBackend& owned) {
  for (auto& [node, share] : owned.shares) {
    if (share.allowed == share.batch) continue;
    share.allowed = share.batch;
    entries_[node].allowed_changed = true;
  }
}

// Divides the slots of one backend server that online requests leave free. An entry keeps the slots
// of its running items; if there are too many, the entry that runs most gives up slots first. Free
// slots go one by one to the entry whose next item has the highest priority. With an even division
// all jobs would take as long as the last one, and all would be late when slots are scarce.
void SlotAllocator::DivideBatchSlots(OwnedBackend& owned, Time now) {
  if (owned.info.frozen) return LetRunsFinish(owned);
  std::vector<Candidate> candidates = CandidatesOf(owned);
  const int slots = owned.ejected ? 0 : owned.info.slots;
  int free = std::max(0, slots - reserve_ - OnlineOf(owned));
  for (const Candidate& each : candidates) free -= each.assigned;
  const auto fewer = [](const Candidate& a, const Candidate& b) { return a.assigned < b.assigned; };
  for (; free < 0; ++free)
    --std::max_element(candidates.begin(), candidates.end(), fewer)->assigned;
  const bool may_grant = now - owned.since >= kTakeoverDelay;
  if (may_grant && free > 0) {
    GrantSpareSlots(owned, candidates, SlotsForItems(owned, free, now));
  }
  for (const Candidate& each : candidates) {
    if (each.share->allowed == each.assigned) continue;
    each.share->allowed = each.assigned;
    each.entry->allowed_changed = true;
  }
}

// All are of class 0 where speeds don't differ, and keep their order.
void SlotAllocator::DivideBatchSlots(std::vector<OwnedBackend*> backends, Time now) {
  std::stable_sort(backends.begin(), backends.end(), [](const auto* a, const auto* b) {
    return a->speed_class.value() > b->speed_class.value();
  });
  for (OwnedBackend* each : backends) DivideBatchSlots(*each, now);
}

}  // namespace figmill
