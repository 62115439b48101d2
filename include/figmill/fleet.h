#pragma once

// Which backend servers there are and which of them gets the next request. No
// I/O, clocks or threads: the caller passes the time in. Not thread-safe.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figmill/base.h"
#include "figmill/relay.h"
#include "figmill/routes.h"

namespace figmill {

enum class BackendState : std::uint8_t {
  kReady,
  kDraining,
  // Its entry in the list can't be read, and could before. What runs there is left to end,
  // as nothing says that it stops; nothing new goes there.
  kUnreadable,
};
[[nodiscard]] std::string_view ToString(BackendState state);

// A backend server as the platform's list has it.
struct BackendInfo {
  BackendId id;
  ServiceName service;
  Address address;
  DataCentre data_centre;
  int slots = 1;  // requests that run at once
  BackendState state = BackendState::kReady;
  BackendIncarnation incarnation = {};
  bool operator==(const BackendInfo&) const = default;
};
[[nodiscard]] BackendAddress AddressOf(const BackendInfo& info);

// --- Health ------------------------------------------------------------------------

// Judges a backend server by how its work ends. Its own health answer is no help:
// one that fails part of its requests may answer it well.
class OutlierDetector {
 public:
  // Weight of the newest end.
  static constexpr double kNewestWeight = 0.2;
  // Left out above this: three faults in a row, or most of the last few ends. Answers
  // that are lost now and then (one in twenty) come to a third of it by chance.
  static constexpr double kEjectionThreshold = 0.45;
  // After it was left out: one more fault leaves it out again.
  static constexpr double kRateAfterEjection = 0.35;
  // Below this it is sound, and a later ejection is short again.
  static constexpr double kHealthyThreshold = 0.1;
  static constexpr Duration kFirstEjection{500'000};
  static constexpr Duration kMaxEjection{8'000'000};

  void Record(bool fault, Time now);
  [[nodiscard]] bool IsEjected(Time now) const { return now < ejected_until_; }

 private:
  double rate_ = 0;
  int ejections_ = 0;
  Time ejected_until_{};
};

// Whether an end says that the backend server is at fault. A batch item that fails may
// be one that fails everywhere.
[[nodiscard]] bool IsFault(WorkClass work, relay::SendEnd end);

// --- BackendPool -------------------------------------------------------------------

// How much of a backend server is taken, as far as this entry knows.
struct SlotUsage {
  int online = 0;        // by this entry
  int batch = 0;         // by this entry
  int online_other = 0;  // by other entries
  int batch_other = 0;
  int batch_allowed = 0;  // batch items that this entry may have there
  Duration usual_run{0};  // of this entry's online requests there; 0: none has ended
  // Ends of this entry's sends there since its start; those without a verdict, as when
  // the caller left, are in neither.
  std::uint64_t answers = 0;
  std::uint64_t faults = 0;
  Time known_at{};  // when the keeper said what others use; the start of time: never
};

struct BackendQuery {
  ServiceName service;
  std::span<const BackendId> tried;  // never picked again
};

// A place of a backend server that this entry has taken for one send.
struct AcquiredSlot {
  BackendId backend;
  WorkClass work = WorkClass::kOnline;
  // Of what the book knew of the backend server then; 0: nothing.
  std::uint64_t generation = 0;
};

class BackendPool {
 public:
  // Online requests that may wait in a full engine's own queue. Each waits for
  // one of its places to fall free: with streams of some 0.7 s on 8 places that
  // is 90 ms in the mean, so that a second one still makes a first event in
  // 300 ms, and a third doesn't.
  static constexpr int kMaxEngineQueue = 2;
  // A backend server with open sends that gives no sign of life for this long, and
  // four times its usual pause, looks dead: requests to one that is gone dark would
  // wait for their deadlines. Engines give an event each 10 to 40 ms, and a request
  // waits some 200 ms for its place.
  static constexpr Duration kMinInactivity{400'000};
  static constexpr int kInactivityPauses = 4;
  // After "not run" the backend server is full or leaving; the next request goes
  // elsewhere for about as long as a place needs to fall free.
  static constexpr Duration kRejectionBackoff{100'000};
  // A backend server that refused a connection, or whose address is another's now, is gone while
  // the list still has it. It looks free, so that requests go there first: with three of twelve
  // lost at a peak, each request met all three before they were left out for their faults, and
  // was refused. It is left out for this long, after which one request tries again.
  static constexpr Duration kUnreachableBackoff{500'000};
  // A backend server of another data centre costs as much as this many online
  // requests more. Unit: requests.
  static constexpr double kRemotePenalty = 0.5;
  // So does stopping a batch item, which must read its text again when it goes on.
  static constexpr double kPreemptionPenalty = 2;
  // What is known of others' use is some ms old, and all entries know the same. If
  // each took the least used backend server, those of one such span would all meet
  // there. So each takes the better of this many that it draws by chance.
  static constexpr int kRandomChoices = 3;

  BackendPool(DataCentre data_centre, RandomBits random)
      : data_centre_(std::move(data_centre)), random_(std::move(random)) {}

  // Adds it or changes what is known of it. A new incarnation starts with a fresh record: its
  // places are free, and nothing is held against it. Otherwise a backend server that has
  // started again stays left out for the faults and the silence of what ran there before.
  void AddOrUpdate(const BackendInfo& info);
  void Remove(const BackendId& id);
  [[nodiscard]] const BackendInfo* Find(const BackendId& id) const;
  [[nodiscard]] std::vector<BackendInfo> OfService(const ServiceName& service) const;

  // One of this data centre with less than `share` of its places in use, if there
  // is one: so much is free that what other entries do meanwhile doesn't matter.
  [[nodiscard]] std::optional<BackendAddress> ChooseLightlyLoaded(const BackendQuery& query,
                                                                  double share, Time now);
  // Ready backend servers of the service that are left out of such a query now: they fail, are
  // silent, or have just said "not run". None when it is half of them or more.
  [[nodiscard]] std::vector<BackendId> ExcludedBackends(const BackendQuery& query, Time now) const;
  // Errors: kNoBackend (none is left to try), kOverloaded (all are full); ran no.
  [[nodiscard]] Result<BackendAddress> Choose(const BackendQuery& query, Time now);

  [[nodiscard]] AcquiredSlot AcquireSlot(const BackendId& id, WorkClass work, Time now);
  // Any byte of an answer came from it. A place of an earlier record counts for nothing, here
  // and when it ends: without this, late ends of sends to an ended incarnation would free places
  // that others use at the new one, and their faults would leave it out.
  void RecordActivity(const AcquiredSlot& slot, Time now);
  // `took`: from its send to its end.
  void ReleaseSlot(const AcquiredSlot& slot, relay::SendEnd end, Duration run_time, Time now);
  // What the backend server's keeper says: what other entries have there, and how
  // many batch items this one may have.
  // And whether it is left out for what others have seen of it.
  struct Grant {
    int online_other = 0;
    int batch_other = 0;
    int batch_allowed = 0;
    bool ejected = false;
  };
  void ApplyGrant(const BackendId& id, const Grant& grant, Time now);
  // Nobody knows what others have there: no batch item begins there.
  void RevokeBatchGrant(const BackendId& id);
  // Called after each change of this entry's own use.
  void SetUsageListener(std::function<void(const BackendId&)> listener) {
    usage_listener_ = std::move(listener);
  }
  // Calls `visit` for each backend server.
  void ForEach(
      const std::function<void(const BackendInfo& info, const SlotUsage& usage)>& visit) const;
  // Ready, and left out neither for its failures nor for its silence.
  [[nodiscard]] bool IsUsable(const BackendId& id, Time now) const;
  [[nodiscard]] SlotUsage UsageOf(const BackendId& id) const;
  [[nodiscard]] std::size_t size() const { return backends_.size(); }
  // Whether it is in this entry's data centre; one that is not known is not.
  [[nodiscard]] bool IsLocal(const BackendId& id) const;

 private:
  struct Backend {
    BackendInfo info;
    std::uint64_t generation = 0;  // another one with each fresh record
    SlotUsage usage;
    OutlierDetector outlier_detector;
    bool last_failed = false;  // of the sends that ended with a verdict
    bool ejected_by_allocator = false;
    Time rejecting_until{};
    Time unreachable_until{};
    Time last_activity{};     // last byte, or the first send since there was none open
    Duration usual_pause{0};  // between signs of life

    [[nodiscard]] int active_sends() const { return usage.online + usage.batch; }
    [[nodiscard]] bool IsUnresponsive(Time now) const;
    [[nodiscard]] bool IsHealthy(Time now) const;
    // A request that has been sent in vain already goes where the last send did not fail. One
    // that finds out what is back would else be the one that finds out all others as well.
    [[nodiscard]] bool IsHealthyFor(const BackendQuery& query, Time now) const;
  };
  // The record that the place was taken in; null: it is gone.
  [[nodiscard]] Backend* FindGeneration(const AcquiredSlot& slot);
  [[nodiscard]] double Cost(const Backend& backend) const;
  [[nodiscard]] const Backend& PickBest(std::vector<const Backend*>& candidates);
  [[nodiscard]] std::vector<const Backend*> Usable(const BackendQuery& query, Time now) const;
  static void RecordOutcome(Backend& backend, WorkClass work, relay::SendEnd end, Time now);

  DataCentre data_centre_;
  RandomBits random_;
  std::map<BackendId, Backend> backends_;
  std::uint64_t last_generation_ = 0;
  std::function<void(const BackendId&)> usage_listener_ = [](const BackendId&) {};
};

}  // namespace figmill
