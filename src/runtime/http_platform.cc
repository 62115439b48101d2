// Client of the platform's HTTP calls (docs/PLATFORM.md).

#include <curl/curl.h>

#include <nlohmann/json.hpp>

#include "figmill/documents.h"
#include "figmill/runtime.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

std::string Escaped(std::string_view text) {
  if (text.empty()) return {};
  char* escaped = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string result = escaped == nullptr ? std::string() : std::string(escaped);
  curl_free(escaped);
  return result;
}

// JSON text, or "null" when a string is not UTF-8: the platform refuses that
// as malformed, so that the caller learns truthfully that nothing was written.
std::string Dumped(const Json& json) {
  try {
    return json.dump();
  } catch (const Json::exception&) {
    return "null";
  }
}

// An empty object when the body is no JSON object.
Json ParsedObject(std::string_view body) {
  Json json = ParseJson(body);
  return json.is_object() ? json : Json::object();
}

// Null when there is no such member.
Json Member(const Json& object, const char* name) {
  return object.value(name, Json());
}

Error Unavailable(std::string detail) {
  return Error{ErrorKind::kStoreUnavailable, std::move(detail), Ran::kUnknown};
}

// What is wrong with an answer, for people.
std::string Why(const HttpResponse& answer) {
  const Json detail = Member(ParsedObject(answer.body), "detail");
  std::string why = "the platform answered " + std::to_string(answer.status);
  if (detail.is_string()) why += ": " + detail.get<std::string>();
  return why;
}

std::optional<Row> RowFrom(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  const Json key = Member(json, "key");
  const Json value = Member(json, "value");
  const Json version = Member(json, "version");
  if (!key.is_string() || !value.is_string() || !version.is_number_unsigned()) return std::nullopt;
  return Row{key.get<std::string>(), value.get<std::string>(), version.get<RowVersion>()};
}

std::optional<std::vector<Row>> RowsFrom(const Json& json) {
  if (!json.is_array()) return std::nullopt;
  std::vector<Row> rows;
  rows.reserve(json.size());
  for (const Json& each : json) {
    std::optional<Row> row = RowFrom(each);
    if (!row) return std::nullopt;
    rows.push_back(*std::move(row));
  }
  return rows;
}

Json ToJson(const Transaction& transaction) {
  Json conditions = Json::array();
  for (const RowCondition& condition : transaction.conditions) {
    conditions.push_back({{"key", condition.key}, {"version", condition.version}});
  }
  Json writes = Json::array();
  for (const RowWrite& write : transaction.writes) {
    writes.push_back(
        std::visit(Overloaded{
                       [](const PutRow& put) {
                         return Json{{"op", "put"}, {"key", put.key}, {"value", put.value}};
                       },
                       [](const DeleteRow& row) {
                         return Json{{"op", "delete"}, {"key", row.key}};
                       },
                   },
                   write));
  }
  return Json{{"conditions", std::move(conditions)}, {"writes", std::move(writes)}};
}

// The written rows; empty when the versions don't fit the transaction.
std::optional<Committed> CommittedFrom(const Transaction& transaction, const Json& versions) {
  if (!versions.is_array() || versions.size() != transaction.writes.size()) return std::nullopt;
  Committed committed;
  for (std::size_t i = 0; i < transaction.writes.size(); ++i) {
    if (!versions[i].is_number_unsigned()) return std::nullopt;
    if (const auto* put = std::get_if<PutRow>(&transaction.writes[i])) {
      committed.rows.push_back(Row{put->key, put->value, versions[i].get<RowVersion>()});
    }
  }
  return committed;
}

