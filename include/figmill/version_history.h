#pragma once

// The software versions of each service that serve, or served until lately, as rows of a shared
// table. A stream of which no entry has a record was begun by one of them. The table outlives all
// entries, and an entry uses a backend server only once the row of its version is written, so that
// no stream begins at a version without a row. No I/O.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figmill/base.h"
#include "figmill/tables.h"

namespace figmill {

// A row of the table.
struct ServedVersion {
  OutputSource source;
  std::optional<StoreTime> ended_at;  // nullopt: it serves
  bool operator==(const ServedVersion&) const = default;
};

class VersionHistory {
 public:
  static constexpr const char* kTable = "versions";
  // Rows are kept for this long after the last backend server of their version was seen. Callers
  // resume streams for as long as they wait for them, which no header tells; this is many times
  // what callers of interactive services wait.
  static constexpr Duration kRetention = std::chrono::hours(1);
  // How long a version must have been unlisted before its row says that it ended. Backend servers
  // that the table service dropped are listed again within seconds.
  static constexpr Duration kEndDelay = std::chrono::seconds(60);

  [[nodiscard]] static TableKey RowKey(const OutputSource& source);
  [[nodiscard]] static std::string RowValue(const ServedVersion& version);
  // The row that tells since when all versions have rows. Entries of earlier releases may have
  // begun streams before; at the first start of a fleet there were none.
  [[nodiscard]] static TableKey StartKey();
  [[nodiscard]] static std::string StartValue(StoreTime since);

  // Takes in a row of the table. Errors: kBadRequest, if it can't be read. Until it can be, or is
  // removed, no version is the only one.
  Result<Ok> Put(const TableRow& row);
  void Remove(const std::string& key);

  // Whether the version's row says that it serves.
  [[nodiscard]] bool Serves(const OutputSource& source) const;
  // Whether the table tells since when it is complete.
  [[nodiscard]] bool started() const { return since_.has_value(); }
  // The only version that can have begun a stream of the service which is resumed at `now`.
  [[nodiscard]] std::optional<SoftwareVersion> Only(const ServiceName& service,
                                                    StoreTime now) const;

  // The rows that are out of date at `now`, to be written under the condition that they have not
  // changed. `unlisted`: versions of which no backend server was listed for kEndDelay.
  [[nodiscard]] std::vector<TableTransaction> Upkeep(const std::set<OutputSource>& unlisted,
                                                     StoreTime now) const;
  // Versions that serve by their rows.
  [[nodiscard]] std::vector<OutputSource> Serving() const;
  // Whether versions that ended still have rows.
  [[nodiscard]] bool has_ended() const;

 private:
  struct Entry {
    std::optional<StoreTime> ended_at;
    RowVersion row_version = 0;
  };
  std::map<OutputSource, Entry> versions_;
  std::map<std::string, OutputSource> sources_;  // by key
  std::set<std::string> unreadable_;             // keys
  std::optional<StoreTime> since_;
};

// Reads a row of a version. Errors: kBadRequest.
[[nodiscard]] Result<ServedVersion> ParseServedVersion(const TableRow& row);

}  // namespace figmill
