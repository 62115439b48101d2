#include <memory>
#include <nlohmann/json.hpp>

#include "figmill/batch.h"
#include "figmill/documents.h"
#include "figmill/once.h"
#include "figmilld/batch/store_scan.h"
#include "figmilld/traffic/work_tables.h"

namespace figmill {
namespace {

using Json = nlohmann::json;
using query::Selection;
using query::TableRow;

constexpr std::string_view kOncePrefix = "once/";

std::string TextAt(const Json& json, const char* name) {
  const auto found = json.find(name);
  return found != json.end() && found->is_string() ? found->get<std::string>() : "";
}

// One line of a job's results.
TableRow RowOfResult(const JobId& job, std::string_view line) {
  const Json json = ParseJson(line);
  if (!json.is_object()) {
    return {std::monostate{}, job.value, std::string("unreadable"), std::monostate{}};
  }
  const auto error = json.find("error");
  if (error == json.end()) {
    return {TextAt(json, "custom_id"), job.value, std::string("done"), std::monostate{}};
  }
  return {TextAt(json, "custom_id"), job.value, std::string("failed"),
          TextAt(*error, "kind") + ": " + TextAt(*error, "detail")};
}

// Reads the result objects of a job one after the other; a line may go on in
// the next object.
class ResultReader : public std::enable_shared_from_this<ResultReader> {
 public:
  ResultReader(ObjectStore& store, JobId job, RowCollector collector, TableDone done)
      : store_(store),
        job_(std::move(job)),
        collector_(std::move(collector)),
        done_(std::move(done)) {}

  void Read(std::vector<std::string> objects) {
    objects_ = std::move(objects);
    Next();
  }

 private:
  void Next() {
    if (at_ == objects_.size() || !collector_.wants_more()) return done_(collector_.Take());
    store_.Get(objects_[at_++], [self = shared_from_this()](Result<std::string> bytes) {
      if (!IsOk(bytes)) return self->done_(ErrorOf(bytes));
      self->TakeLines(ValueOf(bytes));
      self->Next();
    });
  }

  void TakeLines(std::string_view bytes) {
    for (std::size_t end = bytes.find('\n'); end != std::string_view::npos;
         end = bytes.find('\n')) {
      rest_ += bytes.substr(0, end);
      collector_.Add(RowOfResult(job_, rest_));
      rest_.clear();
      bytes.remove_prefix(end + 1);
    }
    rest_ += bytes;
  }

  ObjectStore& store_;
  JobId job_;
  RowCollector collector_;
  TableDone done_;
  std::vector<std::string> objects_;
  std::size_t at_ = 0;
  std::string rest_;
};

}  // namespace

void ReadJobItems(TableStore& table, ObjectStore& objects, const JobId& job,
                  const Selection& selection, TableDone done) {
  auto read = [&table, &objects, job, selection, done](const Result<std::optional<Row>>& row) {
    if (!IsOk(row)) return done(ErrorOf(row));
    if (!ValueOf(row)) {
      return done(Error{ErrorKind::kNotFound, "there is no job " + job.value});
    }
    auto names = std::make_shared<std::vector<std::string>>();
    ScanAll(
        table, ChunkPrefix(job), "",
        [names](std::span<const Row> rows) {
          const JobProgress page = ProgressOf(rows);
          names->insert(names->end(), page.objects.begin(), page.objects.end());
          return true;
        },
        [&objects, job, selection, done, names](const Result<Ok>& scanned) {
          if (!IsOk(scanned)) return done(ErrorOf(scanned));
          RowCollector collector(query::EmptyTable(query::ShowItems{}), selection);
          std::make_shared<ResultReader>(objects, job, std::move(collector), done)->Read(*names);
        });
  };
  table.Read(JobKey(job), std::move(read));
}

void ReadKeyedItems(TableStore& table, const Selection& selection, TableDone done) {
  auto collector = std::make_shared<RowCollector>(query::EmptyTable(query::ShowItems{}), selection);
  ScanAll(
      table, std::string(kOncePrefix), "",
      [collector](std::span<const Row> rows) {
        for (const Row& row : rows) {
          const Result<OnceRow> once = ParseOnceRow(row.value);
          if (!IsOk(once)) continue;
          collector->Add({row.key.substr(kOncePrefix.size()), std::monostate{},
                          std::string(ToString(ValueOf(once).phase)), std::monostate{}});
        }
        return collector->wants_more();
      },
      [collector, done = std::move(done)](const Result<Ok>& scanned) {
        if (!IsOk(scanned)) return done(ErrorOf(scanned));
        done(collector->Take());
      });
}

}  // namespace figmill