// Only what the platform said plainly counts as written or not written: any
// other answer, such as a gateway's error page, leaves the fate unknown. Taking
// one for a refusal would let a caller be told "not run" about work that is
// recorded.
TransactionOutcome OutcomeFrom(const Transaction& transaction, const HttpResponse& answer) {
  const Json json = ParsedObject(answer.body);
  if (answer.status == 200 && Member(json, "outcome") == "committed") {
    if (auto committed = CommittedFrom(transaction, Member(json, "versions"))) {
      return *std::move(committed);
    }
  }
  if (answer.status == 409 && Member(json, "outcome") == "rejected") {
    if (auto current = RowsFrom(Member(json, "current"))) return Rejected{*std::move(current)};
  }
  if (answer.status >= 400 && Member(json, "ran") == "no") return NotWritten{Why(answer)};
  return FateUnknown{Why(answer)};
}

std::optional<ListedHost> HostFrom(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  for (const char* member : {"node", "http", "gossip", "role", "data_centre"}) {
    if (!Member(json, member).is_string()) return std::nullopt;
  }
  const auto http = ParseAddress(json["http"].get<std::string>());
  const auto gossip = ParseAddress(json["gossip"].get<std::string>());
  if (!IsOk(http) || !IsOk(gossip)) return std::nullopt;
  return ListedHost{
      .node = NodeId{json["node"].get<std::string>()},
      .http = ValueOf(http),
      .gossip = ValueOf(gossip),
      .role = json["role"].get<std::string>(),
      .data_centre = DataCentre{json["data_centre"].get<std::string>()},
      .leaving = Member(json, "leaving") == true,
  };
}

HttpCall CallTo(const Address& platform, Duration timeout, std::string method, std::string target,
                std::string body = {}) {
  HttpCall call;
  call.method = std::move(method);
  call.to = platform;
  call.target = std::move(target);
  call.headers = {{"Content-Type", "application/json"}};
  call.body = std::move(body);
  call.connect_timeout = timeout;
  call.total_timeout = timeout;
  return call;
}

// The value that `read` finds in a 200's JSON object; `read` returns an empty
// optional when it can't make sense of it.
template <typename T, typename Read>
Result<T> ReadAnswer(const Result<HttpResponse>& answer, Read read) {
  if (!IsOk(answer)) return Unavailable(ErrorOf(answer).detail);
  const HttpResponse& response = ValueOf(answer);
  if (response.status != 200) return Unavailable(Why(response));
  std::optional<T> value = read(ParsedObject(response.body));
  if (!value) return Unavailable("the platform's answer can't be read");
  return Result<T>(std::in_place_type<T>, *std::move(value));
}

}  // namespace

HttpPlatform::HttpPlatform(HttpClient& client, Address platform, Duration timeout)
    : client_(client), platform_(std::move(platform)), timeout_(timeout) {}

// On a connection of its own: a pooled one that the peer has just closed may
// make the client send twice. The first copy could commit, and the second be
// rejected by the first's own write; "rejected, nothing written" would be false.
void HttpPlatform::Commit(Transaction transaction, std::function<void(TransactionOutcome)> done) {
  HttpCall call = CallTo(platform_, timeout_, "POST", "/table/commit", Dumped(ToJson(transaction)));
  call.fresh_connection = true;
  client_.Fetch(std::move(call), [transaction = std::move(transaction),
                                  done = std::move(done)](const Result<HttpResponse>& answer) {
    if (IsOk(answer)) {
      done(OutcomeFrom(transaction, ValueOf(answer)));
    } else if (ErrorOf(answer).ran == Ran::kNo) {
      done(NotWritten{ErrorOf(answer).detail});
    } else {
      done(FateUnknown{ErrorOf(answer).detail});
    }
  });
}

void HttpPlatform::Read(std::string key, std::function<void(Result<std::optional<Row>>)> done) {
  using Found = std::optional<Row>;
  HttpCall call = CallTo(platform_, timeout_, "GET", "/table/row?key=" + Escaped(key));
  const auto read = [key = std::move(key)](const Json& json) -> std::optional<Found> {
    const auto row = json.find("row");
    if (row == json.end()) return std::nullopt;
    if (row->is_null()) return std::optional<Found>(std::in_place);
    Found found = RowFrom(*row);
    if (!found || found->key != key) return std::nullopt;
    return std::optional<Found>(std::in_place, std::move(found));
  };
  client_.Fetch(std::move(call), [read, done = std::move(done)](const auto& answer) {
    done(ReadAnswer<Found>(answer, read));
  });
}

