#include "quota/owned_quota.h"

#include <algorithm>
#include <cmath>

namespace figmill {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// A team with a limit may make at least one request.
constexpr double kMinCapacity = 1;
// Rounding of credits and times.
constexpr double kTolerance = 1e-3;

Duration WaitUntil(Time due, Time now) {
  return std::max(due - now, OwnedQuota::kMinWait);
}

}  // namespace

void OwnedQuota::Update(const Team& team, std::uint32_t returned, Time now) {
  per_second_ = team.requests_per_second;
  capacity_ = std::max(team.burst, kMinCapacity);
  bucket_.Return(returned);
  HoldDue(now);
  ReturnHeld(now);
  bucket_.Refill(per_second_, capacity_, now);
  DropExpired(now);
  // The burst was lowered: the places for returns would keep credits that overflow.
  if (capacity_ < kMinBookableCapacity) {
    std::erase_if(line_, [](const Booking& booking) { return !booking.firm(); });
  }
}

void OwnedQuota::HoldDue(Time now) {
  const auto hold = [this, now](const Booking& booking) {
    if (booking.due > now || !booking.firm()) return false;
    bucket_.Refill(per_second_, capacity_, booking.due);
    if (bucket_.TakeUpTo(1) == 0) return false;
    held_.push_back({booking, std::max(booking.due, bucket_.at())});
    return true;
  };
  std::erase_if(line_, hold);
}

void OwnedQuota::ReturnHeld(Time now) {
  const auto expired = [this, now](const HeldCredit& held) {
    if (held.since + claim_hold_ >= now) return false;
    if (held.claimed) return true;
    bucket_.Return(1);
    InsertByDue(held.booking);
    return true;
  };
  std::erase_if(held_, expired);
}

void OwnedQuota::DropExpired(Time now) {
  const auto expired = [this, now](const Booking& booking) {
    if (booking.due + kClaimTimeout >= now) return false;
    if (booking.firm()) ++counts_.expired;
    return true;
  };
  std::erase_if(line_, expired);
  std::erase_if(claimed_,
                [now](const ClaimedBooking& claim) { return claim.at + kClaimTimeout < now; });
  // Credits that are kept for callers who don't come must not overflow the bucket.
  while (bucket_.level() > capacity_ - 1 && !line_.empty() && !line_.front().firm() &&
         line_.front().due <= now) {
    line_.erase(line_.begin());
  }
}

Time OwnedQuota::TimeOfCredit(double credits, Time now) const {
  constexpr double kMaxSeconds = 60;
  const double seconds = std::clamp((credits - bucket_.level()) / per_second_, 0.0, kMaxSeconds);
  return now + Duration(static_cast<Duration::rep>(std::ceil(seconds * kMicrosPerSecond)));
}

double OwnedQuota::SpareAt(std::size_t index, Time now) const {
  const double seconds = static_cast<double>((line_[index].due - now).count()) / kMicrosPerSecond;
  return bucket_.level() + per_second_ * std::max(seconds, 0.0) - static_cast<double>(index + 1);
}

OwnedQuota::Place OwnedQuota::EarliestPlace(Time now) const {
  std::size_t index = line_.size();
  while (index > 0 && SpareAt(index - 1, now) >= 1 - kTolerance) --index;
  const Time due = TimeOfCredit(static_cast<double>(index + 1), now);
  return {index, index == 0 ? due : std::max(due, line_[index - 1].due)};
}

std::uint32_t OwnedQuota::TakeFree(std::uint32_t wanted, Time now) {
  double spare = bucket_.level();
  for (std::size_t i = 0; i < line_.size() && spare >= 1 - kTolerance; ++i) {
    spare = std::min(spare, SpareAt(i, now));
  }
  const auto free = static_cast<std::uint32_t>(std::max(0.0, std::floor(spare + kTolerance)));
  return bucket_.TakeUpTo(std::min(wanted, free));
}

OwnedQuota::Line::iterator OwnedQuota::FirstReturn() {
  return std::find_if(line_.begin(), line_.end(),
                      [](const Booking& booking) { return !booking.firm(); });
}

void OwnedQuota::Insert(const Place& place, std::uint64_t id) {
  line_.insert(line_.begin() + static_cast<Line::difference_type>(place.index), {place.due, id});
}

