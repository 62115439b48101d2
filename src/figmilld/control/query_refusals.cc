#include <nlohmann/json.hpp>

#include "figmill/documents.h"
#include "figmilld/control/query_operations.h"

namespace figmill {
namespace {

using query::Cell;
using query::Table;

constexpr Duration kPeerTimeout{2'000'000};
constexpr std::size_t kEntryColumn = 1;  // of ShowRefusals

std::string ParamsSince(std::optional<WallTime> since) {
  nlohmann::json params = nlohmann::json::object();
  if (since) params["since_ms"] = since->time_since_epoch().count();
  return params.dump();
}

Result<Table> TableOfAnswer(const Result<std::string>& answer) {
  if (!IsOk(answer)) return ErrorOf(answer);
  Result<query::QueryAnswer> parsed = query::ParseAnswer(ValueOf(answer));
  if (!IsOk(parsed)) return ErrorOf(parsed);
  if (auto* table = std::get_if<Table>(&ValueOf(parsed))) return std::move(*table);
  return Error{ErrorKind::kBackendFailed, "the entry answered something else"};
}

// Asks every other entry at once and joins what they say.
class Gathering : public std::enable_shared_from_this<Gathering> {
 public:
  Gathering(Table own, std::function<void(Result<Table>)> done)
      : table_(std::move(own)), done_(std::move(done)) {}

  void Ask(HttpClient& client, const std::vector<Member>& entries, const std::string& params) {
    open_ = entries.size() + 1;
    for (const Member& entry : entries) {
      CallRpc(client, entry.http, "refusals", params, kPeerTimeout,
              [self = shared_from_this(), entry](const Result<std::string>& answer) {
                self->Take(entry, TableOfAnswer(answer));
              });
    }
    Close();
  }

 private:
  void Take(const Member& entry, Result<Table> answer) {
    if (IsOk(answer) && ValueOf(answer).columns.size() == table_.columns.size()) {
      auto& rows = ValueOf(answer).rows;
      std::move(rows.begin(), rows.end(), std::back_inserter(table_.rows));
    } else {
      const std::string why = IsOk(answer) ? "other columns" : ErrorOf(answer).detail;
      query::TableRow& row = table_.rows.emplace_back(table_.columns.size());
      row[kEntryColumn] = entry.node.value;
      row.back() = "this entry could not be asked: " + why;
    }
    Close();
  }

  void Close() {
    if (--open_ == 0) done_(std::move(table_));
  }

  Table table_;
  std::function<void(Result<Table>)> done_;
  std::size_t open_ = 0;
};

}  // namespace

Table OwnRefusals(EntryQuery::Shared& shared, std::optional<WallTime> since) {
  Table table;
  {
    const std::lock_guard<std::mutex> lock(shared.mutex);
    table = shared.refusals.Since(since);
  }
  for (query::TableRow& row : table.rows) row[kEntryColumn] = shared.parts.self.value;
  return table;
}

void AskAllRefusals(const std::shared_ptr<EntryQuery::Shared>& shared,
                    std::optional<Duration> since, std::function<void(Result<Table>)> done) {
  std::optional<WallTime> from;
  if (since) from = Loop::WallNow() - std::chrono::ceil<std::chrono::milliseconds>(*since);
  std::vector<Member> entries = shared->parts.control.CurrentMembers();
  std::erase_if(entries, [&](const Member& member) {
    return member.role != Role::kEntry || member.node == shared->parts.self;
  });
  std::make_shared<Gathering>(OwnRefusals(*shared, from), std::move(done))
      ->Ask(shared->parts.client, entries, ParamsSince(from));
}

void EntryQuery::BindRpc(RpcServer& rpc) {
  rpc.Bind("refusals", [shared = shared_](std::string_view params) -> Result<std::string> {
    const nlohmann::json json = ParseJson(params);
    if (!json.is_object()) return Error{ErrorKind::kBadRequest, "parameters must be an object"};
    std::optional<WallTime> since;
    const auto found = json.find("since_ms");
    if (found != json.end()) {
      if (!found->is_number_integer()) {
        return Error{ErrorKind::kBadRequest, "since_ms must be a whole number"};
      }
      since = WallTime(std::chrono::milliseconds(found->get<std::int64_t>()));
    }
    return query::ToJson(OwnRefusals(*shared, since));
  });
}

}  // namespace figmill
