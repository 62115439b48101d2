#pragma once

// Relays of table feeds. A few entries of each data centre follow the tables at the store, and the
// other entries of the data centre follow those relays, so that the store's calls and bytes don't
// grow with the product of entries and changes. A relayed copy is a cache: writes are decided by
// conditions at the store, and an entry that no relay serves follows the store itself. No I/O: the
// caller passes the time in.

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figmill/base.h"
#include "figmill/peers.h"
#include "figmill/tables.h"

namespace figmill {

// Chooses where an entry follows tables.
class FeedSourceSelector {
 public:
  // With fewer live entries in a data centre, each follows the store itself: a relay would save
  // little, and its failure delays changes.
  static constexpr std::size_t kMinEntries = 12;
  // Entries per relay, and the least number of relays of a data centre.
  static constexpr std::size_t kEntriesPerRelay = 32;
  static constexpr std::size_t kMinRelays = 2;
  // A relay that failed is not asked for this long.
  static constexpr Duration kRelayBackoff{2'000'000};
  // An interval for SetDirectInterval. The clocks of two hosts drift apart by a few ms in it.
  static constexpr Duration kDirectInterval{30'000'000};

  // The relays of this entry's data centre, the one to ask first in front. Empty if the data centre
  // is small. All entries that know the same peers agree on them; a relay asks itself first.
  [[nodiscard]] static std::vector<Address> RelaysFor(const PeerTable& peers, Time now);

  void SetRelays(std::vector<Address> relays) { relays_ = std::move(relays); }
  // Asks the store itself at least this often, for the time on its clock, which its responses tell.
  void SetDirectInterval(Duration interval) { direct_interval_ = interval; }
  // The relay to ask now; nullopt: the store.
  [[nodiscard]] std::optional<Address> Choose(Time now);
  void RecordFailure(const Address& relay, Time now);

 private:
  std::vector<Address> relays_;
  std::map<Address, Time> avoid_until_;
  std::optional<Duration> direct_interval_;
  std::optional<Time> direct_at_;
};

// Encodes the changes that a relay sends, as MessagePack.
[[nodiscard]] std::string EncodeChanges(const TableChanges& changes);
// All rows are of `table`. Errors: kBadRequest.
[[nodiscard]] Result<TableChanges> DecodeChanges(std::string_view table, std::string_view bytes);

}  // namespace figmill
