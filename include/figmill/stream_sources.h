#pragma once

// Which service and software version began a stream, so that another entry can continue it. The
// entry that begins a stream sends a record of its source to a few others, the holders, which are
// chosen by a hash of the stream; the entry at which a caller resumes the stream asks them. While a
// resumed stream can reach one source only, a single holder gets its record. A stream whose source
// isn't known is not resumed. Without a record it is known where a single version can have begun
// the stream (version_history.h). No I/O: the caller passes the time in and sends the messages.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/fleet.h"
#include "figmill/peers.h"

namespace figmill {

// Hash of the id of the request whose answer the stream began with.
struct StreamKey {
  std::uint64_t value = 0;
  auto operator<=>(const StreamKey&) const = default;
};
[[nodiscard]] StreamKey StreamKeyOf(const RequestId& began);

struct StreamRecord {
  StreamKey key;
  OutputSource source;
  bool operator==(const StreamRecord&) const = default;
};

// --- Messages ----------------------------------------------------------------------

struct StreamRecords {
  // More records than this would not fit into a datagram with the longest names.
  static constexpr std::size_t kMaxRecords = 3;
  std::vector<StreamRecord> records;
};
struct StreamQuery {
  std::uint64_t number = 0;  // increases with each look-up of this incarnation
  StreamKey key;
};
struct StreamResponse {
  std::uint64_t number = 0;
  StreamKey key;                       // numbers are reused after a restart
  std::optional<OutputSource> source;  // nullopt: no record
};
using StreamMessage = std::variant<StreamRecords, StreamQuery, StreamResponse>;

// --- Records -----------------------------------------------------------------------

// The records of streams that this entry began, and those that others have sent.
class StreamDirectory {
 public:
  // After this the source counts as not known, and a stream of one version among several is not
  // resumed. Few streams of interactive services last as long.
  static constexpr Duration kTtl = std::chrono::minutes(10);
  // Beyond this the oldest are dropped. An entry of 330 gets 40 records a second at a load of 4,400
  // streams a second.
  static constexpr std::size_t kMaxRecords = 20'000;

  // A record of a resumed stream is renewed.
  void Put(const StreamRecord& record, Time now);
  [[nodiscard]] std::optional<OutputSource> Find(StreamKey key, Time now) const;
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct Entry {
    OutputSource source;
    Time put_at{};
  };
  void Evict(Time now);

  std::unordered_map<std::uint64_t, Entry> records_;
  std::deque<std::pair<std::uint64_t, Time>> order_;  // oldest first
};

// The entries that hold the record of a stream, out of those that are eligible. A host and a data
// centre may fail with all that they know, so the holders are in different data centres as far as
// there are some.
inline constexpr std::size_t kStreamHolders = 3;
// In a large fleet a single fault takes a smaller part of all entries.
inline constexpr std::size_t kStreamHoldersInLargeFleet = 2;
inline constexpr std::size_t kLargeFleet = 100;  // entries
[[nodiscard]] std::vector<const Peer*> StreamHolders(std::span<const Peer> eligible, StreamKey key);

// Decides which record is sent to which entry: at the start of a stream, and again when its holders
// change or another version appears.
class StreamPublisher {
 public:
  // Streams that began earlier are not sent to new holders: nearly all have ended.
  static constexpr Duration kRepeatWithin{10'000'000};

  struct Outgoing {
    NodeId to;
    StreamRecords records;
  };
  using IsNeeded = std::function<bool(const ServiceName&)>;
  // `always`: its route leads to several services.
  void Add(const StreamRecord& record, bool always, Time now);
  // The eligible entries, or the services whose records are needed, have changed: earlier records
  // are looked at again.
  void OnChanged() { checked_ = 0; }
  // Records that their holders don't have yet. Call it after Add and OnChanged. `needed`: whether a
  // stream of the service can't be resumed without its record; if not, one holder gets it.
  [[nodiscard]] std::vector<Outgoing> TakeOutgoing(std::span<const Peer> eligible,
                                                   const NodeId& self, const IsNeeded& needed,
                                                   Time now);
  [[nodiscard]] std::size_t size() const { return begun_.size(); }

 private:
  struct Begun {
    StreamRecord record;
    bool always = false;
    Time at{};
    std::set<NodeId> sent_to;
  };
  std::deque<Begun> begun_;  // oldest first
  std::size_t checked_ = 0;  // of them, since the last change
};

// --- Look-up -----------------------------------------------------------------------

// Looks up the source of one stream that a caller resumes.
class StreamLookup {
 public:
  // Retry delay of a resume that is refused: another entry may reach those that know the source.
  static constexpr Duration kRetryDelay{100'000};

  struct Request {
    StreamKey key;
    std::vector<ServiceName> services;  // to which the stream's route leads
  };

  // `local`: the record of this entry.
  StreamLookup(Request request, const std::optional<OutputSource>& local, std::set<NodeId> asked);

  // The answer of an entry that was asked.
  void OnResponse(const NodeId& from, const StreamResponse& response);
  // Nobody else will answer.
  void GiveUp();
  // Whether nobody has a record, and the version history may tell the source. It must be read from
  // the store after this: an entry's own copy may be older than the stream.
  [[nodiscard]] bool needs_history() const { return needs_history_; }
  // `only`: the only version that can have begun the stream; nullopt if there are several, or the
  // store did not answer.
  void OnHistory(const std::optional<SoftwareVersion>& only);

  // The source, once it is known or can't become known any more. Errors: kNoBackend, ran no.
  [[nodiscard]] const std::optional<Result<OutputSource>>& result() const { return result_; }
  // Entries that have not answered yet.
  [[nodiscard]] const std::set<NodeId>& unanswered() const { return unanswered_; }

 private:
  void ConcludeWithoutRecord();
  void Refuse();
  void Conclude(OutputSource source);

  Request request_;
  std::set<NodeId> unanswered_;
  bool needs_history_ = false;
  std::optional<Result<OutputSource>> result_;
};

}  // namespace figmill
