#pragma once

// One team's quota at its owner: a token bucket, and a line of bookings of the credits to come.

#include <cstdint>
#include <utility>
#include <vector>

#include "figmill/quota.h"

namespace figmill {

// While the line isn't empty, its credits are certain: other requests only get those that no
// booking needs. There are two kinds of bookings. A last try that waits has a firm one, which only
// it can claim. A first try that was refused has a place for its return, which goes to the next
// last try: requests carry no name of their caller, and callers mostly return in their order.
class OwnedQuota {
 public:
  // Most bookings of a team.
  static constexpr std::size_t kMaxBookings = 4096;
  // Most places for returns that one request gets.
  static constexpr std::uint32_t kMaxReturnsPerRequest = 64;
  // Callers give up sooner than this, so no place for a return is booked further ahead.
  static constexpr Duration kMaxReturnAhead{5'000'000};
  // Time after which an unclaimed booking expires. A claim comes a round trip and a timer's period
  // late, and a lost one is repeated.
  static constexpr Duration kClaimTimeout{200'000};
  // The booked time is this much before the end of the wait, so that a claim that is lost can be
  // repeated.
  static constexpr Duration kClaimMargin{100'000};
  // Most claims that are remembered, in case that their answers are lost.
  static constexpr std::size_t kMaxClaimed = 256;
  // A bucket of one credit loses what comes until that is taken, so no credit of it is certain.
  static constexpr double kMinBookableCapacity = 2;
  // Least wait, which also limits how often a caller is asked for.
  static constexpr Duration kMinWait{1'000};

  OwnedQuota(const QuotaBounds& bounds, double level, Time since)
      : bucket_(level, since), claim_hold_(bounds.ClaimHold()) {}

  // Applies the current limit, the passage of time and the credits that an entry returned.
  void Update(const Team& team, std::uint32_t returned, Time now);
  // Takes at most `wanted` credits that no booking needs.
  [[nodiscard]] std::uint32_t TakeFree(std::uint32_t wanted, Time now);
  // Serves, books or refuses a last try. `next_id`: for a new booking.
  [[nodiscard]] QuotaBooking Serve(const QuotaLastTry& last_try, std::uint64_t next_id, Time now);
  // Books the returns of first tries that got no credit; returns the time until the first of them.
  [[nodiscard]] Duration BookReturns(std::uint32_t count, Time now);

  [[nodiscard]] std::size_t bookings() const { return line_.size() + held_.size(); }
  [[nodiscard]] BookingCounts TakeCounts() { return std::exchange(counts_, {}); }

 private:
  struct Booking {
    Time due{};
    std::uint64_t id = 0;  // 0: a place for a return
    [[nodiscard]] bool firm() const { return id != 0; }
  };
  using Line = std::vector<Booking>;
  struct HeldCredit {
    Booking booking;
    Time since{};          // when the credit left the bucket
    bool claimed = false;  // the claim may be repeated: its answer may be lost
  };
  struct ClaimedBooking {
    std::uint64_t id = 0;
    Time at{};
  };
  // Where a new booking would go, and when its credit is due.
  struct Place {
    std::size_t index = 0;
    Time due{};
  };

  // Time at which the bucket will have received `credits` more than it has now used up.
  [[nodiscard]] Time TimeOfCredit(double credits, Time now) const;
  // Credits that are left over by the booking at `index`, after all up to it were claimed.
  [[nodiscard]] double SpareAt(std::size_t index, Time now) const;
  // The earliest credit that doesn't delay a booking.
  [[nodiscard]] Place EarliestPlace(Time now) const;
  [[nodiscard]] Line::iterator FirstReturn();
  void Insert(const Place& place, std::uint64_t id);
  void InsertByDue(const Booking& booking);
  // Takes the credits of the firm bookings that are due out of the bucket, which would overflow if
  // the burst is small.
  void HoldDue(Time now);
  void ReturnHeld(Time now);
  void DropExpired(Time now);
  void OnClaimed(std::uint64_t id, Time now);
  // Puts a booking whose claim was answered back into the line: the answer was lost, and with it
  // the credit.
  void RestoreClaimed(std::uint64_t id, Time now);
  [[nodiscard]] QuotaBooking Claim(Line::iterator booking, Duration max_wait, Time now);
  [[nodiscard]] QuotaBooking Book(const QuotaLastTry& last_try, std::uint64_t id, Time now);

  CreditBucket bucket_;
  Duration claim_hold_{0};
  std::vector<HeldCredit> held_;
  double per_second_ = 0;
  double capacity_ = 0;
  Line line_;                            // ordered by due time
  std::vector<ClaimedBooking> claimed_;  // lately; the oldest first
  BookingCounts counts_;
};

}  // namespace figmill
