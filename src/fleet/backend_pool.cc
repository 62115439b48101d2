#include <algorithm>

#include "figmill/fleet.h"

namespace figmill {
namespace {

bool Contains(std::span<const BackendId> ids, const BackendId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// Weights of the moving averages: the last 8 runs, or 16 pauses, make up most of them.
constexpr int kRunTimeSamples = 8;
constexpr int kPauseSamples = 16;

int OnlineOf(const SlotUsage& usage) {
  return usage.online + usage.online_other;
}

}  // namespace

std::string_view ToString(BackendState state) {
  switch (state) {
    case BackendState::kReady:
      return "ready";
    case BackendState::kDraining:
      return "draining";
    case BackendState::kUnreadable:
      return "unreadable";
  }
  return "unknown";
}

bool BackendPool::Backend::IsUnresponsive(Time now) const {
  return active_sends() > 0 &&
         now - last_activity > kMinInactivity + usual_pause * kInactivityPauses;
}

bool BackendPool::Backend::IsHealthy(Time now) const {
  if (now < unreachable_until) return false;
  return !ejected_by_allocator && !outlier_detector.IsEjected(now) && !IsUnresponsive(now);
}

bool BackendPool::Backend::IsHealthyFor(const BackendQuery& query, Time now) const {
  return IsHealthy(now) && (query.tried.empty() || !last_failed);
}

bool BackendQuery::Allows(const BackendInfo& info) const {
  if (info.service != service || Contains(tried, info.id)) return false;
  return !version || info.version == *version;
}

BackendAddress AddressOf(const BackendInfo& info) {
  return {info.id, info.address, info.incarnation, info.version};
}

void BackendPool::AddOrUpdate(const BackendInfo& info) {
  const auto [at, added] = backends_.try_emplace(info.id);
  Backend& backend = at->second;
  const bool restarted = !added && IsLater(info.incarnation, backend.info.incarnation);
  if (restarted) backend = Backend{};
  if (added || restarted) backend.generation = ++last_generation_;
  backend.info = info;
  if (restarted) usage_listener_(info.id);
}

void BackendPool::Remove(const BackendId& id) {
  backends_.erase(id);
}

const BackendInfo* BackendPool::Find(const BackendId& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second.info;
}

bool BackendPool::IsLocal(const BackendId& id) const {
  const BackendInfo* info = Find(id);
  return info != nullptr && info->data_centre == local_data_centre_;
}

std::vector<BackendInfo> BackendPool::OfService(const ServiceName& service) const {
  std::vector<BackendInfo> infos;
  for (const auto& [id, backend] : backends_) {
    if (backend.info.service == service) infos.push_back(backend.info);
  }
  return infos;
}

// In fractions of its slots.
double BackendPool::Cost(const Backend& backend, std::optional<Duration> fastest) const {
  const bool local = backend.info.data_centre == local_data_centre_;
  const SlotUsage& usage = backend.usage;
  const bool preempts = OnlineOf(usage) + usage.batch + usage.batch_other >= backend.info.slots;
  return (OnlineOf(usage) + (local ? 0 : kRemotePenalty) + (preempts ? kPreemptionPenalty : 0)) /
             backend.info.slots +
         kSlowerClassPenalty * ClassOf(backend, fastest);
}

// The best of a few random candidates; only those with a free slot if there are any.
const BackendPool::Backend& BackendPool::PickBest(std::vector<const Backend*>& candidates) {
  const auto has_free_slot = [](const Backend* each) {
    return OnlineOf(each->usage) < each->info.slots;
  };
  auto end = std::partition(candidates.begin(), candidates.end(), has_free_slot);
  if (end == candidates.begin()) end = candidates.end();
  const auto count = static_cast<std::size_t>(end - candidates.begin());
  const std::size_t choices = std::min<std::size_t>(kRandomChoices, count);
  for (std::size_t i = 0; i < choices; ++i)
    std::swap(candidates[i], candidates[i + random_() % (count - i)]);
  const std::optional<Duration> fastest = FastestOf(candidates.front()->info.service);
  return **std::min_element(
      candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(choices),
      [&](const Backend* a, const Backend* b) { return Cost(*a, fastest) < Cost(*b, fastest); });
}

std::vector<const BackendPool::Backend*> BackendPool::Usable(const BackendQuery& query,
                                                             Time now) const {
  std::vector<const Backend*> usable;
  for (const auto& [id, backend] : backends_) {
    if (!query.Allows(backend.info)) continue;
    if (backend.info.state == BackendState::kReady) usable.push_back(&backend);
  }
  // When half of the servers or more look unhealthy, the fault may be local to this entry, and the
  // remaining ones could not carry the load: then all are used.
  const auto healthy = [&](const Backend* each) { return each->IsHealthyFor(query, now); };
  const auto end = std::stable_partition(usable.begin(), usable.end(), healthy);
  if (2 * (end - usable.begin()) > usable.end() - usable.begin()) usable.erase(end, usable.end());
  return usable;
}

std::vector<BackendId> BackendPool::ExcludedBackends(const BackendQuery& query, Time now) const {
  std::vector<BackendId> excluded;
  std::size_t ready = 0;
  for (const auto& [id, backend] : backends_) {
    if (!query.Allows(backend.info)) continue;
    if (backend.info.state != BackendState::kReady) continue;
    ++ready;
    if (!backend.IsHealthyFor(query, now) || now < backend.rejecting_until) excluded.push_back(id);
  }
  // As in Usable: the fault may be local to this entry.
  if (2 * excluded.size() >= ready) return {};
  return excluded;
}

std::optional<BackendAddress> BackendPool::ChooseLightlyLoaded(const BackendQuery& query,
                                                               double share, Time now) {
  std::vector<const Backend*> candidates = Usable(query, now);
  std::erase_if(candidates, [&](const Backend* each) {
    return each->info.data_centre != local_data_centre_ || now < each->rejecting_until;
  });
  KeepFastest(candidates, FastestOf(query.service));
  std::erase_if(candidates, [&](const Backend* each) {
    return OnlineOf(each->usage) >= share * each->info.slots;
  });
  if (candidates.empty()) return std::nullopt;
  const Backend& best = PickBest(candidates);
  return AddressOf(best.info);
}

Error BackendPool::NoCandidate(const BackendQuery& query) const {
  if (!query.version) return {ErrorKind::kNoBackend, "no backend server is known", Ran::kNo};
  const BackendQuery untried{query.service, {}, query.version};
  const bool listed = std::any_of(backends_.begin(), backends_.end(), [&](const auto& each) {
    return untried.Allows(each.second.info) && each.second.info.state == BackendState::kReady;
  });
  const std::string version = "version " + query.version->value;
  if (!listed)
    return {ErrorKind::kNoBackend, "no backend server of " + version + " is left", Ran::kNo};
  return {ErrorKind::kOverloaded, "no other backend server of " + version + " is there", Ran::kNo};
}

Result<BackendAddress> BackendPool::Choose(const BackendQuery& query, Time now) {
  std::vector<const Backend*> candidates = Usable(query, now);
  if (candidates.empty()) return NoCandidate(query);
  std::erase_if(candidates, [now](const Backend* each) {
    return now < each->rejecting_until ||
           OnlineOf(each->usage) >= each->info.slots + kMaxEngineQueue;
  });
  if (candidates.empty()) {
    return Error{ErrorKind::kOverloaded, "all backend servers are full", Ran::kNo};
  }
  return AddressOf(PickBest(candidates).info);
}

AcquiredSlot BackendPool::AcquireSlot(const BackendId& id, WorkClass work, Time now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return {id, work, 0};
  Backend& backend = found->second;
  if (backend.active_sends() == 0) backend.last_activity = now;
  ++(work == WorkClass::kOnline ? backend.usage.online : backend.usage.batch);
  usage_listener_(id);
  return {id, work, backend.generation};
}

BackendPool::Backend* BackendPool::FindGeneration(const AcquiredSlot& slot) {
  const auto found = backends_.find(slot.backend);
  if (found == backends_.end() || found->second.generation != slot.generation) return nullptr;
  return &found->second;
}

void BackendPool::RecordActivity(const AcquiredSlot& slot, Time now) {
  Backend* backend = FindGeneration(slot);
  if (backend == nullptr) return;
  backend->usual_pause += (now - backend->last_activity - backend->usual_pause) / kPauseSamples;
  backend->last_activity = now;
}

void BackendPool::RecordEvents(const AcquiredSlot& slot, const EventTiming& timing) {
  if (Backend* backend = FindGeneration(slot)) backend->usage.timing += timing;
}

void BackendPool::ReleaseSlot(const AcquiredSlot& slot, relay::SendEnd end, Duration run_time,
                              Time now) {
  Backend* backend = FindGeneration(slot);
  if (backend == nullptr) return;
  const bool online = slot.work == WorkClass::kOnline;
  --(online ? backend->usage.online : backend->usage.batch);
  if (online && end == relay::SendEnd::kAnswered) {
    Duration& usual = backend->usage.usual_run;
    usual = usual.count() == 0 ? run_time : usual + (run_time - usual) / kRunTimeSamples;
  }
  RecordOutcome(*backend, slot.work, end, now);
  usage_listener_(slot.backend);
}

void BackendPool::RecordOutcome(Backend& backend, WorkClass work, relay::SendEnd end, Time now) {
  if (end == relay::SendEnd::kRejected) backend.rejecting_until = now + kRejectionBackoff;
  if (end == relay::SendEnd::kUnreachable || end == relay::SendEnd::kMisdirected) {
    backend.unreachable_until = now + kUnreachableBackoff;
  }
  const bool fault = IsFault(work, end);
  if (!fault && end != relay::SendEnd::kAnswered) return;
  ++(fault ? backend.usage.faults : backend.usage.answers);
  backend.last_failed = fault;
  backend.outlier_detector.Record(fault, now);
}

void BackendPool::ApplyGrant(const BackendId& id, const Grant& grant, Time now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  SlotUsage& usage = found->second.usage;
  usage.online_other = grant.online_other;
  usage.batch_other = grant.batch_other;
  usage.batch_allowed = grant.batch_allowed;
  usage.known_at = now;
  found->second.ejected_by_allocator = grant.ejected;
  found->second.time_per_event = grant.time_per_event;
}

void BackendPool::RevokeBatchGrant(const BackendId& id) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  SlotUsage& usage = found->second.usage;
  usage.batch_allowed = std::min(usage.batch_allowed, usage.batch);
  found->second.ejected_by_allocator = false;
}

void BackendPool::ForEach(
    const std::function<void(const BackendInfo& info, const SlotUsage& usage)>& visit) const {
  for (const auto& [id, backend] : backends_) visit(backend.info, backend.usage);
}

bool BackendPool::IsUsable(const BackendId& id, Time now) const {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return false;
  const Backend& backend = found->second;
  return backend.info.state == BackendState::kReady && backend.IsHealthy(now) &&
         now >= backend.rejecting_until;
}

SlotUsage BackendPool::UsageOf(const BackendId& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? SlotUsage{} : found->second.usage;
}

}  // namespace figmill
