#include "standin/platform.h"

#include <curl/curl.h>

#include <algorithm>
#include <charconv>

#include "standin/run_later.h"

namespace figmill::standin {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kObjects = "/objects/";
constexpr std::uint32_t kMaxScan = 1000;
// A store whose queue is longer than this refuses instead.
constexpr Duration kLongestQueue{2'000'000};

HttpResponse JsonAnswer(const Json& json, int status = 200) {
  return HttpResponse{.status = status, .body = json.dump()};
}

HttpResponse Problem(ErrorKind kind, std::string detail) {
  return ProblemOf(Error{kind, std::move(detail)});
}

Json ToJson(const Row& row) {
  return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

Json ToJson(const std::vector<Row>& rows) {
  Json list = Json::array();
  for (const Row& row : rows) list.push_back(ToJson(row));
  return list;
}

RowWrite WriteFrom(const Json& json) {
  const auto key = json.at("key").get<std::string>();
  const auto op = json.at("op").get<std::string>();
  if (op == "delete") return DeleteRow{key};
  if (op != "put") throw Json::other_error::create(501, "op must be put or delete", nullptr);
  return PutRow{key, json.at("value").get<std::string>()};
}

// Errors: kBadRequest.
Result<Transaction> ParseTransaction(std::string_view body) {
  Transaction transaction;
  try {
    const Json json = Json::parse(body);
    for (const Json& each : json.at("conditions")) {
      transaction.conditions.push_back(
          {each.at("key").get<std::string>(), each.at("version").get<RowVersion>()});
    }
    for (const Json& each : json.at("writes")) transaction.writes.push_back(WriteFrom(each));
  } catch (const Json::exception& failure) {
    return Error{ErrorKind::kBadRequest, failure.what()};
  }
  return transaction;
}

std::string KeyOf(const RowWrite& write) {
  return std::visit([](const auto& each) { return each.key; }, write);
}

// One version for each write, 0 for a delete.
Json Versions(const Transaction& transaction, const Committed& committed) {
  Json versions = Json::array();
  auto row = committed.rows.begin();
  for (const RowWrite& write : transaction.writes) {
    const bool put = std::holds_alternative<PutRow>(write);
    versions.push_back(put ? (row++)->version : 0);
  }
  return versions;
}

HttpResponse AnswerTo(const Transaction& transaction, const TransactionOutcome& outcome) {
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    return JsonAnswer({{"outcome", "committed"}, {"versions", Versions(transaction, *committed)}});
  }
  return JsonAnswer(
      {{"outcome", "rejected"}, {"current", ToJson(std::get<Rejected>(outcome).current)}}, 409);
}

std::string Unescaped(std::string_view text) {
  int length = 0;
  char* plain = curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &length);
  std::string result(plain, static_cast<std::size_t>(length));
  curl_free(plain);
  return result;
}

Json ToJson(const ListedHost& host) {
  return {{"node", host.node.value},
          {"http", ToString(host.http)},
          {"gossip", ToString(host.gossip)},
          {"role", host.role},
          {"data_centre", host.data_centre.value},
          {"leaving", host.leaving}};
}

// Errors: kBadRequest.
Result<std::vector<ListedHost>> ParseHosts(std::string_view body) {
  std::vector<ListedHost> hosts;
  try {
    const Json json = Json::parse(body);
    for (const Json& each : json.at("hosts")) {
      const auto http = ParseAddress(each.at("http").get<std::string>());
      const auto gossip = ParseAddress(each.at("gossip").get<std::string>());
      if (!IsOk(http)) return ErrorOf(http);
      if (!IsOk(gossip)) return ErrorOf(gossip);
      hosts.push_back({.node = NodeId{each.at("node").get<std::string>()},
                       .http = ValueOf(http),
                       .gossip = ValueOf(gossip),
                       .role = each.at("role").get<std::string>(),
                       .data_centre = DataCentre{each.at("data_centre").get<std::string>()},
                       .leaving = each.value("leaving", false)});
    }
  } catch (const Json::exception& failure) {
    return Error{ErrorKind::kBadRequest, failure.what()};
  }
  return hosts;
}