QuotaBooking OwnedQuota::Serve(const QuotaLastTry& last_try, std::uint64_t next_id, Time now) {
  if (last_try.booking != 0) {
    const auto held = std::find_if(held_.begin(), held_.end(), [&](const HeldCredit& each) {
      return each.booking.id == last_try.booking;
    });
    if (held != held_.end()) {
      if (!std::exchange(held->claimed, true)) OnClaimed(last_try.booking, now);
      return {};
    }
    RestoreClaimed(last_try.booking, now);
    const auto booked = std::find_if(line_.begin(), line_.end(), [&](const Booking& booking) {
      return booking.id == last_try.booking;
    });
    if (booked != line_.end()) return Claim(booked, last_try.max_wait, now);
  }
  return Book(last_try, next_id, now);
}

void OwnedQuota::OnClaimed(std::uint64_t id, Time now) {
  if (claimed_.size() >= kMaxClaimed) claimed_.erase(claimed_.begin());
  claimed_.push_back({id, now});
  ++counts_.claimed;
}

void OwnedQuota::RestoreClaimed(std::uint64_t id, Time now) {
  const auto claim = std::find_if(claimed_.begin(), claimed_.end(),
                                  [id](const ClaimedBooking& each) { return each.id == id; });
  if (claim == claimed_.end()) return;
  claimed_.erase(claim);
  InsertByDue({now, id});
}

void OwnedQuota::InsertByDue(const Booking& booking) {
  const auto later =
      std::upper_bound(line_.begin(), line_.end(), booking.due,
                       [](Time due, const Booking& other) { return due < other.due; });
  line_.insert(later, booking);
}

QuotaBooking OwnedQuota::Claim(Line::iterator booking, Duration max_wait, Time now) {
  if (bucket_.TakeUpTo(1) == 1) {
    const std::uint64_t id = booking->id;
    line_.erase(booking);
    OnClaimed(id, now);
    return {};
  }
  // The limit was lowered, or the bucket was full: the credit comes a little later.
  const auto ahead = static_cast<double>(booking - line_.begin());
  const Duration wait = WaitUntil(TimeOfCredit(ahead + 1, now), now);
  const Booking moved{now + wait, booking->id};
  line_.erase(booking);
  if (wait > max_wait) {
    ++counts_.missed;
    return {0, wait};
  }
  InsertByDue(moved);
  return {moved.id, wait};
}

QuotaBooking OwnedQuota::Book(const QuotaLastTry& last_try, std::uint64_t id, Time now) {
  const auto place_kept = FirstReturn();
  const bool has_place = place_kept != line_.end();
  const Place earliest = EarliestPlace(now);
  const bool may_take = earliest.due <= now || (has_place && place_kept->due <= now);
  if (may_take && bucket_.TakeUpTo(1) == 1) {
    if (has_place) line_.erase(place_kept);
    return {};
  }
  const bool keeps_place = has_place && place_kept->due <= earliest.due;
  const Time due = keeps_place ? place_kept->due : earliest.due;
  const Duration wait = WaitUntil(due, now);
  if (capacity_ < kMinBookableCapacity) return {0, wait};
  if (wait + kClaimMargin > last_try.max_wait) return {0, wait};
  if (!keeps_place && !has_place && bookings() >= kMaxBookings) return {0, wait};
  if (keeps_place) {
    place_kept->id = id;
  } else {
    // The place that was kept comes after the new one, whose index stays valid.
    if (has_place) line_.erase(place_kept);
    Insert(earliest, id);
  }
  ++counts_.made;
  return {id, wait};
}

Duration OwnedQuota::BookReturns(std::uint32_t count, Time now) {
  Place place = EarliestPlace(now);
  const Duration first = WaitUntil(place.due, now);
  if (capacity_ < kMinBookableCapacity) return first;
  for (std::uint32_t i = 0; i < std::min(count, kMaxReturnsPerRequest); ++i) {
    if (place.due > now + kMaxReturnAhead || bookings() >= kMaxBookings) break;
    Insert(place, 0);
    place = EarliestPlace(now);
  }
  return first;
}

}  // namespace figmill
