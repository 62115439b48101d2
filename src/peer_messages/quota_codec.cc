#include "peer_messages/quota_codec.h"

namespace figmill {
namespace {

// The last tries of a request or grant; none if it was sent by an earlier version.
std::uint32_t CountLastTries(const Object& object, std::uint32_t index) {
  if (SizeOf(object) <= index) return 0;
  const std::uint32_t count = SizeOf(Element(object, index));
  if (count > kMaxQuotaLastTries) throw std::invalid_argument("too many last tries");
  return count;
}

}  // namespace

void Pack(Packer& packer, const QuotaRequest& request) {
  // Most requests have no last tries.
  packer.pack_array(request.last_tries.empty() ? 4 : 5);
  packer.pack(request.number);
  packer.pack(request.team.value);
  packer.pack(request.wanted);
  packer.pack(request.returned);
  if (request.last_tries.empty()) return;
  packer.pack_array(static_cast<std::uint32_t>(request.last_tries.size()));
  for (const QuotaLastTry& last_try : request.last_tries) {
    packer.pack_array(2);
    packer.pack(last_try.booking);
    packer.pack(last_try.max_wait.count());
  }
}

void Pack(Packer& packer, const QuotaGrant& grant) {
  packer.pack_array(grant.bookings.empty() ? 6 : 7);
  packer.pack(grant.number);
  packer.pack(grant.team.value);
  packer.pack(grant.owned);
  packer.pack(grant.credits);
  packer.pack(grant.time_to_next.count());
  packer.pack(grant.credit_interval.count());
  if (grant.bookings.empty()) return;
  packer.pack_array(static_cast<std::uint32_t>(grant.bookings.size()));
  for (const QuotaBooking& booking : grant.bookings) {
    packer.pack_array(2);
    packer.pack(booking.booking);
    packer.pack(booking.wait.count());
  }
}

QuotaRequest ReadQuotaRequest(const Object& object) {
  QuotaRequest request;
  request.number = Get<std::uint64_t>(object, 0);
  request.team.value = GetName(object, 1);
  request.wanted = static_cast<std::uint32_t>(GetCount(object, 2));
  request.returned = static_cast<std::uint32_t>(GetCount(object, 3));
  const std::uint32_t last_tries = CountLastTries(object, 4);
  for (std::uint32_t i = 0; i < last_tries; ++i) {
    const Object& last_try = Element(Element(object, 4), i);
    request.last_tries.push_back({Get<std::uint64_t>(last_try, 0), GetTimeLeft(last_try, 1)});
  }
  return request;
}

QuotaGrant ReadQuotaGrant(const Object& object) {
  QuotaGrant grant;
  grant.number = Get<std::uint64_t>(object, 0);
  grant.team.value = GetName(object, 1);
  grant.owned = Get<bool>(object, 2);
  grant.credits = static_cast<std::uint32_t>(GetCount(object, 3));
  grant.time_to_next = GetDuration(object, 4);
  grant.credit_interval = GetDuration(object, 5);
  const std::uint32_t bookings = CountLastTries(object, 6);
  for (std::uint32_t i = 0; i < bookings; ++i) {
    const Object& booking = Element(Element(object, 6), i);
    grant.bookings.push_back({Get<std::uint64_t>(booking, 0), GetDuration(booking, 1)});
  }
  return grant;
}

}  // namespace figmill