// The area that a path belongs to; empty for none.
std::string_view AreaOf(std::string_view path) {
  if (path.starts_with("/table/")) return "table";
  if (path.starts_with(kObjects)) return "objects";
  if (path == "/hosts") return "hosts";
  if (path == "/weights/reserve") return "weights";
  return {};
}

bool Contains(const std::vector<std::string>& areas, std::string_view area) {
  return std::find(areas.begin(), areas.end(), area) != areas.end();
}

}  // namespace

Platform::Platform(Loop& loop, const PlatformSettings& settings)
    : loop_(loop),
      settings_(settings),
      table_store_(NewStore(settings)),
      object_store_(NewStore(settings)),
      hosts_(settings.host_lag),
      weights_(settings.weight_bytes_per_second) {}

Platform::Store Platform::NewStore(const PlatformSettings& settings) {
  return Store{.read_meter = Meter(settings.reads_per_second),
               .write_meter = Meter(settings.writes_per_second)};
}

void Platform::Handle(const HttpRequest& request, const Reply& reply) {
  if (request.path.starts_with("/standin/")) return HandleAdmin(request, reply);
  const std::string_view area = AreaOf(request.path);
  if (Contains(faults_.hang, area)) return void_.Swallow(reply);
  if (Contains(faults_.down, area)) {
    return Answer(Duration(0), Problem(ErrorKind::kStoreUnavailable, "down"), reply);
  }
  if (area == "table") return HandleTable(request, reply);
  if (area == "objects") return HandleObject(request, reply);
  if (area == "hosts") return HandleHosts(request, reply);
  if (area == "weights") return HandleWeights(request, reply);
  reply->Send(Problem(ErrorKind::kNotFound, "there is no such call"));
}

void Platform::HandleAdmin(const HttpRequest& request, const Reply& reply) {
  if (request.path == "/standin/counters") return reply->Send(Counters());
  if (request.path != "/standin/faults") {
    return reply->Send(Problem(ErrorKind::kNotFound, "there is no such call"));
  }
  reply->Send(HandleFaults(request, faults_));
  hosts_.SetStale(Loop::Now(), faults_.stale_hosts);
}

bool Platform::Take(Store& store, Meter& meter, const Reply& reply) {
  if (meter.wait(Loop::Now()) <= kLongestQueue) return true;
  ++store.refused;
  Answer(Duration(0), Problem(ErrorKind::kStoreUnavailable, "too many operations"), reply);
  return false;
}

void Platform::Answer(Duration wait, HttpResponse answer, const Reply& reply) {
  const Duration delay = wait + settings_.latency + std::chrono::milliseconds(faults_.slow_ms);
  if (delay.count() == 0) return reply->Send(std::move(answer));
  RunLater(loop_, delay, [answer = std::move(answer), reply] { reply->Send(answer); });
}

void Platform::HandleTable(const HttpRequest& request, const Reply& reply) {
  if (request.path == "/table/commit") {
    if (request.method == "POST") return Commit(request, reply);
    return reply->Send(Problem(ErrorKind::kMethodNotAllowed, "POST is expected"));
  }
  if (!Take(table_store_, table_store_.read_meter, reply)) return;
  HttpResponse answer = Problem(ErrorKind::kNotFound, "there is no such call");
  if (request.path == "/table/row") {
    const auto row = table_.Read(request.QueryValue("key").value_or(""));
    answer = JsonAnswer({{"row", row ? ToJson(*row) : Json()}});
  } else if (request.path == "/table/rows") {
    RowRange range{.prefix = request.QueryValue("prefix").value_or(""),
                   .after = request.QueryValue("after").value_or("")};
    const std::string limit = request.QueryValue("limit").value_or("");
    std::from_chars(limit.data(), limit.data() + limit.size(), range.limit);
    range.limit = std::min(range.limit, kMaxScan);
    answer = JsonAnswer({{"rows", ToJson(table_.Scan(range))}});
  }
  ++table_store_.reads;
  Answer(table_store_.read_meter.Book(Loop::Now()), std::move(answer), reply);
}

