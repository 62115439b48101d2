#pragma once

// Known backend servers, their health, and the choice of one for the next request. No I/O, clocks
// or threads: the caller passes the time in. Not thread-safe.

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
#include "figmill/engine_speed.h"
#include "figmill/relay.h"
#include "figmill/routes.h"

namespace figmill {

enum class BackendState : std::uint8_t {
  kReady,
  kDraining,
  // Its entry in the list can't be parsed any more. Running work is left to finish, because nothing
  // says that the backend server stops; no new work is sent there.
  kUnreadable,
};
[[nodiscard]] std::string_view ToString(BackendState state);

// A backend server as listed by the platform.
struct BackendInfo {
  BackendId id;
  ServiceName service;
  Address address;
  DataCentre data_centre;
  int slots = 1;  // requests that run concurrently
  BackendState state = BackendState::kReady;
  BackendIncarnation incarnation = {};
  SoftwareVersion version = {};
  bool operator==(const BackendInfo&) const = default;
};
[[nodiscard]] BackendAddress AddressOf(const BackendInfo& info);
[[nodiscard]] inline OutputSource SourceOf(const BackendInfo& info) {
  return {info.service, info.version};
}

// --- Health ------------------------------------------------------------------------

// Ejects a backend server by the outcomes of its work (outlier detection). Its own health endpoint
// doesn't help: a server that fails some of its requests may still report healthy.
class OutlierDetector {
 public:
  // Weight of the newest outcome in the moving average.
  static constexpr double kNewestWeight = 0.2;
  // A server is ejected at this fault rate: three faults in a row, or most of the last few
  // outcomes. Occasional faults (one in twenty) reach a third of it by chance.
  static constexpr double kEjectionThreshold = 0.45;
  // Fault rate after an ejection: one more fault ejects the server again.
  static constexpr double kRateAfterEjection = 0.35;
  // Below this rate the server counts as healthy, and its next ejection is short again.
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

// Whether the outcome counts as a fault of the backend server. A batch item that fails may be one
// that fails on every server.
[[nodiscard]] bool IsFault(WorkClass work, relay::SendEnd end);

// --- BackendPool -------------------------------------------------------------------

// Slots of a backend server in use, as far as this entry knows.
struct SlotUsage {
  int online = 0;        // by this entry
  int batch = 0;         // by this entry
  int online_other = 0;  // by other entries
  int batch_other = 0;
  int batch_allowed = 0;  // batch items that this entry may have there
  Duration usual_run{0};  // mean run time of this entry's online requests there; 0: none has ended
  // Outcomes of this entry's sends there since its start. Sends without a verdict, such as those
  // whose caller disconnected, count in neither.
  std::uint64_t answers = 0;
  std::uint64_t faults = 0;
  Time known_at{};     // when the allocator last reported the usage of others; the epoch: never
  EventTiming timing;  // of this entry's runs there, since its start
};

struct BackendQuery {
  ServiceName service;
  std::span<const BackendId> tried;  // excluded from the choice
  // Only backend servers of this version are chosen; nullopt: of any.
  std::optional<SoftwareVersion> version = std::nullopt;
  [[nodiscard]] bool Allows(const BackendInfo& info) const;
};

// Slots of one service at one allocator that online requests leave free, by speed class.
class FreeSlots {
 public:
  // Weight of the mean class of the free slots, which divides their share of all.
  static constexpr double kSlowerPenalty = 0.5;

  void Add(int speed_class, int slots, int free);
  // Newer totals, without classes: online requests are taken to fill the fastest engines first.
  void SetTotals(int slots, int online);
  // The higher, the earlier the allocator is asked: the free share, less for slower engines; 0 if
  // none is free.
  [[nodiscard]] double Score() const;
  [[nodiscard]] bool any() const;

