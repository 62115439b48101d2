// The keeper's side of asks: who gets a place, who waits, who is told that there is none.

#include <algorithm>
#include <cmath>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {
namespace {

// The last so many reports make up most of what a run usually takes.
constexpr int kReportsForUsual = 16;

bool Contains(const std::vector<BackendId>& ids, const BackendId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool GoesBefore(const AskQueue::Entry& a, const AskQueue::Entry& b, Time now) {
  const bool a_in_time = now < a.goal_at;
  const bool b_in_time = now < b.goal_at;
  if (a_in_time != b_in_time) return a_in_time;
  return a_in_time ? a.goal_at < b.goal_at : a.gone_at < b.gone_at;
}

}  // namespace

void AskQueue::Forget(const NodeId& from) {
  std::erase_if(entries_, [&from](const Entry& entry) { return entry.from == from; });
}

std::vector<AskQueue::Entry> AskQueue::TakeExpired(Time now) {
  std::vector<Entry> expired;
  std::erase_if(entries_, [&](const Entry& entry) {
    const bool in_vain = now >= entry.gone_at || (now >= entry.goal_at && !entry.ask.last_chance);
    if (in_vain) expired.push_back(entry);
    return in_vain;
  });
  return expired;
}

std::optional<AskQueue::Entry> AskQueue::TakeFirst(Time now,
                                                   const std::function<bool(const Entry&)>& serve) {
  std::sort(entries_.begin(), entries_.end(),
            [now](const Entry& a, const Entry& b) { return GoesBefore(a, b, now); });
  const auto found = std::find_if(entries_.begin(), entries_.end(), serve);
  if (found == entries_.end()) return std::nullopt;
  Entry taken = std::move(*found);
  entries_.erase(found);
  return taken;
}

std::size_t AskQueue::CountBefore(const Entry& entry, Time now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const Entry& other) {
        return other.ask.service == entry.ask.service && !GoesBefore(entry, other, now);
      }));
}

void PlaceKeeper::OnAsk(const NodeId& from, const PlaceAsk& ask, Time now) {
  // Served later, one on its last try would not have a whole answer when its caller leaves.
  const Duration patience = ask.time_left - (ask.last_chance ? UsualRun(ask.service) : Duration{0});
  const AskQueue::Entry entry{from, ask, now + ask.goal_left - kFirstEvent, now + patience};
  const std::size_t before = queue_.CountBefore(entry, now);
  if (before == 0 && Place(from, ask, now)) return;
  const std::optional<Duration> wait = WaitFor(ask, before + 1);
  if (!ask.may_queue || !wait) return AnswerNoPlace(from, ask, wait);
  if (!WillBeServed(ask, before, *wait, now)) return Refuse(from, ask, *wait, now);
  Answer(from, {ask.number, PlaceAnswer::Kind::kQueued, {}, *wait});
  queue_.Add(entry);
}

bool PlaceKeeper::WillBeServed(const PlaceAsk& ask, std::size_t before, Duration wait, Time now) {
  ServiceLoad& load = loads_[ask.service];
  const Duration budget = ask.goal_left - kFirstEvent;
  const bool in_time =
      budget > Duration{0} && load.admission.Admits(before, EndsWithin(ask, budget, now));
  if (in_time || !ask.last_chance) return in_time;
  const LastChances::Ask last{ask.time_left, wait, UsualRun(ask.service)};
  return load.last_chances.Admits(last, load.returns.watch(), now);
}

// Those that still can be in time tell of the queue, the others of the overload.
void PlaceKeeper::CountEnd(const AskQueue::Entry& entry, bool served, Time now) {
  ServiceLoad& load = loads_[entry.ask.service];
  if (!entry.ask.last_chance) {
    served ? load.admission.Served() : load.admission.WaitedInVain();
  } else if (now >= entry.goal_at) {
    served ? load.last_chances.Served() : load.last_chances.WaitedInVain();
  }
}

bool PlaceKeeper::MayServe(const BackendId& id, const Kept& kept, const PlaceAsk& ask) {
  if (kept.backend.service != ask.service || Contains(ask.tried, id)) return false;
  return !kept.ejected && !kept.backend.frozen;
}

ExpectedEnds PlaceKeeper::EndsWithin(const PlaceAsk& ask, Duration span, Time now) const {
  const Duration usual = UsualRun(ask.service);
  ExpectedEnds all;
  for (const auto& [id, kept] : kept_) {
    if (!MayServe(id, kept, ask)) continue;
    const ExpectedEnds ends = kept.ages.EndsWithin(span, usual, now);
    all.mean += ends.mean;
    all.variance += ends.variance;
  }
  return all;
}