void Platform::Commit(const HttpRequest& request, const Reply& reply) {
  const Result<Transaction> parsed = ParseTransaction(request.body);
  if (!IsOk(parsed)) return reply->Send(ProblemOf(ErrorOf(parsed)));
  if (!Take(table_store_, table_store_.write_meter, reply)) return;
  const Transaction& transaction = ValueOf(parsed);
  std::vector<std::string> keys;
  for (const RowWrite& write : transaction.writes) keys.push_back(KeyOf(write));
  AnswerWrite(table_store_, keys, reply, [&] {
    const TransactionOutcome outcome = table_.Commit(transaction);
    if (std::holds_alternative<Committed>(outcome)) {
      table_store_.rows_written += transaction.writes.size();
    } else {
      ++table_store_.rejected;
    }
    return AnswerTo(transaction, outcome);
  });
}

void Platform::AnswerWrite(Store& store, const std::vector<std::string>& keys, const Reply& reply,
                           const std::function<HttpResponse()>& write) {
  ++store.writes;
  const Duration wait = store.write_meter.Book(Loop::Now());
  if (faults_.drop_writes.Strikes(keys)) return void_.Swallow(reply);
  HttpResponse answer = write();
  if (faults_.lose_answers.Strikes(keys)) return void_.Swallow(reply);
  if (faults_.garble_answers.Strikes(keys)) {
    answer = HttpResponse{
        .status = 502, .content_type = "text/html", .body = "<h1>502 Bad Gateway</h1>"};
  }
  Answer(wait, std::move(answer), reply);
}

void Platform::HandleObject(const HttpRequest& request, const Reply& reply) {
  const std::string key = Unescaped(std::string_view(request.path).substr(kObjects.size()));
  Store& store = object_store_;
  if (request.method == "GET") {
    if (!Take(store, store.read_meter, reply)) return;
    ++store.reads;
    const auto found = objects_.find(key);
    HttpResponse answer =
        found == objects_.end()
            ? Problem(ErrorKind::kNotFound, "there is no such object")
            : HttpResponse{.content_type = "application/octet-stream", .body = found->second};
    return Answer(store.read_meter.Book(Loop::Now()), std::move(answer), reply);
  }
  if (request.method != "PUT" && request.method != "DELETE") {
    return reply->Send(Problem(ErrorKind::kMethodNotAllowed, "GET, PUT or DELETE is expected"));
  }
  if (!Take(store, store.write_meter, reply)) return;
  AnswerWrite(store, {key}, reply, [&] {
    if (request.method == "PUT") {
      store.bytes_written += request.body.size();
      objects_.insert_or_assign(key, request.body);
      return JsonAnswer({{"bytes", request.body.size()}});
    }
    objects_.erase(key);
    return JsonAnswer({{"bytes", 0}});
  });
}

void Platform::HandleHosts(const HttpRequest& request, const Reply& reply) {
  const Time now = Loop::Now();
  if (request.method == "POST") {
    Result<std::vector<ListedHost>> parsed = ParseHosts(request.body);
    if (!IsOk(parsed)) return reply->Send(ProblemOf(ErrorOf(parsed)));
    for (ListedHost& host : ValueOf(parsed)) hosts_.Set(now, std::move(host));
    return reply->Send(JsonAnswer({{"hosts", ValueOf(parsed).size()}}));
  }
  Json list = Json::array();
  for (const ListedHost& host : hosts_.List(now)) list.push_back(ToJson(host));
  Answer(Duration(0), JsonAnswer({{"hosts", std::move(list)}}), reply);
}

void Platform::HandleWeights(const HttpRequest& request, const Reply& reply) {
  std::uint64_t bytes = 0;
  try {
    Json::parse(request.body).at("bytes").get_to(bytes);
  } catch (const Json::exception& failure) {
    return reply->Send(Problem(ErrorKind::kBadRequest, failure.what()));
  }
  const Duration wait = weights_.Book(Loop::Now(), static_cast<double>(bytes));
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  Answer(Duration(0), JsonAnswer({{"wait_ms", milliseconds}}), reply);
}

HttpResponse Platform::Counters() const {
  const auto counters = [](const Store& store) {
    return Json{{"reads", store.reads},
                {"writes", store.writes},
                {"rows_written", store.rows_written},
                {"bytes_written", store.bytes_written},
                {"rejected", store.rejected},
                {"refused", store.refused}};
  };
  return JsonAnswer({{"table", counters(table_store_)}, {"objects", counters(object_store_)}});
}

}  // namespace figmill::standin