void HttpPlatform::Scan(RowRange range, std::function<void(Result<std::vector<Row>>)> done) {
  const std::string target = "/table/rows?prefix=" + Escaped(range.prefix) +
                             "&after=" + Escaped(range.after) +
                             "&limit=" + std::to_string(range.limit);
  client_.Fetch(CallTo(platform_, timeout_, "GET", target),
                [done = std::move(done)](const auto& answer) {
                  done(ReadAnswer<std::vector<Row>>(
                      answer, [](const Json& json) { return RowsFrom(Member(json, "rows")); }));
                });
}

void HttpPlatform::Put(std::string key, std::string bytes, std::function<void(Result<Ok>)> done) {
  const std::size_t size = bytes.size();
  HttpCall call = CallTo(platform_, timeout_, "PUT", "/objects/" + Escaped(key), std::move(bytes));
  call.headers = {{"Content-Type", "application/octet-stream"}};
  const auto read = [size](const Json& json) {
    return Member(json, "bytes") == size ? std::optional<Ok>(Ok{}) : std::nullopt;
  };
  client_.Fetch(std::move(call), [read, done = std::move(done)](const auto& answer) {
    done(ReadAnswer<Ok>(answer, read));
  });
}

void HttpPlatform::Get(std::string key, std::function<void(Result<std::string>)> done) {
  client_.Fetch(
      CallTo(platform_, timeout_, "GET", "/objects/" + Escaped(key)),
      [done = std::move(done)](Result<HttpResponse> answer) {
        if (!IsOk(answer)) return done(Unavailable(ErrorOf(answer).detail));
        HttpResponse& response = ValueOf(answer);
        if (response.status == 200) return done(std::move(response.body));
        // A gateway's 404 must not pass for "there is no such object".
        if (response.status == 404 && Member(ParsedObject(response.body), "kind") == "not-found") {
          return done(Error{ErrorKind::kNotFound, "there is no such object"});
        }
        done(Unavailable(Why(response)));
      });
}

void HttpPlatform::Delete(std::string key, std::function<void(Result<Ok>)> done) {
  client_.Fetch(CallTo(platform_, timeout_, "DELETE", "/objects/" + Escaped(key)),
                [done = std::move(done)](const auto& answer) {
                  done(ReadAnswer<Ok>(answer, [](const Json& json) {
                    return json.contains("bytes") ? std::optional<Ok>(Ok{}) : std::nullopt;
                  }));
                });
}

void HttpPlatform::List(std::function<void(Result<std::vector<ListedHost>>)> done) {
  using Hosts = std::vector<ListedHost>;
  const auto read = [](const Json& json) -> std::optional<Hosts> {
    const Json hosts = Member(json, "hosts");
    if (!hosts.is_array()) return std::nullopt;
    Hosts listed;
    // One unreadable host must not hide all others.
    for (const Json& each : hosts) {
      if (auto host = HostFrom(each)) listed.push_back(*std::move(host));
    }
    return listed;
  };
  client_.Fetch(CallTo(platform_, timeout_, "GET", "/hosts"),
                [read, done = std::move(done)](const auto& answer) {
                  done(ReadAnswer<Hosts>(answer, read));
                });
}

void HttpPlatform::Reserve(std::string object, std::uint64_t bytes,
                           std::function<void(Result<Duration>)> done) {
  const auto read = [](const Json& json) -> std::optional<Duration> {
    const Json wait = Member(json, "wait_ms");
    if (!wait.is_number_unsigned()) return std::nullopt;
    return std::chrono::milliseconds(wait.get<std::uint32_t>());
  };
  const Json body = {{"object", object}, {"bytes", bytes}};
  client_.Fetch(CallTo(platform_, timeout_, "POST", "/weights/reserve", Dumped(body)),
                [read, done = std::move(done)](const auto& answer) {
                  done(ReadAnswer<Duration>(answer, read));
                });
}

}  // namespace figmill
