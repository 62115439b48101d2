#pragma once

// What figmill asks of the world around it: the platform's table service,
// object store, weight store and host list, and the backend servers. Each is an
// interface with callbacks, so that another transport, or a mock, can stand in.
// Callbacks run on the thread that made the call, never inside the call.

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"

namespace figmill {

// --- Table service -----------------------------------------------------------

// A row's version rises with every write of the row; 0 means "no such row".
using RowVersion = std::uint64_t;

struct Row {
  std::string key;
  std::string value;
  RowVersion version = 0;
  bool operator==(const Row&) const = default;
};

// The transaction takes effect only if the row has exactly this version.
struct RowCondition {
  std::string key;
  RowVersion version = 0;
};
struct PutRow {
  std::string key;
  std::string value;
};
struct DeleteRow {
  std::string key;
};
using RowWrite = std::variant<PutRow, DeleteRow>;

// All conditions hold and all writes take effect, or nothing does.
struct Transaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

struct Committed {
  std::vector<Row> rows;  // the written rows, with their new versions
};
// A condition failed; nothing was written.
struct Rejected {
  std::vector<Row> current;  // rows of the conditions that failed
};
// The store said plainly that it wrote nothing (refused, or not reached).
struct NotWritten {
  std::string why;
};
// The answer was lost: the writes may or may not have taken effect. Read back
// a row's token to learn which; until then nothing that depends on it is true.
struct FateUnknown {
  std::string why;
};
using TransactionOutcome = std::variant<Committed, Rejected, NotWritten, FateUnknown>;

struct RowRange {
  std::string prefix;
  std::string after;  // keys strictly greater than this
  std::uint32_t limit = 1000;
};

class TableStore {
 public:
  virtual ~TableStore() = default;
  virtual void Commit(Transaction transaction, std::function<void(TransactionOutcome)> done) = 0;
  // An absent row is an empty optional. Errors: kStoreUnavailable.
  virtual void Read(std::string key, std::function<void(Result<std::optional<Row>>)> done) = 0;
  // Rows in key order. Errors: kStoreUnavailable.
  virtual void Scan(RowRange range, std::function<void(Result<std::vector<Row>>)> done) = 0;
};

// --- Object store ------------------------------------------------------------

class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  // Whole-object writes; repeating one is harmless. Errors: kStoreUnavailable.
  virtual void Put(std::string key, std::string bytes, std::function<void(Result<Ok>)> done) = 0;
  // Errors: kNotFound, kStoreUnavailable.
  virtual void Get(std::string key, std::function<void(Result<std::string>)> done) = 0;
  virtual void Delete(std::string key, std::function<void(Result<Ok>)> done) = 0;
};

// --- Host list ---------------------------------------------------------------

// The platform's view of a host; it lags, so it seeds membership and no more.
struct ListedHost {
  NodeId node;
  Address http;
  Address gossip;
  std::string role;  // "entry" or "agent"
  DataCentre data_centre;
  bool leaving = false;
};

class HostList {
 public:
  virtual ~HostList() = default;
  // Errors: kStoreUnavailable.
  virtual void List(std::function<void(Result<std::vector<ListedHost>>)> done) = 0;
};

// --- Weight store ------------------------------------------------------------

class WeightStore {
 public:
  virtual ~WeightStore() = default;
  // Asks for permission to load `bytes` now; the answer is how long to wait
  // first. Errors: kStoreUnavailable.
  virtual void Reserve(std::string object, std::uint64_t bytes,
                       std::function<void(Result<Duration>)> done) = 0;
};

// --- Backend servers ---------------------------------------------------------

// One call to a backend server, on its own protocol.
struct BackendRequest {
  RequestId request;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  bool repeatable = true;  // otherwise the port never sends it a second time itself
};

struct AnswerHead {
  int status = 0;
  std::string content_type;
};
struct AnswerBytes {
  std::string bytes;
};
// The backend server ended the answer by its protocol's own marker.
struct AnswerEnd {};
// The answer broke off; `ran` says what is known.
struct AnswerFailed {
  Error error;
};
using AnswerEvent = std::variant<AnswerHead, AnswerBytes, AnswerEnd, AnswerFailed>;

// Cancels when called; harmless afterwards.
using CancelCall = std::function<void()>;

class BackendPort {
 public:
  virtual ~BackendPort() = default;
  virtual CancelCall Call(BackendRequest request, std::function<void(AnswerEvent)> on_event) = 0;
};

// Load as a model engine reports it; it lags.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double kv_used = 0;  // share of KV memory, 0 to 1
};

// What a model engine offers beyond plain calls.
struct EngineOrder {
  std::string kind;  // "load-model", "unload-model", "load-adapter", "role", ...
  std::string subject;
  std::string version;
  Sequence fence = 0;  // refused by engines that check it, when lower than one seen
};
struct EngineState {
  std::vector<std::string> models;  // "name@version"
  std::vector<std::string> adapters;
  std::string role;
  Sequence fence = 0;  // 0 when the engine ignores fencing
};

class EnginePort : public BackendPort {
 public:
  // Errors: kNotFound when the engine holds no such stream.
  virtual CancelCall Resume(RequestId request, std::uint64_t from_token,
                            std::function<void(AnswerEvent)> on_event) = 0;
  virtual void Cancel(RequestId request, std::function<void(Result<Ok>)> done) = 0;
  // Errors: kFenced, kBackendFailed.
  virtual void Order(EngineOrder order, std::function<void(Result<Ok>)> done) = 0;
  virtual void State(std::function<void(Result<EngineState>)> done) = 0;
  virtual void Load(std::function<void(Result<EngineLoad>)> done) = 0;
};

}  // namespace figmill