 private:
  struct Slots {
    int slots = 0;
    int free = 0;
  };
  std::map<int, Slots> classes_;  // fastest first
};

// A slot that this entry has acquired for one send.
struct AcquiredSlot {
  BackendId backend;
  WorkClass work = WorkClass::kOnline;
  // Generation of the pool's state of the backend server at that time; 0: it was unknown.
  std::uint64_t generation = 0;
};

class BackendPool {
 public:
  // Online requests that may wait in a full engine's own queue. Each waits for one of the engine's
  // slots: with streams of about 0.7 s on 8 slots that is 90 ms on average, so a second one still
  // gets its first event within 300 ms, and a third doesn't.
  static constexpr int kMaxEngineQueue = 2;
  // A backend server with active sends counts as unresponsive after this long without any bytes,
  // plus four times its usual pause between them. Requests sent to a dead server would wait for
  // their deadlines. Engines send an event every 10 to 40 ms, and a request waits about 200 ms for
  // its slot.
  static constexpr Duration kMinInactivity{400'000};
  static constexpr int kInactivityPauses = 4;
  // After "not run" the backend server is full or leaving. It gets no requests for about the time
  // that a slot needs to become free.
  static constexpr Duration kRejectionBackoff{100'000};
  // A backend server that refused a connection, or whose address now belongs to another one, is
  // gone but still listed. It looks free and so attracts requests: with three of twelve lost at a
  // load peak, each request tried all three before they were ejected for their faults, and was
  // refused. It is skipped for this long, then one request tries it again.
  static constexpr Duration kUnreachableBackoff{500'000};
  // Cost of using a backend server of another data centre. Unit: online requests.
  static constexpr double kRemotePenalty = 0.5;
  // Cost of preempting a batch item, which has to read its text again when it resumes. Unit: online
  // requests.
  static constexpr double kPreemptionPenalty = 2;
  // The usage of other entries is known with some ms of delay, and is the same for all entries. If
  // each entry chose the least used server, all requests of that interval would go to the same one.
  // So each chooses the best of this many random candidates.
  static constexpr int kRandomChoices = 3;
  // Cost of using an engine of the next slower class (SpeedClass). Unit: share of its slots.
  static constexpr double kSlowerClassPenalty = 0.5;

  BackendPool(DataCentre local_data_centre, RandomBits random)
      : local_data_centre_(std::move(local_data_centre)), random_(std::move(random)) {}

  // Adds a backend server or updates its listing. A new incarnation starts with fresh state: its
  // slots are free and earlier faults are forgotten. Otherwise a restarted server would stay
  // excluded for the faults and inactivity of the process before it.
  void AddOrUpdate(const BackendInfo& info);
  void Remove(const BackendId& id);
  [[nodiscard]] const BackendInfo* Find(const BackendId& id) const;
  [[nodiscard]] std::vector<BackendInfo> OfService(const ServiceName& service) const;

  // A backend server of this data centre with less than `share` of its slots in use, if there is
  // one. It has so many free slots that concurrent choices of other entries don't matter. Where
  // speeds differ, only engines like the fastest here are chosen without asking.
  [[nodiscard]] std::optional<BackendAddress> ChooseLightlyLoaded(const BackendQuery& query,
                                                                  double share, Time now);
  // Ready backend servers of the service that this query must not use now: they fail, are
  // unresponsive, or have just answered "not run". Empty if that is half of them or more.
  [[nodiscard]] std::vector<BackendId> ExcludedBackends(const BackendQuery& query, Time now) const;
  // Errors: kNoBackend (none is left to try), kOverloaded (all are full); both with Ran::kNo.
  [[nodiscard]] Result<BackendAddress> Choose(const BackendQuery& query, Time now);

  [[nodiscard]] AcquiredSlot AcquireSlot(const BackendId& id, WorkClass work, Time now);
  // Called for any bytes of an answer. Slots of an earlier generation are ignored, here and in
  // ReleaseSlot: otherwise late ends of sends to an ended incarnation would release slots that
  // others use on the new one, and their faults would eject it.
  void RecordActivity(const AcquiredSlot& slot, Time now);
  // Events of the send, and the time between them.
  void RecordEvents(const AcquiredSlot& slot, const EventTiming& timing);
  // `run_time`: from the send to its end.
  void ReleaseSlot(const AcquiredSlot& slot, relay::SendEnd end, Duration run_time, Time now);
  // What the backend server's allocator grants: the usage of other entries, the batch items that
  // this entry may run, and whether the server is ejected for faults that other entries saw.
  struct Grant {
    int online_other = 0;
    int batch_other = 0;
    int batch_allowed = 0;
    bool ejected = false;
    std::optional<Duration> time_per_event = {};  // nullopt: unknown
  };
  void ApplyGrant(const BackendId& id, const Grant& grant, Time now);
  // The usage of others is unknown: no further batch item may start.
  void RevokeBatchGrant(const BackendId& id);
  // The listener is called after each change of this entry's own usage.
  void SetUsageListener(std::function<void(const BackendId&)> listener) {
    usage_listener_ = std::move(listener);
  }
  // Calls `visit` for each backend server.
  void ForEach(
      const std::function<void(const BackendInfo& info, const SlotUsage& usage)>& visit) const;
  // Ready, and neither ejected nor unresponsive nor in a backoff.
  [[nodiscard]] bool IsUsable(const BackendId& id, Time now) const;
  [[nodiscard]] SlotUsage UsageOf(const BackendId& id) const;
  // Time per event of the fastest engine of the service, if its engines differ in speed.
  [[nodiscard]] std::optional<Duration> FastestOf(const ServiceName& service) const;
  // Class of the engine beside that fastest one: 0 where speeds don't differ, or its own is
  // unknown.
  [[nodiscard]] int SpeedClassOf(const BackendId& id, std::optional<Duration> fastest) const;
  [[nodiscard]] std::size_t size() const { return backends_.size(); }
  // Whether it is in this entry's data centre; false for an unknown one.
  [[nodiscard]] bool IsLocal(const BackendId& id) const;

 private:
  struct Backend {
    BackendInfo info;
    std::uint64_t generation = 0;  // changes when the state is reset
    SlotUsage usage;
    OutlierDetector outlier_detector;
    bool last_failed = false;  // outcome of the last send that had a verdict
    bool ejected_by_allocator = false;
    Time rejecting_until{};
    Time unreachable_until{};
    Time last_activity{};     // last byte received, or first send while none was active
    Duration usual_pause{0};  // mean time between bytes
    std::optional<Duration> time_per_event;

    [[nodiscard]] int active_sends() const { return usage.online + usage.batch; }
    [[nodiscard]] bool IsUnresponsive(Time now) const;
    [[nodiscard]] bool IsHealthy(Time now) const;
    // A retried request only goes where the last send succeeded. Otherwise the request that finds
    // one server dead would go on to find the others dead as well.
    [[nodiscard]] bool IsHealthyFor(const BackendQuery& query, Time now) const;
  };
  // The state that the slot was acquired in; null if it was reset or removed.
  [[nodiscard]] Backend* FindGeneration(const AcquiredSlot& slot);
  [[nodiscard]] double Cost(const Backend& backend, std::optional<Duration> fastest) const;
  [[nodiscard]] const Backend& PickBest(std::vector<const Backend*>& candidates);
  [[nodiscard]] static int ClassOf(const Backend& backend, std::optional<Duration> fastest);
  static void KeepFastest(std::vector<const Backend*>& candidates, std::optional<Duration> fastest);
  // Why no backend server is left to try. Of a version that is listed, those that were tried may
  // come back.
  [[nodiscard]] Error NoCandidate(const BackendQuery& query) const;
  [[nodiscard]] std::vector<const Backend*> Usable(const BackendQuery& query, Time now) const;
  static void RecordOutcome(Backend& backend, WorkClass work, relay::SendEnd end, Time now);

  DataCentre local_data_centre_;
  RandomBits random_;
  std::map<BackendId, Backend> backends_;
  std::uint64_t last_generation_ = 0;
  std::function<void(const BackendId&)> usage_listener_ = [](const BackendId&) {};
};

}  // namespace figmill
