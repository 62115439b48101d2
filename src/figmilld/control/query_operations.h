#pragma once

// Carries out what operators ask and order, for one statement.

#include <string>

#include "figmilld/control/entry_query.h"

namespace figmill {

struct EntryQuery::Shared {
  EntryQueryParts parts;
  std::mutex mutex;  // of refusals
  query::RefusalLog refusals;
};

class QueryOperations final : public query::Operations,
                              public std::enable_shared_from_this<QueryOperations> {
 public:
  QueryOperations(std::shared_ptr<EntryQuery::Shared> shared, std::string author)
      : shared_(std::move(shared)), author_(std::move(author)) {}

  void Ask(const query::Show& show, std::function<void(Result<query::Table>)> done) override;
  void Carry(const query::Order& order, std::function<void(Result<Sequence>)> done) override;
  void Await(Sequence sequence, std::function<void(Result<query::Spread>)> done) override;

 private:
  void AskConfig(const query::ShowConfig& question, std::function<void(Result<query::Table>)> done);
  void CancelJobOf(const query::Order& order, const JobId& job,
                   std::function<void(Result<Sequence>)> done);
  void Append(const query::Order& order, std::function<void(Result<Sequence>)> done);

  std::shared_ptr<EntryQuery::Shared> shared_;
  std::string author_;
};

// Refusals of this entry since then, with its name.
[[nodiscard]] query::Table OwnRefusals(EntryQuery::Shared& shared, std::optional<WallTime> since);
// Of all entries; one that can't be asked is named in a row of its own.
void AskAllRefusals(const std::shared_ptr<EntryQuery::Shared>& shared,
                    std::optional<Duration> since, std::function<void(Result<query::Table>)> done);

}  // namespace figmill
