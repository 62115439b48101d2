#include <doctest/doctest.h>

#include <map>
#include <thread>

#include "figmilld/batch/batch_lease.h"
#include "test/control-fakes.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

namespace {

// A store that is down, and counts the reads of each row.
class DownStore final : public TableStore {
 public:
  void Read(std::string key, std::function<void(Result<std::optional<Row>>)> done) override {
    ++reads[key];
    done(Error{ErrorKind::kStoreUnavailable, "down"});
  }
  void Scan(RowRange /*range*/, std::function<void(Result<std::vector<Row>>)> done) override {
    done(Error{ErrorKind::kStoreUnavailable, "down"});
  }
  void Commit(Transaction /*transaction*/, std::function<void(TransactionOutcome)> done) override {
    done(NotWritten{"down"});
  }

  std::map<std::string, int> reads;
};

}  // namespace

TEST_CASE("the leases of other owners are read rarely while the store is down") {
  // Guards against all entries that press on the store, each tick, while it is down.
  DownStore store;
  BatchLeases leases(store, NodeId{"entry-0"}, 1, fake::Random(1), [](const BatchEvent&) {});
  leases.Watch({OwnerLease{NodeId{"entry-1"}, 1}});
  for (int i = 0; i < 100; ++i) {
    leases.Tick();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(store.reads["lease/owner-entry-1"] == 1);
}