// One that nobody uses, on the backend server with most of them. If all are used,
// batch gives way where online has the fewest. A run that is stopped must read its
// prompt and its text again when it goes on, at the cost of all that run there.
bool PlaceKeeper::Place(const NodeId& from, const PlaceAsk& ask, Time now) {
  std::map<BackendId, Kept>::iterator best = kept_.end();
  std::pair<int, int> best_rank;
  for (auto at = kept_.begin(); at != kept_.end(); ++at) {
    const Kept& kept = at->second;
    if (!MayServe(at->first, kept, ask)) continue;
    const int free_of_online = kept.backend.places - OnlineOf(kept);
    if (free_of_online <= 0) continue;
    const std::pair<int, int> rank{std::max(0, free_of_online - BatchOf(kept)), free_of_online};
    if (best != kept_.end() && rank <= best_rank) continue;
    best = at;
    best_rank = rank;
  }
  if (best == kept_.end()) return false;
  best->second.reserved.push_back({from, ask.number, now + kReservationLife});
  best->second.ages.SetCount(static_cast<std::size_t>(OnlineOf(best->second)), now);
  MarkOthersStale(best->second, from);
  Divide(best->second, now);
  Answer(from, {ask.number, PlaceAnswer::Kind::kPlaced, best->first, Duration{0}});
  return true;
}

void PlaceKeeper::ServeQueue(Time now) {
  for (const AskQueue::Entry& entry : queue_.TakeExpired(now)) {
    CountEnd(entry, /*served=*/false, now);
    const std::size_t position = queue_.CountBefore(entry, now) + 1;
    const std::optional<Duration> wait = WaitFor(entry.ask, position);
    if (!wait) {
      AnswerNoPlace(entry.from, entry.ask, wait);
      continue;
    }
    Refuse(entry.from, entry.ask, *wait, now);
  }
  while (!queue_.empty()) {
    const auto served = queue_.TakeFirst(now, [this, now](const AskQueue::Entry& entry) {
      return Place(entry.from, entry.ask, now);
    });
    if (!served) return;
    CountEnd(*served, /*served=*/true, now);
  }
}

void PlaceKeeper::ExpireReservations(Time now) {
  for (auto& [id, kept] : kept_) {
    const auto lost =
        std::erase_if(kept.reserved, [now](const Reservation& each) { return now >= each.until; });
    if (lost > 0) Divide(kept, now);
  }
}

void PlaceKeeper::Answer(const NodeId& to, PlaceAnswer answer) {
  answers_.push_back({to, std::nullopt, std::move(answer)});
}

void PlaceKeeper::AnswerNoPlace(const NodeId& to, const PlaceAsk& ask,
                                std::optional<Duration> wait) {
  const auto kind = wait ? PlaceAnswer::Kind::kFull : PlaceAnswer::Kind::kNotKept;
  Answer(to, {ask.number, kind, {}, wait.value_or(Duration{0})});
}

void PlaceKeeper::Refuse(const NodeId& to, const PlaceAsk& ask, Duration wait, Time now) {
  const Duration place_every = UsualRun(ask.service) / std::max(1, PlacesFor(ask));
  const Duration come_back =
      loads_[ask.service].returns.ComeBackAfter({ask.time_left, wait, place_every}, now);
  Answer(to, {ask.number, PlaceAnswer::Kind::kFull, {}, wait, come_back});
}

int PlaceKeeper::SpareFor(const ServiceName& service) const {
  int free = 0;
  for (const auto& [id, kept] : kept_) {
    if (kept.backend.service != service || kept.backend.frozen) continue;
    free += std::max(0, kept.backend.places - OnlineOf(kept) - BatchOf(kept));
  }
  const auto load = loads_.find(service);
  if (load == loads_.end()) return free;
  const double per_s = load->second.arrivals.PerSecond();
  return free -
         static_cast<int>(std::ceil(per_s * std::chrono::duration<double>(kOnlineAhead).count()));
}

void PlaceKeeper::LearnRun(const ServiceName& service, Duration usual) {
  std::optional<Duration>& known = loads_[service].usual_run;
  known = known ? *known + (usual - *known) / kReportsForUsual : usual;
}

Duration PlaceKeeper::UsualRun(const ServiceName& service) const {
  const auto found = loads_.find(service);
  if (found == loads_.end()) return kUsualRun;
  return found->second.usual_run.value_or(kUsualRun);
}

int PlaceKeeper::PlacesFor(const PlaceAsk& ask) const {
  int places = 0;
  for (const auto& [id, kept] : kept_) {
    if (MayServe(id, kept, ask)) places += kept.backend.places;
  }
  return places;
}

// All places are taken: one falls free each usual run over their number.
std::optional<Duration> PlaceKeeper::WaitFor(const PlaceAsk& ask, std::size_t position) const {
  const int places = PlacesFor(ask);
  if (places == 0) return std::nullopt;
  return UsualRun(ask.service) * static_cast<Duration::rep>(position) / places;
}

}  // namespace figmill
