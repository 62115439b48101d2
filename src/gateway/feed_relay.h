#pragma once

// Serves the changes of tables to other entries of this data centre. A table is followed here from
// the first request for it until no entry has asked for a while.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "figmill/feeds.h"
#include "figmill/runtime.h"
#include "gateway/table_follower.h"

namespace figmill {

// A request for the changes of a table.
struct FeedRequest {
  std::string table;
  RowVersion after = 0;
  Duration wait{0};  // how long to wait for a change
};

class FeedRelay {
 public:
  // A copy that was last confirmed longer ago is not served, so that an entry asks the store
  // itself when its relay has lost it.
  static constexpr Duration kMaxAge{1'200'000};
  // How long the store holds the relay's own calls. It bounds the age of a copy while nothing
  // changes.
  static constexpr Duration kStoreWait{400'000};
  static constexpr Duration kIdleTimeout{10'000'000};
  static constexpr Duration kCheckPeriod{100'000};
  // Limits on one request, which comes from the network.
  static constexpr Duration kMaxWait{2'000'000};
  static constexpr std::size_t kMaxWaiting = 4096;  // requests that wait for a change

  struct Table {
    std::string name;
    std::vector<std::string> parts;
    // Minimum interval between calls for changes, so that changes within it are sent together.
    Duration min_interval{0};
  };

  // `tables`: the store itself.
  FeedRelay(Loop& loop, SharedTables& tables, std::vector<Table> relayed, Metrics& metrics);

  [[nodiscard]] static std::string TargetOf(const FeedRequest& request);
  [[nodiscard]] static bool IsFeedRequest(const HttpRequest& request);
  void OnRequest(const HttpRequest& request, std::shared_ptr<HttpReply> reply);
  // Refuses all requests from now on, so that the entries that follow here go elsewhere at once.
  void SetLeaving();

 private:
  // Most entries ask for the changes after the same version, so a response is encoded once and used
  // for all of them.
  struct EncodedChanges {
    static constexpr Duration kLifetime{20'000};
    RowVersion after = 0;
    Duration encoded_at{0};
    std::string body;  // empty: none
  };
  struct WaitingPoll {
    RowVersion after = 0;
    Time until{};
    std::shared_ptr<HttpReply> reply;
  };
  struct Feed {
    std::unique_ptr<TableFollower> follower;
    std::map<std::uint64_t, WaitingPoll> waiting;
    Time asked_at{};
    EncodedChanges last_sent;
  };

  // Errors: kBadRequest.
  [[nodiscard]] static Result<FeedRequest> ParseRequest(const HttpRequest& request);
  Feed& FeedOf(const Table& table);
  // Answers the poll if there are changes, the copy can't be served, or `must_answer`; returns
  // whether it did.
  bool TryAnswer(Feed& feed, const WaitingPoll& poll, bool must_answer);
  // Errors: kStoreUnavailable.
  [[nodiscard]] static Result<TableChanges> ChangesFor(const Feed& feed, RowVersion after);
  static void SendChanges(Feed& feed, const WaitingPoll& poll, TableChanges changes);
  void AnswerWaiting(Feed& feed);
  void Check();
  static void Refuse(HttpReply& reply, std::string why);

  Loop& loop_;
  SharedTables& tables_;
  std::vector<Table> relayed_;
  Gauge& feeds_gauge_;
  std::map<std::string, Feed> feeds_;
  std::uint64_t next_poll_ = 0;
  std::size_t waiting_count_ = 0;
  bool leaving_ = false;
  Timer check_timer_;
};

}  // namespace figmill
